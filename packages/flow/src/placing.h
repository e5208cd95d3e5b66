#ifndef PLACING_H
#define PLACING_H

/*
 * Placement of requests that any upstream of a service may take, by the time in
 * which each is likely to answer. It responds to upstreams of uneven speed and
 * with uneven load: one that is slow at the moment would answer late although
 * it has free slots. Does no I/O.
 */

#include <stdbool.h>
#include <stdint.h>

/* What is known of an upstream. */
struct placing_option {
	double use; /* requests there as a multiple of its slots */
	uint64_t run_us; /* mean time of a run, at its usual speed */
	uint32_t slowdown_pct; /* of that time, as last reported; 100 usual */
	double confidence; /* in use and slowdown_pct, 1 to 0 with their age */
	uint64_t transit_us; /* to the upstream and back */
};

/* A request, as far as it matters for its placement. */
struct placing_request {
	double size; /* its run time as a multiple of the mean */
	uint64_t bytes; /* that cross data centres; 0 within one */
	uint64_t objective_us; /* time left to its objective, 0 for none */
};

/* Predicts the time from sending to the answer, in microseconds. */
uint64_t placing_answer_us(const struct placing_option *o,
			   const struct placing_request *r);

/*
 * Returns the cost of an option: its time with a random part, so that daemons
 * that know the same do not all choose the same upstream. random is a draw
 * below PLACING_RANDOM_RANGE.
 */
#define PLACING_RANDOM_RANGE 1024
uint64_t placing_cost(const struct placing_option *o,
		      const struct placing_request *r, uint32_t random);

/*
 * Decides at an upstream whether a request is passed back to be sent to another
 * one: it would miss its objective here, and it would not if this upstream were
 * idle and at its usual speed.
 */
bool placing_should_pass_back(uint64_t wait_us, uint64_t usual_run_us,
			      uint32_t slowdown_pct, uint64_t left_us);

#endif
