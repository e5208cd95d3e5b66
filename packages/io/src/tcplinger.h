#ifndef TCPLINGER_H
#define TCPLINGER_H

/*
 * The second stage of a close (RFC 9112, 9.6): the socket has been shut down for
 * writing, and input is discarded until the peer has acknowledged all output. A
 * close before that lets further input of the peer reset the connection, which
 * drops what the kernel has not sent yet. Does no I/O but for
 * tcplinger_unacked(); times are monotonic, in microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

/* The peer may acknowledge nothing for this long. */
#define TCPLINGER_STALLED_US (15 * US_PER_S)

struct tcplinger {
	uint64_t unacked; /* bytes of output, at the last check */
	uint64_t progress_us; /* last time that they became fewer */
	uint64_t input_us; /* of the last input, if has_input */
	bool has_input; /* the peer sends, or is expected to */
};

/*
 * Begins the stage. more_input: the peer may be sending a request that has been
 * answered already; it may then not read the response before it is done.
 */
void tcplinger_begin(struct tcplinger *l, bool more_input, uint64_t now_us);

/* Records that input was discarded. */
void tcplinger_record_input(struct tcplinger *l, uint64_t now_us);

/* True if the socket can be closed, or the peer makes no progress. */
bool tcplinger_is_over(struct tcplinger *l, uint64_t unacked, uint64_t now_us);

/*
 * Returns when to call tcplinger_is_over() again, as the kernel reports no
 * acknowledgement. Peers without progress are checked less often.
 */
uint64_t tcplinger_next_check_us(const struct tcplinger *l, uint64_t now_us);

/*
 * Returns the bytes that the kernel has not sent, or that the peer has not
 * acknowledged; 0 on errors.
 */
uint64_t tcplinger_unacked(int fd);

#endif
