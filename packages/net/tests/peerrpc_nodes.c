#include "peerrpc_nodes.h"

#include <arpa/inet.h>
#include <string.h>

uint64_t peerrpc_clock_skip_us;
struct lwsloop *peerrpc_loop;
struct node node_a;
struct node node_b;
uint8_t peerrpc_message[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];

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
static void on_call(void *arg, struct peerrpc_question *q, uint32_t procedure,
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
		peerrpc_reply(n->transport, q, &chunk);
	else
		peerrpc_reply(n->transport, q, &answer);
}

static void on_gone(void *arg, struct peerrpc_question *q)
{
	(void)q;
	((struct node *)arg)->gone++;
}

static const struct peerrpc_events events = { on_lease, on_digest, on_strike,
					      on_call, on_gone };

static void on_reply(void *arg, enum peerrpc_failure failure, void *result)
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

int peerrpc_raw_socket(int type, struct sockaddr_in *addr, uint16_t port)
{
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons(port);
	inet_pton(AF_INET, "127.0.0.1", &addr->sin_addr);
	return socket(AF_INET, type, 0);
}

/* Opens a listening socket and stores its address in *at. */
int peerrpc_raw_listen(struct peerrpc_address *at, int backlog)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int fd = peerrpc_raw_socket(SOCK_STREAM, &addr, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	strcpy(at->ip, "127.0.0.1");
	at->port = ntohs(addr.sin_port);
	return fd;
}

int peerrpc_raw_connect(const struct peerrpc_address *to)
{
	struct sockaddr_in addr;
	int fd = peerrpc_raw_socket(SOCK_STREAM, &addr, to->port);

	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

static void create_node(struct node *n)
{
	memset(n, 0, sizeof(*n));
	close(peerrpc_raw_listen(&n->address, 1));
	n->transport =
		peerrpc_lws_create(peerrpc_loop, &n->address, &events, n, NULL);
	assert_non_null(n->transport);
}

static uint64_t mono_us_with_skip(void *arg)
{
	(void)arg;
	return clk_mono_us(clk_system()) + peerrpc_clock_skip_us;
}

static uint64_t system_random(void *arg)
{
	(void)arg;
	return clk_random(clk_system());
}

static const struct clk_ops clock_ops = { mono_us_with_skip, NULL,
					  system_random };
static const struct clk test_clock = { &clock_ops, NULL };

int peerrpc_setup(void **state)
{
	(void)state;
	peerrpc_clock_skip_us = 0;
	ctr_reset();
	peerrpc_loop = lwsloop_create(&test_clock, 0, NULL);
	assert_non_null(peerrpc_loop);
	tmr_every(lwsloop_timers(peerrpc_loop), lwsloop_now_us(peerrpc_loop),
		  5 * US_PER_MS, on_tick, NULL);
	create_node(&node_a);
	create_node(&node_b);
	return 0;
}

int peerrpc_teardown(void **state)
{
	(void)state;
	peerrpc_destroy(node_a.transport);
	peerrpc_destroy(node_b.transport);
	assert_int_equal(ctr_get(CTR_PEER_CONNECTIONS), 0);
	lwsloop_destroy(peerrpc_loop);
	return 0;
}

void peerrpc_run_for(uint64_t ms)
{
	uint64_t end_us = lwsloop_now_us(peerrpc_loop) + ms * US_PER_MS;

	while (lwsloop_now_us(peerrpc_loop) < end_us)
		lwsloop_run_once(peerrpc_loop);
}

uint32_t peerrpc_hello(const struct peerrpc_address *to, unsigned int instance,
		       uint64_t timeout_us, struct outcome *o)
{
	struct peer_hello args = { { instance, 1 } };

	memset(o, 0, sizeof(*o));
	return peerrpc_call(node_a.transport, to, PEER_HELLO, &args, timeout_us,
			    on_reply, o);
}

void peerrpc_expect_hello_works(void)
{
	struct outcome o;

	node_b.hold = false;
	peerrpc_hello(&node_b.address, 42, CALL_US, &o);
	RUN_UNTIL(o.calls);
	assert_int_equal(o.failure, PEERRPC_OK);
	assert_int_equal(o.instance, 42);
}

/* Encodes a call with its mark into peerrpc_message; returns its length. */
size_t peerrpc_hello_record(uint32_t xid, uint32_t procedure)
{
	struct peer_hello args = { { 5, 1 } };
	size_t len = rpc_encode_call(peerrpc_message + RPC_RECORD_MARK_BYTES,
				     RPC_MESSAGE_MAX, xid, procedure,
				     (xdrproc_t)xdr_peer_hello, &args, NULL);

	rpc_write_record_mark(peerrpc_message, len);
	return len + RPC_RECORD_MARK_BYTES;
}

size_t peerrpc_answer_record(uint32_t xid)
{
	struct peer_answer answer = { PEER_OK, { 6, 1 } };
	size_t len = rpc_encode_reply(
		peerrpc_message + RPC_RECORD_MARK_BYTES, RPC_MESSAGE_MAX, xid,
		(xdrproc_t)xdr_peer_answer, &answer, NULL);

	rpc_write_record_mark(peerrpc_message, len);
	return len + RPC_RECORD_MARK_BYTES;
}

void peerrpc_raw_send(int fd, size_t len)
{
	assert_int_equal(send(fd, peerrpc_message, len, MSG_NOSIGNAL), len);
}

/* Runs the event loop until fd has data or is closed. */
ssize_t peerrpc_raw_receive(int fd, uint8_t *buf, size_t size)
{
	ssize_t n = -1;

	RUN_UNTIL((n = recv(fd, buf, size, MSG_DONTWAIT)) >= 0 ||
		  errno != EAGAIN);
	return n;
}

void peerrpc_expect_closed(int fd)
{
	uint8_t byte[256];

	assert_true(peerrpc_raw_receive(fd, byte, sizeof(byte)) <= 0);
	close(fd);
}

/* Accepts a connection, reads its first call and stores the xid of the call. */
int peerrpc_accept_call(int listener, uint32_t *xid)
{
	uint8_t in[512];
	struct rpc_header head;
	ssize_t n;
	int fd = accept(listener, NULL, NULL);

	assert_true(fd >= 0);
	n = peerrpc_raw_receive(fd, in, sizeof(in));
	assert_true(n > RPC_RECORD_MARK_BYTES);
	assert_true(rpc_decode_header(in + RPC_RECORD_MARK_BYTES,
				      (size_t)n - RPC_RECORD_MARK_BYTES, &head,
				      NULL));
	*xid = head.xid;
	return fd;
}
