#include "peerrpc_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/uio.h>
#include <unistd.h>

#include "ctr.h"
#include "log.h"

/* Reads per event, so that a fast peer does not block the event loop. */
#define READS_PER_EVENT 16

/* Records per call of sendmsg(). */
#define RECORDS_PER_SEND 32

/* Dispatches a message: replies on client connections, calls on others. */
static bool on_message(void *arg, const uint8_t *buf, size_t len)
{
	struct peerrpc_conn *c = arg;
	bool ok;

	if (c->broken)
		return false;
	ok = c->client ? peerrpc_handle_reply(c, buf, len) :
			 peerrpc_handle_call(c, buf, len);
	return ok && !c->broken;
}

/* Sets the socket options of all connections. */
static void set_options(int fd)
{
	unsigned int unacked = PEERRPC_UNACKED_TIMEOUT_MS;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		   sizeof(unacked));
}

/* Frees a connection that is not in the list. */
static void free_conn(struct peerrpc_conn *c)
{
	while (c->out)
		peerrpc_conn_unqueue(c, c->out);
	rpc_stream_destroy(c->stream);
	free(c);
}

/* Creates a connection for a socket, which is closed on failure. */
static struct peerrpc_conn *create_conn(struct peerrpc_lws *l, int fd,
					bool client,
					const struct peerrpc_address *peer)
{
	struct peerrpc_conn *c = calloc(1, sizeof(*c));

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
	c->active_us = lwsloop_now_us(l->loop);
	set_options(fd);
	c->wsi = peerrpc_add_descriptor(l, fd, "per-conn", c);
	if (!c->wsi) {
		free_conn(c);
		return NULL;
	}
	DL_APPEND(l->conns, c);
	ctr_set(CTR_PEER_CONNECTIONS, ctr_get(CTR_PEER_CONNECTIONS) + 1);
	return c;
}

/* Adds an accepted socket; it is closed on failure or above the limit. */
void peerrpc_conn_accept(struct peerrpc_lws *l, int fd,
			 const struct peerrpc_address *peer)
{
	if (l->accepted >= PEERRPC_ACCEPTED_MAX) {
		close(fd);
		return;
	}
	if (create_conn(l, fd, false, peer))
		l->accepted++;
}

/* Removes a connection from the map, so that the next call opens another. */
static void remove_from_map(struct peerrpc_conn *c)
{
	struct peerrpc_conn *mapped;

	if (!c->client)
		return;
	HASH_FIND(hh, c->owner->clients, &c->peer, sizeof(c->peer), mapped);
	if (mapped == c)
		HASH_DEL(c->owner->clients, c);
}

/* Closes asynchronously, as libwebsockets may be in a callback of it. */
void peerrpc_conn_close(struct peerrpc_conn *c)
{
	if (c->broken)
		return;
	c->broken = true;
	remove_from_map(c);
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/* Fails a connect that timed out. */
static void on_connect_timer(void *arg, uint64_t now_us)
{
	struct peerrpc_conn *c = arg;

	(void)now_us;
	c->connect_timer = 0;
	c->error = ETIMEDOUT;
	peerrpc_conn_close(c);
}

/* Starts a non-blocking connect; returns NULL and sets why on failure. */
static struct peerrpc_conn *open_client(struct peerrpc_lws *l,
					const struct peerrpc_address *key,
					enum peerrpc_failure *why)
{
	struct tmr *timers = lwsloop_timers(l->loop);
	struct sockaddr_storage to;
	socklen_t len = peerrpc_parse_address(key, &to);
	struct peerrpc_conn *c;
	int fd = len ? peerrpc_client_socket(l, &to) : -1;

	*why = PEERRPC_NOT_SENT;
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, len) != 0 &&
	    errno != EINPROGRESS) {
		if (errno == ECONNREFUSED)
			*why = PEERRPC_REFUSED;
		close(fd);
		return NULL;
	}
	c = create_conn(l, fd, true, key);
	if (!c)
		return NULL;
	c->connecting = true;
	c->connect_timer =
		tmr_at(timers, c->active_us + PEERRPC_CONNECT_TIMEOUT_US,
		       on_connect_timer, c);
	HASH_ADD(hh, l->clients, peer, sizeof(c->peer), c);
	lws_callback_on_writable(c->wsi);
	return c;
}

/*
 * Returns the persistent connection to an address, opening it if needed.
 * Returns NULL and sets why on failure.
 */
struct peerrpc_conn *peerrpc_conn_get(struct peerrpc_lws *l,
				      const struct peerrpc_address *to,
				      enum peerrpc_failure *why)
{
	struct peerrpc_address key;
	struct peerrpc_conn *c;

	memset(&key, 0, sizeof(key));
	memcpy(key.ip, to->ip, strnlen(to->ip, sizeof(key.ip) - 1));
	key.port = to->port;
	HASH_FIND(hh, l->clients, &key, sizeof(key), c);
	return c ? c : open_client(l, &key, why);
}

/* Queues a copy of the unsent part of a record. */
static bool enqueue(struct peerrpc_conn *c, const uint8_t *buf, size_t len,
		    struct peerrpc_pending_call *call)
{
	struct peerrpc_out_record *o = malloc(sizeof(*o) + len);

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

/* Removes a record from the queue and frees it. */
void peerrpc_conn_unqueue(struct peerrpc_conn *c,
			  struct peerrpc_out_record *out)
{
	DL_DELETE(c->out, out);
	c->out_bytes -= out->len;
	free(out);
}

/*
 * Sends the message of len bytes in owner->out, which starts after the space
 * for its record mark. It is sent at once if the queue is empty; the unsent
 * part is queued. call may be NULL. Returns false if nothing was sent or
 * queued.
 */
bool peerrpc_conn_send(struct peerrpc_conn *c, size_t len,
		       struct peerrpc_pending_call *call)
{
	uint8_t *buf = c->owner->out;
	size_t total = RPC_RECORD_MARK_BYTES + len;
	ssize_t n = 0;

	if (c->broken)
		return false;
	rpc_write_record_mark(buf, len);
	c->active_us = lwsloop_now_us(c->owner->loop);
	if (!c->connecting && !c->out) {
		n = send(c->fd, buf, total, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			peerrpc_conn_close(c);
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
		peerrpc_conn_close(c);
	return n > 0;
}

/* Removes sent bytes from the queue and marks their calls as sent. */
static void remove_sent(struct peerrpc_conn *c, size_t n)
{
	while (n && c->out) {
		struct peerrpc_out_record *o = c->out;
		size_t part = o->len - o->sent;

		if (part > n)
			part = n;
		if (o->call)
			o->call->out = NULL;
		o->call = NULL;
		o->sent += part;
		n -= part;
		if (o->sent == o->len)
			peerrpc_conn_unqueue(c, o);
	}
}

/* Requests the next writable event. */
static void on_write_timer(void *arg, uint64_t now_us)
{
	struct peerrpc_conn *c = arg;

	(void)now_us;
	c->write_timer = 0;
	lws_callback_on_writable(c->wsi);
}

/*
 * Requests a writable event from a timer. libwebsockets drops a request made
 * within the writable event of a raw file, as it clears the event afterwards.
 */
static bool wait_writable(struct peerrpc_conn *c)
{
	struct lwsloop *l = c->owner->loop;

	if (!c->write_timer)
		c->write_timer = tmr_at(lwsloop_timers(l), lwsloop_now_us(l),
					on_write_timer, c);
	return c->write_timer != 0;
}

/* Sends queued records; returns -1 if the connection failed. */
static int flush_queue(struct peerrpc_conn *c)
{
	while (c->out) {
		struct iovec iov[RECORDS_PER_SEND];
		struct msghdr msg = { .msg_iov = iov };
		struct peerrpc_out_record *o = c->out;
		ssize_t n;

		for (; o && msg.msg_iovlen < RECORDS_PER_SEND; o = o->next) {
			iov[msg.msg_iovlen].iov_base = o->bytes + o->sent;
			iov[msg.msg_iovlen++].iov_len = o->len - o->sent;
		}
		n = sendmsg(c->fd, &msg, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return wait_writable(c) ? 0 : -1;
		if (n < 0)
			return -1;
		remove_sent(c, (size_t)n);
		c->active_us = lwsloop_now_us(c->owner->loop);
	}
	return 0;
}

/*
 * Returns whether a socket is connected to itself. This happens when a connect
 * to an unused local port gets the same port as its source; there is no
 * listener.
 */
static bool is_self_connected(int fd, const struct sockaddr_storage *remote)
{
	struct sockaddr_storage local;
	socklen_t len = sizeof(local);

	memset(&local, 0, sizeof(local));
	if (getsockname(fd, (struct sockaddr *)&local, &len) != 0)
		return false;
	return memcmp(&local, remote, len) == 0;
}

/* Returns 1 if connected, 0 if still connecting, -1 if the connect failed. */
static int check_connected(struct peerrpc_conn *c)
{
	struct sockaddr_storage remote;
	socklen_t len = sizeof(c->error);

	if (!c->connecting)
		return 1;
	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &c->error, &len) != 0 ||
	    c->error)
		return -1;
	memset(&remote, 0, sizeof(remote));
	len = sizeof(remote);
	if (getpeername(c->fd, (struct sockaddr *)&remote, &len) != 0)
		return 0;
	if (is_self_connected(c->fd, &remote)) {
		c->error = ECONNREFUSED;
		return -1;
	}
	c->connecting = false;
	tmr_cancel(lwsloop_timers(c->owner->loop), c->connect_timer);
	c->connect_timer = 0;
	return 1;
}

/* Stops reading from a peer that has too many unanswered calls or replies. */
static bool pause_if_full(struct peerrpc_conn *c)
{
	if (c->client || (c->question_count < PEERRPC_QUESTIONS_MAX &&
			  c->out_bytes <= PEERRPC_REPLY_PAUSE_BYTES))
		return false;
	c->paused = true;
	lws_rx_flow_control(c->wsi, 0);
	return true;
}

/* Resumes reading at half of the limits, to avoid frequent toggling. */
void peerrpc_conn_resume(struct peerrpc_conn *c)
{
	if (!c->paused || c->question_count > PEERRPC_QUESTIONS_MAX / 2 ||
	    c->out_bytes > PEERRPC_REPLY_PAUSE_BYTES / 2)
		return;
	c->paused = false;
	lws_rx_flow_control(c->wsi, 1);
}

/* Returns the size of the next read, in bytes. */
static size_t read_size(const struct peerrpc_conn *c)
{
	size_t wanted = rpc_stream_fragment_left(c->stream);

	if (wanted <= PEERRPC_READ_SMALL_BYTES)
		return PEERRPC_READ_SMALL_BYTES;
	return wanted < PEERRPC_READ_BYTES ? wanted : PEERRPC_READ_BYTES;
}

/* Decodes received data; returns false if the connection must be closed. */
static bool feed(struct peerrpc_conn *c, size_t len)
{
	struct err err = { 0 };

	if (rpc_stream_feed(c->stream, c->owner->in, len, &err))
		return true;
	if (c->broken)
		return false;
	c->malformed = true;
	ctr_add(CTR_PEER_MALFORMED, 1);
	log_emit(LOG_PEER_CONNECTION_ENDED, "peer=%s port=%u reason=\"%s\"",
		 c->peer.ip, c->peer.port, err.text);
	return false;
}

/* Reads available data; returns -1 if the connection must be closed. */
static int on_readable(struct peerrpc_conn *c)
{
	struct peerrpc_lws *l = c->owner;

	for (int i = 0; i < READS_PER_EVENT && !c->paused; i++) {
		size_t size = read_size(c);
		ssize_t n = recv(c->fd, l->in, size, 0);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR ? 0 : -1;
		if (n == 0)
			return -1;
		c->active_us = lwsloop_now_us(l->loop);
		if (!feed(c, (size_t)n))
			return -1;
		if (pause_if_full(c) || (size_t)n < size)
			return 0;
	}
	return 0;
}

/* Sends queued records and resumes reading if the queue is short enough. */
static int on_writable(struct peerrpc_conn *c)
{
	if (flush_queue(c) != 0)
		return -1;
	peerrpc_conn_resume(c);
	return 0;
}

/*
 * Reads what had arrived before a connection ended: libwebsockets reports the
 * end of one behind a single read event, and a send that fails closes it before
 * any. Replies that are whole still reach their calls.
 */
static void read_rest(struct peerrpc_conn *c)
{
	struct peerrpc_lws *l = c->owner;
	ssize_t n;

	if (!c->client || c->malformed || c->connecting || l->destroying)
		return;
	c->broken = false;
	while (c->calls &&
	       (n = recv(c->fd, l->in, sizeof(l->in), MSG_DONTWAIT)) > 0) {
		if (!feed(c, (size_t)n))
			break;
	}
	c->broken = true;
}

/* Frees a closed connection and ends its calls; libwebsockets owns the fd. */
static void on_closed(struct peerrpc_conn *c)
{
	struct peerrpc_lws *l = c->owner;
	socklen_t len = sizeof(c->error);

	if (c->connecting && !c->error)
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &c->error, &len);
	c->broken = true;
	remove_from_map(c);
	read_rest(c);
	DL_DELETE(l->conns, c);
	tmr_cancel(lwsloop_timers(l->loop), c->connect_timer);
	tmr_cancel(lwsloop_timers(l->loop), c->write_timer);
	if (!c->client)
		l->accepted--;
	ctr_set(CTR_PEER_CONNECTIONS, ctr_get(CTR_PEER_CONNECTIONS) - 1);
	peerrpc_fail_calls(c);
	peerrpc_end_questions(c);
	free_conn(c);
}

/* Handles the events of a connection. */
int peerrpc_conn_callback(struct lws *wsi, enum lws_callback_reasons reason,
			  void *user, void *in, size_t len)
{
	struct peerrpc_conn *c = lws_get_opaque_user_data(wsi);
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

/* Closes synchronously; the close event frees the connection. */
void peerrpc_conn_close_now(struct peerrpc_conn *c)
{
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

/* Returns whether the timeout of an idle or incomplete record has expired. */
static bool is_stale(const struct peerrpc_conn *c, uint64_t idle_us)
{
	if (rpc_stream_is_partial(c->stream) && !c->paused)
		return idle_us >= PEERRPC_PARTIAL_RECORD_US;
	return c->client && !c->calls && !c->out &&
	       idle_us >= PEERRPC_IDLE_TIMEOUT_US;
}

/* Closes the connections whose timeout has expired. */
void peerrpc_conn_sweep(struct peerrpc_lws *l)
{
	uint64_t now_us = lwsloop_now_us(l->loop);
	struct peerrpc_conn *next;
	struct peerrpc_conn *c;

	DL_FOREACH_SAFE(l->conns, c, next)
	{
		if (!c->connecting && is_stale(c, now_us - c->active_us))
			peerrpc_conn_close(c);
	}
}
