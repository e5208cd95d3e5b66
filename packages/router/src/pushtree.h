#ifndef PUSHTREE_H
#define PUSHTREE_H

/*
 * Divides the receivers of a message into groups, each of which has a daemon
 * that passes the message on. The work of the sender then grows with the square
 * root of their number. Sent to each of 295 daemons, a plan of some kilobytes
 * fills a link of 20 Mbit/s for more than a second.
 */

#include <stddef.h>

/* Up to this many receivers get the message from the sender itself. */
#define PUSHTREE_DIRECT_MAX 16

struct pushtree_group {
	size_t first; /* position of the first receiver */
	size_t count;
};

/* Number of groups for this many receivers; 0 if all get it directly. */
size_t pushtree_group_count(size_t receivers);

/* Returns one of the groups, whose sizes differ by at most 1. */
struct pushtree_group pushtree_group(size_t receivers, size_t groups,
				     size_t number);

#endif
