/*
 * Guards against responses that the end of a daemon cuts off although it has
 * sent them: a caller begins to read late and has sent further requests, which
 * reset a connection that is closed at once.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "cluster.h"

#define SETTLE_MS 10000
#define CALLERS 4
#define BODY_BYTES 90000
#define WINDOW_BYTES 8192
#define READ_BYTES 4096
#define READ_EVERY_MS 20
#define READ_MS 3000
#define END_LIMIT_MS 15000
/* Of a stop beside callers that never read; far below drain_timeout_ms. */
#define UNREAD_END_LIMIT_MS 25000
#define LARGE "/bookings/clients/anna/history?bytes=90000"
#define SMALL "/bookings/clients/anna/history"

static struct cluster *cluster;

struct caller {
	int fd;
	char bytes[2 * BODY_BYTES];
	size_t len;
	bool ended;
};

static struct caller callers[CALLERS];

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	assert_true(cluster_settle(cluster, SETTLE_MS));
	return 0;
}

static int stop(void **state)
{
	(void)state;
	for (size_t i = 0; i < CALLERS; i++)
		close(callers[i].fd);
	memset(callers, 0, sizeof(callers));
	cluster_stop(cluster);
	return 0;
}

static void connect_caller(struct caller *c, size_t node)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	int window = WINDOW_BYTES;

	a.sin_port = htons(cluster_http_port(cluster, node));
	a.sin_addr.s_addr = inet_addr(cluster_address());
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	assert_int_equal(connect(c->fd, (struct sockaddr *)&a, sizeof(a)), 0);
}

static void send_request(struct caller *c, const char *target)
{
	char text[256];
	int n = snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: localhost\r\n\r\n", target);

	assert_int_equal(send(c->fd, text, (size_t)n, MSG_NOSIGNAL), n);
}

static void send_requests(const char *target)
{
	for (size_t i = 0; i < CALLERS; i++)
		send_request(&callers[i], target);
}

static void read_some(struct caller *c)
{
	ssize_t n;

	if (c->ended || c->len + READ_BYTES > sizeof(c->bytes))
		return;
	n = recv(c->fd, c->bytes + c->len, READ_BYTES, MSG_DONTWAIT);
	if (n > 0)
		c->len += (size_t)n;
	else
		c->ended = n == 0 || errno != EAGAIN;
}

/* True if the whole body of the first response has come. */
static bool is_whole(const struct caller *c)
{
	const char *end = memmem(c->bytes, c->len, "\r\n\r\n", 4);

	return end && strncmp(c->bytes, "HTTP/1.1 200", 12) == 0 &&
	       c->len - (size_t)(end + 4 - c->bytes) >= BODY_BYTES;
}

/* Stops the daemon while callers have not read their responses. */
static void begin_stop(size_t node)
{
	for (size_t i = 0; i < CALLERS; i++)
		connect_caller(&callers[i], node);
	send_requests(LARGE);
	cluster_sleep(cluster, 600);
	cluster_signal_daemon(cluster, node, SIGTERM);
	cluster_sleep(cluster, 100);
}

static void unread_responses_are_whole(void **state)
{
	const size_t node = 0;
	size_t whole = 0;

	(void)state;
	begin_stop(node);
	/* Answered, and followed by the close of the connection. */
	send_requests(SMALL);
	cluster_sleep(cluster, 400);
	send_requests(SMALL);
	for (uint32_t t = 0; t < READ_MS; t += READ_EVERY_MS) {
		cluster_sleep(cluster, READ_EVERY_MS);
		for (size_t i = 0; i < CALLERS; i++)
			read_some(&callers[i]);
	}
	for (size_t i = 0; i < CALLERS; i++)
		whole += is_whole(&callers[i]);
	printf("%zu of %d responses are whole\n", whole, CALLERS);
	assert_int_equal(whole, CALLERS);
	assert_int_equal(cluster_wait_daemon(cluster, node, END_LIMIT_MS), 0);
}

/* Guards against a stop that lasts to drain_timeout_ms, as nobody reads. */
static void callers_that_never_read_do_not_hold_up_a_stop(void **state)
{
	const size_t node = 0;

	(void)state;
	begin_stop(node);
	assert_int_equal(
		cluster_wait_daemon(cluster, node, UNREAD_END_LIMIT_MS), 0);
}

#define CASE(fn) cmocka_unit_test_setup_teardown(fn, start, stop)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(unread_responses_are_whole),
		CASE(callers_that_never_read_do_not_hold_up_a_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
