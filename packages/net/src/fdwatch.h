#ifndef FDWATCH_H
#define FDWATCH_H

/*
 * Reports the events of sockets, edge-triggered, by an epoll instance that the
 * event loop polls. libwebsockets itself reports no errors of a socket.
 */

#include <stdbool.h>
#include <stdint.h>

#include "lwsloop.h"

struct fdwatch;

/*
 * entry is that of fdwatch_add(), events a set of EPOLLIN, EPOLLOUT,
 * EPOLLRDHUP, EPOLLHUP and EPOLLERR. Entries must not be freed within a call,
 * as further events may follow for any of them.
 */
typedef void (*fdwatch_fn)(void *entry, uint32_t events);

/* Returns NULL without a descriptor or memory. */
struct fdwatch *fdwatch_create(struct lwsloop *l, fdwatch_fn fn);

/* Not to be called by fn. Sockets that are still watched stay open. */
void fdwatch_destroy(struct fdwatch *w);

/* Watches a socket until it is closed; returns false on failure. */
bool fdwatch_add(struct fdwatch *w, int fd, void *entry);

#endif
