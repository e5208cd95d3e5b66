/*
 * Guards against a daemon that ends, stops serving or holds resources because
 * of what arrives at its ports: random bytes, messages that are too long or too
 * short, senders that are slow, and many idle connections.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "attempts.h"
#include "cluster.h"
#include "rpc.h"
#include "stranger.h"

#define SEED 65537u
#define TIMEOUT_MS 2000
#define ROUNDS 150 /* of random bytes for each port */
#define CHUNK 4096
#define LONG_BYTES (1u << 20)
#define IDLE_CONNECTIONS 500
#define SLOW_BYTES 40
#define CLOSED_WITHIN_MS 7000 /* the limit for heads is 5 s */
#define RPC_PROGRAM 0x20049af1u
#define RPC_FIELDS 12

static struct cluster *cluster;
static unsigned int seed = SEED;

static int start(void **state)
{
	(void)state;
	cluster = cluster_start(&cluster_small);
	printf("seed %u\n", SEED);
	return 0;
}

static int stop(void **state)
{
	(void)state;
	cluster_stop(cluster);
	return 0;
}

/* No daemon has ended, and each one serves a key and its operators. */
static void assert_all_serve(void)
{
	struct reply r;

	for (size_t i = 0; i < cluster_nodes(cluster); i++) {
		json_t *status;

		assert_false(cluster_daemon_ended(cluster, i));
		cluster_request(cluster, i, "GET",
				"/bookings/clients/b/history", NULL, NULL,
				TIMEOUT_MS, &r);
		assert_int_equal(r.status, 200);
		assert_string_equal(r.outcome, "done");
		status = cluster_ask(cluster, i, "GET", "/-/status");
		assert_non_null(status);
		json_decref(status);
	}
}

static void fill_random(unsigned char *out, size_t len)
{
	for (size_t i = 0; i < len; i++)
		out[i] = (unsigned char)(rand_r(&seed) >> 8);
}

/* Writes without waiting for a daemon that does not read. */
static void write_some(int fd, const void *data, size_t len)
{
	const char *at = data;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		at += n;
		len -= (size_t)n;
	}
}

/* Sends bytes over a connection of its own and closes it. */
static void send_tcp(unsigned int port, const void *data, size_t len)
{
	int fd = raw_connect(port);

	assert_true(fd >= 0);
	write_some(fd, data, len);
	close(fd);
}

static void send_udp(unsigned int port, const void *data, size_t len)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	to.sin_addr.s_addr = inet_addr(cluster_address());
	assert_true(fd >= 0);
	sendto(fd, data, len, 0, (struct sockaddr *)&to, sizeof(to));
	close(fd);
}

/* The three TCP ports of a daemon. */
static unsigned int tcp_port(size_t node, int which)
{
	if (which == 0)
		return cluster_http_port(cluster, node);
	if (which == 1)
		return cluster_admin_port(cluster, node);
	return cluster_peer_port(cluster, node);
}

static void random_bytes_end_no_daemon(void **state)
{
	unsigned char data[CHUNK];

	(void)state;
	for (int round = 0; round < ROUNDS; round++) {
		size_t node = (size_t)round % cluster_nodes(cluster);
		size_t len = 1 + (size_t)rand_r(&seed) % sizeof(data);

		for (int which = 0; which < 3; which++) {
			fill_random(data, len);
			send_tcp(tcp_port(node, which), data, len);
		}
		fill_random(data, len);
		send_udp(cluster_peer_port(cluster, node), data, len % 1400);
	}
	assert_all_serve();
}

/* A head that is valid, then noise where numbers and texts belong. */
static size_t make_call(unsigned char *out, size_t size, bool record)
{
	uint32_t words[RPC_FIELDS] = { 0 };
	size_t body = (size_t)rand_r(&seed) % 600;
	size_t skip = record ? 0 : 1;
	size_t head = (RPC_FIELDS - 1) * 4;

	words[0] = htonl(0x80000000u | (uint32_t)(head + body));
	words[1] = htonl((uint32_t)rand_r(&seed)); /* xid */
	words[2] = htonl((uint32_t)(rand_r(&seed) % 8 == 0)); /* call, reply */
	words[3] = htonl(2); /* version of RPC */
	words[4] = htonl(RPC_PROGRAM);
	words[5] = htonl(1);
	words[6] = htonl((uint32_t)(rand_r(&seed) % 16)); /* procedure */
	assert_true(sizeof(words) + body <= size);
	memcpy(out, words + skip, sizeof(words) - skip * 4);
	fill_random(out + sizeof(words) - skip * 4, body);
	/* Small numbers pass more checks than random ones. */
	for (size_t i = sizeof(words); i < sizeof(words) + body - body % 4;
	     i += 4) {
		if (rand_r(&seed) % 2)
			memset(out + i, 0, 3);
	}
	return sizeof(words) - skip * 4 + body;
}

static void bad_calls_of_peers_end_no_daemon(void **state)
{
	unsigned char data[CHUNK];

	(void)state;
	for (int round = 0; round < 10 * ROUNDS; round++) {
		size_t node = (size_t)round % cluster_nodes(cluster);
		size_t len = make_call(data, sizeof(data), true);

		if (rand_r(&seed) % 4 == 0)
			len = (size_t)rand_r(&seed) % len;
		send_tcp(cluster_peer_port(cluster, node), data, len);
		len = make_call(data, sizeof(data), false);
		send_udp(cluster_peer_port(cluster, node), data, len);
	}
	assert_all_serve();
}

/* A window that is almost one; test_bad_handover.c has the empty one. */
static const char *random_window(void)
{
	static const char *const windows[] = {
		"{\"start\":1,\"entries\":[{\"id\":\"1-a\",\"status\":200}]}",
		"{\"start\":-1,\"entries\":[]}",
		"{\"start\":1,\"entries\":[7,null,{}]}",
		"[[[[[[[[",
		"x",
	};

	return windows[(size_t)rand_r(&seed) % 5];
}

/* Calls that are decoded and reach the daemon, some with bytes changed. */
static void calls_of_strangers_end_no_daemon(void **state)
{
	uint8_t data[CHUNK];

	(void)state;
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		peer_proc to = stranger_ask(cluster, node);

		for (int round = 0; round < ROUNDS; round++) {
			size_t room = sizeof(data) - RPC_RECORD_MARK_BYTES;
			uint8_t *at = data + RPC_RECORD_MARK_BYTES;
			size_t len =
				round % 3 ?
					stranger_open(at, room, &to, &seed) :
					stranger_handover(at, room, &to,
							  random_window());

			assert_true(len > 0);
			if (round % 2)
				at[(size_t)rand_r(&seed) % len] ^= 1;
			rpc_write_record_mark(data, len);
			send_tcp(cluster_peer_port(cluster, node), data,
				 len + RPC_RECORD_MARK_BYTES);
		}
	}
	assert_all_serve();
}

/* Heads and bodies that are too long, cut or contradictory. */
static const char *const bad_heads[] = {
	"GET / HTTP/1.1",
	"GET\r\n\r\n",
	"POST /bookings/clients/b/deposits HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: -1\r\n\r\n",
	"POST /bookings/clients/b/deposits HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: 99999999999999999999\r\n\r\n",
	"POST /bookings/clients/b/deposits HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
	"POST /bookings/clients/b/deposits HTTP/1.1\r\nHost: x\r\n"
	"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
	"POST /-/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
	"POST /-/manifest HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n{[\xff",
	"POST /-/quarantine/lift?fingerprint=zz HTTP/1.1\r\nHost: x\r\n"
	"Content-Length: 0\r\n\r\n",
	"GET /-/explain?service=%00&key=%zz HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /bookings/clients/%2e%2e%2f%00/history HTTP/1.1\r\nHost: x\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /bookings/clients/b/history HTTP/1.1\r\nHost: x\r\n"
	"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
};

static void bad_requests_end_no_daemon(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(bad_heads) / sizeof(bad_heads[0]); i++) {
		for (size_t node = 0; node < cluster_nodes(cluster); node++) {
			for (int which = 0; which < 3; which++)
				send_tcp(tcp_port(node, which), bad_heads[i],
					 strlen(bad_heads[i]));
		}
	}
	assert_all_serve();
}

static void long_messages_end_no_daemon(void **state)
{
	static char data[LONG_BYTES];
	static const char head[] = "GET /bookings/clients/";
	static const char record[] = { 0x7f, -1, -1, -1 };

	(void)state;
	memset(data, 'a', sizeof(data));
	for (size_t node = 0; node < cluster_nodes(cluster); node++) {
		memcpy(data, head, sizeof(head) - 1);
		send_tcp(tcp_port(node, 0), data, sizeof(data));
		send_tcp(tcp_port(node, 1), data, sizeof(data));
		memcpy(data, record, sizeof(record));
		send_tcp(tcp_port(node, 2), data, sizeof(data));
		send_udp(tcp_port(node, 2), data, 60000);
		send_udp(tcp_port(node, 2), data, 0);
	}
	assert_all_serve();
}

/* True if the other side has closed the connection. */
static bool is_closed(int fd)
{
	char byte[512];
	ssize_t n = recv(fd, byte, sizeof(byte), MSG_DONTWAIT);

	while (n > 0)
		n = recv(fd, byte, sizeof(byte), MSG_DONTWAIT);
	return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*
 * A sender of one byte at a time is cut off by the time limit of the head, even
 * though it always makes progress, and others are served meanwhile.
 */
static void slow_senders_are_cut_off(void **state)
{
	static const char text[] =
		"GET /bookings/clients/slow/history HTTP/1.1\r\n";
	uint64_t limit = cluster_now_ms() + CLOSED_WITHIN_MS;
	size_t sent = 0;
	int fds[2];

	(void)state;
	for (int which = 0; which < 2; which++)
		fds[which] = raw_connect(tcp_port(0, which));
	while (!(is_closed(fds[0]) && is_closed(fds[1]))) {
		assert_true(cluster_now_ms() < limit);
		if (sent < SLOW_BYTES) {
			send(fds[0], text + sent, 1, MSG_NOSIGNAL);
			send(fds[1], text + sent, 1, MSG_NOSIGNAL);
			sent++;
		}
		assert_all_serve();
		cluster_sleep(cluster, 150);
	}
	close(fds[0]);
	close(fds[1]);
}

static void idle_connections_leave_room_for_callers(void **state)
{
	int fds[IDLE_CONNECTIONS];

	(void)state;
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = raw_connect(tcp_port(0, 0));
		assert_true(fds[i] >= 0);
	}
	assert_all_serve();
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = raw_connect(tcp_port(1, 2));
		assert_true(fds[i] >= 0);
	}
	assert_all_serve();
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
	assert_all_serve();
}

static void the_keys_have_one_owner_after_all(void **state)
{
	(void)state;
	assert_all_serve();
	assert_int_equal(cluster_check_owners(cluster, "bookings"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(random_bytes_end_no_daemon),
		cmocka_unit_test(bad_calls_of_peers_end_no_daemon),
		cmocka_unit_test(calls_of_strangers_end_no_daemon),
		cmocka_unit_test(bad_requests_end_no_daemon),
		cmocka_unit_test(long_messages_end_no_daemon),
		cmocka_unit_test(slow_senders_are_cut_off),
		cmocka_unit_test(idle_connections_leave_room_for_callers),
		cmocka_unit_test(the_keys_have_one_owner_after_all),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
