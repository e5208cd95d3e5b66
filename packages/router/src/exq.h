#ifndef EXQ_H
#define EXQ_H

/*
 * Priority queue of the requests for one upstream, with admission control for
 * overload. A request that cannot finish in time is rejected on arrival. More
 * urgent ranks are dequeued first, but less urgent ranks keep a minimum share.
 * Within a rank, requests that can still meet their objective are dequeued
 * first. The queue does no I/O.
 */

#include <stdbool.h>
#include <stdint.h>

struct exq_item {
	struct exq_item *prev, *next;
	uint64_t arrival_us;
	uint64_t objective_us; /* time by which the response is on time */
	uint64_t deadline_us; /* time at which the caller gives up */
	uint32_t rank; /* 0 is the most urgent */
	uint64_t estimate_us; /* expected run time at the upstream */
	uint64_t transfer_us; /* expected time to send the response */
};

struct exq;

struct exq *exq_create(void);
void exq_destroy(struct exq *q);

uint64_t exq_wait_us(struct exq *q, const struct exq_item *item,
		     uint32_t running, uint32_t slots, uint64_t mean_us,
		     uint64_t now_us);

bool exq_should_admit(const struct exq_item *item, uint64_t wait_us,
		      uint64_t now_us);

void exq_push(struct exq *q, struct exq_item *item);
void exq_remove(struct exq *q, struct exq_item *item);

struct exq_item *exq_pop(struct exq *q, uint64_t now_us);
struct exq_item *exq_pop_unservable(struct exq *q, uint64_t now_us);

uint32_t exq_count(const struct exq *q);
const struct exq_item *exq_first(const struct exq *q);

#endif
