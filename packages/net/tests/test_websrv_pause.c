/*
 * Requests that the handler pauses after their body has been read. Guards
 * against a connection that is closed without a response, a busy loop, and lost
 * body data.
 */

#include "net_test.h"

#include <stdio.h>
#include <string.h>

#define SHORT_WAIT_US (20 * US_PER_MS)
#define ROUNDS 20

#define HEAD(method, target) method " " target " HTTP/1.1\r\nhost: x\r\n"

static bool is_held(void *arg)
{
	return ((struct app *)arg)->held != NULL;
}

/* Pauses the request in head(), resumes it later and then responds. */
static void respond_after_pause(struct app *a, struct raw_conn *r,
				const char *request)
{
	struct websrv_req *held;
	size_t before = a->body_bytes;

	a->held = NULL;
	raw_clear(r);
	raw_send(r, request);
	app_run(a, is_held, a);
	held = a->held;
	app_run_for(a, SHORT_WAIT_US);
	assert_int_equal(a->body_bytes, before);
	websrv_pause(held, false);
	app_run_for(a, SHORT_WAIT_US);
	assert_int_equal(a->incomplete, 0);
	assert_int_equal(a->body_bytes, before + 3);
	websrv_reply(held, 200, NULL, 0, "late", 4);
	raw_expect(r, "late");
}

static void body_after_paused_head_is_kept(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	a.pause_at_head = true;
	raw_open(&r, &a);
	for (int i = 0; i < ROUNDS; i++)
		respond_after_pause(
			&a, &r,
			HEAD("POST", "/hold") "content-length: 3\r\n\r\n"
					      "abc");
	assert_int_equal(a.complete, ROUNDS);
	raw_close(&r);
	app_close(&a);
}

static void chunks_after_paused_head_are_kept(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	a.pause_at_head = true;
	raw_open(&r, &a);
	respond_after_pause(
		&a, &r,
		HEAD("POST", "/hold") "transfer-encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n0\r\n\r\n");
	raw_close(&r);
	app_close(&a);
}

static void paused_request_can_be_answered_early(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	a.pause_at_head = true;
	raw_open(&r, &a);
	raw_send(&r, HEAD("POST", "/hold") "content-length: 3\r\n\r\nabc");
	app_run(&a, is_held, &a);
	app_run_for(&a, SHORT_WAIT_US);
	websrv_reply(a.held, 503, NULL, 0, "no", 2);
	raw_expect(&r, "no");
	raw_close(&r);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(body_after_paused_head_is_kept),
		cmocka_unit_test(chunks_after_paused_head_are_kept),
		cmocka_unit_test(paused_request_can_be_answered_early),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
