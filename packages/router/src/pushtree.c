#include "pushtree.h"

/* Returns the square root, rounded up. */
size_t pushtree_group_count(size_t receivers)
{
	size_t n = 1;

	if (receivers <= PUSHTREE_DIRECT_MAX)
		return 0;
	while (n * n < receivers)
		n++;
	return n;
}

struct pushtree_group pushtree_group(size_t receivers, size_t groups,
				     size_t number)
{
	struct pushtree_group g = { receivers * number / groups, 0 };

	g.count = receivers * (number + 1) / groups - g.first;
	return g;
}
