#include "upclient_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Disables the timeouts of libwebsockets, as each call has its own; in seconds.
 */
#define NO_TIMEOUT_S 1000000

static struct lws_vhost *create_vhost(struct upclient_lws *u)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
	info.vhost_name = "upstream";
	info.protocols = upclient_protocols;
	info.user = u;
	info.timeout_secs = NO_TIMEOUT_S;
	info.timeout_secs_ah_idle = NO_TIMEOUT_S;
	return lws_create_vhost(lwsloop_context(u->loop), &info);
}

/*
 * Returns the idle connection used last, which is most likely still open, or a
 * new one. Returns NULL if the limit is reached or memory is exhausted.
 */
struct upclient_conn *upclient_acquire(struct upclient_lws *u)
{
	struct upclient_conn *best = NULL;

	for (struct upclient_conn *s = u->conns; s; s = s->next) {
		if (!s->call && !s->bad &&
		    (!best || s->used_us > best->used_us))
			best = s;
	}
	if (best || u->conn_count >= u->max)
		return best;
	best = calloc(1, sizeof(*best));
	if (!best)
		return NULL;
	best->vhost = create_vhost(u);
	if (!best->vhost) {
		free(best);
		return NULL;
	}
	best->next = u->conns;
	u->conns = best;
	u->conn_count++;
	return best;
}

/* Closes the connections that are marked as bad. */
static void purge(void *arg, uint64_t now_us)
{
	struct upclient_lws *u = arg;
	struct upclient_conn **at = &u->conns;

	(void)now_us;
	u->purge_timer = 0;
	while (*at) {
		struct upclient_conn *s = *at;

		if (!s->bad) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		lws_vhost_destroy(s->vhost);
		free(s);
	}
}

/*
 * Returns a connection to the pool; it is closed unless good. A vhost must not
 * be destroyed in a callback of its own connection, so the close is deferred.
 */
void upclient_release(struct upclient_lws *u, struct upclient_conn *s,
		      bool good)
{
	s->call = NULL;
	s->used_us = lwsloop_now_us(u->loop);
	if (good)
		return;
	s->bad = true;
	u->conn_count--;
	if (!u->purge_timer)
		u->purge_timer =
			tmr_at(lwsloop_timers(u->loop), s->used_us, purge, u);
}

/* Closes all connections and frees them. */
void upclient_conns_free(struct upclient_lws *u)
{
	tmr_cancel(lwsloop_timers(u->loop), u->purge_timer);
	while (u->conns) {
		struct upclient_conn *s = u->conns;

		u->conns = s->next;
		lws_vhost_destroy(s->vhost);
		free(s);
	}
}
