#ifndef REQUEST_RUNNER_H
#define REQUEST_RUNNER_H

/*
 * Runs requests at the local upstream, the one that this daemon serves. All
 * requests to that upstream pass through here, so that those in flight never
 * exceed its slots and its own queue stays empty.
 */

#include <stdbool.h>
#include <stdint.h>

#include "crashwatch.h"
#include "upstr.h"
#include "request_queue.h"
#include "pacer.h"
#include "keysample.h"

struct reqrun;
struct reqrun_job;

/* Why a request was rejected; it has not run and will not run. */
enum reqrun_rejection {
	REQRUN_BUSY, /* it would not finish in time */
	/* the upstream is absent, draining, another one or not announced */
	REQRUN_NO_UPSTREAM,
	REQRUN_NOT_OWNER, /* the upstream does not hold the key */
	REQRUN_SHED, /* the upstream rejected it */
	REQRUN_ABANDONED /* its caller has left; not sent to other daemons */
};

/* Why a request failed; it may have run. */
enum reqrun_failure {
	REQRUN_NO_RESPONSE, /* broken connection or an invalid response */
	REQRUN_TRUNCATED /* the response was truncated */
};

struct reqrun_ops {
	/* True if nobody waits for the response any more. May be NULL. */
	bool (*is_abandoned)(void *arg);
	void (*on_head)(void *arg, const struct httpmsg *m);
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/* One of these three is called once, last; it ends the job. */
	void (*on_done)(void *arg);
	void (*on_refused)(void *arg, enum reqrun_rejection why,
			   uint64_t wait_us);
	void (*on_failed)(void *arg, enum reqrun_failure why);
};

/* A request to run; message and body must stay valid until the job ends. */
struct reqrun_request {
	const struct httpmsg *message;
	const struct buf *body;
	struct plat_request request;
	const char *upstream_id;
	/* Name; a part of the message or of the settings. */
	struct span caller_service;
	uint32_t kind; /* groups requests of similar run time */
	uint32_t rank;
	bool idempotent;
	bool others_left; /* its sender knows further upstreams for it */
	bool announced; /* its head was admitted by reqrun_would_admit() */
	uint64_t deadline_us;
	uint64_t objective_us;
};

struct reqrun *reqrun_create(struct evloop *l, const struct plat *platform,
			     struct upstr *upstream, const struct pacer *link,
			     const char *address);
void reqrun_destroy(struct reqrun *x);

/* From now on the runner reports its runs to this watch. */
void reqrun_set_crashwatch(struct reqrun *x, struct crashwatch *w);

/*
 * From now on the bound of a cold upstream and the pace of one that recovers are
 * those of its service in this configuration, which must stay valid, as must the
 * settings.
 */
void reqrun_set_config(struct reqrun *x, const struct rconfig *c,
		       const struct rsettings *s);

void reqrun_start(struct reqrun *x, const struct reqrun_request *r,
		  const struct reqrun_ops *ops, void *arg,
		  struct reqrun_job **job);

/*
 * True if a request whose body is still to come would be admitted now, after
 * those for which this was true a moment ago; it may have no body yet. Otherwise
 * sets why and for how long it should wait, and counts it as rejected.
 */
bool reqrun_would_admit(struct reqrun *x, const struct reqrun_request *r,
			enum reqrun_rejection *why, uint64_t *wait_us);

void reqrun_set_end(struct reqrun *x, uint64_t end_us);
void reqrun_close(struct reqrun *x);

/*
 * Sets whether requests may be sent to the upstream. While they may not, those
 * that wait and those that arrive are rejected with REQRUN_NO_UPSTREAM; those
 * that run are completed.
 */
void reqrun_set_barred(struct reqrun *x, bool barred);
void reqrun_cancel(struct reqrun_job *j);
void reqrun_pause(struct reqrun_job *j, bool held);
bool reqrun_was_sent(const struct reqrun_job *j);

/* Time that a request was queued here and has run at the upstream. */
struct reqrun_times {
	uint64_t queue_us, run_us;
};
void reqrun_times(const struct reqrun_job *j, struct reqrun_times *out);
const char *reqrun_request_id(const struct reqrun_job *j);

void reqrun_keys_changed(struct reqrun *x);

struct reqrun_load {
	uint32_t running, waiting, slots;
	uint64_t mean_us; /* run time of a request at the upstream */
	/* Of that time now, 100 is usual; 0 if the upstream does not tell. */
	uint32_t slowdown_pct;
	/*
	 * The same, averaged over more requests; longer if the upstream limits
	 * its requests or recovers, as if they took so long that its slots kept
	 * the limit.
	 */
	uint64_t long_mean_us;
	bool limited; /* another request would have to wait for a limit */
	uint32_t unusable; /* slots that are not used while it recovers */
	uint64_t link_us; /* time to send all pending long responses */
	uint64_t finished; /* requests that ran, since the start */
	uint64_t failed; /* those of them that failed */
	uint64_t refused; /* rejected as they would not finish in time */
	uint64_t total_run_us; /* total run time at the upstream */
	/* Requests that waited for the bound of a cold upstream, or were
	 * refused because of it, since the start. */
	uint64_t bound_waited, bound_refused;
};
void reqrun_load(struct reqrun *x, struct reqrun_load *out);

size_t reqrun_key_loads(struct reqrun *x, struct keyplan_load *out, size_t max);

#endif
