#ifndef SKT_H
#define SKT_H

/*
 * Buffered, non-blocking TCP sockets. A socket reports received data, drained
 * output and the end of the connection through the callbacks of its user.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "buf.h"
#include "evl.h"

struct skt;

enum skt_end {
	SKT_EOF, /* orderly shutdown by the peer */
	SKT_RESET, /* connection reset, unreachable or timed out */
	SKT_REFUSED /* connection refused: no process listens */
};

struct skt_ops {
	/* Data was appended to skt_input(). */
	void (*on_input)(void *arg);
	/* All output has been passed to the kernel. May be NULL. */
	void (*on_drained)(void *arg);
	/* The connection has ended; the user must call skt_close(). */
	void (*on_end)(void *arg, enum skt_end why);
};

/* Parses "ADDRESS:PORT" with an IPv4 address. Returns false if invalid. */
bool skt_parse(const char *text, struct sockaddr_in *address);

/* Starts to connect. Returns NULL without a file descriptor or memory. */
struct skt *skt_connect(struct evl *l, const struct sockaddr_in *address,
			const struct skt_ops *ops, void *arg);

/* Takes ownership of an accepted fd. Closes it and returns NULL on failure. */
struct skt *skt_adopt(struct evl *l, int fd, const struct skt_ops *ops,
		      void *arg);

/* Closes and frees; discards unsent output. Safe inside a callback. */
void skt_close(struct skt *s);

/* Closes once the output has been sent. No more callbacks are made. */
void skt_close_after_output(struct skt *s);

/* Number of sockets in this process that are closing after their output. */
size_t skt_closing(void);

/* Received data that has not been consumed. */
struct buf *skt_input(struct skt *s);

/* Appends to the output and sends what the kernel accepts now. */
void skt_send(struct skt *s, const void *bytes, size_t len);

/* The output buffer; skt_flush() sends what was appended to it. */
struct buf *skt_output(struct skt *s);
void skt_flush(struct skt *s);

/* Pauses reading; an end of the connection is not noticed meanwhile. */
void skt_hold_input(struct skt *s, bool paused);

bool skt_is_connected(const struct skt *s);

/* True if any byte has been passed to the kernel. */
bool skt_has_sent(const struct skt *s);

/* Listening socket; passes each accepted fd to fn, which then owns it. */
struct skl;
typedef void (*skl_accept_fn)(void *arg, int fd);
struct skl *skl_create(struct evl *l, const char *address, skl_accept_fn fn,
		       void *arg, struct err *err);
void skl_destroy(struct skl *s);

#endif
