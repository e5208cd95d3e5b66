/*
 * Guards against replies that are matched to the wrong call, and against
 * failures that are wrongly reported as a process that has ended or a call that
 * was not sent.
 */

#include "peerrpc_nodes.h"

#include <stdio.h>
#include <string.h>

#define ROUND_TRIPS 5000

static void replies_in_reverse_order_match_their_calls(void **state)
{
	struct outcome o[10];

	(void)state;
	node_b.hold = true;
	for (unsigned int i = 0; i < 10; i++)
		assert_int_not_equal(
			peerrpc_hello(&node_b.address, i, CALL_US, &o[i]), 0);
	RUN_UNTIL(node_b.held_count == 10);
	while (node_b.held_count) {
		struct peer_answer answer = { PEER_OK, { 0, 0 } };

		node_b.held_count--;
		answer.self.instance = 100 + (unsigned int)node_b.held_count;
		peerrpc_reply(node_b.transport, node_b.held[node_b.held_count],
			      &answer);
	}
	for (unsigned int i = 0; i < 10; i++) {
		RUN_UNTIL(o[i].calls);
		assert_int_equal(o[i].failure, PEERRPC_OK);
		assert_int_equal(o[i].instance, 100 + i);
	}
	assert_int_equal(ctr_get(CTR_PEER_CONNECTIONS), 2);
}

static void duplicate_and_late_replies_are_dropped(void **state)
{
	struct peerrpc_address at = { 0 };
	int listener = peerrpc_raw_listen(&at, 4);
	struct outcome o;
	struct outcome late;
	uint32_t xid;
	int fd;

	(void)state;
	peerrpc_hello(&at, 1, CALL_US, &o);
	fd = peerrpc_accept_call(listener, &xid);
	peerrpc_raw_send(fd, peerrpc_answer_record(xid + 1000));
	peerrpc_raw_send(fd, peerrpc_answer_record(xid));
	peerrpc_raw_send(fd, peerrpc_answer_record(xid));
	RUN_UNTIL(ctr_get(CTR_PEER_LATE_REPLIES) == 2);
	assert_int_equal(o.calls, 1);
	assert_int_equal(o.failure, PEERRPC_OK);
	peerrpc_hello(&at, 1, 20 * US_PER_MS, &late);
	RUN_UNTIL(late.calls);
	assert_int_equal(late.failure, PEERRPC_TIMEOUT);
	peerrpc_raw_send(fd, peerrpc_answer_record(xid + 1));
	RUN_UNTIL(ctr_get(CTR_PEER_LATE_REPLIES) == 3);
	assert_int_equal(late.calls, 1);
	close(fd);
	close(listener);
}

/* A peer must not be able to answer a call that went to another peer. */
static void reply_on_another_connection_is_dropped(void **state)
{
	struct peerrpc_address at[2] = { 0 };
	struct outcome o[2];
	uint32_t xid[2];
	int listener[2];
	int fd[2];

	(void)state;
	for (int i = 0; i < 2; i++) {
		listener[i] = peerrpc_raw_listen(&at[i], 4);
		peerrpc_hello(&at[i], 1, CALL_US, &o[i]);
		fd[i] = peerrpc_accept_call(listener[i], &xid[i]);
	}
	peerrpc_raw_send(fd[1], peerrpc_answer_record(xid[0]));
	RUN_UNTIL(ctr_get(CTR_PEER_LATE_REPLIES) == 1);
	assert_int_equal(o[0].calls, 0);
	for (int i = 0; i < 2; i++) {
		peerrpc_raw_send(fd[i], peerrpc_answer_record(xid[i]));
		RUN_UNTIL(o[i].calls);
		assert_int_equal(o[i].failure, PEERRPC_OK);
		close(fd[i]);
		close(listener[i]);
	}
}

static void error_or_malformed_reply_fails_one_call(void **state)
{
	struct peerrpc_address at = { 0 };
	int listener = peerrpc_raw_listen(&at, 4);
	struct outcome o[3];
	uint32_t xid;
	size_t len;
	int fd;

	(void)state;
	for (unsigned int i = 0; i < 3; i++)
		peerrpc_hello(&at, i, CALL_US, &o[i]);
	fd = peerrpc_accept_call(listener, &xid);
	len = rpc_encode_error_reply(peerrpc_message + RPC_RECORD_MARK_BYTES,
				     RPC_MESSAGE_MAX, xid, PROG_MISMATCH, NULL);
	rpc_write_record_mark(peerrpc_message, len);
	peerrpc_raw_send(fd, len + RPC_RECORD_MARK_BYTES);
	len = peerrpc_answer_record(xid + 1) - 4;
	rpc_write_record_mark(peerrpc_message, len - RPC_RECORD_MARK_BYTES);
	peerrpc_raw_send(fd, len);
	peerrpc_raw_send(fd, peerrpc_answer_record(xid + 2));
	RUN_UNTIL(o[2].calls);
	assert_int_equal(o[0].failure, PEERRPC_BAD_REPLY);
	assert_int_equal(o[1].failure, PEERRPC_BAD_REPLY);
	assert_int_equal(o[2].failure, PEERRPC_OK);
	close(fd);
	close(listener);
}

static void connection_lost_in_reply_is_reopened(void **state)
{
	struct peerrpc_address at = { 0 };
	int listener = peerrpc_raw_listen(&at, 4);
	struct outcome o;
	uint32_t xid;
	int fd;

	(void)state;
	peerrpc_hello(&at, 1, CALL_US, &o);
	fd = peerrpc_accept_call(listener, &xid);
	peerrpc_raw_send(fd, peerrpc_answer_record(xid) - 3);
	close(fd);
	RUN_UNTIL(o.calls);
	assert_int_equal(o.failure, PEERRPC_LOST);
	peerrpc_hello(&at, 1, CALL_US, &o);
	fd = peerrpc_accept_call(listener, &xid);
	peerrpc_raw_send(fd, peerrpc_answer_record(xid));
	RUN_UNTIL(o.calls);
	assert_int_equal(o.failure, PEERRPC_OK);
	close(fd);
	close(listener);
}

/* Only a refused connection may be taken as proof that a process has ended. */
static void refused_differs_from_not_sent(void **state)
{
	struct peerrpc_address at = { 0 };
	struct outcome o[2];
	int fill[2];
	int listener = peerrpc_raw_listen(&at, 1);

	(void)state;
	close(listener);
	peerrpc_hello(&at, 1, CALL_US, &o[0]);
	peerrpc_hello(&at, 1, CALL_US, &o[1]);
	assert_int_equal(o[0].calls, 0);
	RUN_UNTIL(o[0].calls && o[1].calls);
	assert_int_equal(o[0].failure, PEERRPC_REFUSED);
	assert_int_equal(o[1].failure, PEERRPC_REFUSED);
	listener = peerrpc_raw_listen(&at, 0);
	for (int i = 0; i < 2; i++) {
		struct sockaddr_in addr;

		fill[i] = peerrpc_raw_socket(SOCK_STREAM | SOCK_NONBLOCK, &addr,
					     at.port);
		(void)connect(fill[i], (struct sockaddr *)&addr, sizeof(addr));
	}
	peerrpc_hello(&at, 1, 50 * US_PER_MS, &o[0]);
	RUN_UNTIL(o[0].calls);
	assert_int_equal(o[0].failure, PEERRPC_NOT_SENT);
	peerrpc_hello(&at, 1, CALL_US,
		      &o[0]); /* timeout after that of the connect */
	peerrpc_run_for(10);
	peerrpc_clock_skip_us += PEERRPC_CONNECT_TIMEOUT_US;
	RUN_UNTIL(o[0].calls);
	assert_int_equal(o[0].failure, PEERRPC_NOT_SENT);
	strcpy(at.ip, "not an address");
	peerrpc_hello(&at, 1, CALL_US, &o[0]);
	assert_int_equal(o[0].calls, 0);
	RUN_UNTIL(o[0].calls);
	assert_int_equal(o[0].failure, PEERRPC_NOT_SENT);
	close(fill[0]);
	close(fill[1]);
	close(listener);
}

static void dropped_call_is_not_reported(void **state)
{
	struct outcome o;
	uint32_t call;

	(void)state;
	node_b.hold = true;
	call = peerrpc_hello(&node_b.address, 1, 20 * US_PER_MS, &o);
	RUN_UNTIL(node_b.held_count == 1);
	peerrpc_drop(node_a.transport, call);
	peerrpc_drop(node_a.transport, call);
	peerrpc_run_for(50);
	assert_int_equal(o.calls, 0);
	peerrpc_hello(&node_b.address, 2, CALL_US,
		      &o); /* pending at teardown */
	RUN_UNTIL(node_b.held_count == 2);
	assert_int_equal(o.calls, 0);
}

static void idle_client_connection_closes_and_opens_again(void **state)
{
	(void)state;
	peerrpc_expect_hello_works();
	assert_int_equal(ctr_get(CTR_PEER_CONNECTIONS), 2);
	peerrpc_clock_skip_us += PEERRPC_IDLE_TIMEOUT_US - 2 * US_PER_S;
	peerrpc_run_for(20);
	assert_int_equal(ctr_get(CTR_PEER_CONNECTIONS), 2);
	peerrpc_clock_skip_us += 4 * US_PER_S;
	RUN_UNTIL(ctr_get(CTR_PEER_CONNECTIONS) == 0);
	peerrpc_expect_hello_works();
}

/* Prints the round-trip times; both nodes run in this thread. */
static void round_trips_are_measured(void **state)
{
	struct peer_digest digest = { { 1, 1 }, 1, 1, 0, false };
	struct outcome o[64];
	uint64_t start_us;

	(void)state;
	peerrpc_expect_hello_works();
	start_us = lwsloop_now_us(peerrpc_loop);
	for (unsigned int i = 0; i < ROUND_TRIPS; i++) {
		peerrpc_hello(&node_b.address, i, CALL_US, &o[0]);
		RUN_UNTIL(o[0].calls);
		assert_int_equal(o[0].instance, i);
	}
	printf("TCP: %.1f us for a round trip\n",
	       (double)(lwsloop_now_us(peerrpc_loop) - start_us) / ROUND_TRIPS);
	start_us = lwsloop_now_us(peerrpc_loop);
	for (int i = 0; i < ROUND_TRIPS; i += 64) {
		for (unsigned int k = 0; k < 64; k++)
			peerrpc_hello(&node_b.address, k, CALL_US, &o[k]);
		for (unsigned int k = 0; k < 64; k++)
			RUN_UNTIL(o[k].calls);
	}
	printf("TCP: %.0f calls/s, 64 at once\n",
	       ROUND_TRIPS * 1e6 /
		       (double)(lwsloop_now_us(peerrpc_loop) - start_us));
	start_us = lwsloop_now_us(peerrpc_loop);
	for (size_t i = 1; i <= ROUND_TRIPS; i++) {
		peerrpc_notify(node_a.transport, &node_b.address, PEER_DIGEST,
			       &digest);
		RUN_UNTIL(node_b.notices == i);
		peerrpc_notify(node_b.transport, &node_a.address, PEER_DIGEST,
			       &digest);
		RUN_UNTIL(node_a.notices == i);
	}
	printf("UDP: %.1f us for a notice each way\n",
	       (double)(lwsloop_now_us(peerrpc_loop) - start_us) / ROUND_TRIPS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(replies_in_reverse_order_match_their_calls),
		TEST(duplicate_and_late_replies_are_dropped),
		TEST(reply_on_another_connection_is_dropped),
		TEST(error_or_malformed_reply_fails_one_call),
		TEST(connection_lost_in_reply_is_reopened),
		TEST(refused_differs_from_not_sent),
		TEST(dropped_call_is_not_reported),
		TEST(idle_client_connection_closes_and_opens_again),
		TEST(round_trips_are_measured),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
