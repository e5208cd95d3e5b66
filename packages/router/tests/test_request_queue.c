#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "clk.h"
#include "request_queue.h"

#define MS US_PER_MS
/* A rejection after this time counts as late; it could have been immediate. */
#define LATE_REJECT_US (100 * MS)

/* One kind of request in a simulated load. */
struct kind {
	uint32_t rank;
	uint64_t work_us;
	uint64_t objective_us;
	uint64_t deadline_us;
	double per_s;
};

/* Outcomes of the requests of one kind. */
struct outcomes {
	uint32_t arrived, on_time, late, rejected;
	uint32_t rejected_late; /* rejected after LATE_REJECT_US or more */
	uint64_t longest_wait_us; /* from arrival to rejection */
};

struct request {
	struct rqueue_item item;
	size_t kind;
	uint64_t finish_us;
	struct request *next_running;
};

struct simulation {
	struct rqueue *queue;
	const struct kind *kinds;
	struct outcomes *outcomes;
	struct request *running;
	uint32_t running_count, slots;
};

/* Completes the requests whose run time has elapsed. */
static void complete_finished(struct simulation *p, uint64_t now)
{
	struct request **at = &p->running;

	while (*at) {
		struct request *r = *at;

		if (r->finish_us > now) {
			at = &r->next_running;
			continue;
		}
		if (r->finish_us <= r->item.objective_us)
			p->outcomes[r->kind].on_time++;
		else
			p->outcomes[r->kind].late++;
		*at = r->next_running;
		p->running_count--;
		free(r);
	}
}

/* Counts and frees a rejected request. */
static void reject(struct simulation *p, struct request *r, uint64_t now)
{
	struct outcomes *t = &p->outcomes[r->kind];

	t->rejected++;
	t->rejected_late += now - r->item.arrival_us >= LATE_REJECT_US;
	if (now - r->item.arrival_us > t->longest_wait_us)
		t->longest_wait_us = now - r->item.arrival_us;
	free(r);
}

/* Rejects requests that would finish too late and fills the free slots. */
static void start_queued(struct simulation *p, uint64_t now)
{
	struct rqueue_item *i;

	while ((i = rqueue_pop_unservable(p->queue, now)))
		reject(p, (struct request *)i, now);
	while (p->running_count < p->slots && rqueue_count(p->queue) > 0) {
		struct request *r;

		/* The one that is looked at first is the one that starts. */
		i = rqueue_peek(p->queue, now);
		assert_ptr_equal(rqueue_pop(p->queue, now), i);
		r = (struct request *)i;
		r->finish_us = now + p->kinds[r->kind].work_us;
		r->next_running = p->running;
		p->running = r;
		p->running_count++;
	}
}

/* Admits or rejects a new request. */
static void add_arrival(struct simulation *p, size_t kind, uint64_t now)
{
	const struct kind *k = &p->kinds[kind];
	struct request *r = calloc(1, sizeof(*r));
	uint64_t wait;

	assert_non_null(r);
	r->kind = kind;
	r->item.arrival_us = now;
	r->item.rank = k->rank;
	r->item.estimate_us = k->work_us;
	r->item.objective_us = now + k->objective_us;
	r->item.deadline_us = now + k->deadline_us;
	p->outcomes[kind].arrived++;
	wait = rqueue_wait_us(p->queue, &r->item, p->running_count, p->slots,
			      k->work_us, now);
	if (rqueue_should_admit(&r->item, wait, now))
		rqueue_push(p->queue, &r->item);
	else
		reject(p, r, now);
}

/* Simulates a load on one upstream in steps of a millisecond. */
static void simulate(const struct kind *kinds, size_t count,
		     struct outcomes *outcomes, uint32_t slots,
		     uint32_t seconds)
{
	struct simulation p = {
		rqueue_create(), kinds, outcomes, NULL, 0, slots
	};
	double due[4] = { 0 };
	uint64_t end = (uint64_t)seconds * US_PER_S;

	for (uint64_t now = MS; now < end; now += MS) {
		complete_finished(&p, now);
		for (size_t k = 0; k < count; k++) {
			due[k] += kinds[k].per_s / 1000.0;
			for (; due[k] >= 1; due[k]--)
				add_arrival(&p, k, now);
		}
		start_queued(&p, now);
	}
	/* Arrivals have ended: drain the queue and the requests in flight. */
	for (uint64_t now = end; p.running || rqueue_count(p.queue) > 0;
	     now += MS) {
		complete_finished(&p, now);
		start_queued(&p, now);
	}
	rqueue_destroy(p.queue);
}

static const struct kind confirm = { 1, 78 * MS, 250 * MS, 1000 * MS, 0 };
static const struct kind lookup = { 2, 60 * MS, 200 * MS, 800 * MS, 0 };

/* Below capacity, every request is on time. */
static void test_light_load_is_on_time(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct outcomes t[2] = { 0 };

	(void)state;
	kinds[0].per_s = 15;
	kinds[1].per_s = 30;
	simulate(kinds, 2, t, 6, 10);
	assert_int_equal(t[0].on_time, t[0].arrived);
	assert_int_equal(t[1].on_time, t[1].arrived);
}

/*
 * At three times the capacity of one upstream, urgent requests are served
 * first, the others keep their share, and no slot is idle.
 */
static void test_overload_serves_by_rank(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct outcomes t[2] = { 0 };
	double work;

	(void)state;
	kinds[0].per_s = 70;
	kinds[1].per_s = 200;
	simulate(kinds, 2, t, 6, 20);
	assert_true((t[0].on_time + t[0].late) * 10 > t[0].arrived * 7);
	assert_true((t[1].on_time + t[1].late) * 20 > t[1].arrived);
	work = (t[0].on_time + t[0].late) * 0.078 +
	       (t[1].on_time + t[1].late) * 0.060;
	assert_true(work > 0.9 * 6 * 20);
}

/* Rejected requests are rejected well before their deadline. */
static void test_rejections_are_early(void **state)
{
	struct kind kinds[] = { confirm, lookup };
	struct outcomes t[2] = { 0 };

	(void)state;
	kinds[0].per_s = 70;
	kinds[1].per_s = 200;
	simulate(kinds, 2, t, 6, 20);
	assert_true(t[1].rejected > 0);
	assert_true(t[1].longest_wait_us < 600 * MS);
}

/*
 * Guards against calls of other upstreams, with an urgent rank and a short
 * objective, that are queued behind all other requests until their deadline
 * once they have missed the objective.
 */
static void test_late_calls_keep_their_rank(void **state)
{
	struct kind kinds[] = { { 1, 15 * MS, 20 * MS, 200 * MS, 100 },
				{ 2, 48 * MS, 250 * MS, 1000 * MS, 120 } };
	struct outcomes t[2] = { 0 };

	(void)state;
	simulate(kinds, 2, t, 6, 20);
	assert_true(t[0].rejected * 100 < t[0].arrived);
}

/*
 * Guards against a minimum share counted in requests instead of run time.
 * Urgent calls are short: when every fourth request was of a less urgent kind,
 * these used half of the run time, and calls within capacity were rejected.
 */
static void test_urgent_calls_get_their_share_of_run_time(void **state)
{
	struct kind kinds[] = { { 1, 22 * MS, 100 * MS, 250 * MS, 290 },
				{ 2, 72 * MS, 300 * MS, 2000 * MS, 130 } };
	struct outcomes t[2] = { 0 };

	(void)state;
	simulate(kinds, 2, t, 9, 20);
	assert_true(t[0].rejected * 50 < t[0].arrived);
	assert_true((t[1].on_time + t[1].late) * 100 > t[1].arrived * 15);
}

/* Responses of a kind, where a late one counts as 0.3 of one on time. */
static double weighted_responses(const struct outcomes *t)
{
	return t->on_time + 0.3 * t->late;
}

/*
 * Guards against requests that are admitted and never started, at two and three
 * times the capacity of an upstream with few slots. Later requests of a more
 * urgent rank, or of the same rank and on time, overtook them, so that they
 * stayed queued for three quarters of their time and were then rejected, and
 * most requests that were served were late.
 */
static void test_unservable_requests_are_rejected_on_arrival(void **state)
{
	struct kind kinds[] = { { 1, 120 * MS, 500 * MS, 2000 * MS, 0 },
				{ 2, 93 * MS, 400 * MS, 1500 * MS, 0 } };

	(void)state;
	for (int load = 2; load <= 3; load++) {
		struct outcomes t[2] = { 0 };
		double work;

		kinds[0].per_s = load * 12.5;
		kinds[1].per_s = load * 27;
		simulate(kinds, 2, t, 4, 30);
		work = (t[0].on_time + t[0].late) * 0.120 +
		       (t[1].on_time + t[1].late) * 0.093;
		printf("load %d: confirm %u on time, %u late, %u rejected, "
		       "%u rejected late; lookup %u on time, %u late, "
		       "%u rejected, %u rejected late\n",
		       load, t[0].on_time, t[0].late, t[0].rejected,
		       t[0].rejected_late, t[1].on_time, t[1].late,
		       t[1].rejected, t[1].rejected_late);
		assert_true(work > 0.9 * 4 * 30);
		assert_true(weighted_responses(&t[0]) >
			    0.8 * (t[0].on_time + t[0].late));
		assert_true(weighted_responses(&t[1]) >
			    0.8 * (t[1].on_time + t[1].late));
		assert_true(t[1].rejected_late * 20 < t[1].rejected);
	}
}

/* Guards against running downloads that the link cannot send in time. */
static void test_download_without_time_on_the_link_is_refused(void **state)
{
	struct rqueue *q = rqueue_create();
	struct rqueue_item i = { .deadline_us = 2000 * MS,
				 .objective_us = 500 * MS,
				 .estimate_us = 75 * MS,
				 .transfer_us = 300 * MS };

	(void)state;
	assert_true(rqueue_should_admit(&i, 0, 1));
	i.transfer_us = 1500 * MS;
	assert_false(rqueue_should_admit(&i, 0, 1));
	rqueue_push(q, &i);
	assert_ptr_equal(rqueue_pop_unservable(q, 1), &i);
	rqueue_destroy(q);
}

/* An upstream without slots admits no request. */
static void test_no_slots_admit_nothing(void **state)
{
	struct rqueue *q = rqueue_create();
	struct rqueue_item i = { .deadline_us = 800 * MS,
				 .objective_us = 200 * MS,
				 .estimate_us = 60 * MS };

	(void)state;
	assert_false(rqueue_should_admit(
		&i, rqueue_wait_us(q, &i, 0, 0, 60 * MS, 1), 1));
	rqueue_destroy(q);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_light_load_is_on_time),
		cmocka_unit_test(test_overload_serves_by_rank),
		cmocka_unit_test(test_rejections_are_early),
		cmocka_unit_test(test_late_calls_keep_their_rank),
		cmocka_unit_test(test_urgent_calls_get_their_share_of_run_time),
		cmocka_unit_test(
			test_unservable_requests_are_rejected_on_arrival),
		cmocka_unit_test(
			test_download_without_time_on_the_link_is_refused),
		cmocka_unit_test(test_no_slots_admit_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
