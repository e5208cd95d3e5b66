#ifndef SMP_H
#define SMP_H

/*
 * Recent samples of the work per key, from which the planner gets the
 * distribution of load over the keys.
 */

#include <stddef.h>
#include <stdint.h>

#include "clk.h"
#include "krp.h"

/* Maximum age of a sample; short, as hot keys change within seconds. */
#define SMP_WINDOW_US (2 * US_PER_S)

struct smp;

struct smp *smp_create(void);
void smp_destroy(struct smp *s);

/* Adds the work of a request for a key, in us; estimated for a refused one. */
void smp_add(struct smp *s, uint32_t key, uint64_t work_us, uint64_t now_us);

/*
 * Divides the keys with samples into up to max ranges of about equal work, in
 * the order of keys; their work is in seconds per second. Returns their number.
 */
size_t smp_pieces(struct smp *s, struct krp_load *out, size_t max,
		  uint64_t now_us);

#endif
