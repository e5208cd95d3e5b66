#ifndef NET_TEST_H
#define NET_TEST_H

/* Shared by the tests: an event loop, an HTTP server and raw client sockets. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "websrv.h"

/* Far longer than any wait of a test, so that only a hang exceeds it. */
#define TEST_TIMEOUT_US (60 * US_PER_S)

struct app {
	struct lwsloop *loop;
	struct websrv *server;
	size_t heads; /* calls of head() */
	size_t complete; /* requests closed with complete == true */
	size_t incomplete;
	size_t body_bytes;
	size_t max_body_call;
	bool pause_at_head; /* pauses each request at its head */
	struct websrv_req *held; /* the last request to /hold */
	char method[16];
	char path[512];
	char query[512];
	char header[64]; /* x-test */
};

typedef bool (*condition_fn)(void *arg);

void app_open(struct app *a, const struct websrv_params *params);
void app_close(struct app *a);
struct websrv_params app_params(void);

void app_run(struct app *a, condition_fn until, void *arg);

void app_run_for(struct app *a, uint64_t us);

/* Client connection without an HTTP parser. */
struct raw_conn {
	struct app *app;
	int fd;
	char *in; /* received data, NUL-terminated */
	size_t len;
	size_t capacity;
	bool closed; /* by the server */
};

void raw_open(struct raw_conn *r, struct app *a);
void raw_open_window(struct raw_conn *r, struct app *a, int window);
void raw_close(struct raw_conn *r);
void raw_send(struct raw_conn *r, const char *text);
void raw_send_bytes(struct raw_conn *r, const void *data, size_t len);

void raw_poll(struct raw_conn *r);

void raw_expect(struct raw_conn *r, const char *text);
void raw_expect_close(struct raw_conn *r);

void raw_clear(struct raw_conn *r);

#endif
