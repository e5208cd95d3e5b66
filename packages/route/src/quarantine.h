#ifndef QUARANTINE_H
#define QUARANTINE_H

/*
 * Quarantine of requests that appear to crash the upstream. A request gets a
 * strike each time an upstream crashes while running it; after
 * QUARANTINE_STRIKES_LIMIT strikes, requests with the same fingerprint are
 * refused. Times are Unix time in milliseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_STRIKES_LIMIT 2 /* that quarantine a request */
#define QUARANTINE_ENTRIES_MAX 10000
#define QUARANTINE_STRIKE_TTL_MS 600000 /* strikes expire after 10 minutes */

struct quarantine_table;

struct quarantine_entry {
	uint64_t fingerprint;
	uint32_t strikes;
	uint64_t last_ms; /* Unix time of the last strike */
	char label[96]; /* service, kind and key, for operators */
};

struct quarantine_table *quarantine_create(void);
void quarantine_destroy(struct quarantine_table *q);

/* Returns the XXH3 hash of service, kind, target and len bytes of the body. */
uint64_t quarantine_fingerprint(uint16_t service, uint32_t kind,
				const char *target, const void *body,
				size_t len);

/*
 * Adds a strike for a crash of the local upstream. Returns the new number of
 * strikes, or 0 when memory is exhausted.
 */
uint32_t quarantine_add_strike(struct quarantine_table *q, uint64_t fingerprint,
			       const char *label, uint64_t now_ms);

/* Merges the strikes that another daemon has counted; 0 removes the entry. */
void quarantine_merge(struct quarantine_table *q, uint64_t fingerprint,
		      uint32_t strikes, const char *label, uint64_t now_ms);

/* Removes the entry of a fingerprint; false if there is none. */
bool quarantine_lift(struct quarantine_table *q, uint64_t fingerprint);

enum quarantine_verdict {
	QUARANTINE_NONE,
	QUARANTINE_SUSPECT,
	QUARANTINE_REFUSE
};

enum quarantine_verdict quarantine_check(const struct quarantine_table *q,
					 uint64_t fingerprint, uint64_t now_ms);

/*
 * Starts a run of a suspect request. Returns false if another suspect is
 * running on this instance; otherwise call quarantine_suspect_end() when it
 * ends.
 */
bool quarantine_suspect_begin(struct quarantine_table *q, uint64_t fingerprint);
void quarantine_suspect_end(struct quarantine_table *q, uint64_t fingerprint);

/* Copies at most max entries to out; returns how many. */
size_t quarantine_list(const struct quarantine_table *q,
		       struct quarantine_entry *out, size_t max);

/* Removes entries whose strikes have expired; call about once a minute. */
void quarantine_tick(struct quarantine_table *q, uint64_t now_ms);

#endif
