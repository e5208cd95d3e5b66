#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "clk.h"
#include "exq.h"

#define MS US_PER_MS
/* A refusal that comes later could have come at once. */
#define HELD_US (100 * MS)

/* One kind of request in a played load. */
struct kind {
	uint32_t rank;
	uint64_t work_us;
	uint64_t objective_us;
	uint64_t deadline_us;
	double per_s;
};

/* What the callers of one kind got. */
struct tally {
	uint32_t asked, on_time, late, refused;
	uint32_t held; /* refused after a tenth of a second or more */
	uint64_t longest_wait_us; /* until a refusal */
};

struct request {
	struct exq_item item;
	size_t kind;
	uint64_t ends_us;
	struct request *next_running;
};

struct play {
	struct exq *queue;
	const struct kind *kinds;
	struct tally *tally;
	struct request *running;
	uint32_t running_count, slots;
};

/* Ends what is done at now. */
static void end_done(struct play *p, uint64_t now)
{
	struct request **at = &p->running;

	while (*at) {
		struct request *r = *at;

		if (r->ends_us > now) {
			at = &r->next_running;
			continue;
		}
		if (r->ends_us <= r->item.objective_us)
			p->tally[r->kind].on_time++;
		else
			p->tally[r->kind].late++;
		*at = r->next_running;
		p->running_count--;
		free(r);
	}
}

/* Counts a refusal. */
static void refuse(struct play *p, struct request *r, uint64_t now)
{
	struct tally *t = &p->tally[r->kind];

	t->refused++;
	t->held += now - r->item.came_us >= HELD_US;
	if (now - r->item.came_us > t->longest_wait_us)
		t->longest_wait_us = now - r->item.came_us;
	free(r);
}

/* Starts what waits. */
static void start(struct play *p, uint64_t now)
{
	struct exq_item *i;

	while ((i = exq_pop_hopeless(p->queue, now)))
		refuse(p, (struct request *)i, now);
	while (p->running_count < p->slots && (i = exq_pop(p->queue, now))) {
		struct request *r = (struct request *)i;

		r->ends_us = now + p->kinds[r->kind].work_us;
		r->next_running = p->running;
		p->running = r;
		p->running_count++;
	}
}

/* A request comes. */
static void arrive(struct play *p, size_t kind, uint64_t now)
{
	const struct kind *k = &p->kinds[kind];
	struct request *r = calloc(1, sizeof(*r));
	uint64_t wait;

	assert_non_null(r);
	r->kind = kind;
	r->item.came_us = now;
	r->item.rank = k->rank;
	r->item.estimate_us = k->work_us;
	r->item.objective_us = now + k->objective_us;
	r->item.deadline_us = now + k->deadline_us;
	p->tally[kind].asked++;
	wait = exq_wait_us(p->queue, &r->item, p->running_count, p->slots,
			   k->work_us, now);
	if (exq_is_worth(&r->item, wait, now))
		exq_add(p->queue, &r->item);
	else
		refuse(p, r, now);
}

/* Plays seconds of load on one upstream, in steps of a millisecond. */
static void play(const struct kind *kinds, size_t count, struct tally *tally,
		 uint32_t slots, uint32_t seconds)
{
	struct play p = { exq_create(), kinds, tally, NULL, 0, slots };
	double owed[4] = { 0 };
	uint64_t end = (uint64_t)seconds * US_PER_S;

	for (uint64_t now = MS; now < end; now += MS) {
		end_done(&p, now);
		for (size_t k = 0; k < count; k++) {
			owed[k] += kinds[k].per_s / 1000.0;
			for (; owed[k] >= 1; owed[k]--)
				arrive(&p, k, now);
		}
		start(&p, now);
	}
	/* Nothing new comes: what waits is refused, what runs ends. */
	for (uint64_t now = end; p.running || exq_count(p.queue) > 0;
	     now += MS) {
		end_done(&p, now);
		start(&p, now);
	}
	exq_destroy(p.queue);
}

static const struct kind confirm = { 1, 78 * MS, 250 * MS, 1000 * MS, 0 };
static const struct kind lookup = { 2, 60 * MS, 200 * MS, 800 * MS, 0 };

/* With room for all, all are on time. */
static void test_light_load_is_on_time(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct tally t[2] = { 0 };

	(void)state;
	kinds[0].per_s = 15;
	kinds[1].per_s = 30;
	play(kinds, 2, t, 6, 10);
	assert_int_equal(t[0].on_time, t[0].asked);
	assert_int_equal(t[1].on_time, t[1].asked);
}

/*
 * With three times the load that one upstream carries, urgent requests are
 * served first, the others keep a share, and slots do not idle.
 */
static void test_overload_serves_by_rank(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct tally t[2] = { 0 };
	double work;

	(void)state;
	kinds[0].per_s = 70;
	kinds[1].per_s = 200;
	play(kinds, 2, t, 6, 20);
	assert_true((t[0].on_time + t[0].late) * 10 > t[0].asked * 7);
	assert_true((t[1].on_time + t[1].late) * 20 > t[1].asked);
	work = (t[0].on_time + t[0].late) * 0.078 +
	       (t[1].on_time + t[1].late) * 0.060;
	assert_true(work > 0.9 * 6 * 20);
}

/* What is refused is refused well before its deadline. */
static void test_refusals_come_early(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct tally t[2] = { 0 };

	(void)state;
	kinds[0].per_s = 70;
	kinds[1].per_s = 200;
	play(kinds, 2, t, 6, 20);
	assert_true(t[1].refused > 0);
	assert_true(t[1].longest_wait_us < 600 * MS);
}

/*
 * Calls of other upstreams have a short objective and an urgent rank. When they
 * missed it they went behind everything else until their deadline.
 */
static void test_late_calls_keep_their_rank(void **state)
{
	struct kind kinds[] = { { 1, 15 * MS, 20 * MS, 200 * MS, 100 },
				{ 2, 48 * MS, 250 * MS, 1000 * MS, 120 } };
	struct tally t[2] = { 0 };

	(void)state;
	play(kinds, 2, t, 6, 20);
	assert_true(t[0].refused * 100 < t[0].asked);
}

/*
 * Urgent calls are short. When every fourth request was of another kind, these
 * got half of the work, and calls that would have fitted were refused.
 */
static void test_calls_get_what_they_need(void **state)
{
	struct kind kinds[] = { { 1, 22 * MS, 100 * MS, 250 * MS, 290 },
				{ 2, 72 * MS, 300 * MS, 2000 * MS, 130 } };
	struct tally t[2] = { 0 };

	(void)state;
	play(kinds, 2, t, 9, 20);
	assert_true(t[0].refused * 50 < t[0].asked);
	assert_true((t[1].on_time + t[1].late) * 100 > t[1].asked * 15);
}

/* What the callers of a kind got, in responses that were on time. */
static double worth_of(const struct tally *t)
{
	return t->on_time + 0.3 * t->late;
}

/*
 * Two and three times the load that an upstream with few slots carries, of a
 * grown service. Requests were taken whose turn never came, as later ones of a
 * more urgent kind, or of their own kind and on time, went first: they were held
 * to three quarters of their time and then refused, and most of those that were
 * served were late.
 */
static void test_hopeless_requests_are_not_taken(void **state)
{
	struct kind kinds[] = { { 1, 120 * MS, 500 * MS, 2000 * MS, 0 },
				{ 2, 93 * MS, 400 * MS, 1500 * MS, 0 } };

	(void)state;
	for (int load = 2; load <= 3; load++) {
		struct tally t[2] = { 0 };
		double work;

		kinds[0].per_s = load * 12.5;
		kinds[1].per_s = load * 27;
		play(kinds, 2, t, 4, 30);
		work = (t[0].on_time + t[0].late) * 0.120 +
		       (t[1].on_time + t[1].late) * 0.093;
		printf("load %d: confirm %u on time %u late %u refused %u held; "
		       "lookup %u on time %u late %u refused %u held\n",
		       load, t[0].on_time, t[0].late, t[0].refused, t[0].held,
		       t[1].on_time, t[1].late, t[1].refused, t[1].held);
		assert_true(work > 0.9 * 4 * 30);
		assert_true(worth_of(&t[0]) > 0.8 * (t[0].on_time + t[0].late));
		assert_true(worth_of(&t[1]) > 0.8 * (t[1].on_time + t[1].late));
		assert_true(t[1].held * 20 < t[1].refused);
	}
}

/* Guards against downloads that run although the link has no time for them. */
static void test_download_without_time_on_the_link_is_refused(void **state)
{
	struct exq *q = exq_create();
	struct exq_item i = { .deadline_us = 2000 * MS,
			      .objective_us = 500 * MS,
			      .estimate_us = 75 * MS,
			      .transfer_us = 300 * MS };

	(void)state;
	assert_true(exq_is_worth(&i, 0, 1));
	i.transfer_us = 1500 * MS;
	assert_false(exq_is_worth(&i, 0, 1));
	exq_add(q, &i);
	assert_ptr_equal(exq_pop_hopeless(q, 1), &i);
	exq_destroy(q);
}

/* Without slots nothing is worth waiting for. */
static void test_no_slots(void **state)
{
	struct exq *q = exq_create();
	struct exq_item i = { .deadline_us = 800 * MS,
			      .objective_us = 200 * MS,
			      .estimate_us = 60 * MS };

	(void)state;
	assert_false(exq_is_worth(&i, exq_wait_us(q, &i, 0, 0, 60 * MS, 1), 1));
	exq_destroy(q);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_light_load_is_on_time),
		cmocka_unit_test(test_overload_serves_by_rank),
		cmocka_unit_test(test_refusals_come_early),
		cmocka_unit_test(test_late_calls_keep_their_rank),
		cmocka_unit_test(test_calls_get_what_they_need),
		cmocka_unit_test(test_hopeless_requests_are_not_taken),
		cmocka_unit_test(
			test_download_without_time_on_the_link_is_refused),
		cmocka_unit_test(test_no_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
