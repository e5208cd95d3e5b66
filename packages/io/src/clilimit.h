#ifndef CLILIMIT_H
#define CLILIMIT_H

/*
 * Decides what to refuse, and which connections of clients to close, when the
 * memory or the descriptors of the process run short. Responds to clients that
 * make the process hold much and make little progress. Does no I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A budget of bytes or descriptors; a limit of 0 means that there is none. */
struct clilimit_budget {
	uint64_t limit;
	uint64_t used;
};

/* What a connection of a client is doing. */
enum clilimit_state {
	CLILIMIT_IDLE, /* no request */
	CLILIMIT_INCOMPLETE, /* sends a request */
	CLILIMIT_UNREAD, /* has output that the client has not taken */
	CLILIMIT_RUNNING /* a request runs on its behalf */
};

struct clilimit_connection {
	enum clilimit_state state;
	uint64_t held; /* bytes */
	uint64_t moved; /* bytes received and sent in the last second or so */
	uint64_t idle_us; /* since its last request */
};

/* True if a body of this many bytes may be received; 0 if not announced. */
bool clilimit_may_begin(const struct clilimit_budget *b, uint64_t bytes);

/* True if a body that is being received may take more bytes. */
bool clilimit_may_grow(const struct clilimit_budget *b, uint64_t more);

/* True if connections have to be closed. */
bool clilimit_is_short(const struct clilimit_budget *b);

/* Returns the amount below which no more connections are closed. */
uint64_t clilimit_target(const struct clilimit_budget *b);

/* True if connections with running requests may be closed, too. */
bool clilimit_is_exhausted(const struct clilimit_budget *b);

/*
 * Ranks a connection to be closed for memory, or for descriptors: the highest
 * rank is closed first, one with rank 0 is not closed.
 */
uint64_t clilimit_memory_rank(const struct clilimit_connection *c,
			      bool exhausted);
uint64_t clilimit_descriptor_rank(const struct clilimit_connection *c,
				  bool exhausted);

/* Returns the bytes that clients may take of a machine's memory_mb. */
uint64_t clilimit_memory_bytes(uint32_t memory_mb);

/* Returns the sockets that a process with max_fds descriptors may open. */
uint32_t clilimit_sockets(uint32_t max_fds);

/*
 * Returns the sockets that count as used: those that are open, or those that
 * the connections of clients may come to need: each its own, one to another
 * daemon, and one that a client of another daemon causes here.
 */
#define CLILIMIT_CLIENT_SOCKETS 3
uint64_t clilimit_used_sockets(uint64_t open, uint64_t clients);

#endif
