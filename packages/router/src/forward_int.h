#ifndef FORWARD_INT_H
#define FORWARD_INT_H

/* Private types of the forwarder, for its attempts and its responses. */

#include "ctr.h"
#include "forward.h"
#include "peer_headers.h"
#include "httppool.h"
#include "route_stats.h"
#include "service_retries.h"

#define FWD_TRIED_MAX 3
#define FWD_KINDS 64

/* How an attempt without a response ended. */
enum fwd_outcome {
	FWD_REJECTED, /* rejected by the upstream's daemon; not run */
	FWD_UNREACHABLE, /* that daemon could not be reached; not run */
	FWD_FAILED /* it may have run */
};

/* A request of a caller. */
struct fwd_request {
	struct fwd_request *prev, *next; /* in the list of waiting requests */
	struct fwd_request *all_prev, *all_next; /* in the list of all */
	struct fwd *owner;
	struct httpconn *connection;
	const struct httpmsg *message;
	const struct buf *body;
	struct plat_request request;
	struct rconfig_policy policy; /* of its route, at its arrival */
	char service[NAME_SIZE];
	bool keyed; /* runs only at the owner of its key */
	uint32_t stats; /* handle of its route in the statistics */
	uint32_t retries; /* handle of its service in the retries */
	uint64_t arrival_us;
	uint64_t deadline_us;
	uint64_t objective_us;
	/* Attempts. */
	uint32_t attempts; /* that reached an upstream */
	char tried[FWD_TRIED_MAX][NAME_SIZE];
	uint32_t tried_count;
	struct memb *target;
	bool others_left; /* it may be sent to another one after the target */
	struct reqrun_job *job; /* at the local upstream */
	struct httpcall *exchange; /* with another daemon */
	uint64_t sent_us; /* start of the current attempt */
	uint64_t head_us; /* time of its response head */
	uint64_t run_us; /* from the upstream's start of it to that head */
	uint64_t bytes; /* of the body of the response so far */
	uint32_t connect_timer;
	uint32_t deadline_timer;
	uint32_t retry_timer;
	bool awaiting_plan; /* for a change of the plan */
	bool key_moving; /* its key is being moved to another owner */
	bool may_have_run;
	enum reqrun_rejection refusal; /* of the last attempt */
	uint64_t retry_after_us; /* retry delay for the caller */
	bool *ended; /* set if the request ends during its start, or NULL */
	/* Response. */
	uint16_t status;
	int64_t length;
	struct buf fields;
	struct buf pending; /* body kept back, so that a retry is possible */
	bool head_sent; /* to the caller */
	bool reading_paused;
	/* Origin of the response, from the header of another daemon. */
	bool peer_refused; /* rejection by that daemon; not run */
	bool peer_failed; /* failure seen by that daemon; may have run */
};

/* The forwarder. */
struct fwd {
	struct fwd_parts parts;
	struct svcretry *retries;
	struct rstats *stats;
	struct fwd_request *all;
	struct fwd_request *waiting; /* for a change of the plan */
	uint64_t end_us; /* end of the process, 0 if it is not stopping */
	uint64_t next_sequence; /* sequence number for weighted routes */
	/* Means of each kind of request: run time and bytes of a response. */
	double kind_run_us[FWD_KINDS];
	double kind_bytes[FWD_KINDS];
	struct histogram response_times;
	struct histogram refusal_times;
};

struct memb *fwd_find_target(const struct fwd_request *f, uint64_t now_us);
bool fwd_has_others(const struct fwd_request *f, uint64_t now_us);
bool fwd_is_key_leaving(const struct fwd_request *f, uint64_t now_us);

void fwd_start_attempt(struct fwd_request *f);
void fwd_send(struct fwd_request *f, struct memb *m);
void fwd_cancel_attempt(struct fwd_request *f);
void fwd_count_attempt(struct fwd_request *f);
void fwd_end_attempt(struct fwd_request *f, enum fwd_outcome outcome);

/* What an upstream is told of a request, and the head to another daemon. */
uint32_t fwd_request_kind(const struct fwd_request *f);
struct span fwd_caller_service(const struct fwd_request *f);
bool fwd_awaits_continue(const struct fwd_request *f, const struct memb *m);
void fwd_write_peer_head(const struct fwd_request *f, const struct memb *m,
			 uint64_t now_us, struct buf *out);

void fwd_on_response_head(struct fwd_request *f, const struct httpmsg *m);
void fwd_on_response_body(struct fwd_request *f, const char *bytes, size_t len);
void fwd_on_response_end(struct fwd_request *f);
void fwd_discard_response(struct fwd_request *f);

uint64_t fwd_time_limit_us(const struct fwd_request *f);

/* These end and free the request. */
void fwd_reject(struct fwd_request *f, enum rstats_outcome why);
void fwd_fail(struct fwd_request *f, uint16_t status, enum rstats_outcome why);
void fwd_abandon(struct fwd_request *f);
void fwd_free(struct fwd_request *f);

#endif
