#ifndef TCPSOCK_H
#define TCPSOCK_H

/*
 * Buffered, non-blocking TCP sockets. A socket reports received data, drained
 * output and the end of the connection through the callbacks of its user.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "buf.h"
#include "evloop.h"

struct tcpsock;

enum tcpsock_end_reason {
	TCPSOCK_EOF, /* orderly shutdown by the peer */
	TCPSOCK_RESET, /* reset, unreachable, timed out, or sending failed */
	TCPSOCK_REFUSED /* connection refused: no process listens */
};

struct tcpsock_ops {
	/* Data was appended to tcpsock_input(). */
	void (*on_input)(void *arg);
	/* All output has been passed to the kernel. May be NULL. */
	void (*on_drained)(void *arg);
	/* The connection has ended; the user must call tcpsock_close(). */
	void (*on_end)(void *arg, enum tcpsock_end_reason why);
	/*
	 * If sending fails, deliver what was received before, then the end;
	 * while input is paused, neither. Otherwise the end comes at once.
	 */
	bool input_first;
};

/* Parses "ADDRESS:PORT" with an IPv4 address. Returns false if invalid. */
bool tcpsock_parse_address(const char *text, struct sockaddr_in *address);

/* Starts to connect. Returns NULL without a file descriptor or memory. */
struct tcpsock *tcpsock_connect(struct evloop *l,
				const struct sockaddr_in *address,
				const struct tcpsock_ops *ops, void *arg);

/* Takes ownership of an accepted fd. Closes it and returns NULL on failure. */
struct tcpsock *tcpsock_from_fd(struct evloop *l, int fd,
				const struct tcpsock_ops *ops, void *arg);

/* Closes and frees; discards unsent output. Safe inside a callback. */
void tcpsock_close(struct tcpsock *s);

/*
 * Makes the close a reset, also if the process ends. It discards what the
 * kernel has not sent yet: on a busy link a request would otherwise arrive
 * after its cancellation.
 */
void tcpsock_reset_on_close(struct tcpsock *s);

/*
 * Closes in order: sends the output, shuts the socket down for writing, and
 * closes it once the peer has acknowledged all or has closed its side. Input is
 * discarded meanwhile, and no more callbacks are made. more_input: the peer may
 * still be sending a request that the output answers.
 */
void tcpsock_close_after_output(struct tcpsock *s, bool more_input);

/* Number of sockets in this process that are closing after their output. */
size_t tcpsock_closing_count(void);

/*
 * Closes those among them whose output has made no progress for this time, and
 * returns their number.
 */
size_t tcpsock_drop_stalled(uint64_t stalled_us);

/*
 * Closes up to this many of those whose output the kernel has taken, the oldest
 * first; the kernel goes on sending it.
 */
void tcpsock_drop_lingering(size_t most);

/* Closes those of an event loop that is about to be destroyed. */
void tcpsock_close_all_closing(const struct evloop *l);

/* Number of open sockets in this process, without those that listen. */
size_t tcpsock_open_count(void);

/*
 * True if the peer has not acknowledged all output, including what the kernel
 * has taken. A close could lose it.
 */
bool tcpsock_has_unacked(const struct tcpsock *s);

/* Bytes received and sent so far. */
uint64_t tcpsock_moved_bytes(const struct tcpsock *s);

/* Received data that has not been consumed. */
struct buf *tcpsock_input(struct tcpsock *s);

/* Appends to the output and sends what the kernel accepts now. */
void tcpsock_send(struct tcpsock *s, const void *bytes, size_t len);

/* The output buffer; tcpsock_flush() sends what was appended to it. */
struct buf *tcpsock_output(struct tcpsock *s);
void tcpsock_flush(struct tcpsock *s);

/* Pauses reading; an end of the connection is not noticed meanwhile. */
void tcpsock_pause_input(struct tcpsock *s, bool paused);

bool tcpsock_is_connected(const struct tcpsock *s);

/*
 * True if the peer has closed or reset the connection, even if that or the data
 * before it has not been read yet.
 */
bool tcpsock_peer_has_closed(const struct tcpsock *s);

/* True if any byte has been passed to the kernel. */
bool tcpsock_has_sent(const struct tcpsock *s);

/* Errno of the first send that failed, or 0. */
int tcpsock_send_error(const struct tcpsock *s);

#endif
