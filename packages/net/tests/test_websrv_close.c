/*
 * Closes behind a response. Guards against a close that loses what the kernel
 * still has to send, and against connections that are kept by callers that do
 * not read.
 */

#include "net_test.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define BODY_BYTES 90000
/* Receive buffer of a caller, far less than the body. */
#define WINDOW_BYTES 8192
#define WAIT_US (100 * US_PER_MS)
#define CONNECTIONS_MAX 4
#define GET(fields) "GET /big?90000 HTTP/1.1\r\nhost: x\r\n" fields "\r\n"

/* Reads to the close; returns the length of the body that came. */
static size_t read_body(struct raw_conn *r)
{
	const char *end;

	raw_expect_close(r);
	end = strstr(r->in, "\r\n\r\n");
	assert_non_null(end);
	return r->len - (size_t)(end + 4 - r->in);
}

static void response_is_whole_if_a_request_follows_the_close(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open_window(&r, &a, WINDOW_BYTES);
	raw_send(&r, GET("connection: close\r\n"));
	app_run_for(&a, WAIT_US);
	assert_int_equal(websrv_in_progress(a.server), 0);
	assert_int_equal(websrv_unacked(a.server), 1);
	raw_send(&r, GET(""));
	app_run_for(&a, WAIT_US);
	assert_int_equal(read_body(&r), BODY_BYTES);
	raw_close(&r);
	app_run_for(&a, WAIT_US);
	assert_int_equal(websrv_connections(a.server), 0);
	app_close(&a);
}

/* The caller shuts down its side behind a further request. */
static void response_is_whole_for_a_half_closed_caller(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open_window(&r, &a, WINDOW_BYTES);
	raw_send(&r, GET("connection: close\r\n"));
	app_run_for(&a, WAIT_US);
	raw_send(&r, GET(""));
	shutdown(r.fd, SHUT_WR);
	app_run_for(&a, WAIT_US);
	assert_int_equal(read_body(&r), BODY_BYTES);
	raw_close(&r);
	app_close(&a);
}

/* Guards against callers that keep others out by not reading. */
static void callers_that_do_not_read_give_way(void **state)
{
	struct websrv_params p = app_params();
	struct raw_conn r[CONNECTIONS_MAX];
	struct raw_conn other;
	struct app a;

	(void)state;
	p.max_connections = CONNECTIONS_MAX;
	app_open(&a, &p);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		raw_open_window(&r[i], &a, WINDOW_BYTES);
		raw_send(&r[i], GET("connection: close\r\n"));
		app_run_for(&a, WAIT_US);
	}
	assert_int_equal(websrv_connections(a.server), CONNECTIONS_MAX);
	raw_open(&other, &a);
	raw_send(&other, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
	raw_expect(&other, "hello");
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		assert_int_equal(read_body(&r[i]), BODY_BYTES);
		raw_close(&r[i]);
	}
	raw_close(&other);
	app_close(&a);
}

static void caller_that_has_read_all_need_not_close(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
	raw_expect(&r, "hello");
	app_run_for(&a, WAIT_US);
	assert_int_equal(websrv_connections(a.server), 0);
	raw_close(&r);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			response_is_whole_if_a_request_follows_the_close),
		cmocka_unit_test(response_is_whole_for_a_half_closed_caller),
		cmocka_unit_test(callers_that_do_not_read_give_way),
		cmocka_unit_test(caller_that_has_read_all_need_not_close),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
