/*
 * Closes behind a response, on loopback. Guards against a close that loses what
 * the kernel still has to send, and against connections that are kept by clients
 * that never close.
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
#include <unistd.h>

#include <cmocka.h>

#include "clk.h"
#include "ctr.h"
#include "httpguard.h"
#include "httpsrv.h"
#include "tcplinger.h"
#include "tcpsock.h"

#define ADDRESS "127.0.0.1:20161"
#define MS US_PER_MS
#define BODY_BYTES 90000
#define LONG_BYTES (16 << 20)
/* Receive buffer of a client, far less than the body. */
#define WINDOW_BYTES 8192
#define LIMIT_BODY_BYTES 1000
#define CROWD 40
#define SOCKETS_MAX 64
#define GET(target, fields) \
	"GET " target " HTTP/1.1\r\nHost: a\r\n" fields "\r\n"

struct fixture {
	struct evloop *loop;
	struct httpguard *guard;
	struct httpsrv *server;
	char *body;
	uint32_t requests;
};

static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct fixture *f = arg;

	(void)body;
	f->requests++;
	httpconn_reply(c, 200, "", f->body,
		       span_is(httpmsg_target(m), "/long")  ? LONG_BYTES :
		       span_is(httpmsg_target(m), "/short") ? 2 :
							      BODY_BYTES);
	return NULL;
}

static void ignore(void *arg)
{
	(void)arg;
}

static const struct httpsrv_ops server_ops = { on_request, ignore, NULL };

static int start(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct err err = { 0 };
	struct httpsrv_limits limits = { HTTPMSG_HEAD_BYTES, LIMIT_BODY_BYTES,
					 LIMIT_BODY_BYTES, 5 * US_PER_S,
					 60 * US_PER_S };

	f->loop = evloop_create(clk_system(), &err);
	f->guard = httpguard_create(f->loop);
	f->server = httpsrv_create(f->loop, ADDRESS, &server_ops, f, &err);
	assert_non_null(f->server);
	ctr_set(CTR_CLOSES_UNACKNOWLEDGED, 0);
	httpsrv_set_limits(f->server, &limits);
	httpsrv_set_guard(f->server, f->guard, true);
	f->body = calloc(1, LONG_BYTES);
	*state = f;
	return 0;
}

static int stop(void **state)
{
	struct fixture *f = *state;

	httpsrv_destroy(f->server);
	tcpsock_close_all_closing(f->loop);
	assert_int_equal(tcpsock_open_count(), 0);
	httpguard_set_limits(f->guard, 0, 0);
	httpguard_destroy(f->guard);
	evloop_destroy(f->loop);
	free(f->body);
	free(f);
	return 0;
}

static void run(struct fixture *f, uint64_t us)
{
	uint64_t end = evloop_now_us(f->loop) + us;

	while (evloop_now_us(f->loop) < end)
		evloop_run_once(f->loop, MS);
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Connects with a small receive buffer, and sends. */
static int send_request(const char *text)
{
	struct sockaddr_in a;
	int window = WINDOW_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(tcpsock_parse_address(ADDRESS, &a));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	send_text(fd, text);
	return fd;
}

/*
 * Reads to the end of the connection; returns the bytes that came, without the
 * head, or 0 if it did not end in order.
 */
static size_t read_body(struct fixture *f, int fd)
{
	static char bytes[65536];
	char head[256] = "";
	size_t head_len = 0;
	size_t all = 0;
	ssize_t n = 1;

	for (int idle = 0; n != 0 && idle < 2000;) {
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return 0;
		if (n > 0 && all < sizeof(head) - 1)
			snprintf(head + all, sizeof(head) - all, "%.*s", (int)n,
				 bytes);
		all += n > 0 ? (size_t)n : 0;
		idle = n > 0 ? 0 : idle + 1;
		evloop_run_once(f->loop, MS);
	}
	assert_non_null(strstr(head, "\r\n\r\n"));
	head_len = (size_t)(strstr(head, "\r\n\r\n") + 4 - head);
	return n == 0 ? all - head_len : 0;
}

static void drain_sends_all_before_a_further_request(void **state)
{
	struct fixture *f = *state;
	int fd = send_request(GET("/", ""));

	httpsrv_drain(f->server);
	run(f, 100 * MS);
	send_text(fd, GET("/", ""));
	run(f, 50 * MS);
	assert_int_equal(tcpsock_closing_count(), 1);
	assert_int_equal(read_body(f, fd), BODY_BYTES);
	close(fd);
	run(f, 50 * MS);
	assert_int_equal(tcpsock_closing_count(), 0);
	assert_int_equal(ctr_get(CTR_CLOSES_UNACKNOWLEDGED), 0);
	assert_int_equal(f->requests, 1);
}

static void connection_close_sends_all_before_a_further_request(void **state)
{
	struct fixture *f = *state;
	int fd = send_request(GET("/", "Connection: close\r\n"));

	run(f, 100 * MS);
	send_text(fd, GET("/", ""));
	run(f, 50 * MS);
	assert_int_equal(read_body(f, fd), BODY_BYTES);
	close(fd);
}

/* The client shuts down its side while the server still has output. */
static void half_closed_client_gets_the_rest(void **state)
{
	struct fixture *f = *state;
	int fd = send_request(GET("/long", "Connection: close\r\n"));

	run(f, 100 * MS);
	assert_int_equal(tcpsock_closing_count(), 1);
	shutdown(fd, SHUT_WR);
	run(f, 50 * MS);
	assert_int_equal(read_body(f, fd), LONG_BYTES);
	close(fd);
}

/*
 * Guards against a reset of a client that still sends a body that was refused:
 * its write fails, and many clients then do not look for the response.
 */
static void refused_body_may_be_sent_to_its_end(void **state)
{
	static char piece[LIMIT_BODY_BYTES];
	struct fixture *f = *state;
	int fd = send_request("POST / HTTP/1.1\r\nHost: a\r\n"
			      "Content-Length: 50000\r\n\r\n");
	char text[32] = "";

	for (int i = 0; i < 50; i++) {
		run(f, 10 * MS);
		assert_int_equal(send(fd, piece, sizeof(piece), MSG_NOSIGNAL),
				 sizeof(piece));
	}
	assert_true(recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT) > 0);
	assert_non_null(strstr(text, " 413 "));
	run(f, 400 * MS);
	assert_int_equal(tcpsock_closing_count(), 0);
	close(fd);
}

/* Guards against clients that live on by bytes that nobody needs. */
static void endless_input_does_not_keep_a_connection(void **state)
{
	struct fixture *f = *state;
	int fd = send_request("POST / HTTP/1.1\r\nHost: a\r\n"
			      "Content-Length: 50000000\r\n\r\n");
	ssize_t n = 1;

	for (int i = 0; i < 300 && n > 0; i++) {
		run(f, 10 * MS);
		n = send(fd, "x", 1, MSG_NOSIGNAL);
	}
	assert_int_equal(n, -1);
	assert_int_equal(tcpsock_closing_count(), 0);
	close(fd);
}

/* Guards against an exit of the process that drops a response. */
static void kept_connection_is_busy_until_all_is_acknowledged(void **state)
{
	struct fixture *f = *state;
	int fd = send_request(GET("/", ""));
	char bytes[4096];
	size_t all = 0;

	run(f, 100 * MS);
	assert_int_equal(httpsrv_busy_count(f->server), 1);
	assert_int_equal(httpsrv_sending_count(f->server), 1);
	while (all < BODY_BYTES) {
		ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		all += n > 0 ? (size_t)n : 0;
		run(f, MS);
	}
	run(f, 50 * MS);
	assert_int_equal(httpsrv_busy_count(f->server), 0);
	close(fd);
}

static void client_that_has_read_all_need_not_close(void **state)
{
	struct fixture *f = *state;
	int fd = send_request(GET("/short", "Connection: close\r\n"));

	run(f, 100 * MS);
	assert_int_equal(tcpsock_closing_count(), 0);
	assert_int_equal(tcpsock_open_count(), 0);
	close(fd);
}

/*
 * Guards against a crowd that takes all descriptors by not reading its last
 * responses. The kernel may still send these.
 */
static void crowd_that_does_not_read_gives_way(void **state)
{
	struct fixture *f = *state;
	int fds[CROWD];
	int fd;

	for (int i = 0; i < CROWD; i++) {
		fds[i] = send_request(GET("/", "Connection: close\r\n"));
		run(f, MS);
	}
	run(f, 20 * MS);
	assert_int_equal(tcpsock_closing_count(), CROWD);
	assert_int_equal(tcpsock_open_count(), CROWD);
	httpguard_set_limits(f->guard, 0, SOCKETS_MAX / 2);
	httpguard_check(f->guard);
	run(f, 50 * MS);
	assert_true(tcpsock_closing_count() < SOCKETS_MAX / 2);
	assert_int_equal(ctr_get(CTR_CLOSES_UNACKNOWLEDGED),
			 CROWD - tcpsock_closing_count());
	fd = send_request(GET("/short", "Connection: close\r\n"));
	assert_int_equal(read_body(f, fd), 2);
	close(fd);
	assert_int_equal(read_body(f, fds[0]), BODY_BYTES);
	for (int i = 0; i < CROWD; i++)
		close(fds[i]);
}

/* Without a network. */
static void linger_ends_as_the_peer_makes_progress_or_none(void **state)
{
	const uint64_t t = 100 * US_PER_S;
	struct tcplinger l;

	(void)state;
	tcplinger_begin(&l, false, t);
	assert_true(tcplinger_is_over(&l, 0, t));
	tcplinger_begin(&l, false, t);
	assert_false(tcplinger_is_over(&l, 10, t));
	assert_false(tcplinger_is_over(&l, 10, t + TCPLINGER_STALLED_US - 1));
	assert_false(tcplinger_is_over(&l, 9, t + TCPLINGER_STALLED_US));
	assert_true(tcplinger_is_over(&l, 9, t + 2 * TCPLINGER_STALLED_US));
	/* A peer that sends is waited for until it stops, but not for long. */
	tcplinger_begin(&l, true, t);
	assert_false(tcplinger_is_over(&l, 0, t + 100 * MS));
	assert_true(tcplinger_is_over(&l, 0, t + 400 * MS));
	tcplinger_begin(&l, true, t);
	for (uint64_t ms = 0; ms < 1900; ms += 100) {
		tcplinger_record_input(&l, t + ms * MS);
		assert_false(tcplinger_is_over(&l, 0, t + ms * MS));
	}
	tcplinger_record_input(&l, t + 2000 * MS);
	assert_true(tcplinger_is_over(&l, 0, t + 2000 * MS));
}

/* Guards against a crowd that does not read and costs processor time. */
static void peers_without_progress_are_checked_less_often(void **state)
{
	const uint64_t t = 100 * US_PER_S;
	uint64_t now = t;
	uint32_t checks = 0;
	struct tcplinger l;

	(void)state;
	tcplinger_begin(&l, false, t);
	while (!tcplinger_is_over(&l, 10, now)) {
		now = tcplinger_next_check_us(&l, now);
		checks++;
	}
	assert_true(checks <= 60);
	assert_true(now <= t + TCPLINGER_STALLED_US + US_PER_S);
	/* With progress, the end of the output is seen early. */
	tcplinger_begin(&l, false, t);
	assert_false(tcplinger_is_over(&l, 10, t + US_PER_S));
	now = t + 2 * US_PER_S;
	assert_false(tcplinger_is_over(&l, 9, now));
	assert_true(tcplinger_next_check_us(&l, now) <= now + 50 * MS);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, start, stop)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(drain_sends_all_before_a_further_request),
		CASE(connection_close_sends_all_before_a_further_request),
		CASE(half_closed_client_gets_the_rest),
		CASE(refused_body_may_be_sent_to_its_end),
		CASE(endless_input_does_not_keep_a_connection),
		CASE(kept_connection_is_busy_until_all_is_acknowledged),
		CASE(client_that_has_read_all_need_not_close),
		CASE(crowd_that_does_not_read_gives_way),
		cmocka_unit_test(
			linger_ends_as_the_peer_makes_progress_or_none),
		cmocka_unit_test(peers_without_progress_are_checked_less_often),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
