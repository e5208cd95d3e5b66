/*
 * Guards against a response that a server cuts and that its caller takes for a
 * whole one: to HTTP/1.0, a body without a length ends with the connection, so
 * only a response that is complete may end in an orderly close.
 */

#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "httpsrv.h"
#include "tcpsock.h"

#define ADDRESS "127.0.0.1:20141"
#define SHORT_BYTES 100
/* More than the buffers of both sockets. */
#define LONG_BYTES (16U << 20)
#define CUT_AFTER_US (50 * US_PER_MS)
#define CONNECT_TRIES 200
#define CONNECT_PAUSE_US 10000

/* What the server does behind the first bytes of the body. */
enum action {
	END, /* completes the response */
	ABORT, /* as if the upstream had cut it */
	STOP, /* destroys the server */
	KILL, /* its process ends */
	END_AND_KILL /* the same behind a complete response */
};

struct cut {
	const char *name;
	enum action action;
	size_t bytes;
	bool whole; /* the caller gets all of it, and an orderly close */
};

/* The server's process. */
struct server {
	struct evloop *loop;
	struct httpsrv *http;
	const struct cut *cut;
	struct httpconn *connection; /* NULL once it has ended */
};

/* Ends the response as the case has it. */
static void act(void *arg, uint64_t now_us)
{
	struct server *s = arg;

	(void)now_us;
	switch (s->cut->action) {
	case ABORT:
		if (s->connection)
			httpconn_abort(s->connection);
		return;
	case STOP:
		httpsrv_destroy(s->http);
		s->http = NULL;
		return;
	case KILL:
	case END_AND_KILL:
		raise(SIGKILL);
		return;
	case END:
	default:
		return;
	}
}

static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	struct server *s = arg;
	char *bytes = calloc(1, s->cut->bytes);

	(void)m;
	(void)body;
	httpconn_begin(c, 200, "", 0, -1);
	httpconn_write(c, bytes, s->cut->bytes);
	free(bytes);
	tmr_at(evloop_timers(s->loop), evloop_now_us(s->loop) + CUT_AFTER_US,
	       act, s);
	if (s->cut->action == END || s->cut->action == END_AND_KILL) {
		httpconn_end(c);
		return NULL;
	}
	s->connection = c;
	return s;
}

static void on_disconnect(void *request)
{
	struct server *s = request;

	s->connection = NULL;
}

static const struct httpsrv_ops server_ops = { on_request, on_disconnect,
					       NULL };

/* Serves until the process is killed. */
static void serve(const struct cut *cut)
{
	struct err err = { 0 };
	struct server s = { .cut = cut };

	s.loop = evloop_create(clk_system(), &err);
	s.http = httpsrv_create(s.loop, ADDRESS, &server_ops, &s, &err);
	if (!s.http)
		_exit(1);
	for (;;)
		evloop_run_once(s.loop, US_PER_S);
}

static int connect_client(void)
{
	struct sockaddr_in a;
	int fd;

	assert_true(tcpsock_parse_address(ADDRESS, &a));
	for (int i = 0; i < CONNECT_TRIES; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
			return fd;
		close(fd);
		usleep(CONNECT_PAUSE_US);
	}
	fail_msg("the server does not listen");
	return -1;
}

/* Returns true if the caller sees the end that it should. */
static bool check(const struct cut *cut)
{
	static const char request[] = "GET / HTTP/1.0\r\n\r\n";
	static char bytes[LONG_BYTES + 4096];
	pid_t pid = fork();
	size_t len = 0;
	const char *body;
	ssize_t n;
	int fd;

	assert_true(pid >= 0);
	if (pid == 0)
		serve(cut);
	fd = connect_client();
	assert_int_equal(send(fd, request, strlen(request), 0),
			 strlen(request));
	/* The response lies in the buffers when it is cut. */
	usleep(2 * CUT_AFTER_US);
	while ((n = recv(fd, bytes + len, sizeof(bytes) - len, 0)) > 0)
		len += (size_t)n;
	close(fd);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	body = memmem(bytes, len, "\r\n\r\n", 4);
	if (body)
		len -= (size_t)(body + 4 - bytes);
	if (cut->whole ? n == 0 && body && len == cut->bytes : n < 0)
		return true;
	print_error("%s: %zu of %zu bytes, %s\n", cut->name, len, cut->bytes,
		    n == 0 ? "closed in order" : "reset");
	return false;
}

static void only_a_complete_response_is_closed_in_order(void **state)
{
	static const struct cut cuts[] = {
		{ "short, complete", END, SHORT_BYTES, true },
		{ "long, complete", END, LONG_BYTES, true },
		{ "short, aborted", ABORT, SHORT_BYTES, false },
		{ "long, aborted", ABORT, LONG_BYTES, false },
		{ "short, server stopped", STOP, SHORT_BYTES, false },
		{ "long, server stopped", STOP, LONG_BYTES, false },
		{ "short, process killed", KILL, SHORT_BYTES, false },
		{ "long, process killed", KILL, LONG_BYTES, false },
		{ "short, complete, killed", END_AND_KILL, SHORT_BYTES, true },
		{ "long, unsent, killed", END_AND_KILL, LONG_BYTES, false },
	};
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++)
		wrong += !check(&cuts[i]);
	assert_int_equal(wrong, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_a_complete_response_is_closed_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
