#ifndef PEER_FIXTURE_H
#define PEER_FIXTURE_H

/* A server as that for daemons, a pool as that of a daemon, and what happened. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "ctr.h"
#include "headcodec.h"
#include "httppool.h"
#include "httpsrv.h"
#include "tcplisten.h"
#include "tcpsock.h"

#define SERVER_ADDRESS "127.0.0.1:20141"
#define SILENT_ADDRESS "127.0.0.1:20144"
#define TIMEOUT_US (3 * US_PER_S)

struct fixture {
	struct evloop *loop;
	struct httpsrv *server;
	struct tcplisten *silent; /* accepts connections only */
	int silent_fd; /* its last connection, -1 if none */
	struct httppool *pool; /* to the server */
	struct httppool *silent_pool;
	struct httpcall *call;
	bool refuses; /* the server, before the body, with "Reason: busy" */
	uint32_t requests;
	char target[64]; /* of the last request */
	char text[512]; /* its body */
	size_t received; /* length of that */
	/* Of the next calls. */
	bool await_continue, pack_body, refusal, abandoned;
	/* The response or failure of the last call. */
	uint16_t status;
	char reason[16];
	size_t body;
	bool done, failed;
	enum httpcall_failure failure;
};

int peer_setup(void **state);
int peer_teardown(void **state);

/* Replaces the server and the pool by new ones with default options. */
void peer_restart(struct fixture *f);

/* Returns the decision of the server as refuses has it. */
uint16_t peer_expect(void *arg, const struct httpmsg *m, struct buf *fields);

/* Sends a request. */
void peer_call(struct fixture *f, struct httppool *pool, const char *head,
	       const char *body);

/* Runs the event loop until the call ends, at most this long. */
void peer_run(struct fixture *f, uint64_t us);

/* Runs the event loop for a short time. */
void peer_run_shortly(struct fixture *f);

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, peer_setup, peer_teardown)

#endif
