#include "ups_int.h"

#include <stdlib.h>
#include <string.h>

/* The time limits of libwebsockets are replaced by those of calls, in s. */
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

/* Finds the free place used last, whose connection is most likely open. */
struct ups_slot *ups_slot_take(struct ups_lws *u)
{
	struct ups_slot *best = NULL;

	for (struct ups_slot *s = u->slots; s; s = s->next) {
		if (!s->call && !s->bad &&
		    (!best || s->used_us > best->used_us))
			best = s;
	}
	if (best || u->slot_count >= u->max)
		return best;
	best = calloc(1, sizeof(*best));
	if (!best)
		return NULL;
	best->vhost = create_vhost(u);
	if (!best->vhost) {
		free(best);
		return NULL;
	}
	best->next = u->slots;
	u->slots = best;
	u->slot_count++;
	return best;
}

/* Closes the places that are marked as bad. */
static void purge(void *arg, uint64_t now_us)
{
	struct ups_lws *u = arg;
	struct ups_slot **at = &u->slots;

	(void)now_us;
	u->purge = 0;
	while (*at) {
		struct ups_slot *s = *at;

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
 * A vhost must not be destroyed in a callback of its own connection, so that a
 * bad place only counts as gone at first.
 */
void ups_slot_give(struct ups_lws *u, struct ups_slot *s, bool good)
{
	s->call = NULL;
	s->used_us = lop_now_us(u->loop);
	if (good)
		return;
	s->bad = true;
	u->slot_count--;
	if (!u->purge)
		u->purge = tmr_at(lop_timers(u->loop), s->used_us, purge, u);
}

/* Closes all connections. */
void ups_slots_free(struct ups_lws *u)
{
	tmr_cancel(lop_timers(u->loop), u->purge);
	while (u->slots) {
		struct ups_slot *s = u->slots;

		u->slots = s->next;
		lws_vhost_destroy(s->vhost);
		free(s);
	}
}
