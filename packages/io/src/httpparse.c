#include "httpmsg.h"

#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "array.h"
#include "httpchunks.h"
#include "httplines.h"
#include "membud.h"

#define STATUS_INTERIM_MAX 199 /* 1xx responses precede the final one */
#define STATUS_SWITCHING 101
/* Result of the callback for a head: the message has no body. */
#define SKIP_BODY 1
/* What the parser counts beyond the text of a head: separators and the like. */
#define HEAD_EXTRA_BYTES 16384
/* A parser that waits for its next message keeps this much of the last one. */
#define KEPT_TEXT_BYTES 2048
#define KEPT_FIELDS 32

struct httpparse {
	http_parser parser;
	struct httpmsg message;
	const struct httpparse_ops *ops;
	void *arg;
	uint32_t head_bytes; /* limit of a head */
	struct httplines lines;
	struct httpchunks chunks;
	bool in_value;
	bool in_message;
	bool ended;
	bool interim; /* an interim response has ended */
	bool no_body;
	bool stopped;
};

/* Returns the reason phrase, or "Status" for an unknown status. */
const char *httpmsg_reason_phrase(uint16_t status)
{
	switch (status) {
#define REASON(number, name, string) \
	case number:                 \
		return #string;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Status";
	}
}

/* Appends header bytes; returns -1 over the limit or out of memory. */
static int add_text(struct httpparse *p, const char *at, size_t len)
{
	struct httpmsg *m = &p->message;

	if (buf_len(&m->text) + len > p->head_bytes ||
	    !buf_add(&m->text, at, len))
		return -1;
	return 0;
}

/* Clears the previous message. */
static int on_begin(http_parser *parser)
{
	struct httpparse *p = parser->data;
	struct httpmsg *m = &p->message;

	m->text.start = m->text.end = 0;
	m->field_count = 0;
	m->target_len = 0;
	p->in_value = false;
	p->in_message = true;
	return 0;
}

/* Appends a part of the request target. */
static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct httpparse *p = parser->data;

	p->message.target_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Appends a part of a field name; the first part starts a new field. */
static int on_field_name(http_parser *parser, const char *at, size_t len)
{
	struct httpparse *p = parser->data;
	struct httpmsg *m = &p->message;
	struct httpmsg_field *f;

	if (m->field_count == 0 || p->in_value) {
		size_t before = m->field_capacity;

		f = array_extend(m->fields, m->field_count, &m->field_capacity,
				 sizeof(*f));
		if (!f)
			return -1;
		membud_change(before * sizeof(*f),
			      m->field_capacity * sizeof(*f));
		m->fields = f;
		m->fields[m->field_count++].name = (uint32_t)buf_len(&m->text);
		p->in_value = false;
	}
	m->fields[m->field_count - 1].name_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Appends a part of a field value. */
static int on_field_value(http_parser *parser, const char *at, size_t len)
{
	struct httpparse *p = parser->data;
	struct httpmsg *m = &p->message;
	struct httpmsg_field *f = &m->fields[m->field_count - 1];

	if (!p->in_value)
		f->value = (uint32_t)buf_len(&m->text);
	p->in_value = true;
	f->value_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Removes the blanks behind each value, which are no part of it. */
static void trim_values(struct httpmsg *m)
{
	for (size_t i = 0; i < m->field_count; i++) {
		struct span value = httpmsg_value(m, i);

		while (value.len > 0 && (value.text[value.len - 1] == ' ' ||
					 value.text[value.len - 1] == '\t'))
			value.len--;
		m->fields[i].value_len = (uint32_t)value.len;
	}
}

/* True if the only transfer coding of the body is chunked, once. */
static bool is_only_chunked(const struct httpmsg *m)
{
	size_t count = 0;

	for (size_t i = 0; i < m->field_count; i++) {
		if (!span_is_nocase(httpmsg_name(m, i), "transfer-encoding"))
			continue;
		count++;
		if (!span_is_nocase(httpmsg_value(m, i), "chunked"))
			return false;
	}
	return m->chunked && count == 1;
}

/* True if the response ends with its head, whatever its fields are. */
static bool is_bodiless(const struct httpparse *p)
{
	return p->no_body || p->message.status <= STATUS_INTERIM_MAX ||
	       p->message.status == HTTP_STATUS_NO_CONTENT ||
	       p->message.status == HTTP_STATUS_NOT_MODIFIED;
}

/*
 * Reads how the body is framed. Returns false if that is not clear (RFC 9112,
 * 6.1 and 6.2); a request with an unknown coding is left to the server.
 */
static bool read_framing(const http_parser *parser, struct httpmsg *m)
{
	m->chunked = (parser->flags & F_CHUNKED) != 0;
	m->other_coding = parser->uses_transfer_encoding && !is_only_chunked(m);
	m->length = -1;
	if (parser->flags & F_CONTENTLENGTH)
		m->length = (int64_t)parser->content_length;
	else if (parser->type == HTTP_REQUEST && !m->chunked)
		m->length = 0;
	if (parser->uses_transfer_encoding && parser->http_minor == 0)
		return false;
	if (m->other_coding && parser->type == HTTP_RESPONSE)
		return false;
	return !(parser->flags & F_CONTENTLENGTH) || m->length >= 0;
}

/* Passes the header section to the user; ignores interim responses. */
static int on_head(http_parser *parser)
{
	struct httpparse *p = parser->data;
	struct httpmsg *m = &p->message;
	bool bodiless = false;

	if (parser->type == HTTP_RESPONSE) {
		m->status = (uint16_t)parser->status_code;
		bodiless = is_bodiless(p);
		if (m->status == STATUS_SWITCHING)
			return -1;
		if (m->status <= STATUS_INTERIM_MAX)
			return SKIP_BODY;
	} else {
		m->method = http_method_str(parser->method);
	}
	m->minor = (uint8_t)parser->http_minor;
	m->keep_alive = http_should_keep_alive(parser) != 0;
	httpchunks_begin(&p->chunks);
	trim_values(m);
	if ((!read_framing(parser, m) && !bodiless) ||
	    !p->ops->on_head(p->arg, m))
		return -1;
	return bodiless ? SKIP_BODY : 0;
}

/* Passes body bytes to the user. */
static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct httpparse *p = parser->data;

	p->ops->on_body(p->arg, at, len);
	return p->stopped ? -1 : 0;
}

/* Pauses after a complete message, and after an interim response. */
static int on_message(http_parser *parser)
{
	struct httpparse *p = parser->data;

	http_parser_pause(parser, 1);
	if (parser->type == HTTP_RESPONSE &&
	    parser->status_code <= STATUS_INTERIM_MAX) {
		p->interim = true;
	} else {
		p->ended = true;
	}
	p->in_message = false;
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

/* Creates a parser for requests or responses. NULL if out of memory. */
struct httpparse *httpparse_create(bool requests,
				   const struct httpparse_ops *ops, void *arg)
{
	struct httpparse *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	http_parser_init(&p->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	p->parser.data = p;
	p->ops = ops;
	p->arg = arg;
	p->head_bytes = HTTPMSG_HEAD_BYTES;
	httplines_begin(&p->lines, requests);
	return p;
}

/* Frees the fields of the message. */
static void free_fields(struct httpmsg *m)
{
	membud_change(m->field_capacity * sizeof(*m->fields), 0);
	free(m->fields);
	m->fields = NULL;
	m->field_count = m->field_capacity = 0;
}

/* Makes the parse fail behind the current part of the body. */
void httpparse_stop(struct httpparse *p)
{
	p->stopped = true;
}

size_t httpparse_held_bytes(const struct httpparse *p)
{
	return sizeof(*p) + p->message.text.size +
	       p->message.field_capacity * sizeof(*p->message.fields);
}

/* Frees the parser and the message returned by httpparse_message(). */
void httpparse_destroy(struct httpparse *p)
{
	if (!p)
		return;
	buf_free(&p->message.text);
	free_fields(&p->message);
	free(p);
}

/*
 * Sets the limit of a head. http_parser has one of its own, for all parsers,
 * which also ends heads that never do; it is raised if need be.
 */
void httpparse_set_head_bytes(struct httpparse *p, uint32_t bytes)
{
	static uint32_t parser_bytes = HTTP_MAX_HEADER_SIZE;

	p->head_bytes = bytes;
	if (bytes < parser_bytes - HEAD_EXTRA_BYTES)
		return;
	parser_bytes = bytes + HEAD_EXTRA_BYTES;
	http_parser_set_max_header_size(parser_bytes);
}

/* Sets whether the next response answers HEAD and so has no body. */
void httpparse_expect_no_body(struct httpparse *p, bool no_body)
{
	p->no_body = no_body;
}

/*
 * Returns how many of the next bytes to parse at once, up to the end of the
 * head or of the body, and checks them before. Returns 0 if they are invalid.
 */
static size_t check_part(struct httpparse *p, const char *bytes, size_t len)
{
	if (!httplines_ended(&p->lines))
		return httplines_check(&p->lines, bytes, len);
	if (p->message.chunked)
		return httpchunks_check(&p->chunks, bytes, len);
	return len;
}

/* Ends a feed behind a complete message or an interim response. */
static enum httpparse_state end_message(struct httpparse *p)
{
	if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED)
		http_parser_pause(&p->parser, 0);
	if (p->ended)
		return HTTPPARSE_DONE;
	p->interim = false;
	httplines_begin(&p->lines, false);
	return HTTPPARSE_INTERIM;
}

/*
 * Parses up to the end of the input or of the message. Returns HTTPPARSE_ERROR
 * for malformed input, an invalid status or version, a protocol upgrade, an
 * exceeded limit or a rejected head.
 */
enum httpparse_state httpparse_feed(struct httpparse *p, const char *bytes,
				    size_t len, size_t *consumed)
{
	*consumed = 0;
	while (*consumed < len) {
		const char *next = bytes + *consumed;
		size_t part = check_part(p, next, len - *consumed);

		if (part == 0)
			return HTTPPARSE_ERROR;
		*consumed +=
			http_parser_execute(&p->parser, &settings, next, part);
		if (p->ended || p->interim)
			return end_message(p);
		if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK ||
		    p->parser.upgrade)
			return HTTPPARSE_ERROR;
	}
	return HTTPPARSE_INCOMPLETE;
}

/*
 * Handles an orderly close, which completes a body without a length. Returns
 * HTTPPARSE_ERROR if the message is incomplete or none has begun.
 */
enum httpparse_state httpparse_eof(struct httpparse *p)
{
	if (!p->in_message)
		return HTTPPARSE_ERROR;
	http_parser_execute(&p->parser, &settings, NULL, 0);
	return p->ended ? HTTPPARSE_DONE : HTTPPARSE_ERROR;
}

/* Resets the parser for the next message. */
void httpparse_reset(struct httpparse *p)
{
	enum http_parser_type type = p->parser.type;

	http_parser_init(&p->parser, type);
	httplines_begin(&p->lines, type == HTTP_REQUEST);
	p->ended = false;
	p->in_message = false;
	p->no_body = false;
	p->stopped = false;
	if (p->message.text.size > KEPT_TEXT_BYTES)
		buf_free(&p->message.text);
	if (p->message.field_capacity > KEPT_FIELDS)
		free_fields(&p->message);
}

/* True between the first byte and the end of a message. */
bool httpparse_in_message(const struct httpparse *p)
{
	return p->in_message;
}

/* Returns the message being parsed, or the last one. */
struct httpmsg *httpparse_message(struct httpparse *p)
{
	return &p->message;
}
