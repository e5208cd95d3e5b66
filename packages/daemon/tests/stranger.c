#include "stranger.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "attempts.h"
#include "rpc.h"

/* Ends the test program when a call cannot be made. */
static void check(bool ok)
{
	if (ok)
		return;
	fprintf(stderr, "a call to the peer port was not made\n");
	exit(99);
}

/* A process that is in no row and no member list. */
static const peer_proc stranger = { .instance = 999, .incarnation = 12345 };

static char *random_text(char *out, size_t max, unsigned int *seed)
{
	size_t len = (size_t)rand_r(seed) % max;

	for (size_t i = 0; i < len; i++)
		out[i] = (char)(' ' + rand_r(seed) % 95);
	out[len] = '\0';
	return out;
}

/* A call of OPEN that can be decoded, with texts that mean nothing. */
size_t stranger_open(uint8_t *out, size_t size, const peer_proc *to,
		     unsigned int *seed)
{
	static char texts[4][60];
	struct peer_header header = { random_text(texts[0], 50, seed), "x" };
	struct peer_open a = { .from = stranger,
			       .to = *to,
			       .service = 1,
			       .method = "GET",
			       .traceparent = texts[0] };
	uint32_t xid;

	/* One draw a statement: the order within an initializer is open. */
	a.stream = (uint64_t)rand_r(seed) % 4;
	a.part = (1ull << 32) + (rand_r(seed) % 80);
	a.kind = rand_r(seed) % 2 ? "history" : "deposit";
	a.target = random_text(texts[1], 50, seed);
	a.key = random_text(texts[2], 50, seed);
	a.request_id = random_text(texts[3], 50, seed);
	a.deadline_left_ms = (u_int)rand_r(seed);
	a.content_length = rand_r(seed) % 3 - 1;
	a.end = rand_r(seed) % 2;
	xid = (uint32_t)rand_r(seed);
	a.headers.headers_val = &header;
	a.headers.headers_len = 1;
	return rpc_encode_call(out, size, xid, PEER_OPEN,
			       (xdrproc_t)xdr_peer_open, &a, NULL);
}

/* A call of HANDOVER with a window of any text. */
size_t stranger_handover(uint8_t *out, size_t size, const peer_proc *to,
			 const char *window)
{
	struct peer_handover a = { .from = stranger,
				   .to = *to,
				   .part = 1ull << 32 };

	a.window.window_val = (char *)window;
	a.window.window_len = (u_int)strlen(window);
	return rpc_encode_call(out, size, 1, PEER_HANDOVER,
			       (xdrproc_t)xdr_peer_handover, &a, NULL);
}

/* The process of a node, as it answers to HELLO. */
peer_proc stranger_ask(struct cluster *c, size_t node)
{
	struct peer_hello hello = { .from = stranger };
	struct peer_answer answer = { 0 };
	struct rpc_header head;
	uint8_t data[256];
	size_t len = rpc_encode_call(data + RPC_RECORD_MARK_BYTES, 200, 1,
				     PEER_HELLO, (xdrproc_t)xdr_peer_hello,
				     &hello, NULL);
	int fd = raw_connect(cluster_peer_port(c, node));
	ssize_t n;

	rpc_write_record_mark(data, len);
	check(send(fd, data, len + RPC_RECORD_MARK_BYTES, MSG_NOSIGNAL) > 0);
	n = recv(fd, data, sizeof(data), 0);
	check(n > RPC_RECORD_MARK_BYTES);
	len = (size_t)n - RPC_RECORD_MARK_BYTES;
	check(rpc_decode_header(data + RPC_RECORD_MARK_BYTES, len, &head,
				NULL));
	check(rpc_decode_body(data + RPC_RECORD_MARK_BYTES, len, head.pos,
			      (xdrproc_t)xdr_peer_answer, &answer, NULL));
	close(fd);
	return answer.self;
}
