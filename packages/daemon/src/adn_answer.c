#include "adn_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Sends an answer of any type. */
void adn_text(struct ask *a, int status, const char *type, const void *body,
	      size_t len)
{
	struct websrv_header header = { "content-type", type };

	a->over = true;
	if (a->req)
		websrv_reply(a->req, status, &header, 1, body, len);
}

/* Answers with a JSON value and takes it over. */
void adn_json(struct ask *a, int status, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;

	if (text)
		adn_text(a, status, "application/json", text, strlen(text));
	else
		adn_text(a, 500, "text/plain", "out of memory\n", 14);
	free(text);
	json_decref(json);
}

/* Answers with a result word and a reason. */
void adn_result(struct ask *a, int status, const char *result,
		const char *reason)
{
	adn_json(a, status,
		 json_pack("{s:s,s:s}", "result", result, "reason", reason));
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* Copies len bytes and decodes %XX; false if malformed or too long. */
static bool decode(const char *from, size_t len, char *out, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < len; i++) {
		char c = from[i];

		if (c == '%') {
			int high = i + 2 < len ? hex_digit(from[i + 1]) : -1;
			int low = i + 2 < len ? hex_digit(from[i + 2]) : -1;

			if (high < 0 || low < 0)
				return false;
			c = (char)(high * 16 + low);
			i += 2;
		}
		if (!c || n + 1 >= size)
			return false;
		out[n++] = c;
	}
	out[n] = '\0';
	return true;
}

/*
 * Copies the decoded value of a query field; false if it is missing, malformed
 * or too long.
 */
bool adn_query(const struct ask *a, const char *name, char *out, size_t size)
{
	const char *at = websrv_query(a->req);
	size_t name_len = strlen(name);

	while (at && *at) {
		size_t len = strcspn(at, "&");

		if (len > name_len && at[name_len] == '=' &&
		    strncmp(at, name, name_len) == 0) {
			len -= name_len + 1;
			return decode(at + name_len + 1, len, out, size);
		}
		at += len;
		at += *at == '&';
	}
	return false;
}

/* Reads a query field that is a number and nothing else. */
bool adn_query_number(const struct ask *a, const char *name, int base,
		      uint64_t *out)
{
	char text[NAME_MAX_BYTES];
	char *end;

	if (!adn_query(a, name, text, sizeof(text)) || hex_digit(text[0]) < 0)
		return false;
	errno = 0;
	*out = strtoull(text, &end, base);
	return !*end && !errno;
}
