#include "hmg.h"

#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define STATUS_INTERIM_MAX 199 /* 1xx responses come before the final one */
#define STATUS_SWITCHING 101

struct hps {
	http_parser parser;
	struct hmg message;
	const struct hps_ops *ops;
	void *arg;
	bool in_value;
	bool inside;
	bool ended;
	bool no_body;
};

/* Returns the reason phrase of a status. */
const char *hmg_reason(uint16_t status)
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

/* Adds bytes of the head to the text of the message. */
static int add_text(struct hps *p, const char *at, size_t len)
{
	struct hmg *m = &p->message;

	if (buf_len(&m->text) + len > HMG_HEAD_MAX ||
	    !buf_add(&m->text, at, len))
		return -1;
	return 0;
}

/* Forgets the message before. */
static int on_begin(http_parser *parser)
{
	struct hps *p = parser->data;
	struct hmg *m = &p->message;

	m->text.start = m->text.end = 0;
	m->field_count = 0;
	m->target_len = 0;
	p->in_value = false;
	p->inside = true;
	return 0;
}

/* Takes a piece of the target. */
static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct hps *p = parser->data;

	p->message.target_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Takes a piece of a name; the first one begins a field. */
static int on_name(http_parser *parser, const char *at, size_t len)
{
	struct hps *p = parser->data;
	struct hmg *m = &p->message;
	struct hmg_field *f;

	if (m->field_count == 0 || p->in_value) {
		if (m->field_count == HMG_FIELDS_MAX)
			return -1;
		f = &m->fields[m->field_count++];
		memset(f, 0, sizeof(*f));
		f->name = (uint32_t)buf_len(&m->text);
		p->in_value = false;
	}
	m->fields[m->field_count - 1].name_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Takes a piece of a value. */
static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct hps *p = parser->data;
	struct hmg *m = &p->message;
	struct hmg_field *f = &m->fields[m->field_count - 1];

	if (!p->in_value)
		f->value = (uint32_t)buf_len(&m->text);
	p->in_value = true;
	f->value_len += (uint32_t)len;
	return add_text(p, at, len);
}

/* Gives the head to the user, but for interim responses. */
static int on_head(http_parser *parser)
{
	struct hps *p = parser->data;
	struct hmg *m = &p->message;

	if (parser->type == HTTP_RESPONSE) {
		m->status = (uint16_t)parser->status_code;
		if (m->status == STATUS_SWITCHING)
			return -1;
		if (m->status <= STATUS_INTERIM_MAX)
			return 0;
	} else {
		m->method = http_method_str(parser->method);
	}
	m->minor = (uint8_t)parser->http_minor;
	m->keep_alive = http_should_keep_alive(parser) != 0;
	m->length = -1;
	if (parser->flags & F_CONTENTLENGTH)
		m->length = (int64_t)parser->content_length;
	else if (parser->type == HTTP_REQUEST && !(parser->flags & F_CHUNKED))
		m->length = 0;
	if (!p->ops->on_head(p->arg, m))
		return -1;
	return p->no_body ? 1 : 0;
}

/* Gives bytes of the body to the user. */
static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct hps *p = parser->data;

	p->ops->on_body(p->arg, at, len);
	return 0;
}

/* Stops behind a whole message, but for interim responses. */
static int on_message(http_parser *parser)
{
	struct hps *p = parser->data;

	if (parser->type == HTTP_RESPONSE &&
	    parser->status_code <= STATUS_INTERIM_MAX)
		return 0;
	p->ended = true;
	p->inside = false;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

/* Makes a parser of requests or of responses. */
struct hps *hps_create(bool requests, const struct hps_ops *ops, void *arg)
{
	struct hps *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	http_parser_init(&p->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	p->parser.data = p;
	p->ops = ops;
	p->arg = arg;
	return p;
}

/* Frees the parser and its message. */
void hps_destroy(struct hps *p)
{
	if (!p)
		return;
	buf_free(&p->message.text);
	free(p);
}

/* Tells that the next response answers HEAD. */
void hps_expect_no_body(struct hps *p, bool no_body)
{
	p->no_body = no_body;
}

/* Parses until the bytes or the message end. */
enum hps_state hps_feed(struct hps *p, const char *bytes, size_t len,
			size_t *taken)
{
	*taken = 0;
	if (len == 0)
		return HPS_MORE;
	*taken = http_parser_execute(&p->parser, &settings, bytes, len);
	if (p->ended) {
		if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED)
			http_parser_pause(&p->parser, 0);
		return HPS_DONE;
	}
	if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK || p->parser.upgrade)
		return HPS_BROKEN;
	return HPS_MORE;
}

/* Ends a body that lasts as long as its connection. */
enum hps_state hps_end(struct hps *p)
{
	if (!p->inside)
		return HPS_BROKEN;
	http_parser_execute(&p->parser, &settings, NULL, 0);
	return p->ended ? HPS_DONE : HPS_BROKEN;
}

/* Prepares for the next message. */
void hps_next(struct hps *p)
{
	enum http_parser_type type = p->parser.type;

	http_parser_init(&p->parser, type);
	p->ended = false;
	p->inside = false;
	p->no_body = false;
}

/* True between the first byte and the end of a message. */
bool hps_is_inside(const struct hps *p)
{
	return p->inside;
}

/* Returns the message that is read. */
struct hmg *hps_message(struct hps *p)
{
	return &p->message;
}
