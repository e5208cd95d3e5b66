#include "upclient_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * libwebsockets reports "Unable to connect" for every reason. Only a refused
 * connection proves that there is no listener, so the failed connect is
 * repeated with a plain socket to learn the reason.
 */

/* Interval and maximum number of polls for the result of the connect. */
#define POLL_INTERVAL_US (2 * US_PER_MS)
#define POLLS_MAX 100

/*
 * Starts a non-blocking connect; returns the descriptor, or -1 with errno set.
 */
static int open_probe(const struct upclient_lws *u)
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

/* Polls the result of the connect and reports the failure of the call. */
static void poll_probe(void *arg, uint64_t now_us)
{
	struct upclient_call *c = arg;
	struct pollfd p = { .fd = c->probe_fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;

	c->report_timer = 0;
	if (poll(&p, 1, 0) == 0 && --c->probe_polls_left > 0) {
		c->report_timer =
			tmr_at(lwsloop_timers(c->pool->loop),
			       now_us + POLL_INTERVAL_US, poll_probe, c);
		if (c->report_timer)
			return;
	}
	getsockopt(c->probe_fd, SOL_SOCKET, SO_ERROR, &error, &len);
	upclient_call_fail(c, error == ECONNREFUSED ? UPCLIENT_REFUSED :
						      UPCLIENT_NOT_SENT);
}

/*
 * Probes why no connection could be opened, then fails the call with
 * UPCLIENT_REFUSED or UPCLIENT_NOT_SENT.
 */
void upclient_probe(struct upclient_call *c)
{
	c->probe_fd = open_probe(c->pool);
	if (c->probe_fd < 0) {
		upclient_call_fail(c, errno == ECONNREFUSED ?
					      UPCLIENT_REFUSED :
					      UPCLIENT_NOT_SENT);
		return;
	}
	c->probe_polls_left = POLLS_MAX;
	c->report_timer = tmr_at(lwsloop_timers(c->pool->loop),
				 lwsloop_now_us(c->pool->loop), poll_probe, c);
	if (!c->report_timer)
		upclient_call_fail(c, UPCLIENT_NOT_SENT);
}
