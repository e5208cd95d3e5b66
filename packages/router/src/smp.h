#ifndef SMP_H
#define SMP_H

/*
 * Samples of the work that keys cause, over the last moments, from which the
 * planner learns where load lies.
 */

#include <stddef.h>
#include <stdint.h>

#include "clk.h"
#include "krp.h"

/* Samples that are older do not count: hot keys change within seconds. */
#define SMP_WINDOW_US (2 * US_PER_S)

struct smp;

struct smp *smp_create(void);
void smp_destroy(struct smp *s);

/* A request for a key has caused, or would have caused, this much work. */
void smp_add(struct smp *s, uint32_t key, uint64_t work_us, uint64_t now_us);

/*
 * Writes up to max pieces of about equal work, in the order of keys, with
 * seconds of work a second. Returns how many.
 */
size_t smp_pieces(struct smp *s, struct krp_load *out, size_t max,
		  uint64_t now_us);

#endif
