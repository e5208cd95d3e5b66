#include "ups_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Disables the timeouts of libwebsockets, as each call has its own; in seconds.
 */
#define NO_TIMEOUT_S 1000000

static struct lws_vhost *create_vhost(struct ups_lws *u)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
	info.vhost_name = "upstream";
	info.protocols = ups_protocols;
	info.user = u;
	info.timeout_secs = NO_TIMEOUT_S;
	info.timeout_secs_ah_idle = NO_TIMEOUT_S;
	return lws_create_vhost(lop_context(u->loop), &info);
}

/*
 * Returns the idle connection used last, which is most likely still open, or a
 * new one. Returns NULL if the limit is reached or memory is exhausted.
 */
struct ups_pool_conn *ups_pool_acquire(struct ups_lws *u)
{
	struct ups_pool_conn *best = NULL;

	for (struct ups_pool_conn *s = u->conns; s; s = s->next) {
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
	struct ups_lws *u = arg;
	struct ups_pool_conn **at = &u->conns;

	(void)now_us;
	u->purge_timer = 0;
	while (*at) {
		struct ups_pool_conn *s = *at;

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
void ups_pool_release(struct ups_lws *u, struct ups_pool_conn *s, bool good)
{
	s->call = NULL;
	s->used_us = lop_now_us(u->loop);
	if (good)
		return;
	s->bad = true;
	u->conn_count--;
	if (!u->purge_timer)
		u->purge_timer =
			tmr_at(lop_timers(u->loop), s->used_us, purge, u);
}

/* Closes all connections and frees them. */
void ups_pool_free(struct ups_lws *u)
{
	tmr_cancel(lop_timers(u->loop), u->purge_timer);
	while (u->conns) {
		struct ups_pool_conn *s = u->conns;

		u->conns = s->next;
		lws_vhost_destroy(s->vhost);
		free(s);
	}
}
