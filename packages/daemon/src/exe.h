#ifndef EXE_H
#define EXE_H

/*
 * Runs requests on the upstream of this instance: checks ownership, quarantine
 * and duplicates, takes a slot, and streams. Used for callers of this daemon
 * and for requests from peers.
 */

#include "dedup.h"
#include "hot_keys.h"
#include "nod.h"
#include "peer.h"
#include "quarantine.h"
#include "upclient.h"

struct exe; /* the module */
struct exe_run; /* one request */

struct exe_request {
	uint64_t part;
	uint64_t row_version; /* newest one that the sender knows, 0 if none */
	const char *kind;
	const char *method;
	const char *target; /* path and query */
	const char *key; /* may be cut */
	const char *request_id; /* "" for idempotent kinds */
	const char *traceparent;
	const struct websrv_header *headers;
	size_t header_count;
	long long content_length;
	const void *first;
	size_t first_len;
	bool end; /* the body is complete with first */
	uint64_t deadline_us;
};

/* Why a request did not run, or how it failed. */
struct exe_refusal {
	enum peer_status status;
	uint32_t retry_after_ms;
	const struct dedup_response *stored; /* DUPLICATE: what was answered */
};

/* All events of a run; none is called from inside exe_start(). */
struct exe_events {
	/* Not run, or PEER_UNKNOWN before the head. Last event. */
	void (*refused)(void *arg, const struct exe_refusal *refusal);
	void (*head)(void *arg, const struct upclient_response *response);
	void (*body)(void *arg, const void *data, size_t len);
	void (*end)(void *arg); /* whole. Last event. */
	void (*broken)(void *arg); /* cut short after the head. Last event. */
	void (*writable)(void *arg); /* more of the request body is wanted */
};

struct exe *exe_create(struct nod *n);
void exe_destroy(struct exe *e);

/* Returns NULL when memory is exhausted; no event follows then. */
struct exe_run *exe_start(struct exe *e, const struct exe_request *req,
			  const struct exe_events *events, void *arg);

/*
 * Passes more of the request body, at most PEER_CHUNK_MAX bytes, which are
 * copied. false: taken, and the next piece has to wait for writable().
 */
bool exe_write(struct exe_run *r, const void *data, size_t len, bool end);

/* Stops and resumes body(). */
void exe_pause(struct exe_run *r, bool paused);

/* The caller has gone: ends the run; no event follows. */
void exe_cancel(struct exe_run *r);

/* A partition is being handed over: true if nothing runs on it. */
bool exe_is_idle(const struct exe *e, uint64_t part);

/* This process no longer owns the partition: ends what still runs. */
void exe_abandon(struct exe *e, uint64_t part);

/* Number of requests that run or wait. */
size_t exe_count(const struct exe *e);

/* A queued request has got a slot, or has been dropped. */
void exe_admitted(void *exe, void *run);
void exe_dropped(void *exe, void *run);

/* Duplicate windows, quarantine and hot keys of this daemon. */
struct dedup *exe_duplicates(struct exe *e);
struct quarantine_table *exe_quarantine(struct exe *e);
struct hot_keys *exe_hot_keys(struct exe *e);

/* The upstream died while these requests ran; spreads the strikes. */
void exe_strike(struct exe *e, uint64_t fingerprint, const char *label);

#endif
