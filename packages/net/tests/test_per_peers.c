/*
 * Guards against peers whose bytes or whose silence cost more than their own
 * connection.
 */

#include "per_nodes.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_CONNECTIONS 1000
#define RANDOM_SEED 20260413U
#define RANDOM_ROUNDS 200
#define UNREAD_CALLS 600

static void expect_refusal(int fd, size_t len, enum accept_stat why)
{
	uint8_t in[512];
	struct rpc_head head;
	ssize_t n;

	raw_send(fd, len);
	n = raw_receive(fd, in, sizeof(in));
	assert_true(n > RPC_MARK_BYTES);
	assert_true(rpc_decode_head(in + RPC_MARK_BYTES,
				    (size_t)n - RPC_MARK_BYTES, &head, NULL));
	assert_int_equal(head.accepted, why);
}

/* Byte of the record in which the low byte of a field of the head lies. */
#define PROGRAM_AT (RPC_MARK_BYTES + 15)
#define VERSION_AT (RPC_MARK_BYTES + 19)

static void foreign_calls_are_refused_and_the_connection_stays(void **state)
{
	int fd = raw_connect(&b.address);
	size_t len = hello_record(1, PEER_HELLO);

	(void)state;
	message[PROGRAM_AT]++;
	expect_refusal(fd, len, PROG_UNAVAIL);
	hello_record(2, PEER_HELLO);
	message[VERSION_AT]++;
	expect_refusal(fd, len, PROG_MISMATCH);
	expect_refusal(fd, hello_record(3, 99), PROC_UNAVAIL);
	expect_refusal(fd, hello_record(4, PEER_LEASE), PROC_UNAVAIL);
	expect_refusal(fd, hello_record(5, PEER_OPEN), GARBAGE_ARGS);
	expect_refusal(fd, hello_record(6, PEER_NULL), GARBAGE_ARGS);
	assert_int_equal(b.served, 0);
	expect_refusal(fd, hello_record(7, PEER_HELLO), SUCCESS);
	close(fd);
}

static void malformed_peer_costs_its_own_connection(void **state)
{
	const uint8_t oversized[] = { 0xff, 0xff, 0xff, 0xff };
	int fd = raw_connect(&b.address);

	(void)state;
	memcpy(message, oversized, sizeof(oversized));
	raw_send(fd, sizeof(oversized));
	expect_closed(fd);
	fd = raw_connect(&b.address);
	raw_send(fd, answer_record(1));
	expect_closed(fd);
	fd = raw_connect(&b.address);
	raw_send(fd, hello_record(1, PEER_HELLO) - 3);
	run_for(20);
	assert_int_equal(b.served, 0);
	close(fd);
	run_for(20);
	expect_hello_works();
}

static void slow_sender_is_served(void **state)
{
	int fd = raw_connect(&b.address);
	size_t len = hello_record(9, PEER_HELLO);
	uint8_t in[512];

	(void)state;
	memcpy(in, message, len);
	for (size_t i = 0; i < len; i++) {
		assert_int_equal(send(fd, in + i, 1, 0), 1);
		run_for(1);
	}
	assert_true(raw_receive(fd, in, sizeof(in)) > 0);
	assert_int_equal(b.served, 1);
	close(fd);
}

static void questions_of_a_closed_connection_are_gone(void **state)
{
	int fd = raw_connect(&b.address);

	(void)state;
	b.hold = true;
	raw_send(fd, hello_record(1, PEER_HELLO));
	raw_send(fd, hello_record(2, PEER_HELLO));
	RUN_UNTIL(b.held_count == 2);
	assert_string_equal(per_question_ip(b.held[0]), "127.0.0.1");
	close(fd);
	RUN_UNTIL(b.gone == 2);
	expect_hello_works();
}

static size_t open_descriptors(void)
{
	DIR *d = opendir("/proc/self/fd");
	size_t n = 0;

	while (readdir(d))
		n++;
	closedir(d);
	return n;
}

static void idle_connections_do_not_stop_service(void **state)
{
	static int fds[IDLE_CONNECTIONS];
	size_t before = open_descriptors();

	(void)state;
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = raw_connect(&b.address);
		if (i % 100 == 0)
			run_for(1);
	}
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == IDLE_CONNECTIONS);
	expect_hello_works();
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == 2);
	assert_int_equal(open_descriptors(), before + 2);
}

/* The transport stops reading instead of storing replies without a bound. */
static void peer_that_does_not_read_is_not_read_from(void **state)
{
	struct peer_read args = { { 1, 1 }, 1, PEER_CHUNK_MAX };
	int small = 65536; /* so that the system takes only a part each time */
	int fd = raw_connect(&b.address);
	size_t received = 0;
	size_t len;

	(void)state;
	len = rpc_encode_call(message + RPC_MARK_BYTES, RPC_MESSAGE_MAX, 1,
			      PEER_READ, (xdrproc_t)xdr_peer_read, &args, NULL);
	rpc_write_mark(message, len);
	len += RPC_MARK_BYTES;
	RUN_UNTIL(((struct per_lws *)b.per)->conns);
	setsockopt(((struct per_lws *)b.per)->conns->fd, SOL_SOCKET, SO_SNDBUF,
		   &small, sizeof(small));
	for (int i = 0; i < UNREAD_CALLS; i++)
		raw_send(fd, len);
	run_for(50);
	assert_in_range(b.served, 1, UNREAD_CALLS - 1);
	while (received < (size_t)UNREAD_CALLS * PEER_CHUNK_MAX) {
		ssize_t n = raw_receive(fd, message, sizeof(message));

		assert_true(n > 0);
		received += (size_t)n;
	}
	assert_int_equal(b.served, UNREAD_CALLS);
	close(fd);
}

static void notices_arrive_and_refused_ones_are_harmless(void **state)
{
	struct peer_digest digest = { { 1, 1 }, 1, 1, 0, false };
	struct per_address nobody = { 0 };

	(void)state;
	close(raw_listen(&nobody, 1));
	for (int i = 0; i < 5; i++)
		per_notify(a.per, &nobody, PEER_DIGEST, &digest);
	run_for(10);
	per_notify(a.per, &b.address, PEER_DIGEST, &digest);
	RUN_UNTIL(b.notices == 1);
	per_notify(b.per, &a.address, PEER_DIGEST, &digest);
	RUN_UNTIL(a.notices == 1);
}

static void random_bytes_do_no_harm(void **state)
{
	struct sockaddr_in addr;
	int udp = raw_socket(SOCK_DGRAM, &addr, b.address.port);
	unsigned int seed = RANDOM_SEED;

	(void)state;
	printf("seed %u, %d rounds\n", RANDOM_SEED, RANDOM_ROUNDS);
	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		size_t len = hello_record((uint32_t)i, PEER_HELLO);
		int fd = raw_connect(&b.address);

		for (size_t k = 0; k < len; k++) {
			if (rand_r(&seed) % 8 == 0)
				message[k] = (uint8_t)rand_r(&seed);
		}
		raw_send(fd, len);
		sendto(udp, message + RPC_MARK_BYTES, len - RPC_MARK_BYTES, 0,
		       (struct sockaddr *)&addr, sizeof(addr));
		lop_step(loop);
		close(fd);
	}
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == 0);
	assert_int_equal(b.notices, 0);
	close(udp);
	expect_hello_works();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(foreign_calls_are_refused_and_the_connection_stays),
		TEST(malformed_peer_costs_its_own_connection),
		TEST(slow_sender_is_served),
		TEST(questions_of_a_closed_connection_are_gone),
		TEST(idle_connections_do_not_stop_service),
		TEST(peer_that_does_not_read_is_not_read_from),
		TEST(notices_arrive_and_refused_ones_are_harmless),
		TEST(random_bytes_do_no_harm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
