#include "htp_int.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Reports of the end of a body after which the connection is closed. */
#define BODY_ENDS_MAX 8

/* Adds a connection to the server's list. */
struct htp_conn *htp_conn_add(struct htp *h, const char *peer)
{
	struct htp_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->server = h;
	c->progress_us = lop_now_us(h->loop);
	strncpy(c->peer, peer, sizeof(c->peer) - 1);
	c->next = h->conns;
	if (c->next)
		c->next->prev = c;
	h->conns = c;
	h->conn_count++;
	return c;
}

/* Takes a connection out of the list, ending its request. */
void htp_conn_free(struct htp_conn *c)
{
	struct htp *h = c->server;

	tmr_cancel(lop_timers(h->loop), c->flow_timer);
	htp_req_close(c, false);
	if (c->next)
		c->next->prev = c->prev;
	if (c->prev)
		c->prev->next = c->next;
	else
		h->conns = c->next;
	h->conn_count--;
	free(c);
}

/* The callback of the connection must not be left by way of its closing. */
void htp_conn_kill(struct htp_conn *c)
{
	c->aborted = true;
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

/*
 * libwebsockets 4.1 does not read while a response is due, but goes on polling
 * for input: bytes or a hang-up then make the loop spin. So input is polled
 * for only where it is read; hang-ups are noticed by htp_watch.c.
 */
void htp_conn_flow(struct htp_conn *c)
{
	struct htp_req *r = c->req;
	bool read = !c->lingering &&
		    (!r || c->finishing ||
		     (!r->body_done && !r->early_end && !r->paused));

	if (read != c->held_back)
		return;
	c->held_back = !read;
	lws_rx_flow_control(c->wsi, read);
}

static void flow_due(void *arg, uint64_t now_us);

/*
 * The body callbacks of libwebsockets 4.1 are repeated without end when input
 * is held back from inside them, or from inside that of the head if the body
 * has been read with it.
 */
static void flow_later(struct htp_conn *c)
{
	struct lop *l = c->server->loop;

	if (!c->flow_timer && !c->req->ended)
		c->flow_timer =
			tmr_at(lop_timers(l), lop_now_us(l), flow_due, c);
}

/*
 * Keeps body bytes that libwebsockets has read before the pause took effect,
 * at most what it reads at once.
 */
static void keep_early(struct htp_req *r, const void *data, size_t len,
		       bool end)
{
	char *more = len ? realloc(r->early, r->early_len + len) : r->early;

	if (len && !more) {
		htp_conn_kill(r->conn);
		return;
	}
	r->early = more;
	if (len)
		memcpy(r->early + r->early_len, data, len);
	r->early_len += len;
	r->early_end = r->early_end || end;
	flow_later(r->conn);
}

/* Gives what was kept during a pause to the user. */
static void give_early(struct htp_req *r)
{
	struct htp *h = r->conn->server;
	char *data = r->early;
	size_t len = r->early_len;

	r->early = NULL;
	r->early_len = 0;
	r->body_done = r->early_end;
	if (!r->ended && !r->conn->aborted)
		h->ops->body(h->arg, r, data, len, r->body_done);
	free(data);
}

/* Does what must not be done inside a callback of libwebsockets. */
static void flow_due(void *arg, uint64_t now_us)
{
	struct htp_conn *c = arg;
	struct htp_req *r = c->req;

	(void)now_us;
	c->flow_timer = 0;
	if (r && !r->paused && !r->body_done && (r->early_len || r->early_end))
		give_early(r);
	htp_conn_flow(c);
}

/* Tells the user that the request is over and frees it. */
void htp_req_close(struct htp_conn *c, bool complete)
{
	struct htp_req *r = c->req;

	if (!r)
		return;
	c->req = NULL;
	c->progress_us = lop_now_us(c->server->loop);
	if (!r->hidden) {
		c->server->req_count--;
		c->server->ops->closed(c->server->arg, r, complete);
	}
	htp_head_free(r);
	htp_out_free(r);
	free(r->early);
	free(r);
}

/* Gives body bytes to the user unless the response is already complete. */
static void give_body(struct htp_req *r, const void *data, size_t len, bool end)
{
	struct htp *h = r->conn->server;

	if (r->body_done || r->early_end || r->conn->aborted)
		return;
	if (r->content_length != 0 && !r->ended &&
	    (r->paused || r->early_len)) {
		keep_early(r, data, len, end);
		return;
	}
	r->body_done = end;
	if (!r->ended)
		h->ops->body(h->arg, r, data, len, end);
	if (end)
		flow_later(r->conn);
}

/* Takes a new request. */
static int on_head(struct htp_conn *c)
{
	struct htp *h = c->server;
	struct htp_req *r = calloc(1, sizeof(*r));
	const char *expect;
	int status;

	if (!r)
		return -1;
	c->used = true;
	c->req = r;
	r->conn = c;
	status = htp_head_read(r);
	if (status) {
		r->hidden = true;
		r->body_done = !htp_header(r, "content-length") &&
			       !htp_header(r, "transfer-encoding");
		r->paused = true;
		htp_conn_flow(c);
		htp_refuse(r, status);
		return 0;
	}
	/* A server that stops lets no further request follow. */
	if (h->listen_fd < 0)
		c->close_after = true;
	h->req_count++;
	expect = htp_header(r, "expect");
	if (expect && strcasecmp(expect, "100-continue") == 0)
		htp_out_queue(r, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	htp_out_flush(c);
	h->ops->head(h->arg, r);
	if (r->content_length == 0)
		give_body(r, NULL, 0, true);
	return c->aborted || c->hung_up ? -1 : 0;
}

/* Takes bytes of a chunked body. */
static int on_chunks(struct htp_conn *c, const char *in, size_t len)
{
	struct htp_req *r = c->req;
	const char *data;
	size_t data_len;

	while (len > 0 && !r->body_done) {
		size_t used = chk_feed(&r->chunks, in, len, &data, &data_len);

		in += used;
		len -= used;
		if (r->chunks.state == CHK_BAD)
			return -1;
		if (data_len > 0)
			give_body(r, data, data_len, false);
		if (r->chunks.state == CHK_DONE)
			give_body(r, NULL, 0, true);
		if (c->aborted)
			return -1;
	}
	return 0;
}

/* Takes bytes of the body. */
static int on_body(struct htp_conn *c, const void *in, size_t len)
{
	struct htp_req *r = c->req;

	if (!r)
		return 0;
	c->progress_us = lop_now_us(c->server->loop);
	if (r->content_length == HTP_LENGTH_UNKNOWN)
		return on_chunks(c, in, len);
	if (len > 0)
		give_body(r, in, len, false);
	return c->aborted ? -1 : 0;
}

/*
 * The declared length has arrived. libwebsockets 4.1 says so twice for a body
 * in two pieces, and without end when another request with a body waits behind
 * this one; closing the connection is the only way out of that loop.
 */
static int on_body_end(struct htp_conn *c)
{
	if (!c->req || ++c->req->body_ends > BODY_ENDS_MAX)
		return -1;
	if (c->req->content_length > 0)
		give_body(c->req, NULL, 0, true);
	return c->aborted ? -1 : 0;
}

/* Handles an event of a connection. */
static int conn_event(struct htp_conn *c, enum lws_callback_reasons reason,
		      void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_HTTP:
		lws_set_timeout(c->wsi, NO_PENDING_TIMEOUT, 0);
		return on_head(c);
	case LWS_CALLBACK_HTTP_BODY:
		return on_body(c, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		return on_body_end(c);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return c->finishing ? htp_out_finish(c) : 0;
	case LWS_CALLBACK_CLOSED_HTTP:
		htp_req_close(c, false);
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		lws_set_opaque_user_data(c->wsi, NULL);
		htp_conn_free(c);
		return 0;
	default:
		return 0;
	}
}

/* Marks the time in which input must not be held back. */
static int guarded_event(struct htp_conn *c, enum lws_callback_reasons reason,
			 void *in, size_t len)
{
	int result;

	if (reason == LWS_CALLBACK_WSI_DESTROY)
		return conn_event(c, reason, in, len);
	c->in_event = true;
	result = conn_event(c, reason, in, len);
	c->in_event = false;
	return result;
}

/* Connections without a record belong to a server that is gone. */
static int htp_callback(struct lws *wsi, enum lws_callback_reasons reason,
			void *user, void *in, size_t len)
{
	struct htp_conn *c;

	(void)user;
	/* No other protocol is spoken on this port, above all not HTTP/2. */
	if (reason == LWS_CALLBACK_HTTP_CONFIRM_UPGRADE)
		return -1;
	switch (reason) {
	case LWS_CALLBACK_HTTP:
	case LWS_CALLBACK_HTTP_BODY:
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
	case LWS_CALLBACK_HTTP_WRITEABLE:
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		c = lws_get_opaque_user_data(wsi);
		return c ? guarded_event(c, reason, in, len) : 0;
	default:
		return 0;
	}
}

const struct lws_protocols htp_protocols[] = {
	{ "http", htp_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Sets the pointer of the user. */
void htp_set_user(struct htp_req *r, void *user)
{
	r->user = user;
}

/* Returns the pointer of the user. */
void *htp_user(const struct htp_req *r)
{
	return r->user;
}

/* Stops reading from the socket, so that TCP holds the caller back. */
void htp_pause(struct htp_req *r, bool paused)
{
	if (r->paused == paused)
		return;
	r->paused = paused;
	r->conn->progress_us = lop_now_us(r->conn->server->loop);
	if (r->conn->in_event || r->early_len || r->early_end)
		flow_later(r->conn);
	else
		htp_conn_flow(r->conn);
}

/* Closes the connection in the next step of the loop. */
void htp_abort(struct htp_req *r)
{
	htp_conn_kill(r->conn);
}
