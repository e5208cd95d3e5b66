#include "per_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/uio.h>
#include <unistd.h>

#include "ctr.h"
#include "log.h"

/* Reads of one event, so that one fast peer does not hold up the loop. */
#define READS_MAX 16

/* Records handed to the system in one call. */
#define IOV_MAX_RECORDS 32

/* Hands a message to the side that it belongs to. */
static bool on_message(void *arg, const uint8_t *buf, size_t len)
{
	struct per_conn *c = arg;
	bool ok;

	if (c->broken)
		return false;
	ok = c->client ? per_take_reply(c, buf, len) :
			 per_take_call(c, buf, len);
	return ok && !c->broken;
}

/* Sets what holds for connections of both directions. */
static void set_options(int fd)
{
	unsigned int unacked = PER_UNACKED_MS;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		   sizeof(unacked));
}

/* Frees a connection that is in no list. */
static void free_conn(struct per_conn *c)
{
	while (c->out)
		per_conn_unqueue(c, c->out);
	rpc_stream_destroy(c->stream);
	free(c);
}

/* Makes a connection over a socket, which is closed if that fails. */
static struct per_conn *create_conn(struct per_lws *l, int fd, bool client,
				    const struct per_address *peer)
{
	struct per_conn *c = calloc(1, sizeof(*c));

	if (c)
		c->stream = rpc_stream_create(on_message, c);
	if (!c || !c->stream) {
		free(c);
		close(fd);
		return NULL;
	}
	c->owner = l;
	c->fd = fd;
	c->client = client;
	c->peer = *peer;
	c->active_us = lop_now_us(l->loop);
	set_options(fd);
	c->wsi = per_watch(l, fd, "per-conn", c);
	if (!c->wsi) {
		free_conn(c);
		return NULL;
	}
	DL_APPEND(l->conns, c);
	ctr_set(CTR_PEER_CONNECTIONS, ctr_get(CTR_PEER_CONNECTIONS) + 1);
	return c;
}

/* Counts the connection; more than the limit are closed at once. */
void per_conn_accept(struct per_lws *l, int fd, const struct per_address *peer)
{
	if (l->accepted >= PER_ACCEPTED_MAX) {
		close(fd);
		return;
	}
	if (create_conn(l, fd, false, peer))
		l->accepted++;
}

/* Takes the connection out of the map, so that the next call opens another. */
static void unmap(struct per_conn *c)
{
	struct per_conn *mapped;

	if (!c->client)
		return;
	HASH_FIND(hh, c->owner->clients, &c->peer, sizeof(c->peer), mapped);
	if (mapped == c)
		HASH_DEL(c->owner->clients, c);
}

/* Closes soon: libwebsockets may be in a callback of this connection now. */
void per_conn_break(struct per_conn *c)
{
	if (c->broken)
		return;
	c->broken = true;
	unmap(c);
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/* Gives an attempt to connect up. */
static void on_connect_timer(void *arg, uint64_t now_us)
{
	struct per_conn *c = arg;

	(void)now_us;
	c->connect_timer = 0;
	c->error = ETIMEDOUT;
	per_conn_break(c);
}

/* Starts an attempt to connect. */
static struct per_conn *open_client(struct per_lws *l,
				    const struct per_address *key,
				    enum per_failure *why)
{
	struct tmr *timers = lop_timers(l->loop);
	struct sockaddr_storage to;
	socklen_t len = per_resolve(key, &to);
	struct per_conn *c;
	int fd = len ? per_client_socket(l, &to) : -1;

	*why = PER_NOT_SENT;
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, len) != 0 &&
	    errno != EINPROGRESS) {
		if (errno == ECONNREFUSED)
			*why = PER_REFUSED;
		close(fd);
		return NULL;
	}
	c = create_conn(l, fd, true, key);
	if (!c)
		return NULL;
	c->connecting = true;
	c->connect_timer = tmr_at(timers, c->active_us + PER_CONNECT_US,
				  on_connect_timer, c);
	HASH_ADD(hh, l->clients, peer, sizeof(c->peer), c);
	lws_callback_on_writable(c->wsi);
	return c;
}

/* Finds the kept connection by the address. */
struct per_conn *per_conn_to(struct per_lws *l, const struct per_address *to,
			     enum per_failure *why)
{
	struct per_address key;
	struct per_conn *c;

	memset(&key, 0, sizeof(key));
	memcpy(key.ip, to->ip, strnlen(to->ip, sizeof(key.ip) - 1));
	key.port = to->port;
	HASH_FIND(hh, l->clients, &key, sizeof(key), c);
	return c ? c : open_client(l, &key, why);
}

/* Copies what has not left of a record into the queue. */
static bool enqueue(struct per_conn *c, const uint8_t *buf, size_t len,
		    struct per_waiting *call)
{
	struct per_out *o = malloc(sizeof(*o) + len);

	if (!o)
		return false;
	o->call = call;
	o->len = len;
	o->sent = 0;
	memcpy(o->bytes, buf, len);
	if (call)
		call->out = o;
	DL_APPEND(c->out, o);
	c->out_bytes += len;
	lws_callback_on_writable(c->wsi);
	return true;
}

/* Frees a record of the queue. */
void per_conn_unqueue(struct per_conn *c, struct per_out *out)
{
	DL_DELETE(c->out, out);
	c->out_bytes -= out->len;
	free(out);
}

/* Sends at once when nothing waits; what the system does not take is queued. */
bool per_conn_send(struct per_conn *c, size_t len, struct per_waiting *call)
{
	uint8_t *buf = c->owner->out;
	size_t total = RPC_RECORD_MARK_BYTES + len;
	ssize_t n = 0;

	if (c->broken)
		return false;
	rpc_write_record_mark(buf, len);
	c->active_us = lop_now_us(c->owner->loop);
	if (!c->connecting && !c->out) {
		n = send(c->fd, buf, total, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			per_conn_break(c);
			return false;
		}
		if (n < 0)
			n = 0;
		if ((size_t)n == total)
			return true;
	}
	if (enqueue(c, buf + n, total - (size_t)n, n ? NULL : call))
		return true;
	if (n)
		per_conn_break(c);
	return n > 0;
}

/* Takes sent bytes off the queue; a call whose first byte left is noted. */
static void take_sent(struct per_conn *c, size_t n)
{
	while (n && c->out) {
		struct per_out *o = c->out;
		size_t part = o->len - o->sent;

		if (part > n)
			part = n;
		if (o->call)
			o->call->out = NULL;
		o->call = NULL;
		o->sent += part;
		n -= part;
		if (o->sent == o->len)
			per_conn_unqueue(c, o);
	}
}

/* Asks for the next event in which the connection can be written to. */
static void on_write_timer(void *arg, uint64_t now_us)
{
	struct per_conn *c = arg;

	(void)now_us;
	c->write_timer = 0;
	lws_callback_on_writable(c->wsi);
}

/*
 * libwebsockets forgets a request made inside of a write event of a raw file,
 * as it takes the event back afterwards. The request is made after the event.
 */
static bool wait_writable(struct per_conn *c)
{
	struct lop *l = c->owner->loop;

	if (!c->write_timer)
		c->write_timer =
			tmr_at(lop_timers(l), lop_now_us(l), on_write_timer, c);
	return c->write_timer != 0;
}

/* Hands queued records to the system; returns -1 when the connection broke. */
static int flush_queue(struct per_conn *c)
{
	while (c->out) {
		struct iovec iov[IOV_MAX_RECORDS];
		struct msghdr msg = { .msg_iov = iov };
		struct per_out *o = c->out;
		ssize_t n;

		for (; o && msg.msg_iovlen < IOV_MAX_RECORDS; o = o->next) {
			iov[msg.msg_iovlen].iov_base = o->bytes + o->sent;
			iov[msg.msg_iovlen++].iov_len = o->len - o->sent;
		}
		n = sendmsg(c->fd, &msg, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return wait_writable(c) ? 0 : -1;
		if (n < 0)
			return -1;
		take_sent(c, (size_t)n);
		c->active_us = lop_now_us(c->owner->loop);
	}
	return 0;
}

/*
 * A connection attempt to a free port of the own machine can meet itself when
 * the system draws that port for its near end. Nothing listens there then.
 */
static bool is_own_end(int fd, const struct sockaddr_storage *far)
{
	struct sockaddr_storage near;
	socklen_t len = sizeof(near);

	memset(&near, 0, sizeof(near));
	if (getsockname(fd, (struct sockaddr *)&near, &len) != 0)
		return false;
	return memcmp(&near, far, len) == 0;
}

/* Returns 1 once the connection stands, 0 while it is open, -1 if it failed. */
static int check_connected(struct per_conn *c)
{
	struct sockaddr_storage far;
	socklen_t len = sizeof(c->error);

	if (!c->connecting)
		return 1;
	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &c->error, &len) != 0 ||
	    c->error)
		return -1;
	memset(&far, 0, sizeof(far));
	len = sizeof(far);
	if (getpeername(c->fd, (struct sockaddr *)&far, &len) != 0)
		return 0;
	if (is_own_end(c->fd, &far)) {
		c->error = ECONNREFUSED;
		return -1;
	}
	c->connecting = false;
	tmr_cancel(lop_timers(c->owner->loop), c->connect_timer);
	c->connect_timer = 0;
	return 1;
}

/* Stops reading from a peer that asks faster than it is answered. */
static bool pause_if_full(struct per_conn *c)
{
	if (c->client || (c->question_count < PER_QUESTIONS_MAX &&
			  c->out_bytes <= PER_REPLY_PAUSE))
		return false;
	c->paused = true;
	lws_rx_flow_control(c->wsi, 0);
	return true;
}

/* Reads again at half of the limits, so that it does not switch each time. */
void per_conn_resume(struct per_conn *c)
{
	if (!c->paused || c->question_count > PER_QUESTIONS_MAX / 2 ||
	    c->out_bytes > PER_REPLY_PAUSE / 2)
		return;
	c->paused = false;
	lws_rx_flow_control(c->wsi, 1);
}

/* Chooses how much to read at once. */
static size_t read_size(const struct per_conn *c)
{
	size_t wanted = rpc_stream_fragment_left(c->stream);

	if (wanted <= PER_READ_SMALL_BYTES)
		return PER_READ_SMALL_BYTES;
	return wanted < PER_READ_BYTES ? wanted : PER_READ_BYTES;
}

/* Reads what is there; returns -1 when the connection has to be closed. */
static int on_readable(struct per_conn *c)
{
	struct per_lws *l = c->owner;
	struct err err = { 0 };

	for (int i = 0; i < READS_MAX && !c->paused; i++) {
		size_t size = read_size(c);
		ssize_t n = recv(c->fd, l->in, size, 0);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR ? 0 : -1;
		if (n == 0)
			return -1;
		c->active_us = lop_now_us(l->loop);
		if (!rpc_stream_feed(c->stream, l->in, (size_t)n, &err)) {
			if (c->broken)
				return -1;
			ctr_add(CTR_PEER_MALFORMED, 1);
			log_emit(LOG_PEER_CONNECTION_ENDED,
				 "peer=%s port=%u reason=\"%s\"", c->peer.ip,
				 c->peer.port, err.text);
			return -1;
		}
		if (pause_if_full(c) || (size_t)n < size)
			return 0;
	}
	return 0;
}

/* Sends what waits and reads again if there is room for replies. */
static int on_writable(struct per_conn *c)
{
	if (flush_queue(c) != 0)
		return -1;
	per_conn_resume(c);
	return 0;
}

/* Ends what depends on the connection; libwebsockets closes the socket. */
static void on_closed(struct per_conn *c)
{
	struct per_lws *l = c->owner;
	socklen_t len = sizeof(c->error);

	if (c->connecting && !c->error)
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &c->error, &len);
	c->broken = true;
	unmap(c);
	DL_DELETE(l->conns, c);
	tmr_cancel(lop_timers(l->loop), c->connect_timer);
	tmr_cancel(lop_timers(l->loop), c->write_timer);
	if (!c->client)
		l->accepted--;
	ctr_set(CTR_PEER_CONNECTIONS, ctr_get(CTR_PEER_CONNECTIONS) - 1);
	per_calls_closed(c);
	per_questions_closed(c);
	free_conn(c);
}

/* Handles the events of a connection. */
int per_conn_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len)
{
	struct per_conn *c = lws_get_opaque_user_data(wsi);
	int ready;

	(void)user;
	(void)in;
	(void)len;
	if (!c)
		return 0;
	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
	case LWS_CALLBACK_RAW_WRITEABLE_FILE:
		ready = c->broken ? -1 : check_connected(c);
		if (ready <= 0)
			return ready;
		return reason == LWS_CALLBACK_RAW_RX_FILE ? on_readable(c) :
							    on_writable(c);
	case LWS_CALLBACK_RAW_CLOSE_FILE:
		lws_set_opaque_user_data(wsi, NULL);
		on_closed(c);
		return 0;
	default:
		return 0;
	}
}

/* Closes at once; the close event frees the connection. */
void per_conn_destroy(struct per_conn *c)
{
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

/* Tells whether nothing has happened on a connection for too long. */
static bool is_stale(const struct per_conn *c, uint64_t idle_us)
{
	if (rpc_stream_is_partial(c->stream) && !c->paused)
		return idle_us >= PER_PARTIAL_US;
	return c->client && !c->calls && !c->out && idle_us >= PER_IDLE_US;
}

/* Looks at each connection once. */
void per_conn_sweep(struct per_lws *l)
{
	uint64_t now_us = lop_now_us(l->loop);
	struct per_conn *next;
	struct per_conn *c;

	DL_FOREACH_SAFE(l->conns, c, next)
	{
		if (!c->connecting && is_stale(c, now_us - c->active_us))
			per_conn_break(c);
	}
}
