#include "ratelimit.h"

#include "clk.h"

/*
 * Time for which unused tokens are kept, so that short gaps between requests do
 * not lower the rate. At least one request's token is kept.
 */
#define SAVED_S 0.25
/*
 * Lowest rate in force. Only an answer can lift a limit, so an upstream that
 * takes nothing is asked now and then whether it still does.
 */
#define PER_S_MIN 0.5

/* Returns the most tokens that are saved. */
static double max_tokens(double per_s)
{
	double tokens = per_s * SAVED_S;

	return tokens > 1 ? tokens : 1;
}

/* Returns the tokens at a time. */
static double count_tokens(const struct ratelimit *l, uint64_t now_us)
{
	double tokens = l->tokens + (double)clk_elapsed(now_us, l->updated_us) *
					    l->per_s / (double)US_PER_S;
	double most = max_tokens(l->per_s);

	return tokens < most ? tokens : most;
}

/* A new limit starts without tokens, as requests are in flight already. */
void ratelimit_set(struct ratelimit *l, double per_s, uint64_t now_us)
{
	double tokens = l->active ? count_tokens(l, now_us) : 0;

	if (per_s < PER_S_MIN)
		per_s = PER_S_MIN;
	if (l->active && per_s == l->per_s)
		return;
	l->active = true;
	l->per_s = per_s;
	l->tokens = tokens < max_tokens(per_s) ? tokens : max_tokens(per_s);
	l->updated_us = now_us;
}

/* Lifts the limit. */
void ratelimit_clear(struct ratelimit *l)
{
	l->active = false;
}

/* Takes a token, unless less than one has come. */
bool ratelimit_take(struct ratelimit *l, uint64_t now_us)
{
	double tokens;

	if (!l->active)
		return true;
	tokens = count_tokens(l, now_us);
	if (tokens < 1)
		return false;
	l->tokens = tokens - 1;
	l->updated_us = now_us;
	return true;
}

/* A request starts when it and all ahead of it have a token. */
uint64_t ratelimit_wait_us(const struct ratelimit *l, uint32_t ahead,
			   uint64_t now_us)
{
	double missing;

	if (!l->active)
		return 0;
	missing = (double)ahead + 1 - count_tokens(l, now_us);
	return missing > 0 ? (uint64_t)(missing / l->per_s * (double)US_PER_S) :
			     0;
}
