#include "pacer.h"

#include <stdlib.h>
#include <string.h>

struct pacer {
	struct evloop *loop;
	struct linksched *link;
	uint32_t timer;
	bool sending; /* inside send_ready(); prevents recursion */
};

static void on_credit(void *arg, uint64_t now_us);

/* Passes one quantum of a response to its socket. */
static void send_quantum(struct pacer_response *r, size_t bytes)
{
	if (!buf_add(tcpsock_output(r->socket), buf_data(&r->queue), bytes)) {
		/* Out of memory: stays queued until the socket has drained. */
		r->stream.ready += bytes;
		r->stream.left += bytes;
		r->stream.blocked = true;
		return;
	}
	buf_consume(&r->queue, bytes);
	tcpsock_flush(r->socket);
	r->stream.blocked = buf_len(tcpsock_output(r->socket)) > 0;
	if (buf_len(&r->queue) == 0)
		r->on_sent(r->arg);
}

/* Sends as much as the link has credit for and arms a timer for the rest. */
static void send_ready(struct pacer *p)
{
	struct linksched_stream *s;
	uint64_t now = evloop_now_us(p->loop);
	uint64_t wait;
	size_t bytes;

	/* Data added by an on_sent callback is sent by the sending loop. */
	if (p->sending)
		return;
	p->sending = true;
	while ((s = linksched_next(p->link, now, &bytes, &wait)))
		send_quantum((struct pacer_response *)s, bytes);
	p->sending = false;
	if (wait != UINT64_MAX && !p->timer)
		p->timer = tmr_at(evloop_timers(p->loop), now + wait, on_credit,
				  p);
}

/* Timer callback: the link has credit again. */
static void on_credit(void *arg, uint64_t now_us)
{
	struct pacer *p = arg;

	(void)now_us;
	p->timer = 0;
	send_ready(p);
}

/* Creates a pacer for a link of bytes_per_s. Returns NULL if out of memory. */
struct pacer *pacer_create(struct evloop *l, uint64_t bytes_per_s)
{
	struct pacer *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->loop = l;
	p->link = linksched_create(bytes_per_s);
	if (!p->link) {
		free(p);
		return NULL;
	}
	return p;
}

/* Frees the pacer. All its responses must have ended or been stopped. */
void pacer_destroy(struct pacer *p)
{
	if (!p)
		return;
	tmr_cancel(evloop_timers(p->loop), p->timer);
	linksched_destroy(p->link);
	free(p);
}

/* Reports whether a response of length bytes is to be paced. */
bool pacer_is_long(const struct pacer *p, int64_t length)
{
	return linksched_is_long(p->link, (uint64_t)length);
}

/* Starts a response of length bytes; -1 if the length is unknown. */
void pacer_begin(struct pacer *p, struct pacer_response *r, struct tcpsock *s,
		 int64_t length, bool urgent, void (*on_sent)(void *arg),
		 void *arg)
{
	memset(r, 0, sizeof(*r));
	r->owner = p;
	r->socket = s;
	r->stream.urgent = urgent;
	r->stream.left = length > 0 ? (uint64_t)length : 0;
	r->on_sent = on_sent;
	r->arg = arg;
	linksched_add(p->link, &r->stream);
}

/* Queues bytes of the response and sends what the link has credit for. */
void pacer_add(struct pacer_response *r, const void *bytes, size_t len)
{
	if (!buf_add(&r->queue, bytes, len))
		return;
	r->stream.ready += len;
	if (r->stream.left < r->stream.ready)
		r->stream.left = r->stream.ready;
	send_ready(r->owner);
}

/* Marks the response as complete; no more bytes may be added. */
void pacer_end(struct pacer_response *r)
{
	r->ended = true;
	r->stream.left = r->stream.ready;
}

/* Continues sending after the socket has drained. */
void pacer_resume(struct pacer_response *r)
{
	r->stream.blocked = false;
	send_ready(r->owner);
}

/* Drops the response and its queue; no-op if none is being sent. */
void pacer_cancel(struct pacer_response *r)
{
	if (!r->owner)
		return;
	linksched_remove(r->owner->link, &r->stream);
	buf_free(&r->queue);
	r->owner = NULL;
}

/* Charges bytes that were sent outside the paced responses. */
void pacer_charge(struct pacer *p, size_t bytes)
{
	linksched_charge(p->link, bytes, evloop_now_us(p->loop));
}

/* Estimates the time in microseconds to send a new response of bytes. */
uint64_t pacer_send_time_us(const struct pacer *p, uint64_t bytes)
{
	return linksched_send_time_us(p->link, bytes);
}

/* Estimates the time in microseconds to send everything and more bytes. */
uint64_t pacer_total_time_us(const struct pacer *p, uint64_t more)
{
	return linksched_total_time_us(p->link, more);
}
