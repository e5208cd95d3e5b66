#include "quarantine.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "ctr.h"
#include "log.h"

struct node {
	struct quarantine_entry entry;
	UT_hash_handle hh;
};

struct quarantine_table {
	struct node *nodes;
	bool suspect_running;
	uint64_t suspect; /* fingerprint of the running suspect */
};

/* Returns NULL when memory is exhausted. */
struct quarantine_table *quarantine_create(void)
{
	return calloc(1, sizeof(struct quarantine_table));
}

static void remove_entry(struct quarantine_table *q, struct node *n)
{
	HASH_DEL(q->nodes, n);
	free(n);
}

/* q may be NULL. */
void quarantine_destroy(struct quarantine_table *q)
{
	struct node *n, *next;

	if (!q)
		return;
	n = q->nodes;
	HASH_CLEAR(hh, q->nodes);
	for (; n; n = next) {
		next = n->hh.next;
		free(n);
	}
	free(q);
}

/* Hashes each part with the previous hash as its seed. */
uint64_t quarantine_fingerprint(uint16_t service, uint32_t kind,
				const char *target, const void *body,
				size_t len)
{
	uint64_t seed = (uint64_t)service << 32 | kind;

	seed = XXH3_64bits_withSeed(target, strlen(target), seed);
	return XXH3_64bits_withSeed(len ? body : "", len, seed);
}

static struct node *find(const struct quarantine_table *q, uint64_t fingerprint)
{
	struct node *n = NULL;

	HASH_FIND(hh, q->nodes, &fingerprint, sizeof(fingerprint), n);
	return n;
}

/* If the clock was set back, a strike counts as new, not as expired. */
static bool is_expired(const struct node *n, uint64_t now_ms)
{
	return now_ms >= n->entry.last_ms &&
	       now_ms - n->entry.last_ms >= QUARANTINE_STRIKE_TTL_MS;
}

/* Removes the entry with the fewest strikes, the oldest if several have. */
static void evict(struct quarantine_table *q)
{
	struct node *n, *next, *victim = NULL;

	HASH_ITER(hh, q->nodes, n, next) {
		if (!victim || n->entry.strikes < victim->entry.strikes ||
		    (n->entry.strikes == victim->entry.strikes &&
		     n->entry.last_ms < victim->entry.last_ms))
			victim = n;
	}
	if (victim)
		remove_entry(q, victim);
}

/* Returns NULL when memory is exhausted; a new entry has no strikes. */
static struct node *find_or_add(struct quarantine_table *q,
				uint64_t fingerprint, const char *label)
{
	struct node *n = find(q, fingerprint);

	if (n)
		return n;
	if (HASH_COUNT(q->nodes) >= QUARANTINE_ENTRIES_MAX)
		evict(q);
	n = calloc(1, sizeof(*n));
	if (!n)
		return NULL;
	n->entry.fingerprint = fingerprint;
	snprintf(n->entry.label, sizeof(n->entry.label), "%s",
		 label ? label : "");
	HASH_ADD(hh, q->nodes, entry.fingerprint, sizeof(fingerprint), n);
	return n;
}

/* Sets the strikes of an entry; logs and counts a new quarantine. */
static void set_strikes(struct node *n, uint32_t strikes, uint64_t now_ms)
{
	if (n->entry.strikes < QUARANTINE_STRIKES_LIMIT &&
	    strikes >= QUARANTINE_STRIKES_LIMIT) {
		ctr_add(CTR_QUARANTINES, 1);
		log_emit(LOG_REQUEST_QUARANTINED,
			 "fingerprint=%016" PRIx64 " strikes=%" PRIu32
			 " request=\"%s\"",
			 n->entry.fingerprint, strikes, n->entry.label);
	}
	n->entry.strikes = strikes;
	n->entry.last_ms = now_ms;
}

/* Expired strikes are discarded first. */
uint32_t quarantine_add_strike(struct quarantine_table *q, uint64_t fingerprint,
			       const char *label, uint64_t now_ms)
{
	struct node *n = find_or_add(q, fingerprint, label);

	if (!n)
		return 0;
	if (is_expired(n, now_ms))
		n->entry.strikes = 0;
	set_strikes(n, n->entry.strikes + 1, now_ms);
	return n->entry.strikes;
}

/*
 * Keeps the larger of both counts, as local strikes may not have been written
 * to the table yet. A count that is already known does not extend the lifetime
 * of the strikes.
 */
void quarantine_merge(struct quarantine_table *q, uint64_t fingerprint,
		      uint32_t strikes, const char *label, uint64_t now_ms)
{
	struct node *n;

	if (strikes == 0) {
		quarantine_lift(q, fingerprint);
		return;
	}
	n = find_or_add(q, fingerprint, label);
	if (!n)
		return;
	if (is_expired(n, now_ms))
		n->entry.strikes = 0;
	if (strikes > n->entry.strikes)
		set_strikes(n, strikes, now_ms);
}

bool quarantine_lift(struct quarantine_table *q, uint64_t fingerprint)
{
	struct node *n = find(q, fingerprint);

	if (n)
		remove_entry(q, n);
	return n != NULL;
}

/* Ignores expired strikes, even if they have not been removed yet. */
enum quarantine_verdict quarantine_check(const struct quarantine_table *q,
					 uint64_t fingerprint, uint64_t now_ms)
{
	const struct node *n = find(q, fingerprint);

	if (!n || n->entry.strikes == 0 || is_expired(n, now_ms))
		return QUARANTINE_NONE;
	return n->entry.strikes >= QUARANTINE_STRIKES_LIMIT ?
		       QUARANTINE_REFUSE :
		       QUARANTINE_SUSPECT;
}

/*
 * If two suspects ran at the same time and one crashed the upstream, both would
 * get a strike and the harmless one would be quarantined as well.
 */
bool quarantine_suspect_begin(struct quarantine_table *q, uint64_t fingerprint)
{
	if (q->suspect_running)
		return false;
	q->suspect_running = true;
	q->suspect = fingerprint;
	return true;
}

/* Does nothing for a fingerprint that is not the running suspect. */
void quarantine_suspect_end(struct quarantine_table *q, uint64_t fingerprint)
{
	if (q->suspect_running && q->suspect == fingerprint)
		q->suspect_running = false;
}

size_t quarantine_list(const struct quarantine_table *q,
		       struct quarantine_entry *out, size_t max)
{
	struct node *n, *next;
	size_t count = 0;

	HASH_ITER(hh, q->nodes, n, next) {
		if (count == max)
			break;
		out[count++] = n->entry;
	}
	return count;
}

/* Returns the next expired entry from *pos on, NULL at the end. */
static struct node *next_expired(struct node **pos, uint64_t now_ms)
{
	while (*pos) {
		struct node *n = *pos;

		*pos = n->hh.next;
		if (is_expired(n, now_ms))
			return n;
	}
	return NULL;
}

void quarantine_tick(struct quarantine_table *q, uint64_t now_ms)
{
	struct node *pos = q->nodes, *n;

	while (q->nodes && (n = next_expired(&pos, now_ms)))
		remove_entry(q, n);
}
