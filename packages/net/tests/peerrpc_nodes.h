#ifndef PEERRPC_NODES_H
#define PEERRPC_NODES_H

/*
 * Fixture of the transport tests: two transports, an event loop, raw sockets.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <errno.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <unistd.h>

#include "ctr.h"
#include "peerrpc_int.h"

#define WAIT_MS 5000
#define CALL_US (2 * US_PER_S)
#define HELD_MAX 64

struct node {
	struct peerrpc *transport;
	struct peerrpc_address address;
	struct peerrpc_question *held[HELD_MAX];
	size_t held_count;
	size_t served;
	size_t gone;
	size_t notices;
	bool hold;
};

struct outcome {
	int calls;
	enum peerrpc_failure failure;
	unsigned int instance;
};

/* Added to the monotonic clock of the event loop, in microseconds. */
extern uint64_t peerrpc_clock_skip_us;

extern struct lwsloop *peerrpc_loop;
extern struct node node_a;
extern struct node node_b;
extern uint8_t peerrpc_message[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];

/*
 * The condition is evaluated once per iteration, as it may have side effects.
 */
#define RUN_UNTIL(condition)                                                \
	do {                                                                \
		uint64_t end_us_ =                                          \
			lwsloop_now_us(peerrpc_loop) + WAIT_MS * US_PER_MS; \
		bool done_;                                                 \
		while (!(done_ = (condition)) &&                            \
		       lwsloop_now_us(peerrpc_loop) < end_us_)              \
			lwsloop_run_once(peerrpc_loop);                     \
		assert_true(done_);                                         \
	} while (0)

/* Raw sockets on the loopback address. */
int peerrpc_raw_socket(int type, struct sockaddr_in *addr, uint16_t port);

/* Opens a listening socket and stores its address in *at. */
int peerrpc_raw_listen(struct peerrpc_address *at, int backlog);
int peerrpc_raw_connect(const struct peerrpc_address *to);

/* Create and destroy the event loop with node_a and node_b. */
int peerrpc_setup(void **state);
int peerrpc_teardown(void **state);

/* Runs the event loop for at least ms milliseconds. */
void peerrpc_run_for(uint64_t ms);

/* Calls HELLO from node_a; returns the handle of the call. */
uint32_t peerrpc_hello(const struct peerrpc_address *to, unsigned int instance,
		       uint64_t timeout_us, struct outcome *o);
void peerrpc_expect_hello_works(void);

/* Encode a record with its mark into peerrpc_message; return its length. */
size_t peerrpc_hello_record(uint32_t xid, uint32_t procedure);
size_t peerrpc_answer_record(uint32_t xid);
void peerrpc_raw_send(int fd, size_t len);

/* Runs the event loop until fd has data or is closed. */
ssize_t peerrpc_raw_receive(int fd, uint8_t *buf, size_t size);
void peerrpc_expect_closed(int fd);

/* Accepts a connection and reads its first call; returns the socket. */
int peerrpc_accept_call(int listener, uint32_t *xid);

#define TEST(fn) \
	cmocka_unit_test_setup_teardown(fn, peerrpc_setup, peerrpc_teardown)

#endif
