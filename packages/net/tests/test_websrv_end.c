/*
 * Responses that the handler ends after writing their last byte. Guards against
 * a caller that receives the whole response and sends its next request before
 * the server has ended the first: libwebsockets then treats the second request
 * as pipelined and the connection is closed without a response.
 */

#include "net_test.h"

#include <stdio.h>
#include <string.h>

#define SHORT_WAIT_US (20 * US_PER_MS)
#define HEAD(method, target) method " " target " HTTP/1.1\r\nhost: x\r\n"
#define POST HEAD("POST", "/hold") "content-length: 3\r\n\r\nabc"

static bool is_held(void *arg)
{
	return ((struct app *)arg)->held != NULL;
}

static struct websrv_req *start_held_request(struct app *a, struct raw_conn *r,
					     const char *request)
{
	a->held = NULL;
	raw_clear(r);
	raw_send(r, request);
	app_run(a, is_held, a);
	return a->held;
}

static void last_byte_is_withheld_until_the_end(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	for (int i = 0; i < 5; i++) {
		struct websrv_req *held = start_held_request(&a, &r, POST);

		websrv_respond(held, 200, NULL, 0, 5);
		assert_true(websrv_write(held, "hello", 5, false));
		app_run_for(&a, SHORT_WAIT_US);
		raw_poll(&r);
		assert_null(strstr(r.in, "hello"));
		websrv_write(held, NULL, 0, true);
		raw_expect(&r, "hello");
	}
	raw_close(&r);
	app_close(&a);
}

static void bodyless_head_is_withheld_until_the_end(void **state)
{
	static const int lengths[] = { 0, 7 };
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	for (size_t i = 0; i < 2; i++) {
		struct websrv_req *held = start_held_request(
			&a, &r,
			i ? HEAD("HEAD", "/hold") "\r\n" : (const char *)POST);

		websrv_respond(held, 200, NULL, 0, lengths[i]);
		app_run_for(&a, SHORT_WAIT_US);
		raw_poll(&r);
		assert_null(strstr(r.in, "\r\n\r\n"));
		websrv_write(held, NULL, 0, true);
		raw_expect(&r, "\r\n\r\n");
	}
	raw_close(&r);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(last_byte_is_withheld_until_the_end),
		cmocka_unit_test(bodyless_head_is_withheld_until_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
