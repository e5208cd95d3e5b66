#include "websrv_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ctr.h"

/* Bytes per read; also the most body data that is kept while paused. */
#define READ_BYTES 16384

/* Consecutive reads (64 KiB) before other connections are served. */
#define READS_PER_TURN 4

static bool on_head(void *arg, struct httpmsg *m);
static void on_body(void *arg, const char *bytes, size_t len);

static const struct httpparse_ops parser_ops = { on_head, on_body };

/*
 * Creates a connection and adds it to the server's list. Returns NULL when out
 * of memory; the caller then still owns fd.
 */
struct websrv_conn *websrv_conn_add(struct websrv *h, int fd, const char *peer)
{
	struct websrv_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->parser = httpparse_create(true, &parser_ops, c);
	if (!c->parser) {
		free(c);
		return NULL;
	}
	c->server = h;
	c->fd = fd;
	c->progress_us = lwsloop_now_us(h->loop);
	strncpy(c->peer, peer, sizeof(c->peer) - 1);
	c->next = h->conns;
	if (c->next)
		c->next->prev = c;
	h->conns = c;
	h->conn_count++;
	return c;
}

/* Ends the request as incomplete, closes the connection and frees it. */
void websrv_conn_free(struct websrv_conn *c)
{
	struct websrv *h = c->server;

	if (c->lingering && tcplinger_unacked(c->fd) > 0)
		ctr_add(CTR_CLOSES_UNACKNOWLEDGED, 1);
	websrv_req_close(c, false);
	tmr_cancel(lwsloop_timers(h->loop), c->schedule_timer);
	tmr_cancel(lwsloop_timers(h->loop), c->linger_timer);
	if (c->next)
		c->next->prev = c->prev;
	if (c->prev)
		c->prev->next = c->next;
	else
		h->conns = c->next;
	h->conn_count--;
	close(c->fd);
	httpparse_destroy(c->parser);
	buf_free(&c->in);
	free(c);
}

/* Reports the end of the current request to the handler and frees it. */
void websrv_req_close(struct websrv_conn *c, bool complete)
{
	struct websrv_req *r = c->req;

	if (!r)
		return;
	c->req = NULL;
	c->progress_us = lwsloop_now_us(c->server->loop);
	if (!r->unreported) {
		c->server->req_count--;
		c->server->ops->closed(c->server->arg, r, complete);
	}
	websrv_head_free(r);
	websrv_out_free(r);
	buf_free(&r->paused_body);
	free(r);
}

/* Passes body data to the handler, or keeps it while the request is paused. */
static void deliver_body(struct websrv_req *r, const void *data, size_t len,
			 bool end)
{
	struct websrv *h = r->conn->server;

	if (r->body_done || r->paused_body_end || r->conn->aborted)
		return;
	if (r->content_length != 0 && !r->ended &&
	    (r->paused || buf_len(&r->paused_body))) {
		if (len && !buf_add(&r->paused_body, data, len))
			websrv_conn_abort(r->conn);
		r->paused_body_end = end;
		return;
	}
	r->body_done = end;
	if (!r->ended)
		h->ops->body(h->arg, r, data, len, end);
}

/* Passes the body data that was kept during a pause to the handler. */
static void deliver_paused_body(struct websrv_req *r)
{
	struct websrv *h = r->conn->server;
	struct buf paused_body = r->paused_body;

	memset(&r->paused_body, 0, sizeof(r->paused_body));
	r->body_done = r->paused_body_end;
	if (!r->ended)
		h->ops->body(h->arg, r, buf_data(&paused_body),
			     buf_len(&paused_body), r->body_done);
	buf_free(&paused_body);
}

/* Starts a new request; returns false if it is refused. */
static bool on_head(void *arg, struct httpmsg *m)
{
	struct websrv_conn *c = arg;
	struct websrv *h = c->server;
	struct websrv_req *r = calloc(1, sizeof(*r));
	struct span expect = httpmsg_find(m, "expect");

	if (!r) {
		websrv_conn_abort(c);
		return false;
	}
	c->used = true;
	c->req = r;
	r->conn = c;
	r->refuse_status = websrv_head_read(r, m);
	r->unreported = r->refuse_status != 0;
	if (r->unreported) {
		r->body_done = m->length == 0;
		return false;
	}
	/* A server that is shutting down accepts no further request. */
	if (h->listen_fd < 0)
		c->close_after = true;
	h->req_count++;
	if (span_is_nocase(expect, "100-continue"))
		websrv_out_queue(r, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	websrv_out_flush(c);
	h->ops->head(h->arg, r);
	return true;
}

/* Receives body data from the parser. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct websrv_conn *c = arg;

	if (c->req)
		deliver_body(c->req, bytes, len, false);
}

/*
 * Refuses malformed input. If it is in the body of a request that the handler
 * has, the connection is closed, as that request can never be completed.
 */
static void refuse_input(struct websrv_conn *c)
{
	struct websrv_req *r = c->req;

	c->broken = true;
	if (c->aborted)
		return;
	if (r && !r->unreported) {
		websrv_conn_abort(c);
		return;
	}
	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r) {
			websrv_conn_abort(c);
			return;
		}
		c->req = r;
		r->conn = c;
		r->unreported = true;
		r->method = "";
		r->refuse_status = 400;
	}
	websrv_refuse(r, r->refuse_status);
}

/* Parses input; bytes after the end of the request are kept for the next. */
static void parse_input(struct websrv_conn *c, const char *bytes, size_t len)
{
	size_t taken = 0;
	enum httpparse_state state;

	c->progress_us =
		c->req ? lwsloop_now_us(c->server->loop) : c->progress_us;
	state = httpparse_feed(c->parser, bytes, len, &taken);
	if (state == HTTPPARSE_ERROR) {
		refuse_input(c);
		return;
	}
	if (state == HTTPPARSE_INCOMPLETE)
		return;
	if (taken < len && !buf_add(&c->in, bytes + taken, len - taken))
		websrv_conn_abort(c);
	if (c->req)
		deliver_body(c->req, NULL, 0, true);
}

/* Returns whether input from the socket can be processed now. */
static bool wants_input(const struct websrv_conn *c)
{
	const struct websrv_req *r = c->req;

	if (c->aborted || c->finishing)
		return false;
	if (c->lingering)
		return true;
	if (c->broken)
		return false;
	return !r || (!r->body_done && !r->paused_body_end && !r->paused);
}

/* Parses the input kept from an earlier read. */
static void parse_kept(struct websrv_conn *c)
{
	struct buf kept = c->in;

	memset(&c->in, 0, sizeof(c->in));
	parse_input(c, buf_data(&kept), buf_len(&kept));
	buf_free(&kept);
}

/* Reads from the socket until it is empty or no more input is wanted. */
static void read_socket(struct websrv_conn *c)
{
	char bytes[READ_BYTES];
	ssize_t n;

	for (int i = 0; i < READS_PER_TURN && wants_input(c); i++) {
		n = recv(c->fd, bytes, sizeof(bytes), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			c->readable = errno == EINTR;
			return;
		}
		if (n <= 0) {
			websrv_conn_abort(c);
			return;
		}
		if (c->lingering)
			tcplinger_record_input(&c->linger,
					       lwsloop_now_us(c->server->loop));
		else
			parse_input(c, bytes, (size_t)n);
	}
	websrv_conn_schedule(c);
}

/* Processes all input that can be processed now. */
void websrv_conn_read(struct websrv_conn *c)
{
	struct websrv_req *r = c->req;

	if (r && !r->paused && !r->body_done && !c->aborted &&
	    (buf_len(&r->paused_body) || r->paused_body_end))
		deliver_paused_body(r);
	if (buf_len(&c->in) && !c->req && wants_input(c))
		parse_kept(c);
	if (c->readable)
		read_socket(c);
}

/* Does the work that is unsafe within a call of the handler or the parser. */
static void run_scheduled(void *arg, uint64_t now_us)
{
	struct websrv_conn *c = arg;

	(void)now_us;
	c->schedule_timer = 0;
	if (c->finishing)
		websrv_out_finish(c);
	if (c->aborted)
		websrv_conn_free(c);
	else
		websrv_conn_read(c);
}

/* Schedules pending work, if any, for the next iteration of the event loop. */
void websrv_conn_schedule(struct websrv_conn *c)
{
	struct lwsloop *l = c->server->loop;
	const struct websrv_req *r = c->req;
	bool has_paused_body = r && !r->paused && !r->body_done &&
			       (buf_len(&r->paused_body) || r->paused_body_end);

	if (c->schedule_timer)
		return;
	if (c->aborted || c->finishing || has_paused_body ||
	    (wants_input(c) && (c->readable || (!r && buf_len(&c->in)))))
		c->schedule_timer = tmr_at(lwsloop_timers(l), lwsloop_now_us(l),
					   run_scheduled, c);
}

/* Closes the connection in the next iteration of the event loop. */
void websrv_conn_abort(struct websrv_conn *c)
{
	c->aborted = true;
	websrv_conn_schedule(c);
}

/* Frees a connection that need not linger any more; else checks again later. */
static void check_linger(void *arg, uint64_t now_us)
{
	struct websrv_conn *c = arg;

	c->linger_timer = 0;
	if (!tcplinger_is_over(&c->linger, tcplinger_unacked(c->fd), now_us))
		c->linger_timer =
			tmr_at(lwsloop_timers(c->server->loop),
			       tcplinger_next_check_us(&c->linger, now_us),
			       check_linger, c);
	if (!c->linger_timer)
		websrv_conn_abort(c);
}

/*
 * Closes in stages, behind the last response. more_input: the caller may still
 * be sending the request.
 */
void websrv_conn_linger(struct websrv_conn *c, bool more_input)
{
	uint64_t now_us = lwsloop_now_us(c->server->loop);

	c->lingering = true;
	c->readable = true;
	buf_free(&c->in);
	shutdown(c->fd, SHUT_WR);
	tcplinger_begin(&c->linger, more_input, now_us);
	check_linger(c, now_us);
}

/* Sets the opaque pointer of the request handler. */
void websrv_set_user(struct websrv_req *r, void *user)
{
	r->user = user;
}

/* Returns the opaque pointer of the request handler. */
void *websrv_user(const struct websrv_req *r)
{
	return r->user;
}

/*
 * Pauses or resumes calls of body(). A paused request is not read from the
 * socket, so that TCP flow control stops the caller.
 */
void websrv_pause(struct websrv_req *r, bool paused)
{
	if (r->paused == paused)
		return;
	r->paused = paused;
	r->conn->progress_us = lwsloop_now_us(r->conn->server->loop);
	websrv_conn_schedule(r->conn);
}

/*
 * Closes the connection in the next iteration of the event loop. The caller
 * sees a response that has been started as truncated.
 */
void websrv_abort(struct websrv_req *r)
{
	websrv_conn_abort(r->conn);
}
