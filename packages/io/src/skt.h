#ifndef SKT_H
#define SKT_H

/*
 * Buffered TCP sockets that do not block. A socket reports bytes, writable
 * room and its end to the table of functions of its user.
 */

#include <stdbool.h>
#include <stdint.h>
#include <netinet/in.h>

#include "buf.h"
#include "evl.h"

struct skt;

enum skt_end {
	SKT_EOF, /* the other side closed in order */
	SKT_RESET, /* reset, unreachable or timed out */
	SKT_REFUSED /* no process listens at the address */
};

struct skt_ops {
	/* Bytes were added to skt_input(). */
	void (*on_input)(void *arg);
	/* The output has been handed to the system. May be NULL. */
	void (*on_drained)(void *arg);
	/* Nothing more comes; the user calls skt_close(). */
	void (*on_end)(void *arg, enum skt_end why);
};

/* Reads "ADDRESS:PORT" with an IPv4 address. */
bool skt_parse(const char *text, struct sockaddr_in *address);

/* Starts a connection; NULL if there is no descriptor. */
struct skt *skt_connect(struct evl *l, const struct sockaddr_in *address,
			const struct skt_ops *ops, void *arg);

/* Takes over an accepted descriptor; closes it and returns NULL on failure. */
struct skt *skt_adopt(struct evl *l, int fd, const struct skt_ops *ops,
		      void *arg);

/* Closes and frees; output that was not sent is lost. Safe in a callback. */
void skt_close(struct skt *s);

/* Closes once the output has been sent; no callback comes any more. */
void skt_close_after_output(struct skt *s);

/* Number of sockets of this process that close after their output. */
size_t skt_closing(void);

struct buf *skt_input(struct skt *s);

/* Adds to the output and sends what the system takes now. */
void skt_send(struct skt *s, const void *bytes, size_t len);

/* Adds to the output; skt_flush() sends it. */
struct buf *skt_output(struct skt *s);
void skt_flush(struct skt *s);

/* While held, nothing is read and the end of the other side is not seen. */
void skt_hold_input(struct skt *s, bool held);

/* True once connected. */
bool skt_is_connected(const struct skt *s);

/* True if any byte has been handed to the system. */
bool skt_has_sent(const struct skt *s);

/* Listening socket. */
struct skl;
typedef void (*skl_accept_fn)(void *arg, int fd);
struct skl *skl_create(struct evl *l, const char *address, skl_accept_fn fn,
		       void *arg, struct err *err);
void skl_destroy(struct skl *s);

#endif
