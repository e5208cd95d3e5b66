#ifndef STRANGER_H
#define STRANGER_H

/* Calls to the peer port by a process that is in no row and no member list. */

#include <stddef.h>
#include <stdint.h>

#include "cluster.h"
#include "peer.h"

/*
 * Encode a call that can be decoded, with texts that mean nothing. Return its
 * length, without the record mark.
 */
size_t stranger_open(uint8_t *out, size_t size, const peer_proc *to,
		     unsigned int *seed);
size_t stranger_handover(uint8_t *out, size_t size, const peer_proc *to,
			 const char *window);

/* The process that runs on a node, as it answers to HELLO. */
peer_proc stranger_ask(struct cluster *c, size_t node);

#endif
