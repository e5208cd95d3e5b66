#ifndef EXR_INT_H
#define EXR_INT_H

/* The fields of the runner, for its queue and its exchanges. */

#include "exr.h"
#include "hcl.h"

#define EXR_KINDS 64
/* Requests that were cut off and are remembered. */
#define EXR_CUTS 64

enum exr_state {
	EXR_WAITS, /* in the queue */
	EXR_HELD, /* until the upstream is granted the key */
	EXR_RUNS
};

struct exr_job {
	struct exq_item item; /* first, so that an item is its job */
	struct exr_job *prev, *next; /* of those that run, or are held */
	struct exr *owner;
	struct exr_request request;
	const struct exr_ops *ops;
	void *arg;
	enum exr_state state;
	struct hxc *exchange;
	uint64_t started_us;
	uint64_t came_us;
	uint64_t bytes; /* of the response until now */
	uint64_t expected_bytes; /* of a long response that has not begun */
	bool refused; /* by the upstream, which says that it did not run */
	bool not_owner; /* refused, as it does not hold the key */
	bool failed_status; /* a failure of the upstream */
};

struct exr {
	struct evl *loop;
	const struct plat *platform;
	struct att *upstream;
	const struct pac *link;
	struct hcl *pool;
	struct exq *queue;
	struct smp *samples;
	struct exr_job *running;
	struct exr_job *held;
	uint32_t running_count;
	/* When requests were cut off, 0 if unused. */
	uint64_t cuts_us[EXR_CUTS];
	size_t next_cut;
	uint32_t timer;
	bool closed; /* nothing is sent any more */
	uint64_t end_us; /* of the process, 0 if it does not stop */
	uint64_t answered_us; /* last response of the upstream */
	double mean_us;
	double lasting_us; /* mean over more requests, for the speed */
	double kind_us[EXR_KINDS];
	double kind_bytes[EXR_KINDS]; /* of a response */
	uint64_t expected_bytes; /* of all long responses that have not begun */
	uint64_t finished;
	uint64_t failed;
	uint64_t refused;
	uint64_t worked_us;
};

/* Starts the request at the upstream. */
void exr_run(struct exr_job *j);

/* Starts what waits while slots are free. */
void exr_dispatch(struct exr *x);

/* Ends a job with a refusal. */
void exr_refuse(struct exr_job *j, enum exr_refusal why, uint64_t wait_us);

/* The response of a job has begun, or it has none. */
void exr_forget_length(struct exr_job *j);

/* Takes a job off its list. */
void exr_unlink(struct exr_job *j);

#endif
