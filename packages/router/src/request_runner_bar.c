#include "request_runner_int.h"

#include <utlist.h>

/* Retry delay of a request whose connection was not established. */
#define RETRY_AFTER_US (150 * US_PER_MS)

/* True while requests may be sent to the upstream. */
bool reqrun_is_open(const struct reqrun *x, uint64_t now_us)
{
	return !x->barred && upstr_is_open(x->upstream, now_us);
}

/*
 * True while the request of a job may be sent, as far as it depends on the
 * upstream. A key is granted only to an upstream that has announced itself.
 */
bool reqrun_may_send(const struct reqrun_job *j, uint64_t now_us)
{
	return reqrun_is_open(j->owner, now_us) &&
	       (j->request.request.key != PLAT_NO_KEY ||
		upstr_has_announced(j->owner->upstream));
}

/* Returns a job in flight of which no byte has been sent, or NULL. */
static struct reqrun_job *find_unsent(const struct reqrun *x)
{
	struct reqrun_job *j;

	DL_FOREACH(x->running, j)
	{
		if (j->exchange && !httpcall_has_sent(j->exchange))
			return j;
	}
	return NULL;
}

/*
 * Rejects what has not reached the upstream, which includes requests that wait
 * for a connection to it: it may accept that at any later time.
 */
void reqrun_set_barred(struct reqrun *x, bool barred)
{
	struct reqrun_job *j;

	if (barred == x->barred)
		return;
	x->barred = barred;
	while (barred && (j = find_unsent(x))) {
		httpcall_cancel(j->exchange);
		j->exchange = NULL;
		reqrun_remove_job(j);
		reqrun_reject(j, REQRUN_NO_UPSTREAM, RETRY_AFTER_US);
	}
	reqrun_keys_changed(x);
}
