#ifndef LNK_H
#define LNK_H

/*
 * Shares the link of this machine among long responses. Without it all of them
 * are handed to the system at once and fill the queue of the link, and short
 * responses wait behind: on links of 14 Mbit/s some hundred milliseconds. Long
 * responses go one after the other, at a rate that leaves room for short ones:
 * the one with the fewest bytes left first, so that most are early. No I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A long response. The fields are set by the user. */
struct lnk_stream {
	struct lnk_stream *prev, *next;
	bool hurries; /* it goes before those that do not */
	uint64_t left; /* bytes to its end, as far as known */
	size_t ready; /* of them, that can be sent now */
	bool blocked; /* the connection takes nothing now */
};

struct lnk;

/* bytes_per_s: of the link, over 0. NULL when memory is exhausted. */
struct lnk *lnk_create(uint64_t bytes_per_s);
void lnk_destroy(struct lnk *l);

/* True for a response that others would notice on the link. */
bool lnk_is_long(const struct lnk *l, uint64_t bytes);

void lnk_add(struct lnk *l, struct lnk_stream *s);
void lnk_remove(struct lnk *l, struct lnk_stream *s);

/* Bytes have been sent that belong to no long response. */
void lnk_spend(struct lnk *l, size_t bytes, uint64_t now_us);

/*
 * Returns the response that goes next and how many bytes of it, which count as
 * sent. NULL if nothing may be sent now; it may be in *wait_us, UINT64_MAX if
 * no response is ready.
 */
struct lnk_stream *lnk_next(struct lnk *l, uint64_t now_us, size_t *bytes,
			    uint64_t *wait_us);

/* Time in which a response of this length that comes now would be sent. */
uint64_t lnk_time_us(const struct lnk *l, uint64_t bytes);

/* Time in which all responses and this many bytes more would be sent. */
uint64_t lnk_all_us(const struct lnk *l, uint64_t more);

#endif
