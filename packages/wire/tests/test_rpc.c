/*
 * Tests that messages survive encoding and decoding unchanged, and that invalid
 * lengths, invalid record marks and corrupted bytes from a peer cause no
 * out-of-bounds access.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peer.h"
#include "rpc.h"

#define RANDOM_SEED 20260412U
#define RANDOM_ROUNDS 20000

static uint8_t buf[RPC_MESSAGE_MAX];

static size_t encode_fetch(uint32_t xid)
{
	struct peer_fetch args = { { 7, 9 }, "manifest" };

	return rpc_encode_call(buf, sizeof(buf), xid, PEER_FETCH,
			       (xdrproc_t)xdr_peer_fetch, &args, NULL);
}

static void call_round_trip(void **state)
{
	size_t len = encode_fetch(77);
	struct peer_fetch out = { 0 };
	struct rpc_header head;

	(void)state;
	assert_true(rpc_decode_header(buf, len, &head, NULL));
	assert_int_equal(head.kind, RPC_CALL);
	assert_int_equal(head.xid, 77);
	assert_int_equal(head.program, PEER_PROGRAM);
	assert_int_equal(head.version, PEER_V1);
	assert_int_equal(head.procedure, PEER_FETCH);
	assert_true(rpc_decode_body(buf, len, head.pos,
				    (xdrproc_t)xdr_peer_fetch, &out, NULL));
	assert_string_equal(out.name, "manifest");
	assert_int_equal(out.from.incarnation, 9);
	xdr_free((xdrproc_t)xdr_peer_fetch, &out);
}

static void replies_round_trip(void **state)
{
	const enum accept_stat stats[] = { PROG_UNAVAIL, PROG_MISMATCH,
					   PROC_UNAVAIL, GARBAGE_ARGS,
					   SYSTEM_ERR };
	struct peer_answer answer = { PEER_MOVED, { 1, 2 } };
	struct peer_answer out = { 0 };
	struct rpc_header head;
	size_t len = rpc_encode_reply(
		buf, sizeof(buf), 5, (xdrproc_t)xdr_peer_answer, &answer, NULL);

	(void)state;
	assert_true(rpc_decode_header(buf, len, &head, NULL));
	assert_int_equal(head.kind, RPC_REPLY);
	assert_int_equal(head.accepted, SUCCESS);
	assert_true(rpc_decode_body(buf, len, head.pos,
				    (xdrproc_t)xdr_peer_answer, &out, NULL));
	assert_int_equal(out.status, PEER_MOVED);
	for (size_t i = 0; i < sizeof(stats) / sizeof(stats[0]); i++) {
		len = rpc_encode_error_reply(buf, sizeof(buf), 6, stats[i],
					     NULL);
		assert_true(rpc_decode_header(buf, len, &head, NULL));
		assert_int_equal(head.accepted, stats[i]);
		assert_int_equal(head.xid, 6);
	}
}

/* Only the exact length is accepted. */
static void truncated_and_extended_messages_are_rejected(void **state)
{
	size_t len = encode_fetch(1);

	(void)state;
	for (size_t n = 0; n <= len + 4; n++) {
		uint8_t *copy = malloc(n ? n : 1);
		struct peer_fetch out = { 0 };
		struct rpc_header head;
		bool ok;

		memcpy(copy, buf, n);
		ok = rpc_decode_header(copy, n, &head, NULL) &&
		     rpc_decode_body(copy, n, head.pos,
				     (xdrproc_t)xdr_peer_fetch, &out, NULL);
		assert_int_equal(ok, n == len);
		if (ok)
			xdr_free((xdrproc_t)xdr_peer_fetch, &out);
		free(copy);
	}
}

static void encoding_stops_at_the_end_of_the_buffer(void **state)
{
	struct peer_body body = { 0 };
	struct err err = { 0 };
	uint8_t small[64];

	(void)state;
	body.bytes.bytes_len = 65;
	body.bytes.bytes_val = (char *)buf;
	assert_int_equal(rpc_encode_reply(small, sizeof(small), 1,
					  (xdrproc_t)xdr_peer_body, &body,
					  &err),
			 0);
	assert_int_equal(err.layer, ERR_WIRE);
	assert_int_equal(err.code, RPC_TOO_LONG);
}

struct received {
	size_t messages;
	size_t bytes;
	bool accept;
};

static bool count_message(void *arg, const uint8_t *msg, size_t len)
{
	struct received *s = arg;

	s->messages++;
	for (size_t i = 0; i < len; i++)
		s->bytes += msg[i];
	return s->accept;
}

static void records_are_reassembled_from_single_bytes(void **state)
{
	const uint8_t in[] = { 0x80, 0, 0,    2, 1, 2, 0, 0, 0,
			       1,    3, 0x80, 0, 0, 2, 4, 5 };
	struct received received = { 0, 0, true };
	struct rpc_stream *s = rpc_stream_create(count_message, &received);

	(void)state;
	for (size_t i = 0; i < sizeof(in); i++)
		assert_true(rpc_stream_feed(s, in + i, 1, NULL));
	assert_int_equal(received.messages, 2);
	assert_int_equal(received.bytes, 15);
	assert_false(rpc_stream_is_partial(s));
	assert_true(rpc_stream_feed(s, in, 5, NULL));
	assert_true(rpc_stream_is_partial(s));
	assert_int_equal(rpc_stream_fragment_left(s), 1);
	rpc_stream_destroy(s);
}

static void invalid_record_marks_are_rejected(void **state)
{
	const uint8_t empty[] = { 0x80, 0, 0, 0 };
	const uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff };
	/* A record of two fragments of 1 MiB each. */
	const uint8_t first_fragment[] = { 0, 0x10, 0, 0 };
	const uint8_t second_fragment[] = { 0x80, 0x10, 0, 0 };
	struct received received = { 0, 0, true };
	struct rpc_stream *s = rpc_stream_create(count_message, &received);
	struct err err = { 0 };

	(void)state;
	assert_false(rpc_stream_feed(s, empty, 4, &err));
	assert_int_equal(err.code, RPC_MALFORMED);
	rpc_stream_destroy(s);
	s = rpc_stream_create(count_message, &received);
	assert_false(rpc_stream_feed(s, huge, 4, &err));
	assert_int_equal(err.code, RPC_TOO_LONG);
	rpc_stream_destroy(s);
	s = rpc_stream_create(count_message, &received);
	assert_true(rpc_stream_feed(s, first_fragment, 4, &err));
	assert_true(rpc_stream_feed(s, buf, 1 << 20, &err));
	assert_false(rpc_stream_feed(s, second_fragment, 4, &err));
	assert_int_equal(err.code, RPC_TOO_LONG);
	rpc_stream_destroy(s);
}

static size_t encode_open(uint32_t xid)
{
	struct peer_header header = { "accept", "text/plain" };
	struct peer_open args = { 0 };

	args.kind = "book";
	args.method = "POST";
	args.target = "/booking/1";
	args.key = "1";
	args.request_id = "1-a";
	args.traceparent = "";
	args.headers.headers_len = 1;
	args.headers.headers_val = &header;
	args.first.first_len = 4;
	args.first.first_val = "body";
	return rpc_encode_call(buf, sizeof(buf), xid, PEER_OPEN,
			       (xdrproc_t)xdr_peer_open, &args, NULL);
}

/*
 * Decodes messages with four random bytes overwritten. The copy is allocated
 * with the exact length, so that AddressSanitizer detects an over-read.
 */
static void corrupted_messages_are_handled_safely(void **state)
{
	unsigned int seed = RANDOM_SEED;
	int decoded = 0;

	(void)state;
	printf("seed %u, %d rounds\n", RANDOM_SEED, RANDOM_ROUNDS);
	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		size_t len = encode_open(3);
		uint8_t *copy = malloc(len);
		struct peer_open out;
		struct rpc_header head;

		memset(&out, 0, sizeof(out));
		memcpy(copy, buf, len);
		for (int k = 0; k < 4; k++) {
			size_t at = (size_t)rand_r(&seed) % len;

			copy[at] = (uint8_t)rand_r(&seed);
		}
		if (rpc_decode_header(copy, len, &head, NULL) &&
		    rpc_decode_body(copy, len, head.pos,
				    (xdrproc_t)xdr_peer_open, &out, NULL)) {
			xdr_free((xdrproc_t)xdr_peer_open, &out);
			decoded++;
		}
		free(copy);
	}
	assert_in_range(decoded, 1, RANDOM_ROUNDS - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(call_round_trip),
		cmocka_unit_test(replies_round_trip),
		cmocka_unit_test(truncated_and_extended_messages_are_rejected),
		cmocka_unit_test(encoding_stops_at_the_end_of_the_buffer),
		cmocka_unit_test(records_are_reassembled_from_single_bytes),
		cmocka_unit_test(invalid_record_marks_are_rejected),
		cmocka_unit_test(corrupted_messages_are_handled_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
