#ifndef TCPLISTEN_H
#define TCPLISTEN_H

/* Listening TCP sockets. */

#include "err.h"
#include "evloop.h"

/* Passes each accepted fd to fn, which then owns it. */
struct tcplisten;
typedef void (*tcplisten_accept_fn)(void *arg, int fd);
struct tcplisten *tcplisten_create(struct evloop *l, const char *address,
				   tcplisten_accept_fn fn, void *arg,
				   struct err *err);
void tcplisten_destroy(struct tcplisten *s);

#endif
