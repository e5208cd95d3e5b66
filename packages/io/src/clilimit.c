#include "clilimit.h"

/*
 * Shares of the budget, in 16ths. From 12 on new bodies are refused and
 * connections are closed, until 10 are in use. The rest serves bodies that have
 * begun, responses and short bodies, so that a crowd that fills the first part
 * does not keep usual requests (24,000 bytes at most) out.
 */
#define PARTS 16
#define SHORT_PARTS 12
#define TARGET_PARTS 10
#define GROW_PARTS 14
#define EXHAUSTED_PARTS 15
#define SHORT_BODY_BYTES 65536

/*
 * Added to the progress of a connection, so that those that have just begun
 * are not ranked by chance.
 */
#define MOVED_MIN 4096
#define RANK_SCALE 1024
/* Ranks of descriptors by state; the time of idling orders within a state. */
#define IDLE_RANK (1ULL << 62)
#define WAITING_RANK (1ULL << 61)
#define RANK_MAX (WAITING_RANK - 1)

#define BYTES_PER_MB 1048576ULL
/*
 * Share of memory_mb for clients, in eighths. A release daemon takes some 7 MB
 * at its start, and the allocator keeps some of what was freed; a body of
 * 64 MiB has to fit into 12/16 of this share of 160 MB.
 */
#define MEMORY_EIGHTHS 5
#define EIGHTHS 8

/* Descriptors for files, of those of the process. */
#define FILE_DESCRIPTORS 200

/* Returns a share of the limit. */
static uint64_t share(const struct clilimit_budget *b, uint64_t parts)
{
	return b->limit / PARTS * parts;
}

/* True if more bytes fit into a share of the budget. */
static bool fits(const struct clilimit_budget *b, uint64_t more, uint64_t parts)
{
	return b->limit == 0 || b->used + more <= share(b, parts);
}

bool clilimit_may_begin(const struct clilimit_budget *b, uint64_t bytes)
{
	return fits(b, bytes,
		    bytes > 0 && bytes <= SHORT_BODY_BYTES ? GROW_PARTS :
							     SHORT_PARTS);
}

bool clilimit_may_grow(const struct clilimit_budget *b, uint64_t more)
{
	return fits(b, more, GROW_PARTS);
}

bool clilimit_is_short(const struct clilimit_budget *b)
{
	return !fits(b, 0, SHORT_PARTS);
}

uint64_t clilimit_target(const struct clilimit_budget *b)
{
	return share(b, TARGET_PARTS);
}

bool clilimit_is_exhausted(const struct clilimit_budget *b)
{
	return !fits(b, 0, EXHAUSTED_PARTS);
}

/* Bytes held for each byte moved. A running request counts only at the end. */
uint64_t clilimit_memory_rank(const struct clilimit_connection *c,
			      bool exhausted)
{
	uint64_t rank = c->held * RANK_SCALE / (c->moved + MOVED_MIN);

	if (c->held == 0 || (c->state == CLILIMIT_RUNNING && !exhausted))
		return 0;
	return rank > 0 ? rank : 1;
}

/* Idle connections first, the longest idle one before others. */
uint64_t clilimit_descriptor_rank(const struct clilimit_connection *c,
				  bool exhausted)
{
	uint64_t rank = clilimit_memory_rank(c, true);

	if (c->state == CLILIMIT_IDLE)
		return IDLE_RANK + c->idle_us;
	if (c->state == CLILIMIT_RUNNING && !exhausted)
		return 0;
	rank = rank < RANK_MAX ? rank : RANK_MAX;
	return c->state == CLILIMIT_RUNNING ? rank : WAITING_RANK + rank;
}

uint64_t clilimit_memory_bytes(uint32_t memory_mb)
{
	return memory_mb * BYTES_PER_MB * MEMORY_EIGHTHS / EIGHTHS;
}

/* A process with few descriptors keeps half of them for files. */
uint32_t clilimit_sockets(uint32_t max_fds)
{
	return max_fds > 2 * FILE_DESCRIPTORS ? max_fds - FILE_DESCRIPTORS :
						max_fds / 2;
}

uint64_t clilimit_used_sockets(uint64_t open, uint64_t clients)
{
	uint64_t needed = clients * CLILIMIT_CLIENT_SOCKETS;

	return open > needed ? open : needed;
}
