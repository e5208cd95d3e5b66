#ifndef PER_NODES_H
#define PER_NODES_H

/* Two transports in one loop and raw sockets, for the tests of per. */

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
#include "per_int.h"

#define WAIT_MS 5000
#define CALL_US (2 * US_PER_S)
#define HELD_MAX 64

struct node {
	struct per *per;
	struct per_address address;
	struct per_question *held[HELD_MAX];
	size_t held_count;
	size_t served;
	size_t gone;
	size_t notices;
	bool hold;
};

struct outcome {
	int calls;
	enum per_failure failure;
	unsigned int instance;
};

/* Added to the monotonic clock of the loop. */
extern uint64_t per_clock_skip_us;

extern struct lop *per_loop;
extern struct node node_a;
extern struct node node_b;
extern uint8_t per_message[RPC_RECORD_MARK_BYTES + RPC_MESSAGE_MAX];

/* The condition is evaluated once for each step, since it may read. */
#define RUN_UNTIL(condition)                                                   \
	do {                                                                   \
		uint64_t end_us_ = lop_now_us(per_loop) + WAIT_MS * US_PER_MS; \
		bool done_;                                                    \
		while (!(done_ = (condition)) &&                               \
		       lop_now_us(per_loop) < end_us_)                         \
			lop_step(per_loop);                                    \
		assert_true(done_);                                            \
	} while (0)

/* Sockets of the test on the loopback address. */
int per_raw_socket(int type, struct sockaddr_in *addr, uint16_t port);

/* A listening socket of the test; its port goes to *at. */
int per_raw_listen(struct per_address *at, int backlog);
int per_raw_connect(const struct per_address *to);

/* Make and destroy a loop with the transports a and b. */
int per_setup(void **state);
int per_teardown(void **state);

/* Steps the loop for a time. */
void per_run_for(uint64_t ms);

/* Calls HELLO from a. Returns the handle. */
uint32_t per_hello(const struct per_address *to, unsigned int instance,
		   uint64_t timeout_us, struct outcome *o);
void per_expect_hello_works(void);

/* Encode a record into per_message; return its whole length. */
size_t per_hello_record(uint32_t xid, uint32_t procedure);
size_t per_answer_record(uint32_t xid);
void per_raw_send(int fd, size_t len);

/* Steps the loop until fd has bytes or has been closed. */
ssize_t per_raw_receive(int fd, uint8_t *buf, size_t size);
void per_expect_closed(int fd);

/* Accepts the call that is on its way and returns its socket. */
int per_accept_call(int listener, uint32_t *xid);

#define TEST(fn) cmocka_unit_test_setup_teardown(fn, per_setup, per_teardown)

#endif
