#ifndef HTTPGUARD_H
#define HTTPGUARD_H

/*
 * Keeps the HTTP servers of a process within its memory and its descriptors:
 * refuses bodies and connections and closes connections, as clilimit.h decides.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"

struct httpguard;
struct httpsrv;

/* Creates a guard without limits. Returns NULL if out of memory. */
struct httpguard *httpguard_create(struct evloop *l);

/* Frees it; its servers must have been destroyed. */
void httpguard_destroy(struct httpguard *g);

/* Sets the limits of the process in bytes and sockets; 0 for none. */
void httpguard_set_limits(struct httpguard *g, size_t memory, uint32_t sockets);

/*
 * Puts a server under the guard. clients: its connections may be closed for
 * descriptors, too.
 */
void httpsrv_set_guard(struct httpsrv *s, struct httpguard *g, bool clients);

/* The rest is for the servers; a NULL guard has no limits. */

/* Closes connections soon if memory or descriptors are short. */
void httpguard_check(struct httpguard *g);
bool httpguard_may_accept(struct httpguard *g);

/* Counts a connection of a client that is created (1) or freed (-1). */
void httpguard_count_client(struct httpguard *g, int change);
bool httpguard_is_short_of_memory(const struct httpguard *g);

/*
 * True if a body may be received (bytes as announced, 0 if unknown), or the
 * memory of a request may grow. Counts and logs a refusal.
 */
bool httpguard_may_begin(struct httpguard *g, uint64_t bytes);
bool httpguard_may_grow(struct httpguard *g, uint64_t more);

/* Called when a server is destroyed. */
void httpguard_remove(struct httpguard *g, struct httpsrv *s);

#endif
