#include "com.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 8192
#define IDLE_TIMEOUT_MS 120000
#define HEADER_TIMEOUT_MS 10000

/* Grows by doubling and keeps a NUL behind the bytes. */
bool com_append(struct com_buf *b, const void *data, size_t len, size_t max)
{
	size_t capacity = b->capacity ? b->capacity : 256;
	char *bytes;

	if (len > max || b->len > max - len)
		return false;
	while (capacity < b->len + len + 1)
		capacity *= 2;
	if (capacity > b->capacity) {
		bytes = realloc(b->data, capacity);
		if (!bytes)
			return false;
		b->data = bytes;
		b->capacity = capacity;
	}
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
	return true;
}

/* Frees the bytes; the buffer can be used again. */
void com_free(struct com_buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

/* Returns the value of a hexadecimal digit, -1 for another character. */
static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Decodes len characters; a decoded NUL is refused. */
static bool decode_part(const char *text, size_t len, char *out, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (n + 1 >= size)
			return false;
		if (c == '%') {
			int high = i + 2 < len ? hex_digit(text[i + 1]) : -1;
			int low = high < 0 ? -1 : hex_digit(text[i + 2]);

			if (low < 0)
				return false;
			c = (char)(high * 16 + low);
			i += 2;
		}
		if (!c)
			return false;
		out[n++] = c;
	}
	out[n] = '\0';
	return true;
}

/* Decodes a whole text. */
bool com_decode(const char *text, char *out, size_t size)
{
	return decode_part(text, strlen(text), out, size);
}

/* Looks through the parameters, which are separated by "&". */
bool com_query(const struct websrv_req *r, const char *name, char *out,
	       size_t size)
{
	const char *at = websrv_query(r);
	size_t name_len = strlen(name);

	while (*at) {
		size_t len = strcspn(at, "&");

		if (len > name_len && at[name_len] == '=' &&
		    strncmp(at, name, name_len) == 0)
			return decode_part(at + name_len + 1,
					   len - name_len - 1, out, size);
		at += len;
		if (*at)
			at++;
	}
	return false;
}

/* Refuses signs, blanks and what follows the digits. */
bool com_number(const char *text, uint64_t *out)
{
	char *end;

	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	return !errno && !*end;
}

/* Takes the default for a malformed number too. */
uint64_t com_header_number(const struct websrv_req *r, const char *name,
			   uint64_t otherwise)
{
	const char *text = websrv_header(r, name);
	uint64_t value;

	return text && com_number(text, &value) ? value : otherwise;
}

/* Answers with the compact text of the JSON. */
void com_reply_json(struct websrv_req *r, int status, json_t *json)
{
	static const struct websrv_header type = { "content-type",
						   "application/json" };
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	if (text)
		websrv_reply(r, status, &type, 1, text, strlen(text));
	else
		websrv_abort(r);
	free(text);
	json_decref(json);
}

/* Answers with a reason. */
void com_reply_error(struct websrv_req *r, int status, const char *text)
{
	com_reply_json(r, status, json_pack("{s:s}", "error", text));
}

/* Stops the loop that was given as the argument. */
static void on_signal(void *arg, int signo)
{
	(void)signo;
	lwsloop_stop(arg);
}

/* Prints why a stand-in cannot start and ends the process. */
static void fail(const struct err *err)
{
	fprintf(stderr, "%s: %s\n", program_invocation_short_name, err->text);
	exit(COM_EXIT_START);
}

/* Makes the loop with the clock of the system. */
struct lwsloop *com_start_loop(void)
{
	struct err err = { 0 };
	struct lwsloop *l = lwsloop_create(clk_system(), 0, &err);

	if (!l || !lwsloop_on_signal(l, on_signal, l, &err))
		fail(&err);
	return l;
}

/* Listens and prints the port, which the system may have chosen. */
struct websrv *com_listen(struct lwsloop *l, const char *address, uint16_t port,
			  const struct websrv_ops *ops, void *arg)
{
	struct websrv_params params = { address, port, CONNECTIONS_MAX,
					IDLE_TIMEOUT_MS, HEADER_TIMEOUT_MS };
	struct err err = { 0 };
	struct websrv *h = websrv_create(l, &params, ops, arg, &err);

	if (!h)
		fail(&err);
	printf("listening on %s port %u\n", address, websrv_port(h));
	fflush(stdout);
	return h;
}

/* Splits at the last colon. */
bool com_split_address(const char *text, char address[46], uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	uint64_t number;

	if (!colon || colon == text || colon - text > 45 ||
	    !com_number(colon + 1, &number) || !number || number > UINT16_MAX)
		return false;
	memcpy(address, text, (size_t)(colon - text));
	address[colon - text] = '\0';
	*port = (uint16_t)number;
	return true;
}
