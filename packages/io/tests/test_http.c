#include <errno.h>
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

#include "httppool.h"
#include "httpsrv.h"
#include "tcplisten.h"
#include "tcpsock.h"

#define SERVER_ADDRESS "127.0.0.1:20111"
#define RAW_ADDRESS "127.0.0.1:20112"
#define TIMEOUT_US (3 * US_PER_S)

/* A server, a client pool, and what each received. */
struct fixture {
	struct evloop *loop;
	struct httpsrv *server;
	struct tcplisten *raw_listener;
	struct tcpsock *raw; /* last connection accepted by raw_listener */
	struct httppool *pool;
	const char *raw_response; /* sent for each read of input */
	bool raw_closes;
	char target[128];
	char method[16];
	struct buf request_body;
	uint32_t requests;
	struct buf body;
	uint16_t status;
	bool done, failed;
	enum httpcall_failure failure;
	bool no_response; /* the server does not respond */
	bool disconnected;
};

/* Records the request and responds with a chunked body. */
static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct fixture *f = arg;

	f->requests++;
	span_copy(httpmsg_target(m), f->target, sizeof(f->target));
	snprintf(f->method, sizeof(f->method), "%s", m->method);
	f->request_body.start = f->request_body.end = 0;
	if (buf_len(body) > 0)
		buf_add(&f->request_body, buf_data(body), buf_len(body));
	if (f->no_response)
		return f;
	httpconn_begin(c, 200, "", 0, -1);
	httpconn_write(c, "ab", 2);
	httpconn_write(c, "cde", 3);
	httpconn_end(c);
	return NULL;
}

static void on_disconnect(void *request)
{
	struct fixture *f = request;

	f->disconnected = true;
}

static const struct httpsrv_ops server_ops = { on_request, on_disconnect,
					       NULL };

/* The raw server responds to any input with fixed bytes. */
static void raw_input(void *arg)
{
	struct fixture *f = arg;
	struct buf *in = tcpsock_input(f->raw);

	buf_consume(in, buf_len(in));
	tcpsock_send(f->raw, f->raw_response, strlen(f->raw_response));
	if (f->raw_closes) {
		tcpsock_close_after_output(f->raw, false);
		f->raw = NULL;
	}
}

static void raw_end(void *arg, enum tcpsock_end_reason why)
{
	struct fixture *f = arg;

	(void)why;
	tcpsock_close(f->raw);
	f->raw = NULL;
}

static const struct tcpsock_ops raw_ops = {
	.on_input = raw_input,
	.on_end = raw_end,
};

static void raw_accept(void *arg, int fd)
{
	struct fixture *f = arg;

	f->raw = tcpsock_from_fd(f->loop, fd, &raw_ops, f);
}

/* Matches a response to the request by its Id header field. */
static enum httpcall_match match(void *arg, const struct httpmsg *m)
{
	struct span id = httpmsg_find(m, "id");

	(void)arg;
	if (!id.text)
		return HTTPCALL_MATCH;
	return span_is(id, "mine") ? HTTPCALL_MATCH : HTTPCALL_MISMATCH;
}

static void on_head(void *arg, const struct httpmsg *m)
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

static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct fixture *f = arg;

	f->failed = true;
	f->failure = failure;
}

static const struct httpcall_ops client_ops = { match, on_head, on_body,
						on_done, on_failed };

/* Runs the event loop until the call completes or fails. */
static void wait_for_end(struct fixture *f)
{
	uint64_t end = evloop_now_us(f->loop) + TIMEOUT_US;

	while (!f->done && !f->failed && evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, 50 * US_PER_MS);
}

/* Sends a request and, if wait is set, runs until the call ends. */
static struct httpcall *call(struct fixture *f, const char *address,
			     const char *head, uint64_t reuse_us, bool wait)
{
	struct buf text = { 0 };
	struct httpcall_request r = { .head = &text, .reuse_us = reuse_us };
	struct sockaddr_in a;
	struct httpcall *x;

	assert_true(tcpsock_parse_address(address, &a));
	if (!f->pool)
		f->pool = httppool_create(f->loop, &a, US_PER_S);
	f->done = f->failed = false;
	f->body.start = f->body.end = 0;
	buf_add_text(&text, head);
	x = httpcall_start(f->pool, &r, &client_ops, f);
	assert_non_null(x);
	buf_free(&text);
	if (wait)
		wait_for_end(f);
	return x;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };

	f->loop = evloop_create(clk_system(), &err);
	f->server =
		httpsrv_create(f->loop, SERVER_ADDRESS, &server_ops, f, &err);
	f->raw_listener =
		tcplisten_create(f->loop, RAW_ADDRESS, raw_accept, f, &err);
	assert_non_null(f->server);
	assert_non_null(f->raw_listener);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	httppool_destroy(f->pool);
	if (f->raw)
		tcpsock_close(f->raw);
	tcplisten_destroy(f->raw_listener);
	httpsrv_destroy(f->server);
	buf_free(&f->body);
	buf_free(&f->request_body);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

/* True if the body equals text. */
static bool body_is(const struct buf *b, const char *text)
{
	return buf_len(b) == strlen(text) &&
	       memcmp(buf_data(b), text, strlen(text)) == 0;
}

/* Guards against a normalized target: another server decoded %2F to a slash. */
static void test_target_is_not_normalized(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER_ADDRESS, "DELETE /a%2Fb/?x=%26&y=a&b HTTP/1.1\r\n\r\n",
	     0, true);
	assert_true(f->done);
	assert_string_equal(f->target, "/a%2Fb/?x=%26&y=a&b");
	assert_string_equal(f->method, "DELETE");
	assert_true(body_is(&f->body, "abcde"));
}

/* A chunked request arrives complete, and its connection is reused. */
static void test_chunked_request(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER_ADDRESS,
	     "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
	     US_PER_S, true);
	assert_true(f->done);
	assert_true(body_is(&f->request_body, "abcde"));
	call(f, SERVER_ADDRESS, "GET /y HTTP/1.1\r\n\r\n", US_PER_S, true);
	assert_true(f->done);
	assert_int_equal(httppool_opened_count(f->pool), 1);
}

/* Guards against a body that is passed on without its transfer coding. */
static void test_unknown_transfer_coding_is_rejected(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER_ADDRESS,
	     "POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
	     "2\r\nab\r\n0\r\n\r\n",
	     0, true);
	assert_int_equal(f->status, 501);
	assert_int_equal(f->requests, 0);
}

/* Guards against request smuggling by Content-Length and Transfer-Encoding. */
static void test_ambiguous_length_is_rejected(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER_ADDRESS,
	     "POST /x HTTP/1.1\r\nContent-Length: 4\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n",
	     0, true);
	assert_int_equal(f->status, 400);
	assert_int_equal(f->requests, 0);
}

/* Pipelined requests are answered in order. */
static void test_pipelined_requests(void **state)
{
	struct fixture *f = *state;

	call(f, SERVER_ADDRESS,
	     "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 2);
	assert_string_equal(f->target, "/2");
}

/* Guards against a late response to another request being used. */
static void test_response_to_other_request_is_skipped(void **state)
{
	struct fixture *f = *state;

	f->raw_response =
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n"
		"\r\nbadHTTP/1.1 200 OK\r\nId: mine\r\n"
		"Content-Length: 4\r\n\r\ngood";
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "good"));
}

/* Excess bytes after a response close the connection. */
static void test_excess_bytes_close_connection(void **state)
{
	struct fixture *f = *state;

	f->raw_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore";
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", US_PER_S, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "ok"));
	assert_int_equal(httppool_open_count(f->pool), 0);
}

/* Guards against a truncated body being reported as a response. */
static void test_short_body_is_truncated(void **state)
{
	struct fixture *f = *state;

	f->raw_response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
	f->raw_closes = true;
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HTTPCALL_TRUNCATED);
}

/*
 * Guards against a response that is cut off anywhere, in its head too, and is
 * passed on as whole, with an empty or a short body.
 */
static void test_no_part_of_a_response_is_whole(void **state)
{
	static const char *const wholes[] = {
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n"
		"\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nId: mine\r\n\r\nhello",
	};
	struct fixture *f = *state;
	char part[128];

	for (size_t i = 0; i < sizeof(wholes) / sizeof(wholes[0]); i++) {
		for (size_t len = 1; len < strlen(wholes[i]); len++) {
			snprintf(part, sizeof(part), "%.*s", (int)len,
				 wholes[i]);
			f->raw_response = part;
			f->raw_closes = true;
			call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
			assert_true(f->failed && !f->done);
		}
		f->raw_response = wholes[i];
		call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
		assert_true(f->done);
		assert_true(body_is(&f->body, "hello"));
	}
}

/* A head that is cut off is no response, even if its body may end by a close. */
static void test_part_of_a_head_is_no_response(void **state)
{
	static const char whole[] = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n";
	struct fixture *f = *state;
	char part[64];

	for (size_t len = 1; len < strlen(whole); len++) {
		snprintf(part, sizeof(part), "%.*s", (int)len, whole);
		f->raw_response = part;
		f->raw_closes = true;
		call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
		assert_true(f->failed && !f->done);
		assert_int_equal(f->failure, HTTPCALL_NO_RESPONSE);
	}
}

/* An orderly close ends a body without a length. */
static void test_body_until_close(void **state)
{
	struct fixture *f = *state;

	f->raw_response = "HTTP/1.1 200 OK\r\n\r\nall of it";
	f->raw_closes = true;
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->done);
	assert_true(body_is(&f->body, "all of it"));
}

/* After a malformed response it is unknown whether the request was executed. */
static void test_malformed_response(void **state)
{
	struct fixture *f = *state;

	f->raw_response = "\x01\x02 nothing of this is HTTP\r\n\r\n";
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HTTPCALL_NO_RESPONSE);
}

/* A refused connection is reported as such: nothing was sent. */
static void test_refused_connection(void **state)
{
	struct fixture *f = *state;

	call(f, "127.0.0.1:20113", "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HTTPCALL_REFUSED);
}

/* A cancelled call disconnects, so that the server can stop its work. */
static void test_cancel_disconnects_from_server(void **state)
{
	struct fixture *f = *state;
	struct httpcall *x;

	f->no_response = true;
	x = call(f, SERVER_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 20 && f->requests == 0; i++)
		evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 1);
	httpcall_cancel(x);
	for (int i = 0; i < 20 && !f->disconnected; i++)
		evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_true(f->disconnected);
	assert_false(f->done || f->failed);
}

#define LATE_ADDRESS "127.0.0.1:20113"
#define LATE_BODY_BYTES (16U << 20)

static void keep_fd(void *arg, int fd)
{
	*(int *)arg = fd;
}

/*
 * Guards against a request that arrives after its cancellation, as it still
 * waits in the kernel for a link or a receiver that is busy.
 */
static void test_cancel_discards_what_is_unsent(void **state)
{
	struct fixture *f = *state;
	struct err err = { 0 };
	char *body = calloc(1, LATE_BODY_BYTES);
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head,
				      .body = body,
				      .body_len = LATE_BODY_BYTES };
	struct sockaddr_in a;
	struct tcplisten *late;
	struct httpcall *x;
	size_t received = 0;
	ssize_t n;
	int fd = -1;

	late = tcplisten_create(f->loop, LATE_ADDRESS, keep_fd, &fd, &err);
	assert_non_null(late);
	assert_true(tcpsock_parse_address(LATE_ADDRESS, &a));
	f->pool = httppool_create(f->loop, &a, US_PER_S);
	buf_printf(&head, "POST / HTTP/1.1\r\nContent-Length: %u\r\n\r\n",
		   LATE_BODY_BYTES);
	x = httpcall_start(f->pool, &r, &client_ops, f);
	assert_non_null(x);
	for (int i = 0; i < 20; i++)
		evloop_run_once(f->loop, 10 * US_PER_MS);
	assert_true(fd >= 0);
	assert_true(httpcall_has_sent(x));
	httpcall_cancel(x);
	evloop_run_once(f->loop, 10 * US_PER_MS);
	/* Only an orderly close lets the receiver read what was underway. */
	while ((n = recv(fd, body, LATE_BODY_BYTES, 0)) > 0)
		received += (size_t)n;
	assert_int_equal(n, -1);
	assert_int_equal(errno, ECONNRESET);
	assert_true(received < LATE_BODY_BYTES);
	close(fd);
	tcplisten_destroy(late);
	buf_free(&head);
	free(body);
}

#define ENDLESS_MESSAGE_BYTES (1U << 20)

/* Guards against an endless header that exhausts the memory of the client. */
static void test_endless_header_fails(void **state)
{
	struct fixture *f = *state;
	char *head = malloc(ENDLESS_MESSAGE_BYTES + 1);

	memset(head, 'a', ENDLESS_MESSAGE_BYTES);
	head[ENDLESS_MESSAGE_BYTES] = '\0';
	memcpy(head, "HTTP/1.1 200 OK\r\nX: ", 20);
	f->raw_response = head;
	call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, true);
	assert_true(f->failed);
	assert_int_equal(f->failure, HTTPCALL_NO_RESPONSE);
	free(head);
}

/* Guards against an endless body that outlives its cancelled request. */
static void test_cancel_ends_endless_body(void **state)
{
	struct fixture *f = *state;
	char *body = malloc(ENDLESS_MESSAGE_BYTES + 1);
	struct httpcall *x;

	memset(body, 'a', ENDLESS_MESSAGE_BYTES);
	body[ENDLESS_MESSAGE_BYTES] = '\0';
	memcpy(body, "HTTP/1.1 200 OK\r\n\r\n", 19);
	f->raw_response = body;
	x = call(f, RAW_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 50 && buf_len(&f->body) < ENDLESS_MESSAGE_BYTES / 2;
	     i++)
		evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_true(buf_len(&f->body) >= ENDLESS_MESSAGE_BYTES / 2);
	httpcall_cancel(x);
	for (int i = 0; i < 50 && f->raw; i++)
		evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_null(f->raw);
	assert_false(f->done || f->failed);
	free(body);
}

/* Guards against requests that leak when the server is destroyed. */
static void test_destroyed_server_ends_its_requests(void **state)
{
	struct fixture *f = *state;

	f->no_response = true;
	call(f, SERVER_ADDRESS, "GET / HTTP/1.1\r\n\r\n", 0, false);
	for (int i = 0; i < 20 && f->requests == 0; i++)
		evloop_run_once(f->loop, 20 * US_PER_MS);
	assert_int_equal(f->requests, 1);
	httpsrv_destroy(f->server);
	f->server = NULL;
	assert_true(f->disconnected);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

/* Sends a request with this many fields of this length. */
static void call_with_fields(struct fixture *f, size_t count, size_t len)
{
	struct buf head = { 0 };
	char *value = calloc(1, len + 1);

	memset(value, 'v', len);
	buf_add_text(&head, "GET /x HTTP/1.1\r\n");
	for (size_t i = 0; i < count; i++) {
		buf_printf(&head, "F%zu: ", i);
		buf_add_text(&head, value);
		buf_add_text(&head, "\r\n");
	}
	buf_add_text(&head, "\r\n");
	buf_add(&head, "", 1);
	f->status = 0;
	call(f, SERVER_ADDRESS, buf_data(&head), 0, true);
	buf_free(&head);
	free(value);
}

/*
 * Guards against requests that are rejected for the number of their fields, or
 * for the size of their head, though it is within the limit that was set.
 */
static void heads_within_the_limit_are_accepted(void **state)
{
	struct fixture *f = *state;
	struct httpsrv_limits limits = { .head_bytes = 400000,
					 .body_bytes = 1000,
					 .buffered_bytes = 1000,
					 .header_us = TIMEOUT_US,
					 .idle_us = TIMEOUT_US };

	call_with_fields(f, 2000, 1);
	assert_int_equal(f->status, 200);
	call_with_fields(f, 1, HTTPMSG_HEAD_BYTES);
	assert_int_equal(f->status, 400);
	httpsrv_set_limits(f->server, &limits);
	call_with_fields(f, 1, HTTPMSG_HEAD_BYTES);
	assert_int_equal(f->status, 200);
	call_with_fields(f, 3, 130000);
	assert_int_equal(f->status, 200);
	call_with_fields(f, 1, limits.head_bytes);
	assert_int_equal(f->status, 400);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_target_is_not_normalized),
		CASE(heads_within_the_limit_are_accepted),
		CASE(test_chunked_request),
		CASE(test_unknown_transfer_coding_is_rejected),
		CASE(test_ambiguous_length_is_rejected),
		CASE(test_pipelined_requests),
		CASE(test_response_to_other_request_is_skipped),
		CASE(test_excess_bytes_close_connection),
		CASE(test_short_body_is_truncated),
		CASE(test_no_part_of_a_response_is_whole),
		CASE(test_part_of_a_head_is_no_response),
		CASE(test_body_until_close),
		CASE(test_malformed_response),
		CASE(test_refused_connection),
		CASE(test_cancel_disconnects_from_server),
		CASE(test_cancel_discards_what_is_unsent),
		CASE(test_endless_header_fails),
		CASE(test_cancel_ends_endless_body),
		CASE(test_destroyed_server_ends_its_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
