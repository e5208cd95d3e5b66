#include "httppool_int.h"

#define STATUS_CONTINUE 100
/* A longer body is sent as it is; the compressor refers no further back. */
#define PACKED_MAX_BYTES 4096

/* Counts the bytes of the request that the kernel has accepted. */
void httpcall_count_sent(struct httpcall *x)
{
	size_t unsent = buf_len(tcpsock_output(x->socket));
	size_t body = x->uncounted_body;
	size_t head = x->uncounted_head;
	size_t body_unsent = unsent < body ? unsent : body;

	unsent -= body_unsent;
	body -= body_unsent;
	head -= unsent < head ? unsent : head;
	x->uncounted_body -= body;
	x->uncounted_head -= head;
	if (!x->counters)
		return;
	ctr_add(x->counters->request_heads, head);
	ctr_add(x->counters->request_bodies, body);
}

/* Counts and logs how the response ended. */
void httpcall_record_end(const struct httpcall *x, enum httpend how)
{
	struct httpend_details d = {
		.server = (const struct sockaddr *)&x->pool->address,
		.server_len = sizeof(x->pool->address),
		.status = x->reported_head ?
				  httpparse_message(x->parser)->status :
				  0,
		.received = x->body_total,
		.unsent = buf_len(tcpsock_output(x->socket)) + x->body_len,
		.send_error = tcpsock_send_error(x->socket),
	};

	httpend_record(how, &d);
}

/* Counts bytes of the response that have been parsed. */
void httpcall_count_received(struct httpcall *x, size_t len)
{
	size_t body = x->body_received < len ? x->body_received : len;

	x->body_received = 0;
	if (!x->counters)
		return;
	if (x->refusal) {
		ctr_add(x->counters->refusals, len);
		return;
	}
	ctr_add(x->counters->response_bodies, body);
	ctr_add(x->counters->response_heads, len - body);
}

/* Decodes and parses a compressed head at the start of the input. */
static enum httpparse_state feed_frame(struct httpcall *x, size_t *consumed)
{
	struct buf *in = tcpsock_input(x->socket);
	const struct buf *head = headcodec_received(x->codec);
	enum httpparse_state state;
	size_t parsed;

	switch (headcodec_decode(x->codec, buf_data(in), buf_len(in),
				 HTTPMSG_HEAD_BYTES, consumed)) {
	case HEADCODEC_INCOMPLETE:
		return HTTPPARSE_INCOMPLETE;
	case HEADCODEC_HEAD:
		state = httpparse_feed(x->parser, buf_data(head), buf_len(head),
				       &parsed);
		if (parsed == buf_len(head))
			return state;
		/* fallthrough */
	case HEADCODEC_INVALID:
	default:
		return HTTPPARSE_ERROR;
	}
}

/*
 * Parses the input; *consumed is 0 if more of it is needed. The plain head of a
 * response is parsed in one piece while compressed ones may be agreed on, as
 * the next one then refers to it.
 */
enum httpparse_state httpcall_feed(struct httpcall *x, size_t *consumed)
{
	struct buf *in = tcpsock_input(x->socket);
	enum httpparse_state state;
	size_t head_len;

	*consumed = 0;
	if (x->compact && !httpparse_in_message(x->parser) &&
	    (uint8_t)*buf_data(in) == HEADCODEC_CONTINUE) {
		*consumed = 1;
		x->continued = true;
		return HTTPPARSE_INTERIM;
	}
	if (x->codec && !httpparse_in_message(x->parser)) {
		if (x->compact && (uint8_t)*buf_data(in) == HEADCODEC_TAG)
			return feed_frame(x, consumed);
		head_len = headcodec_plain_len(buf_data(in), buf_len(in));
		if (head_len == 0 && buf_len(in) <= HTTPMSG_HEAD_BYTES)
			return HTTPPARSE_INCOMPLETE;
		if (!x->compact)
			headcodec_set_received(x->codec, buf_data(in),
					       head_len);
	}
	state = httpparse_feed(x->parser, buf_data(in), buf_len(in), consumed);
	if (state == HTTPPARSE_INTERIM &&
	    httpparse_message(x->parser)->status == STATUS_CONTINUE)
		x->continued = true;
	return state;
}

/* Appends head and body of a short message in one frame to the output. */
size_t httpcall_write_packed(struct httpcall *x,
			     const struct httpcall_request *r)
{
	struct buf *out = tcpsock_output(x->socket);
	struct buf text = { 0 };

	if (!x->compact || !r->pack_body || r->body_len == 0 ||
	    r->body_len > PACKED_MAX_BYTES)
		return 0;
	if (buf_add(&text, buf_data(r->head), buf_len(r->head)) &&
	    buf_add(&text, r->body, r->body_len))
		headcodec_encode(x->codec, buf_data(&text), buf_len(&text),
				 out);
	buf_free(&text);
	return buf_len(out);
}

/*
 * Appends the head of the request to the output: compressed, or as plain text
 * that offers compressed heads. Returns its length.
 */
size_t httpcall_write_head(struct httpcall *x, const struct buf *head)
{
	static const char offer[] = HEADCODEC_FIELD ": 1\r\n\r\n";
	struct buf *out = tcpsock_output(x->socket);
	size_t len = buf_len(head);

	if (x->compact && headcodec_encode(x->codec, buf_data(head), len, out))
		return buf_len(out);
	if (!x->codec || x->compact ||
	    headcodec_plain_len(buf_data(head), len) != len) {
		buf_add(out, buf_data(head), len);
		return buf_len(out);
	}
	/* The offer replaces the empty line. */
	buf_add(out, buf_data(head), len - 2);
	buf_add_text(out, offer);
	headcodec_set_sent(x->codec, buf_data(out), buf_len(out));
	return buf_len(out);
}
