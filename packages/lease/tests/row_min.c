/* Parts of row.c that the tests need while the package state has none. */

#include "row.h"

uint64_t row_fence(const struct row_set *set)
{
	return 2 * set->version;
}

uint64_t row_successor_fence(const struct row_set *set)
{
	return 2 * set->version + 1;
}

bool proc_equal(const struct proc *a, const struct proc *b)
{
	return a->instance == b->instance && a->incarnation == b->incarnation;
}

bool row_set_has(const struct row_set *set, const struct proc *p)
{
	return proc_equal(&set->owner, p) || proc_equal(&set->witness[0], p) ||
	       proc_equal(&set->witness[1], p);
}
