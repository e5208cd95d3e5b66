#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#define FANOUT 4 /* peers that hear of something new at once */
#define RUNS 20
#define SECONDS_MAX 60

/* How far a change has come: the round in which each daemon learned it. */
struct crowd {
	uint32_t size;
	uint32_t informed;
	uint32_t told; /* of learned, how many have told others */
	uint32_t *learned; /* in the order of learning */
	bool *knows;
	uint64_t digests;
};

static void inform(struct crowd *c, uint32_t i)
{
	if (c->knows[i])
		return;
	c->knows[i] = true;
	c->learned[c->informed++] = i;
}

/* Each daemon that learned in the last round tells FANOUT random ones. */
static uint32_t push(struct slp *s, struct crowd *c)
{
	uint32_t rounds = 0;

	while (c->told < c->informed) {
		uint32_t end = c->informed;

		for (; c->told < end; c->told++) {
			for (int k = 0; k < FANOUT; k++)
				inform(c, (uint32_t)(slp_random(s) % c->size));
			c->digests += FANOUT;
		}
		rounds++;
	}
	return rounds;
}

/* Each daemon exchanges a digest with a random one; returns the seconds. */
static uint32_t exchange(struct slp *s, struct crowd *c)
{
	uint32_t seconds = 0;

	while (c->informed < c->size && seconds < SECONDS_MAX) {
		seconds++;
		for (uint32_t i = 0; i < c->size; i++) {
			uint32_t k = (uint32_t)(slp_random(s) % c->size);

			if (c->knows[i] != c->knows[k])
				inform(c, c->knows[i] ? k : i);
		}
		push(s, c);
	}
	return seconds;
}

/* The means over several runs, and the largest number of seconds. */
static bool measure(struct slp *s, uint32_t size)
{
	struct crowd c = { .size = size };
	double rounds = 0;
	double late = 0;
	uint32_t seconds = 0;

	c.learned = calloc(size, sizeof(*c.learned));
	c.knows = calloc(size, sizeof(*c.knows));
	for (int i = 0; c.learned && c.knows && i < RUNS; i++) {
		uint32_t taken;

		memset(c.knows, 0, size * sizeof(*c.knows));
		c.informed = 0;
		c.told = 0;
		inform(&c, 0);
		rounds += push(s, &c);
		late += size - c.informed;
		taken = exchange(s, &c);
		seconds = taken > seconds ? taken : seconds;
	}
	printf("spread: members=%u push_rounds=%.1f missed_by_push=%.1f "
	       "digest_seconds_max=%u push_digests_per_member=%.2f\n",
	       size, rounds / RUNS, late / RUNS, seconds,
	       (double)c.digests / RUNS / size);
	free(c.learned);
	free(c.knows);
	return seconds < SECONDS_MAX;
}

/* Simulates the spreading of one change over 100 to 6,700 daemons. */
bool slp_spread(struct slp *s)
{
	static const uint32_t sizes[] = { 11, 100, 1000, 6700 };
	bool ok = true;

	for (int i = 0; ok && i < 4; i++) {
		if (slp_wants(s, sizes[i]))
			ok = measure(s, sizes[i]);
	}
	return ok;
}
