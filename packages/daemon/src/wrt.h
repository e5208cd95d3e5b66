#ifndef WRT_H
#define WRT_H

/*
 * Conditional writes of rows. A lost reply is settled by reading the row back
 * and comparing writer and version.
 */

#include "nod.h"

#define WRT_IN_FLIGHT_MAX 32

struct wrt *wrt_create(struct nod *n);
void wrt_destroy(struct wrt *w);

/* True while a write of the partition's row is in progress. */
bool wrt_is_busy(const struct wrt *w, uint64_t part);

/* Number of writes that may still be started. */
size_t wrt_room(const struct wrt *w);

/*
 * Writes a new version of a row with the given set. The version and the
 * earlier sets are filled in from the replica; active tells that nobody acts in
 * an earlier set: this process knows the present one to be active, or all their
 * processes to have ended. Returns false when a write is in progress, there is
 * no room, or the row has too many earlier sets.
 */
bool wrt_row(struct wrt *w, uint64_t part, const struct row_set *set,
	     bool active);

/* Writes any other row, with the same settling of a lost reply by its value. */
typedef void (*wrt_done_fn)(void *arg, enum platapi_result result);
void wrt_value(struct wrt *w, const char *key, const char *value,
	       wrt_done_fn fn, void *arg);

#endif
