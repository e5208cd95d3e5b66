/*
 * Guards against peers whose malformed input or inactivity affects more than
 * their own connection.
 */

#include "peerrpc_nodes.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_CONNECTIONS 1000
#define RANDOM_SEED 20260413U
#define RANDOM_ROUNDS 200
#define UNREAD_CALL_COUNT 600

static void expect_refusal(int fd, size_t len, enum accept_stat why)
{
	uint8_t in[512];
	struct rpc_header head;
	ssize_t n;

	peerrpc_raw_send(fd, len);
	n = peerrpc_raw_receive(fd, in, sizeof(in));
	assert_true(n > RPC_RECORD_MARK_BYTES);
	assert_true(rpc_decode_header(in + RPC_RECORD_MARK_BYTES,
				      (size_t)n - RPC_RECORD_MARK_BYTES, &head,
				      NULL));
	assert_int_equal(head.accepted, why);
}

/* Offsets in the record of the low bytes of RPC header fields. */
#define PROGRAM_AT (RPC_RECORD_MARK_BYTES + 15)
#define VERSION_AT (RPC_RECORD_MARK_BYTES + 19)

static void unknown_calls_get_error_replies(void **state)
{
	int fd = peerrpc_raw_connect(&node_b.address);
	size_t len = peerrpc_hello_record(1, PEER_HELLO);

	(void)state;
	peerrpc_message[PROGRAM_AT]++;
	expect_refusal(fd, len, PROG_UNAVAIL);
	peerrpc_hello_record(2, PEER_HELLO);
	peerrpc_message[VERSION_AT]++;
	expect_refusal(fd, len, PROG_MISMATCH);
	expect_refusal(fd, peerrpc_hello_record(3, 99), PROC_UNAVAIL);
	expect_refusal(fd, peerrpc_hello_record(4, PEER_LEASE), PROC_UNAVAIL);
	expect_refusal(fd, peerrpc_hello_record(5, PEER_OPEN), GARBAGE_ARGS);
	expect_refusal(fd, peerrpc_hello_record(6, PEER_NULL), GARBAGE_ARGS);
	assert_int_equal(node_b.served, 0);
	expect_refusal(fd, peerrpc_hello_record(7, PEER_HELLO), SUCCESS);
	close(fd);
}

static void malformed_input_closes_one_connection(void **state)
{
	const uint8_t oversized[] = { 0xff, 0xff, 0xff, 0xff };
	int fd = peerrpc_raw_connect(&node_b.address);

	(void)state;
	memcpy(peerrpc_message, oversized, sizeof(oversized));
	peerrpc_raw_send(fd, sizeof(oversized));
	peerrpc_expect_closed(fd);
	fd = peerrpc_raw_connect(&node_b.address);
	peerrpc_raw_send(fd, peerrpc_answer_record(1));
	peerrpc_expect_closed(fd);
	fd = peerrpc_raw_connect(&node_b.address);
	peerrpc_raw_send(fd, peerrpc_hello_record(1, PEER_HELLO) - 3);
	peerrpc_run_for(20);
	assert_int_equal(node_b.served, 0);
	close(fd);
	peerrpc_run_for(20);
	peerrpc_expect_hello_works();
}

static void slow_sender_is_served(void **state)
{
	int fd = peerrpc_raw_connect(&node_b.address);
	size_t len = peerrpc_hello_record(9, PEER_HELLO);
	uint8_t in[512];

	(void)state;
	memcpy(in, peerrpc_message, len);
	for (size_t i = 0; i < len; i++) {
		assert_int_equal(send(fd, in + i, 1, 0), 1);
		peerrpc_run_for(1);
	}
	assert_true(peerrpc_raw_receive(fd, in, sizeof(in)) > 0);
	assert_int_equal(node_b.served, 1);
	close(fd);
}

static void calls_of_closed_connection_are_reported(void **state)
{
	int fd = peerrpc_raw_connect(&node_b.address);

	(void)state;
	node_b.hold = true;
	peerrpc_raw_send(fd, peerrpc_hello_record(1, PEER_HELLO));
	peerrpc_raw_send(fd, peerrpc_hello_record(2, PEER_HELLO));
	RUN_UNTIL(node_b.held_count == 2);
	assert_string_equal(peerrpc_question_ip(node_b.held[0]), "127.0.0.1");
	close(fd);
	RUN_UNTIL(node_b.gone == 2);
	peerrpc_expect_hello_works();
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

static void idle_connections_do_not_block_service(void **state)
{
	static int fds[IDLE_CONNECTIONS];
	size_t before = open_descriptors();

	(void)state;
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		fds[i] = peerrpc_raw_connect(&node_b.address);
		if (i % 100 == 0)
			peerrpc_run_for(1);
	}
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == IDLE_CONNECTIONS);
	peerrpc_expect_hello_works();
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		close(fds[i]);
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == 2);
	assert_int_equal(open_descriptors(), before + 2);
}

/* The transport stops reading instead of queueing unlimited replies. */
static void peer_that_does_not_read_is_not_read_from(void **state)
{
	struct peer_read args = { { 1, 1 }, 1, PEER_CHUNK_MAX };
	int small = 65536; /* forces partial sends */
	int fd = peerrpc_raw_connect(&node_b.address);
	size_t received = 0;
	size_t len;

	(void)state;
	len = rpc_encode_call(peerrpc_message + RPC_RECORD_MARK_BYTES,
			      RPC_MESSAGE_MAX, 1, PEER_READ,
			      (xdrproc_t)xdr_peer_read, &args, NULL);
	rpc_write_record_mark(peerrpc_message, len);
	len += RPC_RECORD_MARK_BYTES;
	RUN_UNTIL(((struct peerrpc_lws *)node_b.transport)->conns);
	setsockopt(((struct peerrpc_lws *)node_b.transport)->conns->fd,
		   SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
	for (int i = 0; i < UNREAD_CALL_COUNT; i++)
		peerrpc_raw_send(fd, len);
	peerrpc_run_for(50);
	assert_in_range(node_b.served, 1, UNREAD_CALL_COUNT - 1);
	while (received < (size_t)UNREAD_CALL_COUNT * PEER_CHUNK_MAX) {
		ssize_t n = peerrpc_raw_receive(fd, peerrpc_message,
						sizeof(peerrpc_message));

		assert_true(n > 0);
		received += (size_t)n;
	}
	assert_int_equal(node_b.served, UNREAD_CALL_COUNT);
	close(fd);
}

static void notices_arrive_after_refused_ones(void **state)
{
	struct peer_digest digest = { { 1, 1 }, 1, 1, 0, false };
	struct peerrpc_address nobody = { 0 };

	(void)state;
	close(peerrpc_raw_listen(&nobody, 1));
	for (int i = 0; i < 5; i++)
		peerrpc_notify(node_a.transport, &nobody, PEER_DIGEST, &digest);
	peerrpc_run_for(10);
	peerrpc_notify(node_a.transport, &node_b.address, PEER_DIGEST, &digest);
	RUN_UNTIL(node_b.notices == 1);
	peerrpc_notify(node_b.transport, &node_a.address, PEER_DIGEST, &digest);
	RUN_UNTIL(node_a.notices == 1);
}

static void random_bytes_are_rejected(void **state)
{
	struct sockaddr_in addr;
	int udp = peerrpc_raw_socket(SOCK_DGRAM, &addr, node_b.address.port);
	unsigned int seed = RANDOM_SEED;

	(void)state;
	printf("seed %u, %d rounds\n", RANDOM_SEED, RANDOM_ROUNDS);
	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		size_t len = peerrpc_hello_record((uint32_t)i, PEER_HELLO);
		int fd = peerrpc_raw_connect(&node_b.address);

		for (size_t k = 0; k < len; k++) {
			if (rand_r(&seed) % 8 == 0)
				peerrpc_message[k] = (uint8_t)rand_r(&seed);
		}
		peerrpc_raw_send(fd, len);
		sendto(udp, peerrpc_message + RPC_RECORD_MARK_BYTES,
		       len - RPC_RECORD_MARK_BYTES, 0, (struct sockaddr *)&addr,
		       sizeof(addr));
		lwsloop_run_once(peerrpc_loop);
		close(fd);
	}
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == 0);
	assert_int_equal(node_b.notices, 0);
	close(udp);
	peerrpc_expect_hello_works();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(unknown_calls_get_error_replies),
		TEST(malformed_input_closes_one_connection),
		TEST(slow_sender_is_served),
		TEST(calls_of_closed_connection_are_reported),
		TEST(idle_connections_do_not_block_service),
		TEST(peer_that_does_not_read_is_not_read_from),
		TEST(notices_arrive_after_refused_ones),
		TEST(random_bytes_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
