#ifndef NET_TEST_H
#define NET_TEST_H

/* What the tests of this package share: a loop, a server and raw sockets. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "htp.h"

/* Far more than any step takes, so that only a hang reaches it. */
#define PATIENCE_US (60 * US_PER_S)

struct app {
	struct lop *loop;
	struct htp *server;
	size_t heads;
	size_t complete; /* requests closed with complete == true */
	size_t incomplete;
	size_t body_bytes;
	size_t max_piece;
	bool refuse_body; /* pauses each request at its head */
	struct htp_req *held; /* the last request to /hold */
	char method[16];
	char path[512];
	char query[512];
	char header[64]; /* x-test */
};

typedef bool (*until_fn)(void *arg);

void app_open(struct app *a, const struct htp_params *params);
void app_close(struct app *a);
struct htp_params app_params(void);

/* Runs the loop until the function returns true; fails after PATIENCE_US. */
void app_run(struct app *a, until_fn until, void *arg);

/* Runs the loop for at least a time. */
void app_run_for(struct app *a, uint64_t us);

/* A raw connection to the server. */
struct raw {
	struct app *app;
	int fd;
	char *in; /* what has arrived, with a closing NUL */
	size_t len;
	size_t capacity;
	bool closed; /* by the server */
};

void raw_open(struct raw *r, struct app *a);
void raw_close(struct raw *r);
void raw_send(struct raw *r, const char *text);
void raw_send_bytes(struct raw *r, const void *data, size_t len);

/* Reads what is there without waiting. */
void raw_poll(struct raw *r);

/* Run the loop until the text has arrived or the server has closed. */
void raw_expect(struct raw *r, const char *text);
void raw_expect_close(struct raw *r);

/* Forgets what has arrived. */
void raw_clear(struct raw *r);

#endif
