/* Requests that a client sends without waiting, at the HTTP server. */

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

#include "httpsrv.h"
#include "tcpsock.h"

#define SERVER_ADDRESS "127.0.0.1:20131"
#define REQUESTS_MAX 64
#define HELD_BYTES (1U << 20)
#define STEP_US (10 * US_PER_MS)
#define STEPS_MAX 100
#define PART_BYTES 60000
#define BIG_BYTES (512 << 10)

/* A request that the server has passed on and that is not answered yet. */
struct open_request {
	struct httpconn *connection; /* NULL once answered */
	char target[32];
	uint64_t start_us;
	bool left; /* the client has disconnected */
	uint32_t drained;
};

struct fixture {
	struct evloop *loop;
	struct httpsrv *server;
	struct open_request requests[REQUESTS_MAX];
	uint32_t count;
	int fd; /* of the client */
	struct buf received;
	bool ended; /* the server has closed the connection */
};

/* Requests below /now are answered at once, the others by the test. */
static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct fixture *f = arg;
	struct open_request *r = &f->requests[f->count++];

	(void)body;
	assert_true(f->count <= REQUESTS_MAX);
	assert_true(span_copy(httpmsg_target(m), r->target, sizeof(r->target)));
	r->start_us = httpconn_start_us(c);
	if (strncmp(r->target, "/now", 4) == 0) {
		httpconn_reply(c, 200, "", r->target, strlen(r->target));
		return NULL;
	}
	r->connection = c;
	return r;
}

static void on_disconnect(void *request)
{
	struct open_request *r = request;

	r->left = true;
	r->connection = NULL;
}

static void on_drained(void *request)
{
	struct open_request *r = request;

	r->drained++;
}

static const struct httpsrv_ops server_ops = { on_request, on_disconnect,
					       on_drained };

/* GET requests without a body may overlap. */
static bool may_overlap(void *arg, const struct httpmsg *m)
{
	(void)arg;
	return strcmp(m->method, "GET") == 0 && m->length == 0;
}

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };
	struct sockaddr_in a;

	f->loop = evloop_create(clk_system(), &err);
	f->server =
		httpsrv_create(f->loop, SERVER_ADDRESS, &server_ops, f, &err);
	assert_non_null(f->server);
	httpsrv_set_overlap(f->server, may_overlap, HELD_BYTES);
	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(tcpsock_parse_address(SERVER_ADDRESS, &a));
	assert_int_equal(connect(f->fd, (struct sockaddr *)&a, sizeof(a)), 0);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	close(f->fd);
	httpsrv_destroy(f->server);
	evloop_destroy(f->loop);
	buf_free(&f->received);
	free(f);
	return 0;
}

/* Runs the server and reads what it has sent. */
static void run(struct fixture *f, int steps)
{
	char text[65536];

	for (int i = 0; i < steps; i++) {
		ssize_t n;

		evloop_run_once(f->loop, STEP_US);
		while ((n = recv(f->fd, text, sizeof(text), MSG_DONTWAIT)) > 0)
			buf_add(&f->received, text, (size_t)n);
		if (n == 0)
			f->ended = true;
	}
}

/* Sends the text and runs until the server has got count requests. */
static void send_text(struct fixture *f, const char *text, uint32_t count)
{
	assert_int_equal(write(f->fd, text, strlen(text)), strlen(text));
	for (int i = 0; i < STEPS_MAX && f->count < count; i++)
		run(f, 1);
	assert_int_equal(f->count, count);
}

static void reply(struct fixture *f, uint32_t i)
{
	struct open_request *r = &f->requests[i];
	struct httpconn *c = r->connection;

	r->connection = NULL;
	httpconn_reply(c, 200, "", r->target, strlen(r->target));
}

/* True if the text has arrived; its position is where it begins. */
static bool has_received(struct fixture *f, const char *text, size_t *position)
{
	const char *at = NULL;

	if (buf_len(&f->received) > 0)
		at = memmem(buf_data(&f->received), buf_len(&f->received), text,
			    strlen(text));
	if (at && position)
		*position = (size_t)(at - buf_data(&f->received));
	return at != NULL;
}

#define GET(target) "GET " target " HTTP/1.1\r\nHost: a\r\n\r\n"
#define POST(target) \
	"POST " target " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"

/*
 * Guards against requests that wait for the response before them, and against
 * responses that go out as they end and so belong to another request.
 */
static void responses_keep_the_order_of_requests(void **state)
{
	struct fixture *f = *state;
	size_t a = 0, b = 0, c = 0;

	send_text(f, GET("/a") GET("/b") GET("/c"), 3);
	assert_int_equal(httpconn_earlier_count(f->requests[2].connection), 2);
	reply(f, 2);
	reply(f, 1);
	run(f, 3);
	assert_int_equal(buf_len(&f->received), 0);
	assert_int_equal(httpsrv_busy_count(f->server), 1);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "/a", &a));
	assert_true(has_received(f, "/b", &b));
	assert_true(has_received(f, "/c", &c));
	assert_true(a < b && b < c);
	assert_int_equal(httpsrv_busy_count(f->server), 0);
	send_text(f, GET("/now"), 4);
	run(f, 2);
	assert_true(has_received(f, "/now", NULL));
}

/* Guards against a later chunk of one response inside another one. */
static void streamed_responses_are_not_mixed(void **state)
{
	struct fixture *f = *state;
	struct httpconn *first, *second;
	size_t a = 0, b = 0, end = 0;

	send_text(f, GET("/a") GET("/b"), 2);
	first = f->requests[0].connection;
	second = f->requests[1].connection;
	httpconn_begin(second, 200, "", 0, -1);
	httpconn_write(second, "second", 6);
	httpconn_begin(first, 200, "", 0, -1);
	httpconn_write(first, "first", 5);
	httpconn_write(second, "2nd", 3);
	httpconn_write(first, "1st", 3);
	httpconn_end(first);
	httpconn_write(second, "last", 4);
	httpconn_end(second);
	run(f, 3);
	assert_true(has_received(f, "5\r\nfirst\r\n3\r\n1st\r\n0\r\n\r\n", &a));
	assert_true(has_received(f, "6\r\nsecond\r\n3\r\n2nd\r\n", &b));
	assert_true(has_received(f, "4\r\nlast\r\n0\r\n\r\n", &end));
	assert_true(a < b && b < end);
}

/*
 * Guards against a request that is not repeatable and has run behind a response
 * that closes the connection: the client sends it again.
 */
static void unsafe_request_waits_until_it_is_first(void **state)
{
	struct fixture *f = *state;

	send_text(f, GET("/a") POST("/b") GET("/c"), 1);
	run(f, 3);
	assert_int_equal(f->count, 1);
	reply(f, 0);
	run(f, 3);
	assert_int_equal(f->count, 2);
	assert_string_equal(f->requests[1].target, "/b");
	reply(f, 1);
	run(f, 3);
	assert_int_equal(f->count, 3);
}

/* Guards against a time limit that starts only when a request has its turn. */
static void waiting_request_arrives_when_it_is_read(void **state)
{
	struct fixture *f = *state;

	send_text(f, GET("/a") POST("/b"), 1);
	run(f, 30);
	reply(f, 0);
	run(f, 3);
	assert_int_equal(f->count, 2);
	assert_true(evloop_now_us(f->loop) - f->requests[1].start_us >=
		    20 * STEP_US);
}

/* Guards against requests that run behind one that closes the connection. */
static void nothing_runs_behind_a_close(void **state)
{
	struct fixture *f = *state;

	send_text(f,
		  GET("/a") "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n" GET(
			  "/c"),
		  2);
	run(f, 3);
	assert_int_equal(f->count, 2);
	reply(f, 1);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "/b", NULL));
	assert_true(f->ended);
	assert_int_equal(f->count, 2);
}

/*
 * Guards against work that goes on for requests behind a response that turns
 * out to close the connection.
 */
static void requests_behind_a_late_close_are_cancelled(void **state)
{
	struct fixture *f = *state;
	struct httpconn *c;

	send_text(f, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n" GET("/b"), 2);
	c = f->requests[0].connection;
	httpconn_begin(c, 200, "", 0, 10);
	httpconn_write(c, "abc", 3);
	/* The upstream breaks off in the middle. */
	f->requests[0].connection = NULL;
	httpconn_abort(c);
	run(f, 3);
	assert_true(f->requests[1].left);
	assert_true(f->ended);
	assert_true(has_received(f, "abc", NULL));
	assert_false(has_received(f, "/b", NULL));
}

/*
 * Guards against a response that breaks off while it waits and takes the
 * others with it, or is passed on in part.
 */
static void broken_response_that_waits_is_replaced(void **state)
{
	struct fixture *f = *state;
	struct httpconn *c;
	size_t bad = 0, good = 0;

	send_text(f, GET("/a") GET("/b") GET("/c"), 3);
	c = f->requests[1].connection;
	httpconn_begin(c, 200, "", 0, 10);
	httpconn_write(c, "partial", 7);
	f->requests[1].connection = NULL;
	httpconn_abort(c);
	reply(f, 2);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "HTTP/1.1 502", &bad));
	assert_true(has_received(f, "/c", &good));
	assert_true(bad < good);
	assert_false(has_received(f, "partial", NULL));
	assert_false(f->ended);
}

/* Guards against requests that run on after their client has left. */
static void all_requests_of_a_client_that_leaves_end(void **state)
{
	struct fixture *f = *state;

	send_text(f, GET("/a") GET("/b") POST("/c"), 2);
	reply(f, 1);
	/* A client that closes one direction counts as gone, too. */
	shutdown(f->fd, SHUT_WR);
	run(f, 3);
	assert_true(f->requests[0].left);
	assert_int_equal(f->count, 2);
	assert_int_equal(httpsrv_busy_count(f->server), 0);
}

/* Guards against a bad request whose error overtakes earlier responses. */
static void bad_request_is_answered_in_its_turn(void **state)
{
	struct fixture *f = *state;
	size_t good = 0, bad = 0;

	send_text(f, GET("/a") "NONSENSE\r\n\r\n" GET("/c"), 1);
	run(f, 3);
	assert_int_equal(buf_len(&f->received), 0);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "/a", &good));
	assert_true(has_received(f, "HTTP/1.1 400", &bad));
	assert_true(good < bad);
	assert_true(f->ended);
	assert_int_equal(f->count, 1);
}

/* Guards against an interim response in the middle of another response. */
static void interim_response_waits_for_its_turn(void **state)
{
	struct fixture *f = *state;
	size_t a = 0, interim = 0;

	send_text(f,
		  GET("/a") "POST /b HTTP/1.1\r\nContent-Length: 2\r\n"
			    "Expect: 100-continue\r\n\r\n",
		  1);
	run(f, 3);
	assert_int_equal(buf_len(&f->received), 0);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "/a", &a));
	assert_true(has_received(f, "100 Continue", &interim));
	assert_true(a < interim);
	send_text(f, "xy", 2);
}

/* Guards against requests cut off by a planned stop. */
static void stop_answers_what_was_read(void **state)
{
	struct fixture *f = *state;
	size_t close_at = 0, last = 0;

	send_text(f, GET("/a") GET("/b") POST("/c"), 2);
	httpsrv_drain(f->server);
	send_text(f, GET("/d"), 2);
	reply(f, 0);
	reply(f, 1);
	run(f, 3);
	assert_int_equal(f->count, 3);
	reply(f, 2);
	run(f, 3);
	assert_true(has_received(f, "Connection: close", &close_at));
	assert_true(has_received(f, "/b", &last));
	assert_true(last < close_at);
	assert_true(has_received(f, "/c", NULL));
	assert_true(f->ended);
	assert_int_equal(f->count, 3);
}

/* Guards against an incomplete request that ends the responses before it. */
static void slow_request_does_not_cut_earlier_responses(void **state)
{
	struct fixture *f = *state;
	const struct httpsrv_limits limits = { .head_bytes = 1000,
					       .body_bytes = 1000,
					       .buffered_bytes = 1000,
					       .header_us = 200 * US_PER_MS,
					       .idle_us = 9 * US_PER_S };

	httpsrv_set_limits(f->server, &limits);
	send_text(f, GET("/a") "GET /half", 1);
	run(f, 100);
	assert_false(f->ended);
	reply(f, 0);
	run(f, 3);
	assert_true(has_received(f, "/a", NULL));
	assert_true(f->ended);
}

/*
 * Guards against a client that sends requests and does not read: what waits
 * for it has to be bounded.
 */
static void client_that_does_not_read_is_bounded(void **state)
{
	static char part[BIG_BYTES];
	struct fixture *f = *state;
	uint32_t answered = 0;

	for (int i = 0; i < 60; i++)
		assert_int_equal(write(f->fd, GET("/x"), strlen(GET("/x"))),
				 (ssize_t)strlen(GET("/x")));
	for (int step = 0; step < STEPS_MAX; step++) {
		evloop_run_once(f->loop, 0);
		for (uint32_t i = 0; i < f->count; i++) {
			struct httpconn *c = f->requests[i].connection;

			if (!c)
				continue;
			f->requests[i].connection = NULL;
			answered++;
			httpconn_reply(c, 200, "", part, sizeof(part));
		}
	}
	/*
	 * The kernel takes some megabytes at most, and the budget for responses
	 * that wait is HELD_BYTES.
	 */
	assert_true(answered < 60);
	run(f, STEPS_MAX);
	for (uint32_t i = 0; i < f->count; i++) {
		if (f->requests[i].connection)
			reply(f, i);
	}
	for (int i = 0; i < STEPS_MAX && f->count < 60; i++) {
		run(f, 1);
		for (uint32_t n = 0; n < f->count; n++) {
			if (f->requests[n].connection)
				reply(f, n);
		}
	}
	assert_int_equal(f->count, 60);
}

/* Guards against a user that pauses for a response that waits, for good. */
static void paused_response_goes_on_in_its_turn(void **state)
{
	static char part[PART_BYTES];
	struct fixture *f = *state;
	struct httpconn *c;

	send_text(f, GET("/a") GET("/b"), 2);
	c = f->requests[1].connection;
	httpconn_begin(c, 200, "", 0, 30 * PART_BYTES);
	for (int i = 0; i < 20; i++)
		httpconn_write(c, part, sizeof(part));
	/* Beyond the memory for such responses, the user is told to pause. */
	assert_true(httpconn_unsent_bytes(c) == SIZE_MAX);
	reply(f, 0);
	run(f, 10);
	assert_true(f->requests[1].drained > 0);
	assert_int_equal(httpconn_unsent_bytes(c), 0);
	for (int i = 0; i < 10; i++)
		httpconn_write(c, part, sizeof(part));
	f->requests[1].connection = NULL;
	httpconn_end(c);
	run(f, 10);
	assert_true(buf_len(&f->received) > 30 * PART_BYTES);
	assert_int_equal(httpsrv_busy_count(f->server), 0);
}

/* Guards against a server that ends with requests in progress. */
static void destroyed_server_ends_all_requests(void **state)
{
	struct fixture *f = *state;

	send_text(f, GET("/a") GET("/b"), 2);
	httpsrv_destroy(f->server);
	f->server = NULL;
	assert_true(f->requests[0].left && f->requests[1].left);
}

/* Guards against work that starts while the close is among unread events. */
static void client_that_left_is_known_before_its_close_is_read(void **state)
{
	struct fixture *f = *state;

	send_text(f, GET("/a"), 1);
	assert_false(httpconn_client_has_left(f->requests[0].connection));
	assert_int_equal(write(f->fd, GET("/b"), strlen(GET("/b"))),
			 strlen(GET("/b")));
	assert_false(httpconn_client_has_left(f->requests[0].connection));
	shutdown(f->fd, SHUT_RDWR);
	assert_true(httpconn_client_has_left(f->requests[0].connection));
	assert_false(f->requests[0].left);
	run(f, 3);
	assert_true(f->requests[0].left);
}

/* Guards against a deep call stack when many requests are answered at once. */
static void many_requests_in_one_segment(void **state)
{
	struct fixture *f = *state;
	struct buf text = { 0 };

	for (int i = 0; i < REQUESTS_MAX; i++)
		buf_add_text(&text, GET("/now"));
	buf_add(&text, "", 1);
	send_text(f, buf_data(&text), REQUESTS_MAX);
	run(f, 3);
	assert_int_equal(httpsrv_busy_count(f->server), 0);
	buf_free(&text);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(responses_keep_the_order_of_requests),
		CASE(streamed_responses_are_not_mixed),
		CASE(unsafe_request_waits_until_it_is_first),
		CASE(waiting_request_arrives_when_it_is_read),
		CASE(nothing_runs_behind_a_close),
		CASE(requests_behind_a_late_close_are_cancelled),
		CASE(broken_response_that_waits_is_replaced),
		CASE(all_requests_of_a_client_that_leaves_end),
		CASE(bad_request_is_answered_in_its_turn),
		CASE(interim_response_waits_for_its_turn),
		CASE(stop_answers_what_was_read),
		CASE(slow_request_does_not_cut_earlier_responses),
		CASE(client_that_does_not_read_is_bounded),
		CASE(paused_response_goes_on_in_its_turn),
		CASE(destroyed_server_ends_all_requests),
		CASE(client_that_left_is_known_before_its_close_is_read),
		CASE(many_requests_in_one_segment),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
