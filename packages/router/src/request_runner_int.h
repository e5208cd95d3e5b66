#ifndef REQUEST_RUNNER_INT_H
#define REQUEST_RUNNER_INT_H

/* Private types of the runner, for its queue and its exchanges. */

#include "request_runner.h"
#include "httppool.h"
#include "coldrate.h"
#include "pace.h"
#include "ratelimit.h"
#include "retryspread.h"

#define REQRUN_KINDS 64
/* Number of recently cancelled requests that still count as in flight. */
#define REQRUN_CANCELLED_MAX 64

/* Number of requests, refused or failed by the upstream, that are remembered. */
#define REQRUN_REJECTED_MAX 256

/* Requests whose body has been asked for that are remembered. */
#define REQRUN_ANNOUNCED_MAX 64

/* A request whose body has been asked for. */
struct reqrun_announced {
	struct rqueue_item item;
	bool expected; /* false if unused, or once the request has arrived */
};

enum reqrun_state {
	REQRUN_QUEUED, /* in the queue */
	REQRUN_AWAITING_KEY, /* waits until the upstream is granted the key */
	REQRUN_RUNNING /* in flight at the upstream */
};

struct reqrun_job {
	struct rqueue_item item; /* first, so that an item is its job */
	struct reqrun_job *prev, *next; /* in the list running or held */
	struct reqrun *owner;
	struct reqrun_request request;
	const struct reqrun_ops *ops;
	void *arg;
	enum reqrun_state state;
	struct httpcall *exchange;
	uint64_t started_us;
	uint64_t ran_at; /* hash of the incarnation that it was sent to */
	uint64_t arrival_us;
	uint64_t bytes; /* received of the response body */
	uint64_t expected_bytes; /* of a long response without a head yet */
	bool refused; /* the upstream states that it did not run it */
	bool not_owner; /* rejected, as the upstream lacks the key */
	bool failed_status; /* response with a status of 500 or more */
	bool waits_for_bound; /* for that of a cold upstream */
	uint64_t head_us; /* when the head of the response arrived */
	uint32_t slowdown_pct; /* that the response names, 0 if none */
	uint64_t usual_us; /* predicted run time at the usual speed */
};

/* Whether the bound is in force: an unknown state counts as cold. */
enum reqrun_cold {
	REQRUN_WARM,
	REQRUN_COLD,
	REQRUN_UNKNOWN
};

/* Bound and pace of an upstream that recovers. */
struct reqrun_recovery {
	const struct rconfig *config; /* NULL: there is no bound */
	const struct rsettings *settings;
	/* Service and version that the next three are from. */
	char service[NAME_SIZE];
	uint64_t config_version;
	bool is_bounded; /* while the upstream is cold */
	double cold_per_s; /* of the service, 0 if not known */
	bool is_paced; /* its upstreams recover slowly */
	enum reqrun_cold logged_cold;
	uint32_t bound; /* requests in a window */
	struct coldrate *sent;
	struct retryspread returns;
	struct pace pace;
	uint32_t recoveries; /* of the upstream, for which the pace has begun */
	uint32_t logged_slots; /* that the pace allows, 0 if it is over */
	uint64_t bound_waited, bound_refused;
};

struct reqrun {
	struct evloop *loop;
	const struct plat *platform;
	struct upstr *upstream;
	const struct pacer *link;
	struct crashwatch *crashes; /* NULL if there is none */
	struct httppool *pool;
	struct rqueue *queue;
	struct keysample *samples;
	struct reqrun_job *running;
	struct reqrun_job *held;
	uint32_t running_count;
	/* Ring of the times of the last cancellations, 0 if unused. */
	uint64_t cancelled_us[REQRUN_CANCELLED_MAX];
	size_t next_cancelled;
	/* Ring of the hashes of the ids of the last ones, 0 if unused. */
	uint64_t rejected_ids[REQRUN_REJECTED_MAX];
	size_t next_rejected;
	struct reqrun_announced announced[REQRUN_ANNOUNCED_MAX]; /* ring */
	size_t next_announced;
	uint32_t timer;
	bool closed; /* no request is sent to the upstream */
	bool barred; /* the same, and new requests are rejected */
	uint64_t end_us; /* end of the process, 0 if it is not stopping */
	uint64_t last_response_us; /* time of the last response head */
	struct ratelimit limit; /* that the upstream has named */
	struct reqrun_recovery recovery;
	char heard_id[NAME_SIZE]; /* upstream of the last response */
	uint32_t slowdown_pct; /* of runs now, 100 is usual; 0 if not told */
	double mean_us; /* of runs at the usual speed, if that is known */
	double long_mean_us; /* mean over more requests, for placing keys */
	double kind_run_us[REQRUN_KINDS]; /* mean run time, 0 if not measured */
	double kind_bytes[REQRUN_KINDS]; /* mean length of a response body */
	uint64_t expected_bytes; /* sum over the jobs */
	uint64_t finished;
	uint64_t failed;
	uint64_t refused;
	uint64_t total_run_us;
};

/* Retry delay of a request that is rejected without a predicted wait. */
#define REQRUN_RETRY_AFTER_US (150 * US_PER_MS)

/* Counts the occupied slots, including those of requests just cancelled. */
uint32_t reqrun_count_busy_slots(const struct reqrun *x, uint64_t now_us);

/* Returns whether the upstream holds the key of the request. */
enum upstr_key_state reqrun_key_state(const struct reqrun_job *j,
				      uint64_t now_us);

/* Enqueues and dispatches a job, or rejects it if it cannot finish in time. */
void reqrun_enqueue(struct reqrun_job *j, uint64_t now_us);

/* Begins the periodic checks, unless they are running. */
void reqrun_start_checks(struct reqrun *x);

/*
 * Decides whether a response belongs to the request and is valid; reused is
 * true if its connection has carried other requests before.
 */
enum httpcall_match reqrun_match(const struct plat_response *r, bool reused);

void reqrun_send(struct reqrun_job *j);

/*
 * Updates bound and pace to the configuration and the state of the upstream. To
 * be called before the functions below.
 */
void reqrun_refresh_recovery(struct reqrun *x, uint64_t now_us);

/* Returns the slots that may be used now. */
uint32_t reqrun_usable_slots(struct reqrun *x, uint64_t now_us);

/*
 * Returns the slots with which waits are predicted: all that there are, or those
 * that the pace allows.
 */
uint32_t reqrun_predicted_slots(const struct reqrun *x, uint64_t now_us);

/* Record the course of a request, for the pace. */
void reqrun_pace_answered(struct reqrun_job *j, uint64_t now_us);
void reqrun_pace_failed(struct reqrun_job *j, uint64_t now_us);

/*
 * Predicts the wait of a request with this many ahead of it for the bound of a
 * cold upstream, in microseconds; 0 if it is not in force.
 */
uint64_t reqrun_bound_wait_us(struct reqrun *x, uint32_t ahead,
			      uint64_t now_us);

/*
 * Returns the requests per second that bound and pace allow, the lower of both;
 * 0 if none is in force.
 */
double reqrun_recovery_per_s(struct reqrun *x, uint64_t now_us);

/*
 * Returns the delay after which the caller of a job that is refused may return,
 * given the predicted wait.
 */
uint64_t reqrun_return_wait_us(const struct reqrun_job *j, uint64_t wait_us,
			       uint64_t now_us);

/*
 * Rejects a job that is in no list as REQRUN_BUSY. While the upstream recovers,
 * the time to return is spread over that in which its capacity comes.
 */
void reqrun_reject_busy(struct reqrun_job *j, uint64_t wait_us,
			uint64_t now_us);

void reqrun_dispatch(struct reqrun *x);
bool reqrun_is_open(const struct reqrun *x, uint64_t now_us);
bool reqrun_may_send(const struct reqrun_job *j, uint64_t now_us);
void reqrun_reject(struct reqrun_job *j, enum reqrun_rejection why,
		   uint64_t wait_us);
void reqrun_clear_expected(struct reqrun_job *j);
void reqrun_remove_job(struct reqrun_job *j);

#endif
