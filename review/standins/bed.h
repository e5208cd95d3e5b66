#ifndef REVIEW_BED_H
#define REVIEW_BED_H

/*
 * A small deployment on loopback for the cases of the review. The store, the
 * upstreams and the callers are stand-ins in this process; the daemons are
 * child processes with the command of the deploy file. All that was sent,
 * answered and run is written to record.txt.
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "evloop.h"
#include "httppool.h"
#include "httpsrv.h"

#define BED_NODES_MAX 12
#define BED_RANGES_MAX 512
#define BED_KEYS 65536
#define BED_CRASHES_MAX 256
#define BED_REQUESTS_MAX 20000

/* Bounds of the site file of the Association's mesh. */
#define BED_BEAT_MS 870
#define BED_HOLD_MAX_MS 10000
#define BED_DRAIN_MS 2000
#define BED_GRACE_S 6
#define BED_BEAT_TIMEOUT_MS 1000
#define BED_SLOTS 6
#define BED_DEADLINE_MS 1000
#define BED_MEMORY_MB 260

/* Path of the request that crashes upstreams, and when it does so. */
#define BED_CRASH_PATH "order-4711"
#define BED_CRASH_AFTER_MS 300
/* Time until a crashed upstream is back. */
#define BED_BACK_AFTER_MS 3000

/* Exit statuses of a case. */
enum bed_verdict { BED_HELD = 0, BED_BROKEN = 1, BED_NOT_RUN = 2 };

enum bed_port {
	BED_CALLERS,
	BED_PEERS,
	BED_READY,
	BED_ADMIN,
	BED_METRICS,
	BED_UPSTREAM,
	BED_STORE, /* at which this node reaches the store */
	BED_PORTS
};

struct bed_range {
	uint32_t first, last;
	uint64_t fence;
};

struct bed_upstream {
	struct bed *bed;
	size_t index;
	char id[32];
	int64_t born_ms;
	uint64_t seq;
	bool up;
	bool keyed;
	struct httpsrv *server;
	struct httppool *daemon;
	struct httpcall *beating;
	uint64_t beat_us; /* send time of the last heartbeat */
	uint32_t timer;
	struct buf answer;
	uint16_t answer_status;
	struct bed_range holds[BED_RANGES_MAX];
	size_t hold_count;
	uint64_t hold_until_us;
	struct bed_range freed[BED_RANGES_MAX];
	size_t freed_count;
	struct bed_run *runs;
	uint32_t crash_timer; /* set when a request crashes it */
	uint64_t start_again_us; /* after a crash, or 0 */
	uint32_t beats_answered, beats_renewed; /* since the last reset */
};

struct bed_node {
	struct bed *bed;
	size_t index;
	char name[24];
	char service[16];
	pid_t pid; /* 0 if not running */
	struct bed_upstream upstream;
	struct httppool *outbound;
	struct httpsrv *store; /* the store, at the address of this node */
	bool cut; /* its calls to the store get no answer */
	uint64_t lease_written_us; /* last write of its own row */
	uint64_t start_again_us; /* when the platform starts it again, or 0 */
	uint32_t memory_ends; /* times that it exceeded its memory */
};

struct bed_request {
	bool idempotent;
	uint32_t key;
	uint16_t runs;
	uint16_t status; /* 0 without an answer */
	bool kept; /* sent on a connection that had carried others */
};

struct bed {
	struct evloop *loop;
	size_t node_count;
	uint16_t port; /* first port */
	char folder[64];
	struct bed_node nodes[BED_NODES_MAX];
	bool store_away; /* no call gets an answer */
	struct bed_request requests[BED_REQUESTS_MAX];
	uint32_t request_count;
	uint32_t answered_ok, answered_refused, answered_other;
	uint64_t random;
	uint32_t traffic_step_ms; /* between two requests */
	/* The longest time for which two upstreams held the same key. */
	uint64_t overlap_us[BED_NODES_MAX][BED_NODES_MAX];
	uint64_t overlap_since_us[BED_NODES_MAX][BED_NODES_MAX];
	uint32_t overlap_runs[BED_NODES_MAX][BED_NODES_MAX][2];
	uint64_t overlap_max_us;
	uint32_t overlap_both_ran;
	uint32_t run_max_ms; /* longest run of a request */
	uint64_t crash_arrivals_us[BED_CRASHES_MAX]; /* of crashing requests */
	uint64_t crashes_us[BED_CRASHES_MAX]; /* ends of upstreams by them */
	uint32_t crash_arrivals, crashes;
	uint32_t cut_after_run; /* on kept connections */
	uint64_t memory_max_kb; /* of all daemons */
	char broken[256]; /* first broken rule, "" if none */
};

/* Writes a line to record.txt, with the time since the start. */
void bed_record(struct bed *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Records a broken rule; the first one decides. */
void bed_break(struct bed *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Ends the case as not run, with all its processes. */
void bed_not_run(struct bed *b, const char *reason);

/*
 * Creates a deployment; services names the service of each node, "keyed" or
 * "free".
 */
void bed_create(struct bed *b, const char *const *services, size_t count);

/* Ends all processes and returns the exit status of the case. */
int bed_finish(struct bed *b);

void bed_address(const struct bed *b, size_t node, enum bed_port port,
		 char *out, size_t size);
void bed_start_daemon(struct bed *b, size_t node);
void bed_signal_daemon(struct bed *b, size_t node, int signo);
void bed_start_upstream(struct bed *b, size_t node);
void bed_run(struct bed *b, uint32_t ms);
uint32_t bed_random(struct bed *b, uint32_t bound);
uint64_t bed_now_us(const struct bed *b);

/* True unless the case is to run without its disruption. */
bool bed_has_trouble(void);

/*
 * Sends a request to the daemon of a node and returns its number. fields are
 * further header lines, each with its CRLF.
 */
uint32_t bed_send(struct bed *b, size_t node, uint32_t key, bool idempotent,
		  bool keyed, const char *fields);

/*
 * Sends a request that must not be repeated, with a body of some bytes, to the
 * route of the keyed service.
 */
uint32_t bed_send_large(struct bed *b, size_t node, uint32_t key, size_t len);

/*
 * Sends the request that crashes each upstream that begins to run it: always
 * the same path, under a new id. The caller leaves after leave_ms; 0 if it
 * waits for the answer.
 */
void bed_send_crashing(struct bed *b, size_t node, uint32_t key,
		       uint32_t leave_ms);

/* Starts the upstreams again that have been down for long enough. */
void bed_restart_crashed(struct bed *b);

/*
 * Does what the platform does to a process that exceeds memory_mb: kills it and
 * starts it again after a short delay.
 */
void bed_guard_memory(struct bed *b, uint32_t memory_mb);

/* Sends requests on random keys to random nodes, one every traffic_step_ms. */
void bed_traffic(struct bed *b, uint32_t ms);

/* True once the keyed upstreams together hold all keys. */
bool bed_all_keys_held(const struct bed *b);

/* Runs until all keys are held; ends the case if that takes over a time. */
void bed_await_keys(struct bed *b, uint32_t ms);

/* Store. */
void bed_store_open(struct bed *b);
void bed_store_close(struct bed *b);
void bed_store_copy(struct bed *b);
void bed_store_restore(struct bed *b);

/* Differences from the first configuration. */
struct bed_config {
	bool drops_free; /* has no route to the service "free" */
	const char *added_host; /* of a further route, NULL for none */
};

/* Writes a configuration; change is NULL for the first one. */
void bed_store_publish(struct bed *b, uint32_t version,
		       const struct bed_config *change);
/* True if the row of a node says that its lease has expired. */
bool bed_store_is_expired(const struct bed *b, size_t node);
/* True if the plan names this node as the leader. */
bool bed_store_is_leader(const struct bed *b, size_t node);

#endif
