#ifndef ING_CALL_H
#define ING_CALL_H

/* One request of a caller; private to ing.c, ing_body.c and ing_out.c. */

#include "exe.h"
#include "websrv.h"
#include "ing.h"
#include "peer.h"
#include "route.h"
#include "service_retries.h"

#define ING_KEY_MAX 64 /* bytes of the key that travel, with the NUL */

/* What a caller is told, in the header geranium-outcome. */
enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_SHED,
	OUTCOME_INVALID,
	OUTCOME_FORBIDDEN,
	OUTCOME_QUARANTINED
};

/* A refusal that waits for the end of a short request body. */
struct early_refusal {
	const char *text; /* NULL if there is none */
	enum outcome outcome;
	int status;
	uint32_t retry_after_ms;
};

struct call {
	struct ing *ing;
	struct websrv_req *req; /* NULL once the caller has gone */
	uint64_t part;
	uint64_t deadline_us;
	uint64_t started_us;
	char key[ING_KEY_MAX];
	char kind[PEER_NAME_MAX + 1];
	char target[PEER_TARGET_MAX + 1];
	const char *request_id;
	struct retry_request retry;
	uint32_t retries; /* handle of its service in the retries */
	struct route_search route;
	uint32_t forwards;
	uint32_t timer;
	struct tracer_span span;
	char traceparent[TRACER_TRACEPARENT_SIZE];

	/* the request body */
	long long content_length;
	uint64_t body_bytes; /* received so far */
	char *first; /* what is sent with OPEN, kept for retries */
	size_t first_len;
	char *more; /* what came after it and waits to be sent */
	size_t more_len;
	size_t more_capacity;
	bool body_end; /* all of the body is in first and more */
	bool sent_end; /* all of it was passed on */
	bool can_send; /* the target has room for the next piece */
	bool started; /* the first attempt has begun */

	/* the attempt in progress: one of these */
	struct exe_run *run; /* here */
	uint32_t remote; /* handle of the OPEN call */
	struct proc target_proc;
	struct peerrpc_address target_address;
	uint64_t stream; /* number of the remote stream, 0 if none */
	uint32_t data_call;
	uint32_t read_call;
	uint32_t alive_call; /* asks whether the other daemon runs */
	bool remote_open; /* OPEN was answered with a head */

	struct early_refusal early;
	bool responded; /* the head was sent to the caller */
	bool finished; /* the last byte was queued, or the call was aborted */
	int status;
};

struct ing {
	struct nod *n;
	struct websrv *server;
	struct route_cache *routes;
	struct svcretry *retries;
	size_t count;
	uint64_t next_stream;
};

/* Tells the caller how it ended, with a short text. */
void ing_tell(struct call *c, enum outcome outcome, int status,
	      uint32_t retry_after_ms, const char *text);

/* Sends the head of the response of the upstream. */
void ing_respond(struct call *c, int status,
		 const struct websrv_header *headers, size_t count,
		 long long content_length);

/* Breaks a response that has begun. */
void ing_break(struct call *c);

/* Begins the next attempt, or tells the caller that it did not run. */
void ing_attempt(struct call *c);

/* An attempt has failed: tries again if that is allowed, else tells. */
void ing_failed(struct call *c, enum retry_outcome outcome,
		uint32_t retry_after_ms);

/* The result of an attempt that has no response to pass on. */
void ing_refused(struct call *c, const struct exe_refusal *refusal);

/* A piece of the request body has come. */
void ing_on_body(void *arg, struct websrv_req *r, const void *data, size_t len,
		 bool end);

/* Sends what waits of the request body. */
void ing_send_body(struct call *c);

/* The body of the response may go on. */
void ing_out_writable(struct call *c);

/* Forwards the request to another process. */
void ing_out_open(struct call *c, const struct proc *to);

/* Sends a piece of the body to the remote stream. */
void ing_out_data(struct call *c, const void *data, size_t len, bool end);

/* Ends a remote stream that is no longer wanted. */
void ing_out_cancel(struct call *c);

/* Collects the headers that travel with a request; returns their count. */
size_t ing_headers(const struct call *c, struct websrv_header *out, size_t max);

#endif
