#include "burst.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "attempts.h"

#define HEAD_MAX 2048
#define LEFT_MAX 4096

static int left_open[LEFT_MAX];
static size_t left_count;

struct caller {
	int fd; /* -1 once it is over */
	size_t len;
	char text[HEAD_MAX];
};

static void send_get(struct cluster *c, struct caller *caller, size_t node,
		     const char *format, size_t number)
{
	char target[128];
	char text[256];
	int len;

	memset(caller, 0, sizeof(*caller));
	caller->fd = raw_connect(cluster_http_port(c, node));
	snprintf(target, sizeof(target), format, number, number);
	len = snprintf(text, sizeof(text),
		       "GET %s HTTP/1.1\r\nHost: x\r\n"
		       "Connection: close\r\n\r\n",
		       target);
	if (caller->fd >= 0)
		send(caller->fd, text, (size_t)len, MSG_NOSIGNAL);
}

static enum burst_outcome judge(const struct caller *caller)
{
	if (!caller->len)
		return BURST_NONE;
	if (strstr(caller->text, "geranium-outcome: done"))
		return strncmp(caller->text, "HTTP/1.1 200", 12) == 0 ?
			       BURST_DONE :
			       BURST_OTHER;
	if (strstr(caller->text, "geranium-outcome: shed"))
		return BURST_SHED;
	if (strstr(caller->text, "geranium-outcome: not-run"))
		return BURST_NOT_RUN;
	if (strstr(caller->text, "geranium-outcome: unknown"))
		return BURST_UNKNOWN;
	return BURST_OTHER;
}

/* Takes bytes of an answer; true at its end. */
static bool read_answer(struct caller *caller)
{
	char rest[4096];
	size_t room = sizeof(caller->text) - 1 - caller->len;
	ssize_t n;

	n = room ? recv(caller->fd, caller->text + caller->len, room, 0) :
		   recv(caller->fd, rest, sizeof(rest), 0);
	if (n <= 0)
		return true;
	if (room)
		caller->len += (size_t)n;
	return false;
}

static void end_caller(struct caller *caller, uint64_t took_ms, struct burst *b)
{
	enum burst_outcome outcome = judge(caller);

	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
	b->count[outcome]++;
	if (outcome == BURST_SHED && !strcasestr(caller->text, "retry-after:"))
		b->without_delay++;
	if (took_ms > b->worst_ms)
		b->worst_ms = took_ms;
}

/* Sends the requests and waits for all answers. */
void burst_get(struct cluster *c, const char *format, size_t first,
	       size_t count, unsigned int limit_ms, struct burst *b)
{
	struct caller *callers = calloc(count, sizeof(*callers));
	struct pollfd polls[BURST_MAX];
	uint64_t began = cluster_now_ms();
	size_t left = count;

	if (!callers || count > BURST_MAX)
		exit(99);
	for (size_t i = 0; i < count; i++)
		send_get(c, &callers[i], (first + i) % cluster_nodes(c), format,
			 first + i);
	while (left && cluster_now_ms() - began < limit_ms) {
		for (size_t i = 0; i < count; i++) {
			polls[i].fd = callers[i].fd;
			polls[i].events = POLLIN;
			polls[i].revents = 0;
		}
		poll(polls, count, 20);
		if (b->step)
			b->step();
		for (size_t i = 0; i < count; i++) {
			if (!polls[i].revents || !read_answer(&callers[i]))
				continue;
			end_caller(&callers[i], cluster_now_ms() - began, b);
			left--;
		}
	}
	for (size_t i = 0; i < count; i++) {
		if (callers[i].fd >= 0)
			end_caller(&callers[i], limit_ms, b);
	}
	free(callers);
}

/* Starts requests without waiting for them. */
void burst_leave(struct cluster *c, const char *format, size_t first,
		 size_t count)
{
	struct caller caller;

	for (size_t i = 0; i < count && left_count < LEFT_MAX; i++) {
		send_get(c, &caller, (first + i) % cluster_nodes(c), format,
			 first + i);
		if (caller.fd >= 0)
			left_open[left_count++] = caller.fd;
	}
}

/* Closes the connections that were left open. */
void burst_forget(void)
{
	while (left_count)
		close(left_open[--left_count]);
}

/* Prints the results. */
void burst_print(const char *what, const struct burst *b)
{
	printf("%s: %zu done, %zu shed, %zu not-run, %zu unknown, %zu other, "
	       "%zu without answer, worst %d ms\n",
	       what, b->count[BURST_DONE], b->count[BURST_SHED],
	       b->count[BURST_NOT_RUN], b->count[BURST_UNKNOWN],
	       b->count[BURST_OTHER], b->count[BURST_NONE], (int)b->worst_ms);
}
