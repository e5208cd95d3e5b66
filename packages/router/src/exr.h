#ifndef EXR_H
#define EXR_H

/*
 * Runs requests at the local upstream, the one that this daemon serves. All
 * requests to that upstream pass through here, so that those in flight never
 * exceed its slots and its own queue stays empty.
 */

#include <stdbool.h>
#include <stdint.h>

#include "att.h"
#include "exq.h"
#include "pac.h"
#include "smp.h"

struct exr;
struct exr_job;

/* Why a request was rejected; it has not run and will not run. */
enum exr_refusal {
	EXR_BUSY, /* it would not finish in time */
	EXR_NO_UPSTREAM, /* the upstream is absent, draining or another one */
	EXR_NOT_OWNER, /* the upstream does not hold the key */
	EXR_SHED /* the upstream rejected it */
};

/* Why a request failed; it may have run. */
enum exr_failure {
	EXR_NO_RESPONSE, /* broken connection or an invalid response */
	EXR_CUT /* the response was truncated */
};

struct exr_ops {
	void (*on_head)(void *arg, const struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* One of these three is called once, last; it ends the job. */
	void (*on_done)(void *arg);
	void (*on_refused)(void *arg, enum exr_refusal why, uint64_t wait_us);
	void (*on_failed)(void *arg, enum exr_failure why);
};

/* A request to run; message and body must stay valid until the job ends. */
struct exr_request {
	const struct hmg *message;
	const struct buf *body;
	struct plat_request request;
	const char *upstream_id;
	const char *caller_service;
	uint32_t kind; /* groups requests of similar run time */
	uint32_t rank;
	bool idempotent;
	uint64_t deadline_us;
	uint64_t objective_us;
};

struct exr *exr_create(struct evl *l, const struct plat *platform,
		       struct att *upstream, const struct pac *link,
		       const char *address);
void exr_destroy(struct exr *x);

void exr_start(struct exr *x, const struct exr_request *r,
	       const struct exr_ops *ops, void *arg, struct exr_job **job);

void exr_stop_at(struct exr *x, uint64_t end_us);
void exr_close(struct exr *x);
void exr_cancel(struct exr_job *j);
void exr_hold(struct exr_job *j, bool held);
bool exr_was_sent(const struct exr_job *j);

/* Time that a request was queued here and has run at the upstream. */
struct exr_times {
	uint64_t queue_us, run_us;
};
void exr_times(const struct exr_job *j, struct exr_times *out);

void exr_keys_changed(struct exr *x);

struct exr_load {
	uint32_t running, waiting, slots;
	uint64_t mean_us; /* run time of a request at the upstream */
	uint64_t lasting_us; /* the same, averaged over more requests */
	uint64_t link_us; /* time to send all pending long responses */
	uint64_t finished; /* requests that ran, since the start */
	uint64_t failed; /* those of them that failed */
	uint64_t refused; /* rejected as they would not finish in time */
	uint64_t worked_us; /* total run time at the upstream */
};
void exr_load(const struct exr *x, struct exr_load *out);

size_t exr_pieces(struct exr *x, struct krp_load *out, size_t max);

#endif
