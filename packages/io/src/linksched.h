#ifndef LINKSCHED_H
#define LINKSCHED_H

/*
 * Link scheduler: divides the bandwidth of this instance among long responses.
 * If all were passed to the kernel at once, they would fill the transmit queue
 * and short responses would wait behind them, for several hundred milliseconds
 * on a link of 14 Mbit/s. Long responses are sent one after the other, at a
 * rate that leaves bandwidth for short ones. The one with the fewest bytes left
 * goes first (shortest remaining first), so that most complete early. Does no
 * I/O.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A long response. The user sets the fields below the list pointers. */
struct linksched_stream {
	struct linksched_stream *prev, *next;
	bool urgent; /* takes priority over streams that are not urgent */
	uint64_t left; /* bytes left to send, as far as known */
	size_t ready; /* bytes that are available to send now */
	bool blocked; /* the connection is not writable */
};

struct linksched;

/* bytes_per_s: link bandwidth, above 0. Returns NULL if out of memory. */
struct linksched *linksched_create(uint64_t bytes_per_s);
void linksched_destroy(struct linksched *l);

/* True if a response of this many bytes exceeds one quantum. */
bool linksched_is_long(const struct linksched *l, uint64_t bytes);

void linksched_add(struct linksched *l, struct linksched_stream *s);
void linksched_remove(struct linksched *l, struct linksched_stream *s);

/* Charges bytes that were sent outside any long response. */
void linksched_charge(struct linksched *l, size_t bytes, uint64_t now_us);

/*
 * Selects the next stream to send; *bytes is how much of it, already accounted
 * as sent. Returns NULL if nothing may be sent now; *wait_us is then the time
 * until there is credit, or UINT64_MAX if no stream is ready.
 */
struct linksched_stream *linksched_next(struct linksched *l, uint64_t now_us,
					size_t *bytes, uint64_t *wait_us);

/*
 * Estimated time in microseconds until a new response of this many bytes would
 * be sent completely.
 */
uint64_t linksched_send_time_us(const struct linksched *l, uint64_t bytes);

/* Estimated time in microseconds to send all streams and more bytes. */
uint64_t linksched_total_time_us(const struct linksched *l, uint64_t more);

#endif
