#ifndef EXQ_H
#define EXQ_H

/*
 * Queue of requests before one upstream. It answers more load than the upstream
 * can carry: what cannot be answered in time is refused on arrival, the more
 * urgent kinds go before the others, of which each keeps a share, and of one
 * kind goes first what can still be answered within its objective. No I/O.
 */

#include <stdbool.h>
#include <stdint.h>

struct exq_item {
	struct exq_item *prev, *next;
	uint64_t came_us;
	uint64_t objective_us; /* a response until then has its full worth */
	uint64_t deadline_us; /* nobody waits any longer */
	uint32_t rank; /* 0 is the most urgent */
	uint64_t estimate_us; /* of the upstream's work */
	uint64_t transfer_us; /* from its end until the response has left */
};

struct exq;

struct exq *exq_create(void);
void exq_destroy(struct exq *q);

/*
 * Time until a request that comes now would begin, given the requests that run
 * and the slots for them.
 */
uint64_t exq_wait_us(struct exq *q, const struct exq_item *item,
		     uint32_t running, uint32_t slots, uint64_t mean_us,
		     uint64_t now_us);

/* True if a request that begins after wait_us is worth its place. */
bool exq_is_worth(const struct exq_item *item, uint64_t wait_us,
		  uint64_t now_us);

void exq_add(struct exq *q, struct exq_item *item);
void exq_remove(struct exq *q, struct exq_item *item);

/* Takes the request that goes next, NULL if none waits. */
struct exq_item *exq_pop(struct exq *q, uint64_t now_us);

/* Takes a request that is no longer worth its place, NULL if none. */
struct exq_item *exq_pop_hopeless(struct exq *q, uint64_t now_us);

uint32_t exq_count(const struct exq *q);

/* The first request, and through `next` all; for looking only. */
const struct exq_item *exq_first(const struct exq *q);

#endif
