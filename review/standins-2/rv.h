#ifndef RV_H
#define RV_H

/*
 * A small deployment on loopback for the cases of the second review: the store
 * of the project's testbed, backends and clients in this process, and the
 * daemons as child processes with the command of the deploy file.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "evloop.h"
#include "httppool.h"
#include "httpsrv.h"
#include "testbed.h"

#define RV_NODES_MAX 8
#define RV_RANGES_MAX 128
#define RV_CALLS_MAX 60000
#define RV_TEXT_MAX 256

/* Exit codes of a case. */
#define RV_HELD 0
#define RV_BROKEN 1
#define RV_NOT_RUN 2

/* Bounds of the small sites. */
#define RV_DRAIN_MS 2000
#define RV_GRACE_S 6
#define RV_CONTACT_MS 3000
#define RV_SLOTS 6

struct rv;
struct rv_run;

struct rv_range {
	uint32_t first, last;
	uint64_t fence;
	bool working_only; /* taken away, but a request on it still runs */
};

/* One life of a backend. */
struct rv_backend {
	struct rv *rv;
	size_t node;
	char service[32];
	bool keyed;
	bool up;
	char id[32];
	int64_t born_ms;
	uint64_t seq;
	uint32_t work_ms;
	struct httpsrv *server;
	struct httppool *admin;
	struct httpcall *beat; /* in progress */
	uint64_t beat_sent_us;
	uint16_t beat_status;
	struct buf beat_answer;
	bool beats; /* it sends heartbeats */
	uint32_t beat_timer;
	struct rv_range held[RV_RANGES_MAX];
	size_t held_count;
	struct rv_range freed[RV_RANGES_MAX];
	size_t freed_count;
	uint64_t held_until_us;
	struct rv_run *runs;
	uint32_t running;
	/* Leaving: when the deregistration was acknowledged, 0 before. */
	uint64_t left_acked_us;
	uint32_t exit_timer;
	/* Requests that arrived, without those answered with 421. */
	uint32_t arrived;
	uint32_t arrived_late; /* later than drain_ms after left_acked_us */
	uint64_t first_late_us, last_late_us;
	uint32_t late_cut; /* of those, how many its exit cut off */
	/* A request whose path has "/deadly-" ends it after this time. */
	uint32_t crash_ms;
	uint32_t down_ms; /* from then to its next start */
	uint32_t crash_timer;
};

/* A request of a client. */
struct rv_call {
	struct rv *rv;
	uint32_t number;
	size_t node;
	bool unsafe;
	uint32_t key; /* UINT32_MAX for none */
	uint64_t sent_us;
	uint64_t ended_us; /* 0 without an answer */
	uint16_t status; /* 0 if the connection ended without an answer */
	uint16_t begun; /* how often a backend began to run it */
	uint16_t begun_late; /* the same, at a backend that had left */
	struct buf body;
};

struct rv {
	struct evloop *loop;
	struct testbed store; /* only its store is used */
	FILE *record;
	bool trouble; /* false for the run without the disruption */
	char folder[RV_TEXT_MAX];
	uint16_t port;
	size_t nodes;
	uint32_t beat_ms;
	uint64_t began_us;
	pid_t daemons[RV_NODES_MAX];
	pid_t collectors[RV_NODES_MAX]; /* of their log lines */
	struct rv_backend backends[RV_NODES_MAX];
	struct httppool *clients[RV_NODES_MAX];
	struct rv_call *calls;
	uint32_t call_count;
	uint32_t deadline_ms;
	uint64_t random;
};

/* Creates the deployment; exits with RV_NOT_RUN on failure. */
void rv_create(struct rv *v, size_t nodes, uint32_t beat_ms);
void rv_destroy(struct rv *v);

/* Writes a line with the time since the start to the record. */
void rv_note(struct rv *v, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
uint64_t rv_ms(const struct rv *v, uint64_t at_us);
uint64_t rv_now(struct rv *v);
uint32_t rv_random(struct rv *v, uint32_t bound);
void rv_run(struct rv *v, uint32_t ms);

/* Starts a daemon; its log goes to a file, or through a collector process. */
void rv_start_daemon(struct rv *v, size_t node, const char *service,
		     bool collector);
void rv_kill(struct rv *v, size_t node, int signo);
/* True if the process has ended; waits for at most that long. */
bool rv_wait_end(struct rv *v, size_t node, uint32_t ms);
void rv_address(const struct rv *v, size_t node, enum testbed_port port,
		char out[32]);

/* Writes the configuration of the operator. */
void rv_publish(struct rv *v, uint32_t timeout_ms);

/* Starts a backend; its heartbeats begin at once. */
void rv_start_backend(struct rv *v, size_t node, const char *service,
		      bool keyed, uint32_t work_ms);
void rv_stop_backend(struct rv *v, size_t node);
/*
 * The backend leaves without having said that it drains: it deregisters, goes
 * on to serve for this long once that is acknowledged, and exits.
 */
void rv_leave(struct rv *v, size_t node, uint32_t serve_ms);
/* Returns the body of the next heartbeat; the caller frees it. */
char *rv_beat_body(struct rv_backend *b, uint64_t seq);
/* Sends a heartbeat with this body; nobody waits for its answer. */
void rv_send_beat(struct rv *v, size_t node, const char *body);
/* True if it holds the key now, or still works on it under its hold. */
bool rv_holds(const struct rv_backend *b, uint32_t key, uint64_t now_us);

/* Sends a request; key UINT32_MAX is none. */
struct rv_call *rv_send(struct rv *v, size_t node, const char *path,
			bool unsafe, uint32_t key);
/* The same, with exactly this path. */
struct rv_call *rv_send_path(struct rv *v, size_t node, const char *path,
			     bool unsafe, uint32_t key);
/* Called when a backend begins to run a request with "/deadly-N" in its path. */
extern void (*rv_on_deadly)(struct rv *v, uint32_t n);
/* Waits until a request to each node is answered with 200; false if not. */
bool rv_wait_served(struct rv *v, const char *path, uint32_t key, uint32_t ms);

#endif
