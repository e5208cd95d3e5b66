#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "hcl.h"
#include "hsv.h"
#include "skt.h"

#define SERVER "127.0.0.1:20111"
#define RAW "127.0.0.1:20112"
#define LIMIT_US (3 * US_PER_S)

/* Server, client and what both saw. */
struct fixture {
	struct evl *loop;
	struct hsv *server;
	struct skl *raw_listener;
	struct skt *raw; /* last connection of the raw server */
	struct hcl *pool;
	const char *raw_answer; /* sent for each piece of input */
	bool raw_closes;
	char target[128];
	char method[16];
	struct buf request_body;
	uint32_t requests;
	struct buf body;
	uint16_t status;
	bool done, failed;
	enum hxc_failure failure;
	bool hold; /* the server does not answer */
	bool gone;
};

/* Notes the request and answers with its body. */
static void *on_request(void *arg, struct hsc *c, const struct hmg *m,
			const struct buf *body)
{
	struct fixture *f = arg;

	f->requests++;
	span_copy(hmg_target(m), f->target, sizeof(f->target));
	snprintf(f->method, sizeof(f->method), "%s", m->method);
	f->request_body.start = f->request_body.end = 0;
	if (buf_len(body) > 0)
		buf_add(&f->request_body, buf_data(body), buf_len(body));
	if (f->hold)
		return f;
	hsc_begin(c, 200, "", 0, -1);
	hsc_body(c, "ab", 2);
	hsc_body(c, "cde", 3);
	hsc_end(c);
	return NULL;
}

static void on_gone(void *request)
{
	struct fixture *f = request;

	f->gone = true;
}

static const struct hsv_ops server_ops = { on_request, on_gone, NULL };

/* A raw server answers each input with fixed bytes. */
static void raw_input(void *arg)
{
	struct fixture *f = arg;
	struct buf *in = skt_input(f->raw);

	buf_take(in, buf_len(in));
	skt_send(f->raw, f->raw_answer, strlen(f->raw_answer));
	if (f->raw_closes) {
		skt_close_after_output(f->raw);
		f->raw = NULL;
	}
}

static void raw_end(void *arg, enum skt_end why)
{
	struct fixture *f = arg;

	(void)why;
	skt_close(f->raw);
	f->raw = NULL;
}

static const struct skt_ops raw_ops = { raw_input, NULL, raw_end };

static void raw_accept(void *arg, int fd)
{
	struct fixture *f = arg;

	f->raw = skt_adopt(f->loop, fd, &raw_ops, f);
}

/* The id of the response decides whose it is. */
static enum hxc_match match(void *arg, const struct hmg *m)
{
	struct span id = hmg_find(m, "id");

	(void)arg;
	if (!id.text)
		return HXC_OURS;
	return span_is(id, "mine") ? HXC_OURS : HXC_FOREIGN;
}

static void on_head(void *arg, const struct hmg *m)
{
	struct fixture *f = arg;

	f->status = m->status;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct fixture *f = arg;

	buf_add(&f->body, bytes, len);
}

static void on_done(void *arg)
{
	struct fixture *f = arg;

	f->done = true;
}

static void on_failed(void *arg, enum hxc_failure failure)
{
	struct fixture *f = arg;

	f->failed = true;
	f->failure = failure;
}

static const struct hxc_ops client_ops = { match, on_head, on_body, on_done,
					   on_failed };

/* Runs the loop until the exchange is over. */
static void wait_over(struct fixture *f)
{
	uint64_t end = evl_now_us(f->loop) + LIMIT_US;

	while (!f->done && !f->failed && evl_now_us(f->loop) < end)
		evl_step(f->loop, 50 * US_PER_MS);
}

/* Sends one request to the address and waits for its end. */
static struct hxc *call(struct fixture *f, const char *address,
			const char *head, uint64_t reuse_us, bool wait)
{
	struct buf text = { 0 };
	struct hxc_request r = { .head = &text, .reuse_us = reuse_us };
	struct sockaddr_in a;
	struct hxc *x;

	assert_true(skt_parse(address, &a));
	if (!f->pool)
		f->pool = hcl_create(f->loop, &a, US_PER_S);
	f->done = f->failed = false;
	f->body.start = f->body.end = 0;
	buf_add_text(&text, head);
	x = hxc_start(f->pool, &r, &client_ops, f);
	assert_non_null(x);
	buf_free(&text);
	if (wait)
		wait_over(f);
	return x;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evl_create(clk_system(), &err);
	f->server = hsv_create(f->loop, SERVER, &server_ops, f, &err);
	f->raw_listener = skl_create(f->loop, RAW, raw_accept, f, &err);
	assert_non_null(f->server);
	assert_non_null(f->raw_listener);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	hcl_destroy(f->pool);
	if (f->raw)
		skt_close(f->raw);
	skl_destroy(f->raw_listener);
	hsv_destroy(f->server);
	buf_free(&f->body);
	buf_free(&f->request_body);
	evl_destroy(f->loop);
	free(f);
	return 0;
}

/* True if the body that came is this text. */
static bool body_is(const struct buf *b, const char *text)
{
	return buf_len(b) == strlen(text) &&
	       memcmp(buf_data(b), text, strlen(text)) == 0;
}

/* Targets go through octet for octet: %2F became / with the other server. */
static void test_target_is_unchanged(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER, "DELETE /a%2Fb/?x=%26&y=a&b HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	assert_string_equal(f->target, "/a%2Fb/?x=%26&y=a&b");
	assert_string_equal(f->method, "DELETE");
	assert_true(body_is(&f->body, "abcde"));
}

/* A chunked request is handed over whole, and its connection stays. */
static void test_chunked_request(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER,
	     "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
	     US_PER_S, true);
	assert_true(f->done);
	assert_true(body_is(&f->request_body, "abcde"));
	call(f, SERVER, "GET /y HTTP/1.1\r\n\r\n", US_PER_S, true);
	assert_true(f->done);
	assert_int_equal(hcl_opened(f->pool), 1);
}

/* A request inside another one's body must not be run. */
static void test_ambiguous_length_is_refused(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER,
	     "POST /x HTTP/1.1\r\nContent-Length: 4\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n",
	     0, true);
	assert_int_equal(f->status, 400);
	assert_int_equal(f->requests, 0);
}

/* Two requests sent at once are answered one after the other. */
static void test_pipelined_requests(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n", 0,
	     true);
	assert_true(f->done);
	evl_step(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 2);
	assert_string_equal(f->target, "/2");
}

/* A late response of another request is not taken for ours. */
static void test_foreign_response_is_skipped(void **state)
{
	struct fixture *f = *state;

	f->raw_answer = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n"
			"\r\nbadHTTP/1.1 200 OK\r\nId: mine\r\n"
			"Content-Length: 4\r\n\r\ngood";
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "good"));
}

/* Bytes behind a response belong to no request: the connection is closed. */
static void test_extra_bytes_close(void **state)
{
	struct fixture *f = *state;

	f->raw_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore";
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", US_PER_S, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "ok"));
	assert_int_equal(hcl_open(f->pool), 0);
}

/* A body that ends early is a failure, not a response. */
static void test_short_body_is_cut(void **state)
{
	struct fixture *f = *state;

	f->raw_answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
	f->raw_closes = true;
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HXC_CUT);
}

/* A body without a length ends with an orderly close. */
static void test_body_until_close(void **state)
{
	struct fixture *f = *state;

	f->raw_answer = "HTTP/1.1 200 OK\r\n\r\nall of it";
	f->raw_closes = true;
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "all of it"));
}

/* Bytes that are no response leave it open whether the request has run. */
static void test_garbage_is_no_response(void **state)
{
	struct fixture *f = *state;

	f->raw_answer = "\x01\x02 nothing of this is HTTP\r\n\r\n";
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HXC_NO_RESPONSE);
}

/* Where nobody listens nothing was sent. */
static void test_refused_connection(void **state)
{
	struct fixture *f = *state;

	call(f, "127.0.0.1:20113", "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HXC_REFUSED);
}

/* A cancelled exchange is seen by the server, which stops its work. */
static void test_cancel_reaches_the_server(void **state)
{
	struct fixture *f = *state;
	struct hxc *x;

	f->hold = true;
	x = call(f, SERVER, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 20 && f->requests == 0; i++)
		evl_step(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 1);
	hxc_cancel(x);
	for (int i = 0; i < 20 && !f->gone; i++)
		evl_step(f->loop, 20 * US_PER_MS);
	assert_true(f->gone);
	assert_false(f->done || f->failed);
}

#define ENDLESS_BYTES (1U << 20)

/* Guards against a head without end that fills the memory of the caller. */
static void test_head_without_end_is_no_response(void **state)
{
	struct fixture *f = *state;
	char *head = malloc(ENDLESS_BYTES + 1);

	memset(head, 'a', ENDLESS_BYTES);
	head[ENDLESS_BYTES] = '\0';
	memcpy(head, "HTTP/1.1 200 OK\r\nX: ", 20);
	f->raw_answer = head;
	call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HXC_NO_RESPONSE);
	free(head);
}

/* Guards against a body without end that outlives the request. */
static void test_body_without_end_ends_with_the_request(void **state)
{
	struct fixture *f = *state;
	char *body = malloc(ENDLESS_BYTES + 1);
	struct hxc *x;

	memset(body, 'a', ENDLESS_BYTES);
	body[ENDLESS_BYTES] = '\0';
	memcpy(body, "HTTP/1.1 200 OK\r\n\r\n", 19);
	f->raw_answer = body;
	x = call(f, RAW, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 50 && buf_len(&f->body) < ENDLESS_BYTES / 2; i++)
		evl_step(f->loop, 20 * US_PER_MS);
	assert_true(buf_len(&f->body) >= ENDLESS_BYTES / 2);
	hxc_cancel(x);
	for (int i = 0; i < 50 && f->raw; i++)
		evl_step(f->loop, 20 * US_PER_MS);
	assert_null(f->raw);
	assert_false(f->done || f->failed);
	free(body);
}

/* Guards against requests that are not freed at the end of a process. */
static void test_destroyed_server_ends_its_requests(void **state)
{
	struct fixture *f = *state;

	f->hold = true;
	call(f, SERVER, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 20 && f->requests == 0; i++)
		evl_step(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 1);
	hsv_destroy(f->server);
	f->server = NULL;
	assert_true(f->gone);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_target_is_unchanged),
		CASE(test_chunked_request),
		CASE(test_ambiguous_length_is_refused),
		CASE(test_pipelined_requests),
		CASE(test_foreign_response_is_skipped),
		CASE(test_extra_bytes_close),
		CASE(test_short_body_is_cut),
		CASE(test_body_until_close),
		CASE(test_garbage_is_no_response),
		CASE(test_refused_connection),
		CASE(test_cancel_reaches_the_server),
		CASE(test_head_without_end_is_no_response),
		CASE(test_body_without_end_ends_with_the_request),
		CASE(test_destroyed_server_ends_its_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
