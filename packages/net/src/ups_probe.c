#include "ups_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * libwebsockets reports "Unable to connect" for every reason. Only a refusal
 * proves that nothing listens, so that a connection of our own finds it out.
 */

/* The result is looked at this often, and for this many times. */
#define LOOK_US (2 * US_PER_MS)
#define LOOKS 100

/* Opens the connection; returns its descriptor, -1 with errno. */
static int open_probe(const struct ups_lws *u)
{
	struct sockaddr_storage at = { 0 };
	struct sockaddr_in *v4 = (struct sockaddr_in *)&at;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&at;
	int fd;

	errno = EINVAL;
	if (inet_pton(AF_INET, u->address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(u->port);
	} else if (inet_pton(AF_INET6, u->address, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(u->port);
	} else {
		return -1;
	}
	fd = socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

static void look(void *arg, uint64_t now_us)
{
	struct ups_call *c = arg;
	struct pollfd p = { .fd = c->probe_fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;

	c->report = 0;
	if (poll(&p, 1, 0) == 0 && --c->probe_left > 0) {
		c->report = tmr_at(lop_timers(c->pool->loop), now_us + LOOK_US,
				   look, c);
		if (c->report)
			return;
	}
	getsockopt(c->probe_fd, SOL_SOCKET, SO_ERROR, &error, &len);
	ups_call_fail(c, error == ECONNREFUSED ? UPS_REFUSED : UPS_NOT_SENT);
}

/* Starts the connection, and a timer that looks at its result. */
void ups_probe(struct ups_call *c)
{
	c->probe_fd = open_probe(c->pool);
	if (c->probe_fd < 0) {
		ups_call_fail(c, errno == ECONNREFUSED ? UPS_REFUSED :
							 UPS_NOT_SENT);
		return;
	}
	c->probe_left = LOOKS;
	c->report = tmr_at(lop_timers(c->pool->loop), lop_now_us(c->pool->loop),
			   look, c);
	if (!c->report)
		ups_call_fail(c, UPS_NOT_SENT);
}
