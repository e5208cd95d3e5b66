#ifndef REQUEST_QUEUE_H
#define REQUEST_QUEUE_H

/*
 * Priority queue of the requests for one upstream, with admission control for
 * overload. A request that cannot finish in time is rejected on arrival. More
 * urgent ranks are dequeued first, but less urgent ranks keep a minimum share.
 * Within a rank, requests that can still meet their objective are dequeued
 * first. The queue does no I/O.
 */

#include <stdbool.h>
#include <stdint.h>

struct rqueue_item {
	struct rqueue_item *prev, *next;
	uint64_t arrival_us;
	uint64_t objective_us; /* time by which the response is on time */
	uint64_t deadline_us; /* time at which the caller gives up */
	uint32_t rank; /* 0 is the most urgent */
	uint64_t estimate_us; /* expected run time at the upstream */
	uint64_t transfer_us; /* expected time to send the response */
};

struct rqueue;

struct rqueue *rqueue_create(void);
void rqueue_destroy(struct rqueue *q);

uint64_t rqueue_wait_us(struct rqueue *q, const struct rqueue_item *item,
			uint32_t running, uint32_t slots, uint64_t mean_us,
			uint64_t now_us);

uint32_t rqueue_ahead(const struct rqueue *q, const struct rqueue_item *item,
		      uint64_t now_us);

bool rqueue_should_admit(const struct rqueue_item *item, uint64_t wait_us,
			 uint64_t now_us);

void rqueue_push(struct rqueue *q, struct rqueue_item *item);
void rqueue_remove(struct rqueue *q, struct rqueue_item *item);

struct rqueue_item *rqueue_peek(const struct rqueue *q, uint64_t now_us);
struct rqueue_item *rqueue_pop(struct rqueue *q, uint64_t now_us);
struct rqueue_item *rqueue_pop_unservable(struct rqueue *q, uint64_t now_us);

uint32_t rqueue_count(const struct rqueue *q);
const struct rqueue_item *rqueue_first(const struct rqueue *q);

#endif
