#ifndef TBLCLOCK_H
#define TBLCLOCK_H

/*
 * The clock of the table service, the one clock that all daemons know, within
 * bounds. It tells how long a message of another daemon has been on the way at
 * least. Does no I/O and takes time as an argument.
 */

#include "keylease.h"

struct tblclock {
	struct keylease_clock best; /* the sample with the closest bounds */
	uint64_t era; /* of the table service at that sample */
};

/* The latest possible time of that clock at some moment; 0 if not known. */
struct tblclock_stamp {
	uint64_t latest_ms;
	uint64_t era;
};

void tblclock_add(struct tblclock *c, const struct keylease_clock *sample,
		  uint64_t era);
struct tblclock_stamp tblclock_make_stamp(const struct tblclock *c,
					  uint64_t now_us);
uint64_t tblclock_elapsed_us(const struct tblclock *c,
			     const struct tblclock_stamp *since,
			     uint64_t now_us);

#endif
