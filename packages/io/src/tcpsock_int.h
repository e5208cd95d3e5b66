#ifndef TCPSOCK_INT_H
#define TCPSOCK_INT_H

/* Private parts of sockets, shared by their source files. */

#include "tcplinger.h"
#include "tcpsock.h"

struct tcpsock {
	struct tcpsock *prev, *next; /* in the list of closing sockets */
	struct evloop *loop;
	const struct tcpsock_ops *ops;
	void *arg;
	ev_io read_watcher;
	ev_io write_watcher;
	struct buf in;
	struct buf out;
	int fd;
	bool in_callback; /* inside a callback; must not be freed yet */
	int connect_error; /* errno of a connect() that failed immediately */
	int send_error; /* errno of a send that failed, or 0 */
	bool connected;
	bool sent;
	bool resets; /* its close is a reset */
	uint64_t moved; /* bytes received and sent */
	uint64_t sent_us; /* time of the last output, while closing */
	bool closing; /* closes after its output; makes no callbacks */
	bool more_input; /* while closing, the peer may be sending */
	bool peer_closed; /* while closing, there is no more input */
	bool lingering; /* closing, and shut down for writing */
	struct tcplinger linger;
	uint32_t linger_timer;
	bool closed;
};

/* With a linger time of 0, close() and the end of the process reset. */
void tcpsock_set_resets(struct tcpsock *s, bool resets);

/* The output of a closing socket has been passed to the kernel. */
void tcpsock_begin_linger(struct tcpsock *s);

/* A closing socket has received input, or the end of it. */
void tcpsock_discard_input(struct tcpsock *s);
void tcpsock_end_input(struct tcpsock *s);

/* A closing socket is about to be closed. */
void tcpsock_end_closing(struct tcpsock *s);

#endif
