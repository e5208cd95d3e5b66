#ifndef EXR_INT_H
#define EXR_INT_H

/* Private types of the runner, for its queue and its exchanges. */

#include "exr.h"
#include "hcl.h"

#define EXR_KINDS 64
/* Number of recently cancelled requests that still count as in flight. */
#define EXR_CANCELLED_MAX 64

enum exr_state {
	EXR_QUEUED, /* in the queue */
	EXR_AWAITING_KEY, /* waits until the upstream is granted the key */
	EXR_RUNNING /* in flight at the upstream */
};

struct exr_job {
	struct exq_item item; /* first, so that an item is its job */
	struct exr_job *prev, *next; /* in the list running or held */
	struct exr *owner;
	struct exr_request request;
	const struct exr_ops *ops;
	void *arg;
	enum exr_state state;
	struct hxc *exchange;
	uint64_t started_us;
	uint64_t arrival_us;
	uint64_t bytes; /* received of the response body */
	uint64_t expected_bytes; /* of a long response without a head yet */
	bool refused; /* the upstream states that it did not run it */
	bool not_owner; /* rejected, as the upstream lacks the key */
	bool failed_status; /* response with a status of 500 or more */
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
	/* Ring of the times of the last cancellations, 0 if unused. */
	uint64_t cancelled_us[EXR_CANCELLED_MAX];
	size_t next_cancelled;
	uint32_t timer;
	bool closed; /* no request is sent to the upstream */
	uint64_t end_us; /* end of the process, 0 if it is not stopping */
	uint64_t last_response_us; /* time of the last response head */
	double mean_us;
	double lasting_us; /* mean over more requests, for placing keys */
	double kind_run_us[EXR_KINDS]; /* mean run time, 0 if not measured */
	double kind_bytes[EXR_KINDS]; /* mean length of a response body */
	uint64_t expected_bytes; /* sum over the jobs */
	uint64_t finished;
	uint64_t failed;
	uint64_t refused;
	uint64_t worked_us;
};

void exr_run(struct exr_job *j);
void exr_dispatch(struct exr *x);
void exr_refuse(struct exr_job *j, enum exr_refusal why, uint64_t wait_us);
void exr_clear_expected(struct exr_job *j);
void exr_unlink(struct exr_job *j);

#endif
