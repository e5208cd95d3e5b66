#include "lnk.h"

#include <stdlib.h>
#include <utlist.h>

#include "clk.h"

/* Part of the link for long responses; the rest is for short ones. */
#define SHARE_PCT 90
#define PERCENT 100
/* Time of the link that is given to one response at once. */
#define TURN_US (10 * US_PER_MS)
#define TURN_BYTES_MIN 4096
/*
 * Short responses that fill the link keep long ones back by this many turns at
 * most, a tenth of a second, so that these are not starved.
 */
#define DEBT_TURNS 10.0

struct lnk {
	uint64_t rate; /* bytes a second for long responses */
	size_t turn; /* bytes in one turn */
	double credit; /* bytes that may be sent now; negative after a turn */
	uint64_t credit_us; /* when it was counted */
	struct lnk_stream *streams;
};

/* Makes a link without responses. */
struct lnk *lnk_create(uint64_t bytes_per_s)
{
	struct lnk *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->rate = bytes_per_s * SHARE_PCT / PERCENT;
	if (l->rate == 0)
		l->rate = 1;
	l->turn = l->rate * TURN_US / US_PER_S;
	if (l->turn < TURN_BYTES_MIN)
		l->turn = TURN_BYTES_MIN;
	l->credit = (double)l->turn;
	return l;
}

/* Frees the link; its responses belong to others. */
void lnk_destroy(struct lnk *l)
{
	free(l);
}

/* A response that fits into one turn delays others no more than a turn does. */
bool lnk_is_long(const struct lnk *l, uint64_t bytes)
{
	return bytes > l->turn;
}

/* Adds a response. */
void lnk_add(struct lnk *l, struct lnk_stream *s)
{
	DL_APPEND(l->streams, s);
}

/* Takes a response out. */
void lnk_remove(struct lnk *l, struct lnk_stream *s)
{
	DL_DELETE(l->streams, s);
}

/* Credit that is not used is kept for one turn. */
static void count_credit(struct lnk *l, uint64_t now_us)
{
	if (now_us <= l->credit_us)
		return;
	l->credit += (double)(now_us - l->credit_us) * (double)l->rate /
		     (double)US_PER_S;
	l->credit_us = now_us;
	if (l->credit > (double)l->turn)
		l->credit = (double)l->turn;
}

/* Counts bytes that go beside the long responses. */
void lnk_spend(struct lnk *l, size_t bytes, uint64_t now_us)
{
	count_credit(l, now_us);
	l->credit -= (double)bytes;
	if (l->credit < -DEBT_TURNS * (double)l->turn)
		l->credit = -DEBT_TURNS * (double)l->turn;
}

/* True if a goes before b. */
static bool goes_before(const struct lnk_stream *a, const struct lnk_stream *b)
{
	if (a->hurries != b->hurries)
		return a->hurries;
	return a->left < b->left;
}

/* Returns the ready response that goes next. */
static struct lnk_stream *find_next(const struct lnk *l)
{
	struct lnk_stream *best = NULL;
	struct lnk_stream *s;

	DL_FOREACH(l->streams, s)
	{
		if (s->ready > 0 && !s->blocked &&
		    (!best || goes_before(s, best)))
			best = s;
	}
	return best;
}

/* Gives a response a turn. */
struct lnk_stream *lnk_next(struct lnk *l, uint64_t now_us, size_t *bytes,
			    uint64_t *wait_us)
{
	struct lnk_stream *s = find_next(l);

	*wait_us = UINT64_MAX;
	if (!s)
		return NULL;
	count_credit(l, now_us);
	if (l->credit <= 0) {
		*wait_us = (uint64_t)(-l->credit * (double)US_PER_S /
				      (double)l->rate) +
			   1;
		return NULL;
	}
	*bytes = s->ready < l->turn ? s->ready : l->turn;
	l->credit -= (double)*bytes;
	s->ready -= *bytes;
	s->left -= *bytes < s->left ? *bytes : s->left;
	return s;
}

/* Counts what goes first. */
uint64_t lnk_time_us(const struct lnk *l, uint64_t bytes)
{
	const struct lnk_stream *s;
	uint64_t all = bytes;

	DL_FOREACH(l->streams, s)
	{
		if (s->left <= bytes || s->hurries)
			all += s->left;
	}
	return all * US_PER_S / l->rate;
}

/* Counts everything. */
uint64_t lnk_all_us(const struct lnk *l, uint64_t more)
{
	const struct lnk_stream *s;

	DL_FOREACH(l->streams, s)
	more += s->left;
	return more * US_PER_S / l->rate;
}
