#include "pace.h"

#include <math.h>
#include <string.h>

#include "clk.h"

/* Fewest answers in a round; the mean of fewer run times says little. */
#define ROUND_MIN 6
/* Answers in a round for each request of the limit. */
#define ROUND_FACTOR 2
/* Runs that a usual run time is the mean of. */
#define KIND_RUNS 4
/*
 * A round is quick up to this multiple of the best one. Run times of a kind vary
 * by about half of their mean, so that those of a round with few answers may
 * differ more without a cause.
 */
#define QUICK_FACTOR 1.6
#define NOISE_FACTOR 1.5
/* Answers of a round that correct the best one by half of the difference. */
#define BEST_ANSWERS 24
/* Answers at the lowest limit, after a slow round, that show what is usual. */
#define USUAL_MIN 24
/* The limit grows by 1/GROWTH_DIVISOR once a run has been slow. */
#define GROWTH_DIVISOR 4
/* Quick rounds with all slots allowed that end a recovery without many calls. */
#define QUICK_ROUNDS 3
/*
 * Failures in a round that shrink the limit: at least so many, and more than one
 * of FAILED_DIVISOR answers. Single ones may have to do with the requests.
 */
#define FAILED_MIN 3
#define FAILED_DIVISOR 4
#define PERCENT 100.0

/* Begins a round; requests that run already say nothing about it. */
static void begin_round(struct pace *p, uint64_t now_us)
{
	p->began_us = now_us;
	p->answers = 0;
	p->failures = 0;
	p->peak = 0;
	p->run_us = 0;
	p->usual_us = 0;
	p->open = 0;
	p->open_sent_us = 0;
}

/* Nothing is known of the upstream: also a usual run may take longer now. */
void pace_begin(struct pace *p, uint32_t slots, uint64_t now_us)
{
	memset(p, 0, sizeof(*p));
	p->active = slots > PACE_START;
	p->doubling = true;
	p->limit = PACE_START;
	p->slots = slots;
	p->level = 1;
	begin_round(p, now_us);
}

/* Without a recovery all slots are usable. */
uint32_t pace_usable(const struct pace *p, uint32_t slots)
{
	return p->active && p->limit < slots ? p->limit : slots;
}

/* Records the request, and the highest concurrency of the round. */
void pace_sent(struct pace *p, uint32_t running, uint64_t now_us)
{
	if (running > p->peak)
		p->peak = running;
	p->open++;
	p->open_sent_us += clk_elapsed(now_us, p->began_us);
}

/* Removes a request from those that are not answered. */
void pace_forget(struct pace *p, uint64_t sent_us)
{
	if (!p->active || sent_us < p->began_us || p->open == 0)
		return;
	p->open--;
	p->open_sent_us -= sent_us - p->began_us;
}

/*
 * Returns the usual run time of a kind, with this run if it is a first one. Runs
 * at a limit at which all are slower say less of it.
 */
static double usual_us(struct pace *p, uint32_t kind, double run_us)
{
	double *mean_us = &p->kind_us[kind % PACE_KINDS];
	uint32_t *runs = &p->kind_runs[kind % PACE_KINDS];

	if (*runs < KIND_RUNS) {
		++*runs;
		*mean_us += (run_us / p->level - *mean_us) / *runs;
	}
	return *mean_us;
}

/* Allows more, if what was allowed has been used. */
static void grow(struct pace *p)
{
	uint32_t more = p->limit / GROWTH_DIVISOR;

	if (p->peak * 2 < p->limit)
		return;
	if (p->doubling)
		more = p->limit;
	else if (more == 0)
		more = 1;
	p->limit = p->limit + more < p->slots ? p->limit + more : p->slots;
}

/* Ends the recovery once all slots are in use and answers are quick. */
static void handle_quick(struct pace *p, double multiple)
{
	if (multiple < p->best)
		p->best += (multiple - p->best) * p->answers /
			   (p->answers + BEST_ANSWERS);
	if (p->limit < p->slots) {
		grow(p);
		return;
	}
	p->quick_rounds++;
	p->active = p->peak < p->slots && p->quick_rounds < QUICK_ROUNDS;
}

/*
 * Shrinks the limit to what the upstream can run as quickly as allowed. What is
 * slow while the limit is not in use has another cause than the limit.
 */
static void handle_slow(struct pace *p, double multiple)
{
	uint32_t limit =
		(uint32_t)(p->limit * p->best * QUICK_FACTOR / multiple);

	p->quick_rounds = 0;
	if (p->peak * 2 < p->limit)
		return;
	p->doubling = false;
	if (limit < p->limit / 2)
		limit = p->limit / 2;
	p->limit = limit > PACE_START ? limit : PACE_START;
}

/*
 * What runs take at the lowest limit is not due to the limit: it is the best one
 * from now on, and the limit may double again.
 */
static void handle_lowest(struct pace *p, double multiple)
{
	p->best = multiple;
	p->doubling = true;
	grow(p);
}

/*
 * Judges a round that has all its answers. The time of the requests that are not
 * answered yet counts, too: the first answers are those of the shortest runs.
 */
static void end_round(struct pace *p, uint64_t now_us)
{
	double open_us = (double)p->open * (double)(now_us - p->began_us) -
			 (double)p->open_sent_us;
	double multiple = (p->run_us + open_us * p->speed) /
			  (p->usual_us > 0 ? p->usual_us : 1);
	double allowed;

	if (p->best <= 0)
		p->best = multiple;
	if (!p->doubling && p->limit <= PACE_START && p->answers < USUAL_MIN)
		return;
	allowed = p->best *
		  (QUICK_FACTOR + NOISE_FACTOR / sqrt((double)p->answers));
	p->level = multiple > p->best ? multiple / p->best : 1;
	if (!p->doubling && p->limit <= PACE_START)
		handle_lowest(p, multiple);
	else if (multiple <= allowed)
		handle_quick(p, multiple);
	else
		handle_slow(p, multiple);
	begin_round(p, now_us);
}

/* Runs are compared as they would take on a machine at its usual speed. */
void pace_answered(struct pace *p, const struct pace_run *r, uint64_t now_us)
{
	double speed = r->slowdown_pct > 0 ? PERCENT / r->slowdown_pct : 1;
	double run_us = (double)r->run_us * speed;

	if (!p->active || r->sent_us < p->began_us)
		return;
	pace_forget(p, r->sent_us);
	p->speed = speed;
	p->usual_us += usual_us(p, r->kind, run_us);
	p->run_us += run_us;
	p->answers++;
	if (p->answers >= ROUND_MIN && p->answers >= p->limit * ROUND_FACTOR)
		end_round(p, now_us);
}

/* Halves the limit, once for all that fail together. */
void pace_failed(struct pace *p, uint64_t sent_us, uint64_t now_us)
{
	if (!p->active || sent_us < p->began_us)
		return;
	pace_forget(p, sent_us);
	p->failures++;
	if (p->failures < FAILED_MIN ||
	    p->failures * FAILED_DIVISOR <= p->answers + p->failures)
		return;
	p->doubling = false;
	p->quick_rounds = 0;
	p->limit = p->limit > 1 ? p->limit / 2 : 1;
	begin_round(p, now_us);
}
