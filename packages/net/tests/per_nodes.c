#include "per_nodes.h"

#include <arpa/inet.h>
#include <string.h>

uint64_t per_clock_skip_us;
struct lop *per_loop;
struct node node_a;
struct node node_b;
uint8_t per_message[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];

static void on_lease(void *arg, const struct peer_lease *m)
{
	(void)m;
	((struct node *)arg)->notices++;
}

static void on_digest(void *arg, const struct peer_digest *m)
{
	(void)m;
	((struct node *)arg)->notices++;
}

static void on_strike(void *arg, const struct peer_strike *m)
{
	(void)m;
	((struct node *)arg)->notices++;
}

/* HELLO returns the instance of the sender, READ a chunk of maximum size. */
static void on_call(void *arg, struct per_question *q, uint32_t procedure,
		    const void *args)
{
	static char bytes[PEER_CHUNK_MAX];
	struct node *n = arg;
	struct peer_answer answer = { PEER_OK, { 0, 0 } };
	struct peer_chunk chunk = { 0 };

	n->served++;
	if (n->hold) {
		assert_true(n->held_count < HELD_MAX);
		n->held[n->held_count++] = q;
		return;
	}
	chunk.bytes.bytes_len = sizeof(bytes);
	chunk.bytes.bytes_val = bytes;
	answer.self = ((const struct peer_hello *)args)->from;
	if (procedure == PEER_READ)
		per_reply(n->transport, q, &chunk);
	else
		per_reply(n->transport, q, &answer);
}

static void on_gone(void *arg, struct per_question *q)
{
	(void)q;
	((struct node *)arg)->gone++;
}

static const struct per_events events = { on_lease, on_digest, on_strike,
					  on_call, on_gone };

static void on_reply(void *arg, enum per_failure failure, void *result)
{
	struct outcome *o = arg;

	o->calls++;
	o->failure = failure;
	if (result)
		o->instance = ((struct peer_answer *)result)->self.instance;
}

static void on_tick(void *arg, uint64_t now_us)
{
	(void)arg;
	(void)now_us;
}

int per_raw_socket(int type, struct sockaddr_in *addr, uint16_t port)
{
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons(port);
	inet_pton(AF_INET, "127.0.0.1", &addr->sin_addr);
	return socket(AF_INET, type, 0);
}

/* Opens a listening socket and stores its address in *at. */
int per_raw_listen(struct per_address *at, int backlog)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int fd = per_raw_socket(SOCK_STREAM, &addr, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	strcpy(at->ip, "127.0.0.1");
	at->port = ntohs(addr.sin_port);
	return fd;
}

int per_raw_connect(const struct per_address *to)
{
	struct sockaddr_in addr;
	int fd = per_raw_socket(SOCK_STREAM, &addr, to->port);

	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

static void create_node(struct node *n)
{
	memset(n, 0, sizeof(*n));
	close(per_raw_listen(&n->address, 1));
	n->transport = per_lws_create(per_loop, &n->address, &events, n, NULL);
	assert_non_null(n->transport);
}

static uint64_t mono_us_with_skip(void *arg)
{
	(void)arg;
	return clk_mono_us(clk_system()) + per_clock_skip_us;
}

static uint64_t system_random(void *arg)
{
	(void)arg;
	return clk_random(clk_system());
}

static const struct clk_ops clock_ops = { mono_us_with_skip, NULL,
					  system_random };
static const struct clk test_clock = { &clock_ops, NULL };

int per_setup(void **state)
{
	(void)state;
	per_clock_skip_us = 0;
	ctr_reset();
	per_loop = lop_create(&test_clock, 0, NULL);
	assert_non_null(per_loop);
	tmr_every(lop_timers(per_loop), lop_now_us(per_loop), 5 * US_PER_MS,
		  on_tick, NULL);
	create_node(&node_a);
	create_node(&node_b);
	return 0;
}

int per_teardown(void **state)
{
	(void)state;
	per_destroy(node_a.transport);
	per_destroy(node_b.transport);
	assert_int_equal(ctr_get(CTR_PEER_CONNECTIONS), 0);
	lop_destroy(per_loop);
	return 0;
}

void per_run_for(uint64_t ms)
{
	uint64_t end_us = lop_now_us(per_loop) + ms * US_PER_MS;

	while (lop_now_us(per_loop) < end_us)
		lop_step(per_loop);
}

uint32_t per_hello(const struct per_address *to, unsigned int instance,
		   uint64_t timeout_us, struct outcome *o)
{
	struct peer_hello args = { { instance, 1 } };

	memset(o, 0, sizeof(*o));
	return per_call(node_a.transport, to, PEER_HELLO, &args, timeout_us,
			on_reply, o);
}

void per_expect_hello_works(void)
{
	struct outcome o;

	node_b.hold = false;
	per_hello(&node_b.address, 42, CALL_US, &o);
	RUN_UNTIL(o.calls);
	assert_int_equal(o.failure, PER_OK);
	assert_int_equal(o.instance, 42);
}

/* Encodes a call with its mark into per_message; returns its length. */
size_t per_hello_record(uint32_t xid, uint32_t procedure)
{
	struct peer_hello args = { { 5, 1 } };
	size_t len = rpc_encode_call(per_message + RPC_RECORD_MARK_BYTES,
				     RPC_MESSAGE_MAX, xid, procedure,
				     (xdrproc_t)xdr_peer_hello, &args, NULL);

	rpc_write_record_mark(per_message, len);
	return len + RPC_RECORD_MARK_BYTES;
}

size_t per_answer_record(uint32_t xid)
{
	struct peer_answer answer = { PEER_OK, { 6, 1 } };
	size_t len = rpc_encode_reply(
		per_message + RPC_RECORD_MARK_BYTES, RPC_MESSAGE_MAX, xid,
		(xdrproc_t)xdr_peer_answer, &answer, NULL);

	rpc_write_record_mark(per_message, len);
	return len + RPC_RECORD_MARK_BYTES;
}

void per_raw_send(int fd, size_t len)
{
	assert_int_equal(send(fd, per_message, len, MSG_NOSIGNAL), len);
}

/* Runs the event loop until fd has data or is closed. */
ssize_t per_raw_receive(int fd, uint8_t *buf, size_t size)
{
	ssize_t n = -1;

	RUN_UNTIL((n = recv(fd, buf, size, MSG_DONTWAIT)) >= 0 ||
		  errno != EAGAIN);
	return n;
}

void per_expect_closed(int fd)
{
	uint8_t byte[256];

	assert_true(per_raw_receive(fd, byte, sizeof(byte)) <= 0);
	close(fd);
}

/* Accepts a connection, reads its first call and stores the xid of the call. */
int per_accept_call(int listener, uint32_t *xid)
{
	uint8_t in[512];
	struct rpc_header head;
	ssize_t n;
	int fd = accept(listener, NULL, NULL);

	assert_true(fd >= 0);
	n = per_raw_receive(fd, in, sizeof(in));
	assert_true(n > RPC_RECORD_MARK_BYTES);
	assert_true(rpc_decode_header(in + RPC_RECORD_MARK_BYTES,
				      (size_t)n - RPC_RECORD_MARK_BYTES, &head,
				      NULL));
	*xid = head.xid;
	return fd;
}
