#ifndef EXR_H
#define EXR_H

/*
 * Runs requests at the upstream beside this daemon. All work of that upstream
 * passes here, so that its slots are never exceeded and its queue stays empty.
 */

#include <stdbool.h>
#include <stdint.h>

#include "att.h"
#include "exq.h"
#include "pac.h"
#include "smp.h"

struct exr;
struct exr_job;

enum exr_refusal { /* the request has not run and will not */
	EXR_BUSY, /* it would not end in time */
	EXR_NO_UPSTREAM, /* there is none, another one, or one that leaves */
	EXR_NOT_OWNER, /* the upstream does not hold the key */
	EXR_SHED /* the upstream refused it */
};

enum exr_failure { /* the request may have run */
	EXR_NO_RESPONSE, /* broken connection or an invalid response */
	EXR_CUT /* the response ended early */
};

struct exr_ops {
	void (*on_head)(void *arg, const struct hmg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* The job is over in these three. */
	void (*on_done)(void *arg);
	void (*on_refused)(void *arg, enum exr_refusal why, uint64_t wait_us);
	void (*on_failed)(void *arg, enum exr_failure why);
};

/* A request to run; message and body stay valid until the job is over. */
struct exr_request {
	const struct hmg *message;
	const struct buf *body;
	struct plat_request request;
	const char *upstream_id;
	const char *caller_service;
	uint32_t kind; /* requests of one kind take about the same time */
	uint32_t rank;
	bool idempotent;
	uint64_t deadline_us;
	uint64_t objective_us;
};

/* link: that responses leave by, NULL if it is not known. */
struct exr *exr_create(struct evl *l, const struct plat *platform,
		       struct att *upstream, const struct pac *link,
		       const char *address);
void exr_destroy(struct exr *x);

/*
 * Starts a job and sets *job to it. It may be over before this returns, and the
 * functions of ops then have been called with *job set.
 */
void exr_start(struct exr *x, const struct exr_request *r,
	       const struct exr_ops *ops, void *arg, struct exr_job **job);

/* The process ends then: requests that come from now on end before it. */
void exr_stop_at(struct exr *x, uint64_t end_us);

/* No request is sent to the upstream any more. */
void exr_close(struct exr *x);

/* Nobody waits for the job: it is dropped or cut off without a report. */
void exr_cancel(struct exr_job *j);

/* Stops and resumes reading of the response. */
void exr_hold(struct exr_job *j, bool held);

/* True if the request has been sent to the upstream. */
bool exr_was_sent(const struct exr_job *j);

/* How long a request waited here and ran at the upstream until now. */
struct exr_times {
	uint64_t queue_us, run_us;
};
void exr_times(const struct exr_job *j, struct exr_times *out);

/* Keys, life or state of the upstream have changed. */
void exr_keys_changed(struct exr *x);

struct exr_load {
	uint32_t running, waiting, slots;
	uint64_t mean_us; /* of the upstream's work on a request */
	uint64_t lasting_us; /* the same over more requests */
	uint64_t link_us; /* until all long responses have left */
	uint64_t finished; /* responses since the start */
	uint64_t failed; /* of them, failures of the upstream */
	uint64_t refused; /* requests that would not have ended in time */
	uint64_t worked_us; /* time of all responses at the upstream */
};
void exr_load(const struct exr *x, struct exr_load *out);

/* Measured work of keys, see smp_pieces(). */
size_t exr_pieces(struct exr *x, struct krp_load *out, size_t max);

#endif
