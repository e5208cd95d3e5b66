#include "httpsrv_int.h"

/* Parses the input as it is. */
static enum httpparse_state feed_plain(struct buf *in, struct httpconn *c)
{
	enum httpparse_state state;
	size_t consumed = 0;

	state = httpparse_feed(c->parser, buf_data(in), buf_len(in), &consumed);
	buf_consume(in, consumed < buf_len(in) ? consumed : buf_len(in));
	return state;
}

/* Decodes and parses a compressed head and what follows it. */
static enum httpparse_state feed_frame(struct httpclient *k, struct httpconn *c)
{
	struct buf *in = tcpsock_input(k->socket);
	const struct buf *head = headcodec_received(k->codec);
	enum httpparse_state state;
	size_t len, parsed = 0;

	switch (headcodec_decode(k->codec, buf_data(in), buf_len(in),
				 k->server->limits.head_bytes, &len)) {
	case HEADCODEC_INCOMPLETE:
		return HTTPPARSE_INCOMPLETE;
	case HEADCODEC_HEAD:
		buf_consume(in, len);
		state = httpparse_feed(c->parser, buf_data(head), buf_len(head),
				       &parsed);
		if (state == HTTPPARSE_INCOMPLETE && buf_len(in) > 0)
			return feed_plain(in, c);
		/* A frame holds no more than one message. */
		if (state != HTTPPARSE_DONE || parsed == buf_len(head))
			return state;
		break;
	case HEADCODEC_INVALID:
	default:
		break;
	}
	httpclient_close(k, false);
	return HTTPPARSE_ERROR;
}

/*
 * Parses input of a request. While compressed heads may be agreed on, a plain
 * head is parsed in one piece, as the next one then refers to it.
 */
enum httpparse_state httpclient_feed(struct httpclient *k, struct httpconn *c)
{
	struct buf *in = tcpsock_input(k->socket);
	size_t head_len;

	if (!k->server->compact || httpparse_in_message(c->parser))
		return feed_plain(in, c);
	if (k->heads == HTTPCLIENT_COMPACT &&
	    (uint8_t)*buf_data(in) == HEADCODEC_TAG)
		return feed_frame(k, c);
	head_len = headcodec_plain_len(buf_data(in), buf_len(in));
	if (head_len == 0 && buf_len(in) <= k->server->limits.head_bytes)
		return HTTPPARSE_INCOMPLETE;
	if (k->heads != HTTPCLIENT_COMPACT) {
		if (!k->codec)
			k->codec = headcodec_create();
		if (k->codec)
			headcodec_set_received(k->codec, buf_data(in),
					       head_len);
	}
	return feed_plain(in, c);
}

/* Notes the offer of a client to compress heads. */
void httpclient_read_offer(struct httpclient *k, const struct httpmsg *m)
{
	if (k->codec && k->heads == HTTPCLIENT_PLAIN &&
	    span_is(httpmsg_find(m, HEADCODEC_FIELD), "1"))
		k->heads = HTTPCLIENT_OFFERED;
}

/* Sends an interim response 100 (Continue), in one byte if heads are compact. */
void httpclient_send_continue(struct httpclient *k)
{
	static const char plain[] = "HTTP/1.1 100 Continue\r\n\r\n";
	static const uint8_t compact[] = { HEADCODEC_CONTINUE };

	if (k->heads == HTTPCLIENT_COMPACT)
		tcpsock_send(k->socket, compact, sizeof(compact));
	else
		tcpsock_send(k->socket, plain, sizeof(plain) - 1);
}

/* Sends the head of a response, compressed if both ends have agreed on it. */
void httpclient_send_head(struct httpclient *k, struct buf *head)
{
	struct buf *out = tcpsock_output(k->socket);
	bool accepts = k->heads == HTTPCLIENT_OFFERED;

	if (accepts)
		buf_add_text(head, HEADCODEC_FIELD ": 1\r\n");
	buf_add_text(head, "\r\n");
	if (k->heads == HTTPCLIENT_COMPACT &&
	    headcodec_encode(k->codec, buf_data(head), buf_len(head), out))
		return;
	buf_add(out, buf_data(head), buf_len(head));
	if (accepts) {
		headcodec_set_sent(k->codec, buf_data(head), buf_len(head));
		k->heads = HTTPCLIENT_COMPACT;
	}
}
