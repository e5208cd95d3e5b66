#ifndef PUB_H
#define PUB_H

/*
 * The manifest in force, and publication of a new one. The table row
 * "manifest" names the version and the object that holds the body.
 */

#include "nod.h"

struct pub *pub_create(struct nod *n, struct err *err);
void pub_destroy(struct pub *p);

/* The manifest in force, NULL before the first. Valid until the next one. */
const struct manifest *pub_manifest(const struct pub *p);

/* Its version, 0 before the first. */
uint64_t pub_version(const struct pub *p);

/* Its text. */
const char *pub_text(const struct pub *p, size_t *len);

/* Called when another manifest has come into force. */
typedef void (*pub_change_fn)(void *arg, const struct manifest *man);
#define PUB_SUBSCRIBERS_MAX 8
void pub_subscribe(struct pub *p, pub_change_fn fn, void *arg);

/* Answers a FETCH call. */
void pub_answer(struct pub *p, struct peerrpc_question *q,
		const struct peer_fetch *args);

enum pub_result {
	PUB_DONE, /* accepted and durable */
	PUB_REFUSED, /* the manifest is wrong; nothing was written */
	PUB_CONFLICT, /* another version is in force; nothing was written */
	PUB_UNREACHABLE, /* the platform does not answer; nothing was written */
	PUB_UNKNOWN, /* it may have been accepted; ask again later */
	PUB_BUSY /* too many publications wait here; nothing changed */
};

/* version is that of the manifest in the table now, 0 if not known. */
typedef void (*pub_done_fn)(void *arg, enum pub_result result, uint64_t version,
			    const struct err *err);

#define PUB_ANY_VERSION UINT64_MAX

/*
 * Publishes a text if the version in the table is expect. publication names
 * this attempt, so that a lost reply can be settled by asking.
 */
void pub_publish(struct pub *p, const char *text, size_t len, uint64_t expect,
		 const char *publication, pub_done_fn fn, void *arg);

#endif
