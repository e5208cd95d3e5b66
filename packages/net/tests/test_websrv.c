/*
 * HTTP server against raw sockets. Guards against truncated or mixed-up bodies,
 * aborted responses that look complete, memory use that grows with slow
 * readers, and malformed or slow requests that affect other connections.
 */

#include "net_test.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MIB (1024UL * 1024)
#define IDLE_CONNECTIONS 1000

#define HEAD(method, target) method " " target " HTTP/1.1\r\nhost: x\r\n"

static bool one_request_incomplete(void *arg)
{
	return ((struct app *)arg)->incomplete == 1;
}

static bool eight_requests_complete(void *arg)
{
	return ((struct app *)arg)->complete == 8;
}

static bool one_request_started(void *arg)
{
	return ((struct app *)arg)->heads == 1;
}

static void connection_is_kept(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	for (int i = 0; i < 5; i++) {
		raw_send(&r, HEAD("GET", "/hello") "\r\n");
		raw_expect(&r, "content-length: 5\r\n\r\nhello");
		assert_non_null(strstr(r.in, "etag: \"1\""));
		raw_clear(&r);
	}
	raw_send(&r, HEAD("POST", "/sink") "content-length: 5\r\n\r\nab");
	app_run_for(&a, 5 * US_PER_MS);
	raw_send(&r, "cde");
	raw_expect(&r, "got 5");
	raw_clear(&r);
	raw_send(&r, HEAD("HEAD", "/hello") "\r\n");
	raw_send(&r, HEAD("GET", "/status?204") "\r\n");
	raw_expect(&r, "204 No Content\r\netag: \"1\"\r\n\r\n");
	assert_null(strstr(r.in, "hello"));
	app_run(&a, eight_requests_complete, &a);
	raw_close(&r);
	app_close(&a);
}

static void target_and_headers_arrive(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r,
		 HEAD("DELETE", "/a/b%20c?x=1%262&y") "X-Test: v 1\r\n\r\n");
	raw_expect(&r, "hello");
	assert_string_equal(a.method, "DELETE");
	assert_string_equal(a.path, "/a/b%20c");
	assert_string_equal(a.query, "x=1%262&y");
	assert_string_equal(a.header, "v 1");
	raw_close(&r);
	app_close(&a);
}

/* A key that is truncated or normalised would map to another partition. */
static void target_is_kept_octet_for_octet(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r,
		 HEAD("GET",
		      "/a&b;c%2Fd%26e/../f//g=h?x=1;2&y=%26;%3b&&z") "\r\n");
	raw_expect(&r, "hello");
	assert_string_equal(a.path, "/a&b;c%2Fd%26e/../f//g=h");
	assert_string_equal(a.query, "x=1;2&y=%26;%3b&&z");
	raw_close(&r);
	app_close(&a);
}

static void chunked_body_is_decoded(void **state)
{
	static const char body[] = "5;x=y\r\nhello\r\n0a\r\n0123456789\r\n"
				   "0\r\nt: v\r\n\r\n";
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r,
		 HEAD("POST", "/echo") "transfer-encoding: chunked\r\n\r\n");
	for (size_t i = 0; i + 1 < sizeof(body); i++) {
		raw_send_bytes(&r, body + i, 1);
		lwsloop_run_once(a.loop);
	}
	raw_expect(&r, "0\r\n\r\n");
	assert_int_equal(a.body_bytes, 15);
	assert_int_equal(a.complete, 1);
	raw_clear(&r);
	raw_send(&r, HEAD("POST", "/sink") "transfer-encoding: chunked\r\n\r\n"
					   "5\r\nhello\r\n0\r\n\r\n");
	raw_expect(&r, "got 5");
	raw_close(&r);
	app_close(&a);
}

static void bad_chunks_close_the_connection(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, HEAD("POST", "/sink") "transfer-encoding: chunked\r\n\r\n"
					   "zz\r\nhello\r\n");
	raw_expect_close(&r);
	assert_int_equal(a.incomplete, 1);
	raw_close(&r);
	app_close(&a);
}

static void truncated_request_is_never_complete(void **state)
{
	static const char *const heads[] = {
		HEAD("POST", "/sink") "content-length: 10\r\n\r\nabc",
		HEAD("POST", "/sink") "transfer-encoding: chunked\r\n\r\n"
				      "a\r\nabc",
		HEAD("POST", "/sink") "transfer-encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n",
	};
	struct raw_conn r;

	(void)state;
	for (size_t i = 0; i < 3; i++) {
		struct app a;

		app_open(&a, NULL);
		raw_open(&r, &a);
		raw_send(&r, heads[i]);
		app_run(&a, one_request_started, &a);
		raw_close(&r);
		app_run(&a, one_request_incomplete, &a);
		assert_int_equal(a.complete, 0);
		assert_int_equal(websrv_in_progress(a.server), 0);
		app_close(&a);
	}
}

static void aborted_response_is_truncated(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, HEAD("GET", "/cut?100") "\r\n");
	raw_expect_close(&r);
	assert_non_null(strstr(r.in, "content-length: 100\r\n\r\nabcde"));
	raw_close(&r);
	raw_open(&r, &a);
	raw_send(&r, HEAD("GET", "/cut?0") "\r\n");
	raw_expect_close(&r);
	assert_non_null(strstr(r.in, "5\r\nabcde\r\n"));
	assert_null(strstr(r.in, "\r\n0\r\n"));
	raw_close(&r);
	assert_int_equal(a.incomplete, 2);
	assert_int_equal(a.complete, 0);
	app_close(&a);
}

static void disconnected_caller_is_reported(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, HEAD("GET", "/hold") "\r\n");
	app_run(&a, one_request_started, &a);
	assert_int_equal(websrv_in_progress(a.server), 1);
	raw_close(&r);
	app_run(&a, one_request_incomplete, &a);
	app_close(&a);
}

static void slow_reader_uses_little_memory(void **state)
{
	static const size_t size = 64 * MIB;
	struct app a;
	struct raw_conn r;
	size_t before;
	size_t total = 0;
	size_t peak = 0;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	raw_send(&r, HEAD("GET", "/big?67108864") "\r\n");
	while (total < size) {
		size_t now = mallinfo2().uordblks + mallinfo2().hblkhd;
		char *end;

		if (now > before && now - before > peak)
			peak = now - before;
		lwsloop_run_once(a.loop);
		raw_poll(&r);
		end = total ? NULL : strstr(r.in, "\r\n\r\n");
		total += r.len - (end ? (size_t)(end + 4 - r.in) : 0);
		raw_clear(&r);
	}
	assert_int_equal(total, size);
	assert_true(peak < 16 * MIB);
	raw_close(&r);
	app_close(&a);
}

static void paused_body_is_not_read(void **state)
{
	static char block[64 * 1024];
	struct app a;
	struct raw_conn r;
	size_t sent = 0;
	ssize_t n;

	(void)state;
	app_open(&a, NULL);
	a.pause_at_head = true;
	raw_open(&r, &a);
	raw_send(&r, HEAD("POST", "/hold") "content-length: 67108864\r\n\r\n");
	app_run(&a, one_request_started, &a);
	for (int idle = 0; idle < 20;) {
		n = send(r.fd, block, sizeof(block), MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		idle = n > 0 ? 0 : idle + 1;
		lwsloop_run_once(a.loop);
	}
	assert_true(sent < 32 * MIB);
	assert_true(a.body_bytes <= 64 * 1024);
	websrv_pause(a.held, false);
	while (sent < 64 * MIB) {
		size_t bytes_left = 64 * MIB - sent;

		n = send(r.fd, block,
			 bytes_left < sizeof(block) ? bytes_left :
						      sizeof(block),
			 MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		lwsloop_run_once(a.loop);
	}
	while (a.body_bytes < 64 * MIB)
		lwsloop_run_once(a.loop);
	assert_int_equal(a.body_bytes, 64 * MIB);
	raw_close(&r);
	app_close(&a);
}

static void malformed_heads_close_one_connection(void **state)
{
	static const char *const heads[] = {
		"BLAH /x HTTP/1.1\r\nhost: x\r\n\r\n",
		"\001\002\003\r\n\r\n",
		HEAD("POST", "/sink") "content-length: 5x\r\n\r\n",
		HEAD("POST", "/sink") "content-length: -5\r\n\r\n",
		HEAD("POST", "/sink") "content-length: 5\r\n"
				      "content-length: 6\r\n\r\n",
		HEAD("POST", "/sink") "content-length: 5\r\n"
				      "transfer-encoding: chunked\r\n\r\n",
		HEAD("POST", "/sink") "transfer-encoding: gzip\r\n\r\n",
		"GET /x HTTP/1.0\r\nhost: x\r\n\r\n",
	};
	struct app a;
	struct raw_conn good;
	struct raw_conn bad;

	(void)state;
	app_open(&a, NULL);
	raw_open(&good, &a);
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		raw_open(&bad, &a);
		raw_send(&bad, heads[i]);
		raw_expect(&bad, "geranium-outcome: invalid\r\n");
		raw_expect_close(&bad);
		raw_close(&bad);
	}
	assert_int_equal(a.heads, 0);
	raw_send(&good, HEAD("GET", "/hello") "\r\n");
	raw_expect(&good, "hello");
	assert_null(strstr(good.in, "geranium-outcome"));
	raw_close(&good);
	app_close(&a);
}

static void oversized_heads_close_one_connection(void **state)
{
	struct app a;
	struct raw_conn bad;
	char *text = malloc(200000);

	(void)state;
	app_open(&a, NULL);
	memset(text, 'a', 200000);
	text[199999] = '\0';
	raw_open(&bad, &a);
	raw_send(&bad, "GET /");
	raw_send(&bad, text);
	raw_expect_close(&bad);
	raw_close(&bad);
	raw_open(&bad, &a);
	raw_send(&bad, HEAD("GET", "/hello") "x-long: ");
	raw_send(&bad, text);
	raw_expect_close(&bad);
	raw_close(&bad);
	assert_int_equal(a.heads, 0);
	free(text);
	app_close(&a);
}

static void slow_senders_are_closed(void **state)
{
	struct websrv_params p = app_params();
	struct app a;
	struct raw_conn r;

	(void)state;
	p.header_timeout_ms = 400;
	p.idle_timeout_ms = 800;
	app_open(&a, &p);
	raw_open(&r, &a); /* sends an incomplete head */
	raw_send(&r, "GET /hello HT");
	raw_expect_close(&r);
	raw_close(&r);
	raw_open(&r, &a); /* sends an incomplete body */
	raw_send(&r, HEAD("POST", "/sink") "content-length: 9\r\n\r\nabc");
	raw_expect_close(&r);
	raw_close(&r);
	assert_int_equal(a.incomplete, 1);
	raw_open(&r, &a); /* sends no second request */
	raw_send(&r, HEAD("GET", "/hello") "\r\n");
	raw_expect(&r, "hello");
	raw_expect_close(&r);
	raw_close(&r);
	raw_open(&r, &a); /* waits for its response */
	raw_send(&r, HEAD("GET", "/slow?1600") "\r\n");
	raw_expect(&r, "late");
	raw_close(&r);
	raw_open(&r, &a); /* reads nothing of its response */
	raw_send(&r, HEAD("GET", "/big?67108864") "\r\n");
	while (a.incomplete < 2)
		lwsloop_run_once(a.loop);
	raw_close(&r);
	app_close(&a);
}

static void idle_connections_do_not_block_others(void **state)
{
	struct websrv_params p = app_params();
	struct raw_conn *idle = calloc(IDLE_CONNECTIONS, sizeof(*idle));
	struct app a;
	struct raw_conn over;
	struct raw_conn r;

	(void)state;
	p.max_connections = IDLE_CONNECTIONS + 1;
	app_open(&a, &p);
	for (size_t i = 0; i < IDLE_CONNECTIONS; i++) {
		raw_open(&idle[i], &a);
		if (i % 2)
			raw_send(&idle[i], "GET /hello HT");
		if (i % 100 == 0)
			lwsloop_run_once(a.loop);
	}
	raw_open(&r, &a);
	raw_send(&r, HEAD("GET", "/hello") "\r\n");
	raw_expect(&r, "hello");
	raw_send(&idle[1], "TP/1.1\r\nhost: x\r\n\r\n");
	raw_expect(&idle[1], "hello");
	raw_close(&r);
	app_run_for(&a, 5 * US_PER_MS);
	raw_open(&r, &a); /* allowed, as one was closed */
	raw_send(&r, HEAD("GET", "/hello") "\r\n");
	raw_expect(&r, "hello");
	raw_open(&over, &a); /* one over the limit */
	raw_expect_close(&over);
	raw_close(&over);
	for (size_t i = 0; i < IDLE_CONNECTIONS; i++)
		raw_close(&idle[i]);
	free(idle);
	raw_close(&r);
	app_close(&a);
}

static void pipelined_bodies_do_not_block_the_loop(void **state)
{
	struct app a;
	struct raw_conn good;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, HEAD("POST", "/sink") "content-length: 3\r\n\r\nabc" HEAD(
			     "POST", "/sink") "content-length: 4\r\n\r\nabcd");
	raw_open(&good, &a);
	raw_send(&good, HEAD("GET", "/hello") "\r\n");
	raw_expect(&good, "hello");
	raw_expect(&r, "got 4");
	assert_non_null(strstr(r.in, "got 3"));
	raw_close(&good);
	raw_close(&r);
	app_close(&a);
}

static void stopped_listener_finishes_requests(void **state)
{
	struct app a;
	struct raw_conn r;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	raw_send(&r, HEAD("GET", "/slow?20") "\r\n");
	app_run(&a, one_request_started, &a);
	websrv_stop_listening(a.server);
	raw_expect(&r, "late");
	raw_close(&r);
	app_close(&a);
}

static void long_run_does_not_grow(void **state)
{
	struct app a;
	struct raw_conn r;
	size_t before = 0;

	(void)state;
	app_open(&a, NULL);
	raw_open(&r, &a);
	for (int i = 0; i < 4000; i++) {
		if (i == 1000)
			before = mallinfo2().uordblks;
		raw_send(&r,
			 HEAD("POST", "/sink") "X-Test: a\r\n"
					       "content-length: 3\r\n\r\nabc");
		raw_expect(&r, "got 3");
		raw_clear(&r);
	}
	assert_true(mallinfo2().uordblks < before + 100000);
	raw_close(&r);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(connection_is_kept),
		cmocka_unit_test(target_and_headers_arrive),
		cmocka_unit_test(target_is_kept_octet_for_octet),
		cmocka_unit_test(chunked_body_is_decoded),
		cmocka_unit_test(bad_chunks_close_the_connection),
		cmocka_unit_test(truncated_request_is_never_complete),
		cmocka_unit_test(aborted_response_is_truncated),
		cmocka_unit_test(disconnected_caller_is_reported),
		cmocka_unit_test(slow_reader_uses_little_memory),
		cmocka_unit_test(paused_body_is_not_read),
		cmocka_unit_test(malformed_heads_close_one_connection),
		cmocka_unit_test(oversized_heads_close_one_connection),
		cmocka_unit_test(slow_senders_are_closed),
		cmocka_unit_test(idle_connections_do_not_block_others),
		cmocka_unit_test(pipelined_bodies_do_not_block_the_loop),
		cmocka_unit_test(stopped_listener_finishes_requests),
		cmocka_unit_test(long_run_does_not_grow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
