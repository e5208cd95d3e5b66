#ifndef KEYSAMPLE_H
#define KEYSAMPLE_H

/*
 * Recent samples of the work per key, from which the planner gets the
 * distribution of load over the keys.
 */

#include <stddef.h>
#include <stdint.h>

#include "clk.h"
#include "keyplan.h"

/* Maximum age of a sample; short, as hot keys change within seconds. */
#define KEYSAMPLE_WINDOW_US (2 * US_PER_S)

struct keysample;

struct keysample *keysample_create(void);
void keysample_destroy(struct keysample *s);

/* Adds the work of a request for a key, in us; estimated for a refused one. */
void keysample_add(struct keysample *s, uint32_t key, uint64_t work_us,
		   uint64_t now_us);

/*
 * Divides the keys with samples into up to max ranges of about equal work, in
 * the order of keys; their work is in seconds per second. Returns their number.
 */
size_t keysample_ranges(struct keysample *s, struct keyplan_load *out,
			size_t max, uint64_t now_us);

#endif
