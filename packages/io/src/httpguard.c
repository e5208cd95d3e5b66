#include "httpguard.h"

#include <stdlib.h>
#include <utlist.h>

#include "clilimit.h"
#include "ctr.h"
#include "httpsrv_int.h"
#include "log.h"
#include "membud.h"

#define PERIOD_US (500 * US_PER_MS)
/* Least time between two rounds of closing. */
#define ROUND_US (10 * US_PER_MS)
/*
 * A response behind which the connection closes may make no progress for this
 * long; less when memory or descriptors are short.
 */
#define STALLED_US (15 * US_PER_S)
#define STALLED_SHORT_US (300 * US_PER_MS)
/* Freed memory is returned to the system once it is this part of the limit. */
#define TRIM_DIVISOR 8

struct httpguard {
	struct evloop *loop;
	struct httpsrv *servers;
	uint32_t sockets; /* limit, 0 for none */
	uint64_t clients; /* their connections */
	uint32_t period_timer;
	uint32_t round_timer;
	uint64_t round_us; /* time of the last round */
	size_t peak; /* most memory in use since the last trim */
};

/* A connection that may be closed. */
struct candidate {
	struct httpclient *client;
	uint64_t rank;
	uint64_t held;
};

static struct clilimit_budget memory_budget(void)
{
	return (struct clilimit_budget){ membud_limit(), membud_used() };
}

static struct clilimit_budget socket_budget(const struct httpguard *g)
{
	return (struct clilimit_budget){
		g->sockets,
		clilimit_used_sockets(tcpsock_open_count(), g->clients)
	};
}

/* Returns the memory of a request and its response. */
static uint64_t request_bytes(const struct httpconn *c)
{
	return sizeof(*c) + c->body.size + c->head.size + c->held.size +
	       httpparse_held_bytes(c->parser);
}

/* Tells what a connection is doing. */
static enum clilimit_state find_state(const struct httpclient *k)
{
	const struct httpconn *c = k->requests;
	bool unread = buf_len(tcpsock_output(k->socket)) > 0;

	if (c && c->phase == HTTPCONN_RUNNING && (!c->begun || !unread))
		return CLILIMIT_RUNNING;
	if (unread || buf_len(&k->paced.queue) > 0)
		return CLILIMIT_UNREAD;
	return c ? CLILIMIT_INCOMPLETE : CLILIMIT_IDLE;
}

/* Describes a connection; idle ones hold only its own objects. */
static void describe(const struct httpclient *k, uint64_t now_us,
		     struct clilimit_connection *out)
{
	const struct httpconn *c;

	out->state = find_state(k);
	out->held = HTTPCLIENT_BYTES + tcpsock_input(k->socket)->size +
		    tcpsock_output(k->socket)->size + k->paced.queue.size;
	DL_FOREACH(k->requests, c)
	{
		out->held += request_bytes(c);
	}
	out->moved = k->recent_bytes +
		     (tcpsock_moved_bytes(k->socket) - k->moved_bytes);
	out->idle_us = clk_elapsed(now_us, k->idle_since_us);
}

/* Lists the connections that may be closed. Returns their number. */
static size_t list_candidates(const struct httpguard *g, bool descriptors,
			      bool exhausted, struct candidate **out)
{
	uint64_t now = evloop_now_us(g->loop);
	const struct httpsrv *s;
	struct httpclient *k;
	size_t count = 0;

	*out = calloc(tcpsock_open_count() + 1, sizeof(**out));
	LL_FOREACH2(g->servers, s, guard_next)
	{
		if (!*out || (descriptors && !s->guards_descriptors))
			continue;
		DL_FOREACH(s->clients, k)
		{
			struct candidate *x = &(*out)[count];
			struct clilimit_connection c;

			if (k->closed)
				continue;
			describe(k, now, &c);
			/* Another daemon may be about to use an idle one. */
			if (c.state == CLILIMIT_IDLE && !s->guards_descriptors)
				continue;
			x->client = k;
			x->held = c.held;
			x->rank = descriptors ?
					  clilimit_descriptor_rank(&c,
								   exhausted) :
					  clilimit_memory_rank(&c, exhausted);
			count += x->rank > 0;
		}
	}
	return count;
}

/* Highest rank first. */
static int compare(const void *a, const void *b)
{
	uint64_t x = ((const struct candidate *)a)->rank;
	uint64_t y = ((const struct candidate *)b)->rank;

	return (x < y) - (x > y);
}

/*
 * Closes connections until the target is met. What a running request holds is
 * freed later; it counts as freed. A connection without one is freed at once,
 * without effect on the others.
 */
static void close_some(const struct httpguard *g, struct clilimit_budget b,
		       bool descriptors)
{
	struct candidate *list;
	size_t count = list_candidates(g, descriptors,
				       clilimit_is_exhausted(&b), &list);
	uint64_t target = clilimit_target(&b);
	size_t i = 0;

	if (count > 0)
		qsort(list, count, sizeof(*list), compare);
	for (; i < count && b.used > target; i++) {
		uint64_t freed =
			descriptors ? CLILIMIT_CLIENT_SOCKETS : list[i].held;

		tcpsock_reset_on_close(list[i].client->socket);
		httpclient_close(list[i].client, false);
		b.used -= freed < b.used ? freed : b.used;
	}
	free(list);
	if (i == 0)
		return;
	ctr_add(descriptors ? CTR_CLIENTS_CLOSED_DESCRIPTORS :
			      CTR_CLIENTS_CLOSED_MEMORY,
		i);
	log_emit(descriptors ? LOG_CLIENTS_CLOSED_DESCRIPTORS :
			       LOG_CLIENTS_CLOSED_MEMORY,
		 "closed=%zu of=%zu limit=%llu", i, count,
		 (unsigned long long)b.limit);
}

/* Closes sockets that only wait for acknowledgements, before others. */
static void drop_lingering(const struct clilimit_budget *sockets)
{
	size_t open = tcpsock_open_count();
	uint64_t target = clilimit_target(sockets);

	if (clilimit_is_short(sockets) && open > target)
		tcpsock_drop_lingering(open - target);
}

/* Closes connections; runs from a timer, so that none is in use. */
static void run_round(void *arg, uint64_t now_us)
{
	struct httpguard *g = arg;
	struct clilimit_budget memory = memory_budget();
	struct clilimit_budget sockets = socket_budget(g);

	g->round_timer = 0;
	g->round_us = now_us;
	if (clilimit_is_short(&memory) || clilimit_is_short(&sockets))
		tcpsock_drop_stalled(STALLED_SHORT_US);
	memory = memory_budget();
	if (clilimit_is_short(&memory))
		close_some(g, memory, false);
	sockets = socket_budget(g);
	drop_lingering(&sockets);
	sockets = socket_budget(g);
	if (clilimit_is_short(&sockets))
		close_some(g, sockets, true);
}

/* Starts a round soon if there is need. */
void httpguard_check(struct httpguard *g)
{
	struct clilimit_budget memory = memory_budget();
	struct clilimit_budget sockets;
	uint64_t now;

	if (!g)
		return;
	if (memory.used > g->peak)
		g->peak = memory.used;
	sockets = socket_budget(g);
	if (g->round_timer ||
	    (!clilimit_is_short(&memory) && !clilimit_is_short(&sockets)))
		return;
	now = evloop_now_us(g->loop);
	if (now < g->round_us + ROUND_US)
		now = g->round_us + ROUND_US;
	g->round_timer = tmr_at(evloop_timers(g->loop), now, run_round, g);
}

/* Ages the progress of connections and returns freed memory to the system. */
static void on_period(void *arg, uint64_t now_us)
{
	struct httpguard *g = arg;
	struct httpsrv *s;
	struct httpclient *k;

	(void)now_us;
	LL_FOREACH2(g->servers, s, guard_next)
	{
		DL_FOREACH(s->clients, k)
		{
			uint64_t moved = k->closed ?
						 k->moved_bytes :
						 tcpsock_moved_bytes(k->socket);

			k->recent_bytes =
				k->recent_bytes / 2 + (moved - k->moved_bytes);
			k->moved_bytes = moved;
		}
	}
	tcpsock_drop_stalled(STALLED_US);
	if (g->peak > membud_used() + membud_limit() / TRIM_DIVISOR &&
	    membud_limit() > 0)
		membud_trim();
	g->peak = membud_used();
	httpguard_check(g);
}

struct httpguard *httpguard_create(struct evloop *l)
{
	struct httpguard *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	g->loop = l;
	g->period_timer =
		tmr_every(evloop_timers(l), evloop_now_us(l) + PERIOD_US,
			  PERIOD_US, on_period, g);
	return g;
}

void httpguard_destroy(struct httpguard *g)
{
	if (!g)
		return;
	tmr_cancel(evloop_timers(g->loop), g->period_timer);
	tmr_cancel(evloop_timers(g->loop), g->round_timer);
	free(g);
}

void httpguard_set_limits(struct httpguard *g, size_t memory, uint32_t sockets)
{
	membud_set_limit(memory);
	g->sockets = sockets;
}

void httpsrv_set_guard(struct httpsrv *s, struct httpguard *g, bool clients)
{
	s->guard = g;
	s->guards_descriptors = clients;
	LL_PREPEND2(g->servers, s, guard_next);
}

void httpguard_remove(struct httpguard *g, struct httpsrv *s)
{
	if (g)
		LL_DELETE2(g->servers, s, guard_next);
}

/* True if a connection may be accepted; older ones are closed first. */
bool httpguard_may_accept(struct httpguard *g)
{
	struct clilimit_budget sockets;

	if (!g)
		return true;
	httpguard_check(g);
	sockets = socket_budget(g);
	if (clilimit_may_grow(&sockets, CLILIMIT_CLIENT_SOCKETS))
		return true;
	ctr_add(CTR_CLIENTS_CLOSED_DESCRIPTORS, 1);
	log_emit(LOG_CLIENTS_CLOSED_DESCRIPTORS, "closed=1 of=1 limit=%u",
		 g->sockets);
	return false;
}

void httpguard_count_client(struct httpguard *g, int change)
{
	if (g)
		g->clients += (uint64_t)change;
}

bool httpguard_is_short_of_memory(const struct httpguard *g)
{
	struct clilimit_budget memory = memory_budget();

	return g && clilimit_is_short(&memory);
}

/* Counts and logs a request that is refused. */
static bool refuse(const struct clilimit_budget *b, uint64_t bytes)
{
	ctr_add(CTR_REQUESTS_REFUSED_MEMORY, 1);
	log_emit(LOG_REQUEST_REFUSED_MEMORY, "bytes=%llu used=%llu limit=%llu",
		 (unsigned long long)bytes, (unsigned long long)b->used,
		 (unsigned long long)b->limit);
	return false;
}

bool httpguard_may_begin(struct httpguard *g, uint64_t bytes)
{
	struct clilimit_budget memory = memory_budget();

	httpguard_check(g);
	return !g || clilimit_may_begin(&memory, bytes) ||
	       refuse(&memory, bytes);
}

bool httpguard_may_grow(struct httpguard *g, uint64_t more)
{
	struct clilimit_budget memory = memory_budget();

	httpguard_check(g);
	return !g || more == 0 || clilimit_may_grow(&memory, more) ||
	       refuse(&memory, more);
}
