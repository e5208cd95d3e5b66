#include "httpsrv_int.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "log.h"

/* Bytes for the size line of a chunk: hexadecimal digits, CRLF and NUL. */
#define CHUNK_LINE_MAX 24
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
/* Log lines are written for responses that waited at least this long. */
#define HELD_LOGGED_US (100 * US_PER_MS)

static const char last_chunk[] = "0\r\n\r\n";

/* Gives the response priority over other long responses. */
void httpconn_set_urgent(struct httpconn *c)
{
	c->urgent = true;
}

void httpconn_set_expendable(struct httpconn *c)
{
	c->expendable = true;
}

/* Names the request in log lines. */
void httpconn_set_id(struct httpconn *c, const char *id)
{
	buf_free(&c->id);
	buf_add(&c->id, id, strlen(id) + 1);
}

/* All bytes queued so far of a paced response have been sent. */
static void on_paced(void *arg)
{
	struct httpclient *k = arg;

	k->drained = true;
	httpclient_run(k);
}

/* Queues bytes of a long response with the pacer, or buffers a short one. */
static void send_part(struct httpconn *c, const void *bytes, size_t len)
{
	struct httpclient *k = c->client;
	struct pacer *link = k->server->link;

	c->sent += (int64_t)len;
	/* With unknown length, pacing starts once enough has been written. */
	if (link && !k->paced.owner && pacer_is_long(link, c->sent))
		pacer_begin(link, &k->paced, k->socket, -1, c->urgent, on_paced,
			    k);
	if (k->paced.owner) {
		pacer_add(&k->paced, bytes, len);
		return;
	}
	buf_add(tcpsock_output(k->socket), bytes, len);
	if (link)
		pacer_charge(link, len);
}

/* Sends a part of the body, or keeps it until the turn of the response. */
static void add_part(struct httpconn *c, const void *bytes, size_t len)
{
	if (c->open) {
		send_part(c, bytes, len);
		return;
	}
	buf_add(&c->held, bytes, len);
	pipeline_hold(c->client->order, c->place, len);
}

/* True if the close of the connection marks the end of the body. */
static bool ends_by_close(const struct httpconn *c)
{
	return c->length < 0 && !c->chunked && !c->no_body && !c->head_only;
}

/*
 * Writes the head, whose fields are final once the response has its turn. Until
 * a body that ends by the close is complete, any other end of the connection is
 * a reset.
 */
static void open_response(struct httpconn *c)
{
	struct httpclient *k = c->client;
	struct pacer *link = k->server->link;

	c->open = true;
	if (ends_by_close(c))
		tcpsock_reset_on_close(k->socket);
	if (c->close_after) {
		buf_add_text(&c->head, "Connection: close\r\n");
		pipeline_set_last(k->order, c->place);
	}
	httpclient_send_head(k, &c->head);
	c->sent = 0;
	if (link && !c->head_only && !c->no_body && c->length >= 0 &&
	    pacer_is_long(link, c->length))
		pacer_begin(link, &k->paced, k->socket, c->length, c->urgent,
			    on_paced, k);
	else if (link)
		pacer_charge(link, buf_len(&c->head));
	buf_free(&c->head);
}

/* Sends the end of an open response. */
static void send_end(struct httpconn *c)
{
	struct httpclient *k = c->client;

	tcpsock_flush(k->socket);
	if (!k->paced.owner) {
		if (c->chunked)
			tcpsock_send(k->socket, last_chunk, strlen(last_chunk));
		return;
	}
	pacer_end(&k->paced);
	if (c->chunked)
		pacer_add(&k->paced, last_chunk, strlen(last_chunk));
}

/* Logs a response that was complete long before its turn. */
static void log_held(const struct httpconn *c)
{
	uint64_t now = evloop_now_us(c->client->server->loop);

	if (c->phase == HTTPCONN_ENDED && buf_len(&c->id) > 0 &&
	    now - c->ended_us >= HELD_LOGGED_US)
		log_emit(LOG_RESPONSE_HELD, "request=%s held_us=%llu",
			 buf_data(&c->id),
			 (unsigned long long)(now - c->ended_us));
}

/*
 * Sends what is known of a response whose turn it is. True if it is complete
 * and has been passed to the socket.
 */
bool httpconn_send_held(struct httpconn *c)
{
	struct httpclient *k = c->client;

	if (!c->open) {
		log_held(c);
		open_response(c);
		if (buf_len(&c->held) > 0)
			send_part(c, buf_data(&c->held), buf_len(&c->held));
		buf_free(&c->held);
		tcpsock_flush(k->socket);
		if (c->phase == HTTPCONN_ENDED)
			send_end(c);
		/* A user that was told to pause goes on. */
		else if (buf_len(tcpsock_output(k->socket)) == 0)
			k->drained = k->run_again = true;
	}
	if (c->phase != HTTPCONN_ENDED)
		return false;
	if (!k->paced.owner)
		return true;
	if (!k->paced.ended || buf_len(&k->paced.queue) > 0)
		return false;
	pacer_cancel(&k->paced);
	return true;
}

/* Begins a response; closes later if only a close can mark the body's end. */
void httpconn_begin(struct httpconn *c, uint16_t status, const char *fields,
		    size_t fields_len, int64_t length)
{
	struct httpclient *k = c->client;

	if (k->closed)
		return;
	c->begun = true;
	c->length = length;
	c->no_body =
		status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
	c->chunked = length < 0 && !c->no_body && !c->head_only &&
		     httpparse_message(c->parser)->minor > 0;
	if (length < 0 && !c->chunked && !c->no_body)
		c->close_after = true;
	buf_printf(&c->head, "HTTP/1.1 %u %s\r\n", status,
		   httpmsg_reason_phrase(status));
	buf_add(&c->head, fields, fields_len);
	if (c->chunked)
		buf_add_text(&c->head, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0 && !c->no_body)
		buf_printf(&c->head, "Content-Length: %lld\r\n",
			   (long long)length);
	if (pipeline_is_first(k->order, c->place))
		open_response(c);
}

/* Sends a part of the body, as one chunk if the response is chunked. */
void httpconn_write(struct httpconn *c, const void *bytes, size_t len)
{
	struct httpclient *k = c->client;
	char size[CHUNK_LINE_MAX];

	if (k->closed || len == 0 || c->head_only)
		return;
	if (c->chunked)
		add_part(c, size,
			 (size_t)snprintf(size, sizeof(size), "%zx\r\n", len));
	add_part(c, bytes, len);
	if (c->chunked)
		add_part(c, "\r\n", 2);
	if (c->open && !k->paced.owner)
		tcpsock_flush(k->socket);
}

/* Completes the response. The request must not be used any more. */
void httpconn_end(struct httpconn *c)
{
	struct httpclient *k = c->client;
	bool running = k->running;

	c->request = NULL;
	c->phase = HTTPCONN_ENDED;
	if (k->closed)
		return;
	c->ended_us = evloop_now_us(k->server->loop);
	/* Callbacks of the pacer must not free the connection here. */
	k->running = true;
	if (c->open)
		send_end(c);
	else if (c->chunked)
		add_part(c, last_chunk, strlen(last_chunk));
	k->running = running;
	httpclient_run(k);
}

/*
 * Closes the connection, so that the body is shorter than announced. Nothing of
 * a response that waits has been sent: it is replaced, and the others go on.
 */
void httpconn_abort(struct httpconn *c)
{
	struct httpclient *k = c->client;

	c->request = NULL;
	if (k->closed) {
		c->phase = HTTPCONN_ENDED;
	} else if (pipeline_is_first(k->order, c->place)) {
		c->phase = HTTPCONN_ENDED;
		httpclient_close(k, false);
	} else {
		buf_free(&c->head);
		buf_free(&c->held);
		httpconn_reply(c, STATUS_BAD_GATEWAY, "", "", 0);
	}
}

/* Sends a complete response with a body of len bytes. */
void httpconn_reply(struct httpconn *c, uint16_t status, const char *fields,
		    const char *body, size_t len)
{
	if (!c->client->closed) {
		httpconn_begin(c, status, fields, strlen(fields), (int64_t)len);
		if (!c->head_only && len > 0)
			add_part(c, body, len);
		c->chunked = false;
	}
	httpconn_end(c);
}

/*
 * Rejects a malformed or oversized request, or one that there is no memory for,
 * and closes the connection.
 */
void httpconn_reject(struct httpconn *c, uint16_t status)
{
	const struct httpsrv *s = c->client->server;
	struct buf fields = { 0 };

	if (status == STATUS_UNAVAILABLE && s->write_refusal)
		s->write_refusal(s->arg, &fields);
	c->close_after = true;
	buf_add(&fields, "", 1);
	httpconn_reply(c, status, buf_len(&fields) ? buf_data(&fields) : "", "",
		       0);
	buf_free(&fields);
}

size_t httpconn_unsent_bytes(struct httpconn *c)
{
	struct httpclient *k = c->client;

	if (k->closed)
		return 0;
	if (c->open)
		return buf_len(tcpsock_output(k->socket)) +
		       buf_len(&k->paced.queue);
	return pipeline_is_over_budget(k->order) ? SIZE_MAX : buf_len(&c->held);
}

/* True if the client has closed the connection. */
bool httpconn_client_has_left(const struct httpconn *c)
{
	return c->client->closed || tcpsock_peer_has_closed(c->client->socket);
}

bool httpconn_body_is_discarded(const struct httpconn *c)
{
	return c->discarded > 0;
}

/* Returns the arrival of the first byte of the request, monotonic time. */
uint64_t httpconn_start_us(const struct httpconn *c)
{
	return c->start_us;
}

/* Returns how many unanswered requests are before this one. */
uint32_t httpconn_earlier_count(const struct httpconn *c)
{
	return pipeline_earlier_count(c->client->order, c->place);
}
