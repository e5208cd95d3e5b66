/*
 * Guards against a reply of another daemon that is lost although all of it had
 * arrived before its connection was reset, and against a part of a reply that
 * is taken for a whole one.
 */

#include "peerrpc_nodes.h"

#include <string.h>

/* More than the buffers of both sockets, below the limit of a queue. */
#define UPLOADS 110

/* Sends the first bytes of the reply to the call and resets the connection. */
static void reply_and_reset(int fd, uint32_t xid, size_t missing)
{
	const struct linger none = { .l_onoff = 1, .l_linger = 0 };
	size_t len = peerrpc_answer_record(xid);

	peerrpc_raw_send(fd, len - missing);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(fd);
}

static void on_answer(void *arg, enum peerrpc_failure failure, void *result)
{
	struct outcome *o = arg;

	(void)result;
	o->calls++;
	o->failure = failure;
}

/* Queues more than the kernel takes behind the calls made so far. */
static void fill_output(const struct peerrpc_address *to, struct outcome *o)
{
	static char bytes[PEER_CHUNK_MAX];
	struct peer_data args = { .from = { 1, 1 } };

	memset(o, 0, sizeof(*o));
	args.bytes.bytes_len = sizeof(bytes);
	args.bytes.bytes_val = bytes;
	for (int i = 0; i < UPLOADS; i++)
		assert_int_not_equal(peerrpc_call(node_a.transport, to,
						  PEER_DATA, &args, CALL_US,
						  on_answer, o),
				     0);
}

/* A call that is answered in front of a reset. */
struct played {
	struct outcome answered;
	struct outcome later; /* of a call behind it, if any */
};

static void play(bool calls_again, bool fills, size_t missing, struct played *p)
{
	struct peerrpc_address at = { 0 };
	int listener = peerrpc_raw_listen(&at, 4);
	uint32_t xid;
	int fd;

	memset(p, 0, sizeof(*p));
	peerrpc_hello(&at, 1, CALL_US, &p->answered);
	fd = peerrpc_accept_call(listener, &xid);
	if (fills) {
		fill_output(&at, &p->later);
		peerrpc_run_for(20);
	}
	reply_and_reset(fd, xid, missing);
	if (calls_again)
		peerrpc_hello(&at, 2, CALL_US, &p->later);
	RUN_UNTIL(p->answered.calls);
	if (calls_again)
		RUN_UNTIL(p->later.calls);
	if (fills)
		RUN_UNTIL(p->later.calls == UPLOADS);
	close(listener);
	peerrpc_expect_hello_works();
}

static void a_reply_in_front_of_a_reset_is_received(void **state)
{
	struct played p;

	(void)state;
	play(false, false, 0, &p);
	assert_int_equal(p.answered.failure, PEERRPC_OK);
	assert_int_equal(p.answered.instance, 6);
}

/* The send of the next call finds the reset. */
static void a_failed_send_loses_no_reply(void **state)
{
	struct played p;

	(void)state;
	play(true, false, 0, &p);
	assert_int_equal(p.answered.failure, PEERRPC_OK);
	assert_int_equal(p.answered.instance, 6);
	assert_int_equal(p.later.failure, PEERRPC_NOT_SENT);
}

/* The event for queued output comes together with that for the reply. */
static void queued_calls_lose_no_reply(void **state)
{
	struct played p;

	(void)state;
	play(false, true, 0, &p);
	assert_int_equal(p.answered.failure, PEERRPC_OK);
	assert_int_equal(p.answered.instance, 6);
	assert_true(p.later.failure == PEERRPC_NOT_SENT ||
		    p.later.failure == PEERRPC_LOST);
}

static void a_part_of_a_reply_is_lost(void **state)
{
	struct played p;

	(void)state;
	for (int i = 0; i < 3; i++) {
		play(i == 1, i == 2, 1, &p);
		assert_int_equal(p.answered.failure, PEERRPC_LOST);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(a_reply_in_front_of_a_reset_is_received),
		TEST(a_failed_send_loses_no_reply),
		TEST(queued_calls_lose_no_reply),
		TEST(a_part_of_a_reply_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
