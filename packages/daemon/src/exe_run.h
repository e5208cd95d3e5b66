#ifndef EXE_RUN_H
#define EXE_RUN_H

/* One request on the upstream; private to exe.c and exe_run.c. */

#include "admission.h"
#include "exe.h"

/* Headers that are added to those of the caller. */
#define EXE_ADDED_HEADERS 6
#define EXE_HEADERS_MAX (PEER_HEADERS_MAX + EXE_ADDED_HEADERS)
#define EXE_NUMBER_MAX 24 /* digits of a 64-bit number, with the NUL */

/* In the order in which a run passes them. */
enum exe_phase {
	RUN_WAITING, /* for ownership, or for another suspect to end */
	RUN_QUEUED, /* for a slot */
	RUN_RUNNING,
	RUN_OVER
};

struct exe_run {
	struct exe *exe;
	const struct exe_events *events;
	void *arg;
	struct exe_run *prev;
	struct exe_run *next;
	uint64_t part;
	uint64_t row_version; /* newest one that the sender knows */
	uint64_t deadline_us;
	uint64_t hold_until_us; /* longest wait for ownership */

	/* the request, in one block of memory */
	char *block;
	const char *kind;
	const char *method;
	const char *target;
	const char *key;
	const char *request_id;
	struct websrv_header headers[EXE_HEADERS_MAX];
	size_t header_count;
	long long content_length;
	const void *first;
	size_t first_len;
	void *pending; /* one piece of the body that came before the slot */
	size_t pending_len;

	/* what was decided */
	uint64_t fingerprint;
	struct admitter *admission;

	/* the call to the upstream */
	struct upclient *pool;
	uint64_t started_us;
	struct dedup_response stored;
	char *stored_body;
	struct tracer_span span;

	uint32_t timer;
	uint32_t kind_index;
	uint32_t duplicate; /* handle in the duplicate window, 0 if none */
	uint32_t call; /* handle of the call, 0 if none */
	enum exe_phase phase;
	enum peer_status
		refused; /* the upstream did not run it; PEER_OK else */
	char fence[EXE_NUMBER_MAX];
	char partition[EXE_NUMBER_MAX];
	char start_by[EXE_NUMBER_MAX];
	char deadline[EXE_NUMBER_MAX];
	char traceparent[TRACER_TRACEPARENT_SIZE];
	bool end; /* the body is complete with first */
	bool pending_end;
	bool idempotent;
	bool suspect; /* holds the place of the one running suspect */
	bool has_slot;
	bool head_seen;
};

void exe_link(struct exe *e, struct exe_run *r);
void exe_unlink(struct exe *e, struct exe_run *r);
struct nod *exe_node(struct exe *e);

struct nod *exe_run_node(const struct exe_run *r);
void exe_run_release(struct exe_run *r, enum admit_result result);
void exe_run_refuse(struct exe_run *r, enum peer_status status,
		    uint32_t retry_after_ms,
		    const struct dedup_response *stored);
void exe_run_destroy(struct exe_run *r);
void exe_run_end_span(struct exe_run *r, const char *outcome, int status);
void exe_run_end_unknown(struct exe_run *r);
void exe_run_launch(struct exe_run *r);

/* The partition is lost while the request waits for a slot or runs. */
void exe_run_abandon(struct exe_run *r);

#endif
