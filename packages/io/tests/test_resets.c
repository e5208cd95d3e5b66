/*
 * Guards against a connection that was reset and is taken for one that was
 * closed in order: a part of a response then counts as the whole one. Guards as
 * well against a response that is lost although all of it had arrived before.
 */

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "httppool.h"
#include "tcpsock.h"

#define PART "part"
#define TIMEOUT_US (3 * US_PER_S)
#define STEP_US (2 * US_PER_MS)
#define FILL_BYTES (16U << 20)
#define TAKE_BYTES (1U << 20)
#define UPLOADS 50

/* A client's socket or call, and the server that a test plays. */
struct fixture {
	struct evloop *loop;
	int listener;
	struct sockaddr_in address;
	int server; /* its connection */
	struct tcpsock *client;
	struct buf received;
	bool ended;
	enum tcpsock_end_reason why;
	struct httppool *pool;
	struct buf body; /* of the response */
	bool done, failed;
	enum httpcall_failure failure;
};

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	socklen_t len = sizeof(f->address);
	struct err err = { 0 };

	f->loop = evloop_create(clk_system(), &err);
	assert_non_null(f->loop);
	f->address.sin_family = AF_INET;
	f->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(f->listener, (struct sockaddr *)&f->address, len),
			 0);
	assert_int_equal(listen(f->listener, 16), 0);
	getsockname(f->listener, (struct sockaddr *)&f->address, &len);
	f->server = -1;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	httppool_destroy(f->pool);
	if (f->client)
		tcpsock_close(f->client);
	if (f->server >= 0)
		close(f->server);
	close(f->listener);
	buf_free(&f->received);
	buf_free(&f->body);
	evloop_destroy(f->loop);
	free(f);
	return 0;
}

static void run_for(struct fixture *f, uint64_t us)
{
	uint64_t end = evloop_now_us(f->loop) + us;

	while (evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, STEP_US);
}

/* Closes the server's connection, by a reset or in order. */
static void close_server(struct fixture *f, bool reset)
{
	const struct linger none = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(f->server, SOL_SOCKET, SO_LINGER, &none,
			   sizeof(none));
	close(f->server);
	f->server = -1;
}

/* Reads at the server until this many bytes have come. */
static void take(struct fixture *f, size_t bytes)
{
	static char space[65536];

	for (size_t taken = 0; taken < bytes;) {
		ssize_t n = recv(f->server, space, sizeof(space), 0);

		assert_true(n > 0);
		taken += (size_t)n;
	}
}

static void on_input(void *arg)
{
	struct fixture *f = arg;
	struct buf *in = tcpsock_input(f->client);

	buf_add(&f->received, buf_data(in), buf_len(in));
	buf_consume(in, buf_len(in));
}

static void on_end(void *arg, enum tcpsock_end_reason why)
{
	struct fixture *f = arg;

	f->ended = true;
	f->why = why;
	tcpsock_close(f->client);
	f->client = NULL;
}

static const struct tcpsock_ops client_ops = {
	.on_input = on_input,
	.on_end = on_end,
	.input_first = true,
};

/* Of a server, which answers nobody once its client has gone. */
static const struct tcpsock_ops server_ops = {
	.on_input = on_input,
	.on_end = on_end,
};

/*
 * One step: the server writes (w) a part, takes (t) some of what came, closes
 * its sending side (h), closes in order (c) or resets (x); the client runs (r),
 * sends (s), fills (f) its output, pauses (p) or resumes (u) reading.
 */
static void do_step(struct fixture *f, char step)
{
	static char bytes[FILL_BYTES];

	if (!f->client)
		return;
	switch (step) {
	case 'w':
		assert_int_equal(send(f->server, PART, strlen(PART), 0),
				 strlen(PART));
		return;
	case 't':
		take(f, TAKE_BYTES);
		return;
	case 'h':
		shutdown(f->server, SHUT_WR);
		return;
	case 'c':
	case 'x':
		close_server(f, step == 'x');
		return;
	case 'r':
		run_for(f, 10 * US_PER_MS);
		return;
	case 's':
		tcpsock_send(f->client, "a", 1);
		return;
	case 'f':
		tcpsock_send(f->client, bytes, sizeof(bytes));
		assert_true(buf_len(tcpsock_output(f->client)) > 0);
		return;
	default:
		tcpsock_pause_input(f->client, step == 'p');
	}
}

struct order {
	const char *steps;
	size_t parts; /* that the client receives */
	enum tcpsock_end_reason why;
};

/* Plays an order of events; returns true if the client saw what it should. */
static bool play(struct fixture *f, const struct tcpsock_ops *ops,
		 const struct order *o)
{
	uint64_t end;

	f->ended = false;
	f->received.start = f->received.end = 0;
	f->client = tcpsock_connect(f->loop, &f->address, ops, f);
	assert_non_null(f->client);
	run_for(f, 10 * US_PER_MS);
	f->server = accept(f->listener, NULL, NULL);
	assert_true(f->server >= 0);
	for (const char *step = o->steps; *step; step++)
		do_step(f, *step);
	end = evloop_now_us(f->loop) + TIMEOUT_US;
	while (!f->ended && evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, STEP_US);
	if (!f->ended) {
		tcpsock_close(f->client);
		f->client = NULL;
	}
	if (f->server >= 0)
		close_server(f, true);
	if (f->ended && f->why == o->why &&
	    buf_len(&f->received) == o->parts * strlen(PART))
		return true;
	print_error("%s: %zu bytes, %s\n", o->steps, buf_len(&f->received),
		    !f->ended		  ? "no end" :
		    f->why == TCPSOCK_EOF ? "closed" :
					    "reset");
	return false;
}

/*
 * Whatever the client does between the reset and its next read, it receives
 * what had arrived, and then learns of the reset.
 */
static void a_reset_is_no_orderly_close(void **state)
{
	static const struct order orders[] = {
		{ "wx", 1, TCPSOCK_RESET },	 { "wrx", 1, TCPSOCK_RESET },
		{ "wxs", 1, TCPSOCK_RESET },	 { "wrxs", 1, TCPSOCK_RESET },
		{ "wxss", 1, TCPSOCK_RESET },	 { "wrwxs", 2, TCPSOCK_RESET },
		{ "fwx", 1, TCPSOCK_RESET },	 { "fwrx", 1, TCPSOCK_RESET },
		{ "fwtx", 1, TCPSOCK_RESET },	 { "fwrtwx", 2, TCPSOCK_RESET },
		{ "fwtxs", 1, TCPSOCK_RESET },	 { "wpxsru", 1, TCPSOCK_RESET },
		{ "fpwtxru", 1, TCPSOCK_RESET }, { "sc", 0, TCPSOCK_RESET },
	};
	size_t wrong = 0;

	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		wrong += !play(*state, &client_ops, &orders[i]);
	assert_int_equal(wrong, 0);
}

/* The same without a reset, or with one behind the end of the input. */
static void an_orderly_close_stays_one(void **state)
{
	static const struct order orders[] = {
		{ "wc", 1, TCPSOCK_EOF },    { "wrc", 1, TCPSOCK_EOF },
		{ "wh", 1, TCPSOCK_EOF },    { "whs", 1, TCPSOCK_EOF },
		{ "wpcru", 1, TCPSOCK_EOF }, { "whscs", 1, TCPSOCK_EOF },
		{ "fwhtx", 1, TCPSOCK_EOF }, { "fwhtxs", 1, TCPSOCK_EOF },
	};
	size_t wrong = 0;

	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		wrong += !play(*state, &client_ops, &orders[i]);
	assert_int_equal(wrong, 0);
}

/* A server learns of a failed send at once, also while it reads nothing. */
static void a_failed_send_ends_a_server_s_connection(void **state)
{
	static const struct order orders[] = {
		{ "fpx", 0, TCPSOCK_RESET },
		{ "fpwtx", 0, TCPSOCK_RESET },
		{ "wrpxs", 1, TCPSOCK_RESET },
	};
	size_t wrong = 0;

	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		wrong += !play(*state, &server_ops, &orders[i]);
	assert_int_equal(wrong, 0);
}

static void on_head(void *arg, const struct httpmsg *m)
{
	(void)arg;
	(void)m;
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

static const struct httpcall_ops call_ops = { NULL, on_head, on_body, on_done,
					      on_failed };

/* Starts an upload, which waits for an interim response 100 if held. */
static void start_upload(struct fixture *f, bool held)
{
	static char upload[FILL_BYTES];
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head,
				      .body = upload,
				      .body_len = sizeof(upload),
				      .body_stays = true,
				      .await_continue = held };

	if (!f->pool)
		f->pool = httppool_create(f->loop, &f->address, US_PER_S);
	f->done = f->failed = false;
	f->body.start = f->body.end = 0;
	buf_printf(&head, "PUT /x HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
		   held ? "Expect: 100-continue\r\n" : "", sizeof(upload));
	assert_non_null(httpcall_start(f->pool, &r, &call_ops, f));
	buf_free(&head);
}

static void wait_for_end(struct fixture *f)
{
	uint64_t end = evloop_now_us(f->loop) + TIMEOUT_US;

	while (!f->done && !f->failed && evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, STEP_US);
}

/* A response on a connection that is reset behind it. */
struct answer {
	const char *text;
	bool whole;
};

static const struct answer answers[] = {
	{ "\r\n" PART, false },
	{ "Content-Length: 5\r\n\r\n" PART, false },
	{ "Content-Length: 4\r\n\r\n" PART, true },
	{ "Transfer-Encoding: chunked\r\n\r\n4\r\n" PART "\r\n", false },
	{ "Transfer-Encoding: chunked\r\n\r\n4\r\n" PART "\r\n0\r\n", false },
	{ "Transfer-Encoding: chunked\r\n\r\n4\r\n" PART "\r\n0\r\n\r\n",
	  true },
};

/* True if the call ended as it should, without a connection that is kept. */
static bool ended_rightly(struct fixture *f, const struct answer *a)
{
	bool right = a->whole ? f->done && buf_len(&f->body) == strlen(PART) :
				f->failed && f->failure == HTTPCALL_TRUNCATED;

	if (right && httppool_open_count(f->pool) == 0)
		return true;
	print_error("'%s': %s, %zu bytes\n", a->text,
		    f->done   ? "complete" :
		    f->failed ? "failed" :
				"no end",
		    buf_len(&f->body));
	return false;
}

/* The first bytes of the body are sent between two reads of the response. */
static void a_reset_during_a_held_upload(void **state)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n"
				      "HTTP/1.1 200 OK\r\n";
	struct fixture *f = *state;
	size_t wrong = 0;

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		const struct answer *a = &answers[i];

		start_upload(f, true);
		run_for(f, 10 * US_PER_MS);
		f->server = accept(f->listener, NULL, NULL);
		take(f, 1);
		send(f->server, interim, strlen(interim), 0);
		send(f->server, a->text, strlen(a->text), 0);
		close_server(f, true);
		wait_for_end(f);
		wrong += !ended_rightly(f, a);
	}
	assert_int_equal(wrong, 0);
}

/*
 * Answers each upload early, waits until the client has read that, takes some
 * of the upload, and resets.
 */
static void serve_uploads(struct fixture *f, const struct answer *a, int read)
{
	static const char status[] = "HTTP/1.1 200 OK\r\n";
	char byte;

	for (int i = 0; i < UPLOADS; i++) {
		f->server = accept(f->listener, NULL, NULL);
		if (f->server < 0)
			_exit(1);
		take(f, 1);
		send(f->server, status, strlen(status), MSG_NOSIGNAL);
		send(f->server, a->text, strlen(a->text), MSG_NOSIGNAL);
		if (recv(read, &byte, 1, 0) != 1)
			_exit(1);
		take(f, TAKE_BYTES);
		close_server(f, true);
	}
	_exit(0);
}

/* A server process, so that resets arrive at any moment of an upload. */
static void a_reset_during_an_upload(void **state)
{
	struct fixture *f = *state;
	size_t wrong = 0;

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		const struct answer *a = &answers[i];
		int read[2];
		pid_t pid;

		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, read), 0);
		pid = fork();
		assert_true(pid >= 0);
		if (pid == 0)
			serve_uploads(f, a, read[1]);
		for (int n = 0; n < UPLOADS; n++) {
			uint64_t end = evloop_now_us(f->loop) + TIMEOUT_US;

			start_upload(f, false);
			while (buf_len(&f->body) < strlen(PART) &&
			       evloop_now_us(f->loop) < end)
				evloop_run_once(f->loop, STEP_US);
			assert_int_equal(send(read[0], "r", 1, 0), 1);
			wait_for_end(f);
			wrong += !ended_rightly(f, a);
		}
		close(read[0]);
		close(read[1]);
		waitpid(pid, NULL, 0);
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
#define TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(a_reset_is_no_orderly_close),
		TEST(an_orderly_close_stays_one),
		TEST(a_failed_send_ends_a_server_s_connection),
		TEST(a_reset_during_a_held_upload),
		TEST(a_reset_during_an_upload),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
