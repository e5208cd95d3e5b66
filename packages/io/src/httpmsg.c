#include "httpmsg.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#define DECIMAL 10

/* Returns the request target as received, without normalization. */
struct span httpmsg_target(const struct httpmsg *m)
{
	return (struct span){ buf_data(&m->text), m->target_len };
}

struct span httpmsg_name(const struct httpmsg *m, size_t i)
{
	return (struct span){ buf_data(&m->text) + m->fields[i].name,
			      m->fields[i].name_len };
}

struct span httpmsg_value(const struct httpmsg *m, size_t i)
{
	return (struct span){ buf_data(&m->text) + m->fields[i].value,
			      m->fields[i].value_len };
}

bool span_is(struct span s, const char *text)
{
	return s.text && s.len == strlen(text) &&
	       memcmp(s.text, text, s.len) == 0;
}

/* Compares without regard to case. */
bool span_is_nocase(struct span s, const char *text)
{
	return s.text && s.len == strlen(text) &&
	       strncasecmp(s.text, text, s.len) == 0;
}

/* Returns the value of the first field of this name; text is NULL if none. */
struct span httpmsg_find(const struct httpmsg *m, const char *name)
{
	for (size_t i = 0; i < m->field_count; i++) {
		if (span_is_nocase(httpmsg_name(m, i), name))
			return httpmsg_value(m, i);
	}
	return (struct span){ NULL, 0 };
}

/* Accepts decimal digits only: no sign, no spaces. */
bool span_number(struct span s, uint64_t max, uint64_t *out)
{
	uint64_t n = 0;

	if (!s.text || s.len == 0)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		unsigned int digit = (unsigned int)(s.text[i] - '0');

		if (digit >= DECIMAL || n > (max - digit) / DECIMAL)
			return false;
		n = n * DECIMAL + digit;
	}
	*out = n;
	return true;
}

/* Copies with a terminating NUL. Returns false, and "", if it does not fit. */
bool span_copy(struct span s, char *out, size_t size)
{
	out[0] = '\0';
	if (!s.text || s.len >= size)
		return false;
	memcpy(out, s.text, s.len);
	out[s.len] = '\0';
	return true;
}

/* True if the value of the Connection header field lists this field. */
static bool is_listed(struct span list, struct span name)
{
	for (size_t i = 0; list.text && i < list.len;) {
		size_t begin = i;

		while (i < list.len && list.text[i] != ',' &&
		       list.text[i] != ' ')
			i++;
		if (i - begin == name.len && name.len > 0 &&
		    strncasecmp(list.text + begin, name.text, name.len) == 0)
			return true;
		i++;
	}
	return false;
}

/*
 * True for hop-by-hop fields and those that frame the body, which must not be
 * forwarded. connection is the value of the Connection header field.
 */
static bool is_hop_by_hop(struct span connection, struct span name)
{
	static const char *const names[] = {
		"connection", "keep-alive",	"proxy-connection",
		"te",	      "trailer",	"transfer-encoding",
		"upgrade",    "content-length", "expect"
	};

	for (size_t n = 0; n < sizeof(names) / sizeof(names[0]); n++) {
		if (span_is_nocase(name, names[n]))
			return true;
	}
	return is_listed(connection, name);
}

/* Appends the fields to forward as header lines. */
void httpmsg_copy_fields(const struct httpmsg *m, struct buf *out,
			 httpmsg_skip_fn skip, const void *arg)
{
	struct span connection = httpmsg_find(m, "connection");

	for (size_t i = 0; i < m->field_count; i++) {
		struct span name = httpmsg_name(m, i);
		struct span value = httpmsg_value(m, i);

		if (is_hop_by_hop(connection, name) ||
		    (skip && skip(arg, name)))
			continue;
		buf_add(out, name.text, name.len);
		buf_add(out, ": ", 2);
		buf_add(out, value.text, value.len);
		buf_add(out, "\r\n", 2);
	}
}
