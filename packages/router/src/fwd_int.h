#ifndef FWD_INT_H
#define FWD_INT_H

/* A request of a caller, for its attempts and its response. */

#include "ctr.h"
#include "fwd.h"
#include "fwl.h"
#include "hcl.h"
#include "ret.h"
#include "rts.h"

#define FWD_TRIED_MAX 3

enum fwd_outcome { /* of one attempt */
	FWD_REFUSED, /* by the daemon beside the upstream; not run */
	FWD_UNREACHED, /* that daemon could not be reached; not run */
	FWD_FAILED /* it may have run */
};

struct fwd {
	struct fwd *prev, *next; /* of those that wait for the plan */
	struct fwr *owner;
	struct hsc *connection;
	const struct hmg *message;
	const struct buf *body;
	struct plat_request request;
	struct rcf_route route; /* as it was in force when the request came */
	char service[RCF_NAME_MAX];
	bool keyed;
	uint32_t stats; /* of its route */
	uint64_t began_us;
	uint64_t deadline_us;
	uint64_t objective_us;
	/* Attempts. */
	uint32_t attempts; /* that reached an upstream */
	char tried[FWD_TRIED_MAX][LIFE_NODE_MAX];
	uint32_t tried_count;
	struct mbr *target;
	struct exr_job *job; /* at the upstream beside this daemon */
	struct hxc *exchange; /* with another daemon */
	uint64_t sent_us; /* of this attempt */
	uint64_t head_us; /* of the response of this attempt */
	uint32_t connect_timer;
	uint32_t deadline_timer;
	uint32_t retry_timer;
	bool waits; /* for the plan */
	bool moving; /* its key is on the way to another owner */
	bool may_have_run;
	enum exr_refusal refusal; /* of the last attempt */
	uint64_t return_us; /* when the caller may come back */
	bool *over; /* set when the request is over, while it is started */
	/* Response. */
	uint16_t status;
	int64_t length;
	struct buf fields;
	struct buf pending; /* not sent yet, so that another attempt can be */
	bool begun; /* its head has been sent to the caller */
	bool held;
	/* What the answer of another daemon says of itself. */
	bool peer_refused;
	bool peer_failed;
};

struct fwr {
	struct fwr_parts parts;
	struct ret *retries;
	struct rts *stats;
	struct fwd *waiting;
	uint64_t end_us; /* of the process, 0 if it does not stop */
	uint64_t points; /* for choosing among the parts of a route */
	struct hst response_times;
	struct hst refusal_times;
};

/* Chooses where the request goes next and sends it there, or waits. */
void fwd_try(struct fwd *f);

/* Sends the request to a member; returns false if it cannot. */
void fwd_send(struct fwd *f, struct mbr *m);

/* Ends the attempt that is under way, without a report. */
void fwd_stop_attempt(struct fwd *f);

/* The attempt has ended without a response. */
void fwd_attempt_ended(struct fwd *f, enum fwd_outcome outcome);

/* Response of an attempt. */
void fwd_take_head(struct fwd *f, const struct hmg *m);
void fwd_take_body(struct fwd *f, const char *bytes, size_t len);
void fwd_take_end(struct fwd *f);
void fwd_drop_response(struct fwd *f);

/* When the request ends without a whole response, at the latest. */
uint64_t fwd_limit_us(const struct fwd *f);

/* Final answers of this daemon; the request is over. */
void fwd_refuse(struct fwd *f, enum rts_outcome why);
void fwd_fail(struct fwd *f, uint16_t status, enum rts_outcome why);
void fwd_finish(struct fwd *f);

#endif
