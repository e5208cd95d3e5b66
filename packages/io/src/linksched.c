#include "linksched.h"

#include <stdlib.h>
#include <utlist.h>

#include "clk.h"

/* Share of the bandwidth for long responses; the rest is for short ones. */
#define LONG_SHARE_PCT 90
#define PERCENT 100
/* Transmission time of the quantum that one stream may send at a time. */
#define QUANTUM_US (10 * US_PER_MS)
#define QUANTUM_MIN_BYTES 4096
/*
 * Limits the debt that short responses can build up, so that they delay long
 * ones by at most this many quanta (100 ms) and cannot starve them.
 */
#define MAX_DEBT_QUANTA 10.0

struct linksched {
	uint64_t rate; /* bytes per second for long responses */
	size_t quantum; /* bytes that one stream may send at a time */
	double credit; /* bytes that may be sent now; negative while in debt */
	uint64_t credit_us; /* time of the last credit update, monotonic */
	struct linksched_stream *streams;
};

/* Creates a scheduler without streams. Returns NULL if out of memory. */
struct linksched *linksched_create(uint64_t bytes_per_s)
{
	struct linksched *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->rate = bytes_per_s * LONG_SHARE_PCT / PERCENT;
	if (l->rate == 0)
		l->rate = 1;
	l->quantum = l->rate * QUANTUM_US / US_PER_S;
	if (l->quantum < QUANTUM_MIN_BYTES)
		l->quantum = QUANTUM_MIN_BYTES;
	l->credit = (double)l->quantum;
	return l;
}

/* Frees the scheduler. The streams are owned by the caller. */
void linksched_destroy(struct linksched *l)
{
	free(l);
}

/*
 * Reports whether a response is long. One that fits into a quantum delays
 * others no longer than any other quantum does, so it need not be scheduled.
 */
bool linksched_is_long(const struct linksched *l, uint64_t bytes)
{
	return bytes > l->quantum;
}

/* Adds a stream; it must stay valid until linksched_remove(). */
void linksched_add(struct linksched *l, struct linksched_stream *s)
{
	DL_APPEND(l->streams, s);
}

void linksched_remove(struct linksched *l, struct linksched_stream *s)
{
	DL_DELETE(l->streams, s);
}

/* Adds credit for the time that has passed, capped at one quantum. */
static void update_credit(struct linksched *l, uint64_t now_us)
{
	if (now_us <= l->credit_us)
		return;
	l->credit += (double)(now_us - l->credit_us) * (double)l->rate /
		     (double)US_PER_S;
	l->credit_us = now_us;
	if (l->credit > (double)l->quantum)
		l->credit = (double)l->quantum;
}

/* Charges bytes of short responses; now_us is monotonic time. */
void linksched_charge(struct linksched *l, size_t bytes, uint64_t now_us)
{
	update_credit(l, now_us);
	l->credit -= (double)bytes;
	if (l->credit < -MAX_DEBT_QUANTA * (double)l->quantum)
		l->credit = -MAX_DEBT_QUANTA * (double)l->quantum;
}

/* Orders urgent streams first, then those with the fewest bytes left. */
static bool precedes(const struct linksched_stream *a,
		     const struct linksched_stream *b)
{
	if (a->urgent != b->urgent)
		return a->urgent;
	return a->left < b->left;
}

/* Returns the ready stream of the highest priority, or NULL. */
static struct linksched_stream *select_stream(const struct linksched *l)
{
	struct linksched_stream *best = NULL;
	struct linksched_stream *s;

	DL_FOREACH(l->streams, s)
	{
		if (s->ready > 0 && !s->blocked && (!best || precedes(s, best)))
			best = s;
	}
	return best;
}

/*
 * Selects the next stream and charges up to one quantum of it. Returns NULL
 * without credit or a ready stream, with the wait in microseconds.
 */
struct linksched_stream *linksched_next(struct linksched *l, uint64_t now_us,
					size_t *bytes, uint64_t *wait_us)
{
	struct linksched_stream *s = select_stream(l);

	*wait_us = UINT64_MAX;
	if (!s)
		return NULL;
	update_credit(l, now_us);
	if (l->credit <= 0) {
		*wait_us = (uint64_t)(-l->credit * (double)US_PER_S /
				      (double)l->rate) +
			   1;
		return NULL;
	}
	*bytes = s->ready < l->quantum ? s->ready : l->quantum;
	l->credit -= (double)*bytes;
	s->ready -= *bytes;
	s->left -= *bytes < s->left ? *bytes : s->left;
	return s;
}

/* Counts the streams that a new response of this length would wait for. */
uint64_t linksched_send_time_us(const struct linksched *l, uint64_t bytes)
{
	const struct linksched_stream *s;
	uint64_t all = bytes;

	DL_FOREACH(l->streams, s)
	{
		if (s->left <= bytes || s->urgent)
			all += s->left;
	}
	return all * US_PER_S / l->rate;
}

/* Counts all streams and more bytes; returns microseconds. */
uint64_t linksched_total_time_us(const struct linksched *l, uint64_t more)
{
	const struct linksched_stream *s;

	DL_FOREACH(l->streams, s)
	more += s->left;
	return more * US_PER_S / l->rate;
}
