#include "membud.h"

#include <malloc.h>

/*
 * Allocations of this size and more are mapped on their own: they grow without
 * a copy, and their memory returns to the system as soon as they are freed. The
 * allocator would otherwise raise this value up to 32 MiB with use.
 */
#define MAPPED_BYTES 65536

static size_t limit;
static size_t used;

void membud_set_limit(size_t bytes)
{
	limit = bytes;
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
}

size_t membud_limit(void)
{
	return limit;
}

size_t membud_used(void)
{
	return used;
}

void membud_change(size_t before, size_t after)
{
	used += after - before;
}

/* Returns what lies between allocations in use, too. */
void membud_trim(void)
{
	malloc_trim(0);
}
