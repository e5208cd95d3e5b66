#ifndef QTN_H
#define QTN_H

/*
 * Quarantine: requests that were running when upstreams died. Strikes are
 * counted for each fingerprint; enough of them quarantine the request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QTN_STRIKES 2 /* crashes until a request is quarantined */
#define QTN_ENTRIES_MAX 10000
#define QTN_STRIKE_TTL_MS 600000 /* a strike is forgotten after 10 minutes */

struct qtn;

struct qtn_entry {
	uint64_t fingerprint;
	uint32_t strikes;
	uint64_t last_ms; /* Unix time of the last strike */
	char label[96]; /* service, kind and key, for operators */
};

struct qtn *qtn_create(void);
void qtn_destroy(struct qtn *q);

/* xxh3 over service, kind, target and the first bytes of the body. */
uint64_t qtn_fingerprint(uint16_t service, uint32_t kind, const char *target,
			 const void *body, size_t len);

/* Counts a crash seen here; returns the strikes of the fingerprint now. */
uint32_t qtn_strike(struct qtn *q, uint64_t fingerprint, const char *label,
		    uint64_t now_ms);

/* Learns the strikes that another daemon has counted; 0 lifts them. */
void qtn_learn(struct qtn *q, uint64_t fingerprint, uint32_t strikes,
	       const char *label, uint64_t now_ms);

/* Lifts a fingerprint; false if it was not known. */
bool qtn_lift(struct qtn *q, uint64_t fingerprint);

enum qtn_verdict {
	QTN_FREE,
	QTN_SUSPECT,
	QTN_QUARANTINED
};

enum qtn_verdict qtn_check(const struct qtn *q, uint64_t fingerprint,
			   uint64_t now_ms);

/*
 * A suspect runs only while no other suspect runs here. Returns false if one
 * does; qtn_suspect_end() must follow a true.
 */
bool qtn_suspect_begin(struct qtn *q, uint64_t fingerprint);
void qtn_suspect_end(struct qtn *q, uint64_t fingerprint);

/* Copies the entries; returns how many. */
size_t qtn_list(const struct qtn *q, struct qtn_entry *out, size_t max);

/* Forgets old strikes; call about once a minute. */
void qtn_tick(struct qtn *q, uint64_t now_ms);

#endif
