#include "pac.h"

#include <stdlib.h>
#include <string.h>

struct pac {
	struct evl *loop;
	struct lnk *link;
	uint32_t timer;
	bool running; /* inside send_turns() */
};

static void on_credit(void *arg, uint64_t now_us);

/* Sends one turn of a response. */
static void send_turn(struct pac_response *r, size_t bytes)
{
	if (!buf_add(skt_output(r->socket), buf_data(&r->queue), bytes)) {
		/* Without memory it stays queued until the socket has drained. */
		r->stream.ready += bytes;
		r->stream.left += bytes;
		r->stream.blocked = true;
		return;
	}
	buf_take(&r->queue, bytes);
	skt_flush(r->socket);
	r->stream.blocked = buf_len(skt_output(r->socket)) > 0;
	if (buf_len(&r->queue) == 0)
		r->on_sent(r->arg);
}

/* Sends what the link carries now, and plans the next turn. */
static void send_turns(struct pac *p)
{
	struct lnk_stream *s;
	uint64_t now = evl_now_us(p->loop);
	uint64_t wait;
	size_t bytes;

	/* A response that is added from on_sent has its turn in the loop. */
	if (p->running)
		return;
	p->running = true;
	while ((s = lnk_next(p->link, now, &bytes, &wait)))
		send_turn((struct pac_response *)s, bytes);
	p->running = false;
	if (wait != UINT64_MAX && !p->timer)
		p->timer =
			tmr_at(evl_timers(p->loop), now + wait, on_credit, p);
}

/* The link carries more. */
static void on_credit(void *arg, uint64_t now_us)
{
	struct pac *p = arg;

	(void)now_us;
	p->timer = 0;
	send_turns(p);
}

/* Makes a pacer. */
struct pac *pac_create(struct evl *l, uint64_t bytes_per_s)
{
	struct pac *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->loop = l;
	p->link = lnk_create(bytes_per_s);
	if (!p->link) {
		free(p);
		return NULL;
	}
	return p;
}

/* Frees the pacer; its responses must be over. */
void pac_destroy(struct pac *p)
{
	if (!p)
		return;
	tmr_cancel(evl_timers(p->loop), p->timer);
	lnk_destroy(p->link);
	free(p);
}

/* Asks the link. */
bool pac_is_long(const struct pac *p, int64_t length)
{
	return lnk_is_long(p->link, (uint64_t)length);
}

/* Begins a response. */
void pac_begin(struct pac *p, struct pac_response *r, struct skt *s,
	       int64_t length, bool hurries, void (*on_sent)(void *arg),
	       void *arg)
{
	memset(r, 0, sizeof(*r));
	r->owner = p;
	r->socket = s;
	r->stream.hurries = hurries;
	r->stream.left = length > 0 ? (uint64_t)length : 0;
	r->on_sent = on_sent;
	r->arg = arg;
	lnk_add(p->link, &r->stream);
}

/* Adds bytes to what waits. */
void pac_add(struct pac_response *r, const void *bytes, size_t len)
{
	if (!buf_add(&r->queue, bytes, len))
		return;
	r->stream.ready += len;
	if (r->stream.left < r->stream.ready)
		r->stream.left = r->stream.ready;
	send_turns(r->owner);
}

/* Nothing is added any more. */
void pac_end(struct pac_response *r)
{
	r->ended = true;
	r->stream.left = r->stream.ready;
}

/* Sends on. */
void pac_resume(struct pac_response *r)
{
	r->stream.blocked = false;
	send_turns(r->owner);
}

/* Forgets a response. */
void pac_stop(struct pac_response *r)
{
	if (!r->owner)
		return;
	lnk_remove(r->owner->link, &r->stream);
	buf_free(&r->queue);
	r->owner = NULL;
}

/* Counts other bytes. */
void pac_spend(struct pac *p, size_t bytes)
{
	lnk_spend(p->link, bytes, evl_now_us(p->loop));
}

/* Tells how long a response would take. */
uint64_t pac_time_us(const struct pac *p, uint64_t bytes)
{
	return lnk_time_us(p->link, bytes);
}

/* Tells how long all would take. */
uint64_t pac_all_us(const struct pac *p, uint64_t more)
{
	return lnk_all_us(p->link, more);
}
