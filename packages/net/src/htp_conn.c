#include "htp_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes that are read at once; as many of a paused body are kept at most. */
#define READ_MAX 16384

/* Reads in a row, 64 KiB, before the other connections get their turn. */
#define READS_MAX 4

static bool on_head(void *arg, struct httpmsg *m);
static void on_body(void *arg, const char *bytes, size_t len);

static const struct httpparse_ops parser_ops = { on_head, on_body };

/* Adds a connection to the server's list; fd stays with the caller on failure. */
struct htp_conn *htp_conn_add(struct htp *h, int fd, const char *peer)
{
	struct htp_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->parser = httpparse_create(true, &parser_ops, c);
	if (!c->parser) {
		free(c);
		return NULL;
	}
	c->server = h;
	c->fd = fd;
	c->progress_us = lop_now_us(h->loop);
	strncpy(c->peer, peer, sizeof(c->peer) - 1);
	c->next = h->conns;
	if (c->next)
		c->next->prev = c;
	h->conns = c;
	h->conn_count++;
	return c;
}

/* Ends the request of a connection, closes it and takes it out of the list. */
void htp_conn_free(struct htp_conn *c)
{
	struct htp *h = c->server;

	htp_req_close(c, false);
	tmr_cancel(lop_timers(h->loop), c->due);
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
	buf_free(&r->early);
	free(r);
}

/* Gives body bytes to the user, or keeps those that come in a pause. */
static void give_body(struct htp_req *r, const void *data, size_t len, bool end)
{
	struct htp *h = r->conn->server;

	if (r->body_done || r->early_end || r->conn->aborted)
		return;
	if (r->content_length != 0 && !r->ended &&
	    (r->paused || buf_len(&r->early))) {
		if (len && !buf_add(&r->early, data, len))
			htp_conn_kill(r->conn);
		r->early_end = end;
		return;
	}
	r->body_done = end;
	if (!r->ended)
		h->ops->body(h->arg, r, data, len, end);
}

/* Gives what was kept during a pause to the user. */
static void give_early(struct htp_req *r)
{
	struct htp *h = r->conn->server;
	struct buf early = r->early;

	memset(&r->early, 0, sizeof(r->early));
	r->body_done = r->early_end;
	if (!r->ended)
		h->ops->body(h->arg, r, buf_data(&early), buf_len(&early),
			     r->body_done);
	buf_free(&early);
}

/* Takes a new request; false if it is refused. */
static bool on_head(void *arg, struct httpmsg *m)
{
	struct htp_conn *c = arg;
	struct htp *h = c->server;
	struct htp_req *r = calloc(1, sizeof(*r));
	struct span expect = httpmsg_find(m, "expect");

	if (!r) {
		htp_conn_kill(c);
		return false;
	}
	c->used = true;
	c->req = r;
	r->conn = c;
	r->refused = htp_head_read(r, m);
	r->hidden = r->refused != 0;
	if (r->hidden) {
		r->body_done = m->length == 0;
		return false;
	}
	/* A server that stops lets no further request follow. */
	if (h->listen_fd < 0)
		c->close_after = true;
	h->req_count++;
	if (span_is_nocase(expect, "100-continue"))
		htp_out_queue(r, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	htp_out_flush(c);
	h->ops->head(h->arg, r);
	return true;
}

/* Takes a piece of the body. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	struct htp_conn *c = arg;

	if (c->req)
		give_body(c->req, bytes, len, false);
}

/*
 * Answers bytes that are no request. Within the body of a request that the user
 * has, the connection is closed, as the request can never be whole.
 */
static void refuse_input(struct htp_conn *c)
{
	struct htp_req *r = c->req;

	c->broken = true;
	if (c->aborted)
		return;
	if (r && !r->hidden) {
		htp_conn_kill(c);
		return;
	}
	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r) {
			htp_conn_kill(c);
			return;
		}
		c->req = r;
		r->conn = c;
		r->hidden = true;
		r->method = "";
		r->refused = 400;
	}
	htp_refuse(r, r->refused);
}

/* Parses bytes; what is behind the end of the request is kept for later. */
static void feed(struct htp_conn *c, const char *bytes, size_t len)
{
	size_t taken = 0;
	enum httpparse_state state;

	c->progress_us = c->req ? lop_now_us(c->server->loop) : c->progress_us;
	state = httpparse_feed(c->parser, bytes, len, &taken);
	if (state == HTTPPARSE_ERROR) {
		refuse_input(c);
		return;
	}
	if (state == HTTPPARSE_INCOMPLETE)
		return;
	if (taken < len && !buf_add(&c->in, bytes + taken, len - taken))
		htp_conn_kill(c);
	if (c->req)
		give_body(c->req, NULL, 0, true);
}

/* Tells whether bytes from the socket have a use now. */
static bool wants_input(const struct htp_conn *c)
{
	const struct htp_req *r = c->req;

	if (c->aborted || c->finishing)
		return false;
	if (c->lingering)
		return true;
	if (c->broken)
		return false;
	return !r || (!r->body_done && !r->early_end && !r->paused);
}

/* Parses what waits in memory. */
static void feed_kept(struct htp_conn *c)
{
	struct buf kept = c->in;

	memset(&c->in, 0, sizeof(c->in));
	feed(c, buf_data(&kept), buf_len(&kept));
	buf_free(&kept);
}

/* Reads from the socket as long as it has bytes that are wanted. */
static void read_socket(struct htp_conn *c)
{
	char bytes[READ_MAX];
	ssize_t n;

	for (int i = 0; i < READS_MAX && wants_input(c); i++) {
		n = recv(c->fd, bytes, sizeof(bytes), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			c->readable = errno == EINTR;
			return;
		}
		if (n <= 0) {
			htp_conn_kill(c);
			return;
		}
		if (!c->lingering)
			feed(c, bytes, (size_t)n);
	}
	htp_conn_wake(c);
}

/* Takes all input that is wanted now. */
void htp_conn_read(struct htp_conn *c)
{
	struct htp_req *r = c->req;

	if (r && !r->paused && !r->body_done && !c->aborted &&
	    (buf_len(&r->early) || r->early_end))
		give_early(r);
	if (buf_len(&c->in) && !c->req && wants_input(c))
		feed_kept(c);
	if (c->readable)
		read_socket(c);
}

/* Does what must not be done inside a call of the user or of the parser. */
static void conn_due(void *arg, uint64_t now_us)
{
	struct htp_conn *c = arg;

	(void)now_us;
	c->due = 0;
	if (c->finishing)
		htp_out_finish(c);
	if (c->aborted)
		htp_conn_free(c);
	else
		htp_conn_read(c);
}

/* Goes on with a connection in the next step of the loop. */
void htp_conn_wake(struct htp_conn *c)
{
	struct lop *l = c->server->loop;
	const struct htp_req *r = c->req;
	bool early = r && !r->paused && !r->body_done &&
		     (buf_len(&r->early) || r->early_end);

	if (c->due)
		return;
	if (c->aborted || c->finishing || early ||
	    (wants_input(c) && (c->readable || (!r && buf_len(&c->in)))))
		c->due = tmr_at(lop_timers(l), lop_now_us(l), conn_due, c);
}

/* Closes a connection in the next step of the loop. */
void htp_conn_kill(struct htp_conn *c)
{
	c->aborted = true;
	htp_conn_wake(c);
}

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
	htp_conn_wake(r->conn);
}

/* Closes the connection in the next step of the loop. */
void htp_abort(struct htp_req *r)
{
	htp_conn_kill(r->conn);
}
