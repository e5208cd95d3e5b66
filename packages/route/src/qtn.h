#ifndef QTN_H
#define QTN_H

/*
 * Quarantine of requests that appear to crash the upstream. A request gets a
 * strike each time an upstream crashes while running it; after QTN_STRIKES
 * strikes, requests with the same fingerprint are refused. Times are Unix time
 * in milliseconds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QTN_STRIKES 2 /* that quarantine a request */
#define QTN_ENTRIES_MAX 10000
#define QTN_STRIKE_TTL_MS 600000 /* strikes expire after 10 minutes */

struct qtn;

struct qtn_entry {
	uint64_t fingerprint;
	uint32_t strikes;
	uint64_t last_ms; /* Unix time of the last strike */
	char label[96]; /* service, kind and key, for operators */
};

struct qtn *qtn_create(void);
void qtn_destroy(struct qtn *q);

/* Returns the XXH3 hash of service, kind, target and len bytes of the body. */
uint64_t qtn_fingerprint(uint16_t service, uint32_t kind, const char *target,
			 const void *body, size_t len);

/*
 * Adds a strike for a crash of the local upstream. Returns the new number of
 * strikes, or 0 when memory is exhausted.
 */
uint32_t qtn_strike(struct qtn *q, uint64_t fingerprint, const char *label,
		    uint64_t now_ms);

/* Merges the strikes that another daemon has counted; 0 removes the entry. */
void qtn_learn(struct qtn *q, uint64_t fingerprint, uint32_t strikes,
	       const char *label, uint64_t now_ms);

/* Removes the entry of a fingerprint; false if there is none. */
bool qtn_lift(struct qtn *q, uint64_t fingerprint);

enum qtn_verdict {
	QTN_FREE,
	QTN_SUSPECT,
	QTN_QUARANTINED
};

enum qtn_verdict qtn_check(const struct qtn *q, uint64_t fingerprint,
			   uint64_t now_ms);

/*
 * Starts a run of a suspect request. Returns false if another suspect is
 * running on this instance; otherwise call qtn_suspect_end() when it ends.
 */
bool qtn_suspect_begin(struct qtn *q, uint64_t fingerprint);
void qtn_suspect_end(struct qtn *q, uint64_t fingerprint);

/* Copies at most max entries to out; returns how many. */
size_t qtn_list(const struct qtn *q, struct qtn_entry *out, size_t max);

/* Removes entries whose strikes have expired; call about once a minute. */
void qtn_tick(struct qtn *q, uint64_t now_ms);

#endif
