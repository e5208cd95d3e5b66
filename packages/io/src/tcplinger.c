#include "tcplinger.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

/* A peer that has sent nothing for this long has stopped sending. */
#define QUIET_US (300 * US_PER_MS)
/* A peer that has acknowledged all output may go on sending for this long. */
#define INPUT_US (2 * US_PER_S)
/* Time between checks: a part of the time without progress, within limits. */
#define CHECK_MIN_US (20 * US_PER_MS)
#define CHECK_MAX_US (500 * US_PER_MS)
#define CHECK_STALL_PART 4

void tcplinger_begin(struct tcplinger *l, bool more_input, uint64_t now_us)
{
	*l = (struct tcplinger){ .unacked = UINT64_MAX,
				 .progress_us = now_us,
				 .input_us = now_us,
				 .has_input = more_input };
}

void tcplinger_record_input(struct tcplinger *l, uint64_t now_us)
{
	l->input_us = now_us;
	l->has_input = true;
}

/* Once all output is acknowledged, progress_us stays when that was seen. */
bool tcplinger_is_over(struct tcplinger *l, uint64_t unacked, uint64_t now_us)
{
	if (unacked < l->unacked) {
		l->unacked = unacked;
		l->progress_us = now_us;
	}
	if (unacked > 0)
		return clk_elapsed(now_us, l->progress_us) >=
		       TCPLINGER_STALLED_US;
	return !l->has_input || clk_elapsed(now_us, l->input_us) >= QUIET_US ||
	       clk_elapsed(now_us, l->progress_us) >= INPUT_US;
}

uint64_t tcplinger_next_check_us(const struct tcplinger *l, uint64_t now_us)
{
	uint64_t wait = clk_elapsed(now_us, l->progress_us) / CHECK_STALL_PART;

	if (l->unacked == 0 || wait < CHECK_MIN_US)
		wait = CHECK_MIN_US;
	if (wait > CHECK_MAX_US)
		wait = CHECK_MAX_US;
	return now_us + wait;
}

uint64_t tcplinger_unacked(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (uint64_t)bytes :
							       0;
}
