/*
 * Guards against a response that is reported as complete although its
 * connection was reset in its middle, or although it is not valid HTTP, against
 * a complete one that is lost because of a reset behind it, and against a
 * connection that is used again after any of these.
 */

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_test.h"
#include "upclient.h"

#define CALL_TIMEOUT_US (5 * US_PER_S)
#define IDLE_US (10 * US_PER_MS)
#define UPLOAD_BYTES (16U << 20)
#define TAKEN_BYTES (1U << 20)
#define TEXT_MAX 1024

#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 4\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

enum ending {
	KEEP, /* the connection stays open */
	CLOSE,
	RESET
};

struct answer {
	const char *text;
	enum ending ending;
	bool whole;
};

/* A server that answers the head of each request with one text. */
struct server {
	int listener;
	uint16_t port;
	int fd; /* of the last connection, -1 for none */
	const struct answer *answer;
	size_t wait; /* bytes of the request before the answer */
	size_t taken;
	bool answered;
	uint32_t connections;
};

struct result {
	struct server *server;
	int status;
	char body[TEXT_MAX];
	size_t len;
	bool ended;
	bool failed;
	enum upclient_failure why;
};

static void on_head(void *arg, const struct upclient_response *response)
{
	struct result *r = arg;

	r->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct result *r = arg;

	assert_true(r->len + len <= sizeof(r->body));
	memcpy(r->body + r->len, data, len);
	r->len += len;
}

static void on_end(void *arg)
{
	((struct result *)arg)->ended = true;
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct result *r = arg;

	r->failed = true;
	r->why = why;
}

static const struct upclient_events events = { on_head, on_body, on_end,
					       on_failed, NULL };

static void open_server(struct server *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	memset(s, 0, sizeof(*s));
	s->fd = -1;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	assert_int_equal(bind(s->listener, (struct sockaddr *)&at, sizeof(at)),
			 0);
	assert_int_equal(listen(s->listener, 16), 0);
	getsockname(s->listener, (struct sockaddr *)&at, &len);
	s->port = ntohs(at.sin_port);
}

static void end_connection(struct server *s, bool reset)
{
	const struct linger none = { .l_onoff = 1, .l_linger = 0 };

	if (s->fd < 0)
		return;
	if (reset)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(s->fd);
	s->fd = -1;
}

/* Takes a connection, and what comes on it; answers once there is enough. */
static void serve(struct server *s)
{
	static char bytes[TAKEN_BYTES];
	int fd = accept4(s->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	ssize_t n;

	if (fd >= 0) {
		end_connection(s, true);
		s->fd = fd;
		s->answered = false;
		s->taken = 0;
		s->connections++;
	}
	if (s->fd < 0 || s->answered)
		return;
	n = recv(s->fd, bytes, sizeof(bytes), 0);
	s->taken += n > 0 ? (size_t)n : 0;
	if (s->taken < s->wait || s->taken == 0)
		return;
	s->answered = true;
	assert_int_equal(send(s->fd, s->answer->text, strlen(s->answer->text),
			      MSG_NOSIGNAL),
			 strlen(s->answer->text));
	if (s->answer->ending == CLOSE)
		shutdown(s->fd, SHUT_WR);
	else if (s->answer->ending == RESET)
		end_connection(s, true);
}

static bool has_ended(void *arg)
{
	struct result *r = arg;

	serve(r->server);
	return r->ended || r->failed;
}

/* Runs a request without a body, or an upload. */
static void run_call(struct app *a, struct upclient *u, struct server *s,
		     bool upload, struct result *r)
{
	static char body[UPLOAD_BYTES];
	struct upclient_request req = { .method = upload ? "PUT" : "GET",
					.target = "/",
					.timeout_us = CALL_TIMEOUT_US,
					.end = true };

	if (upload) {
		req.content_length = UPLOAD_BYTES;
		req.first = body;
		req.first_len = UPLOAD_BYTES;
	}
	memset(r, 0, sizeof(*r));
	r->server = s;
	s->wait = upload ? TAKEN_BYTES : 1;
	assert_true(upclient_start(u, &req, &events, r) != 0);
	app_run(a, has_ended, r);
}

/* True if the call ended as it should and the next one connects anew. */
static bool check(struct app *a, struct server *s, const struct answer *answer,
		  bool upload)
{
	static const struct answer good = { OK LENGTH "good", KEEP, true };
	struct upclient *u =
		upclient_pool_create(a->loop, "127.0.0.1", s->port, 4, NULL);
	struct result first, next;
	bool right;

	s->answer = answer;
	run_call(a, u, s, upload, &first);
	/* An idle connection that is closed is noticed here. */
	app_run_for(a, IDLE_US);
	s->answer = &good;
	run_call(a, u, s, false, &next);
	right = answer->whole ? first.ended && first.len == 4 :
				first.failed && (first.why == UPCLIENT_LOST ||
						 first.why == UPCLIENT_BROKEN);
	right = right && next.ended && next.len == 4 &&
		memcmp(next.body, "good", 4) == 0;
	if (!right)
		print_error("'%s', %s, %s: %s %d, %zu bytes; next: %s\n",
			    answer->text, upload ? "upload" : "no body",
			    answer->ending == RESET ? "reset" :
			    answer->ending == CLOSE ? "closed" :
						      "open",
			    first.ended ? "complete" : "failed",
			    first.ended ? first.status : (int)first.why,
			    first.len, next.ended ? "complete" : "failed");
	upclient_destroy(u);
	return right;
}

/* Returns the number of answers that have another outcome than they should. */
static size_t count_wrong(const struct answer *answers, size_t count,
			  bool uploads)
{
	struct server s;
	struct app a;
	size_t wrong = 0;

	app_open(&a, NULL);
	open_server(&s);
	for (size_t i = 0; i < count; i++) {
		wrong += !check(&a, &s, &answers[i], false);
		wrong += uploads && !check(&a, &s, &answers[i], true);
	}
	end_connection(&s, true);
	close(s.listener);
	app_close(&a);
	return wrong;
}

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

static void a_response_ends_by_its_framing(void **state)
{
	static const struct answer answers[] = {
		{ OK LENGTH "part", RESET, true },
		{ OK LENGTH "part", CLOSE, true },
		{ OK CHUNKED "4\r\npart\r\n0\r\n\r\n", RESET, true },
		{ OK CHUNKED "4\r\npart\r\n0\r\n\r\n", CLOSE, true },
		{ OK "Content-Length: 5\r\n\r\npart", RESET, false },
		{ OK "Content-Length: 5\r\n\r\npart", CLOSE, false },
		{ OK CHUNKED "4\r\npart\r\n", RESET, false },
		{ OK CHUNKED "4\r\npart\r\n", CLOSE, false },
		{ OK CHUNKED "4\r\npart\r\n0\r\n", RESET, false },
		{ OK CHUNKED "4\r\npart\r\n0\r\n", CLOSE, false },
		{ OK CHUNKED "4\r\npa", RESET, false },
		{ OK CHUNKED, RESET, false },
		{ OK CHUNKED, CLOSE, false },
		{ OK "\r\npart", RESET, false },
		{ OK "\r\n", RESET, false },
		{ OK, RESET, false },
		{ OK, CLOSE, false },
	};

	(void)state;
	assert_int_equal(count_wrong(answers, COUNT(answers), true), 0);
}

/* One line of each kind; io/test_message_lines has them all. */
static void an_invalid_message_is_no_response(void **state)
{
	static const struct answer answers[] = {
		{ "HTTP/1.1 000 None\r\n" LENGTH "part", KEEP, false },
		{ "HTTP/1.1  200 OK\r\n" LENGTH "part", KEEP, false },
		{ "HTTP/1.1 200 O\001K\r\n" LENGTH "part", KEEP, false },
		{ "HTTP/1.1 200 O\rK\r\n" LENGTH "part", KEEP, false },
		{ OK "X Y: 1\r\n" LENGTH "part", KEEP, false },
		{ OK "Content-Length : 4\r\n" LENGTH "part", KEEP, false },
		{ OK "Transfer-Encoding : chunked\r\n" LENGTH "part", KEEP,
		  false },
		{ OK "X\001Y: 1\r\n" LENGTH "part", KEEP, false },
		{ OK "X(Y): 1\r\n" LENGTH "part", KEEP, false },
		{ OK "X\200: 1\r\n" LENGTH "part", KEEP, false },
		{ OK ": 1\r\n" LENGTH "part", KEEP, false },
		{ OK "X\r\n" LENGTH "part", KEEP, false },
		{ OK " X: 1\r\n" LENGTH "part", KEEP, false },
		{ OK "X: 1\r\n folded\r\n" LENGTH "part", KEEP, false },
		{ OK "X: \001\r\n" LENGTH "part", KEEP, false },
		{ OK "X:\rpart\r\n" LENGTH "part", KEEP, false },
		{ OK "X: 1\r\n\rX" LENGTH "part", KEEP, false },
		{ OK "Content-Length: 4\r\nContent-Length: 3\r\n\r\npart", KEEP,
		  false },
		{ OK "Content-Length: 4x\r\n\r\npart", KEEP, false },
		{ OK "Content-Length: 4\r\n" CHUNKED "4\r\npart\r\n0\r\n\r\n",
		  KEEP, false },
		{ OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
		     "4\r\npart\r\n0\r\n\r\n",
		  KEEP, false },
		{ OK CHUNKED "4\r\npartXX0\r\n\r\n", KEEP, false },
		{ OK CHUNKED "3\r\npart0\r\n\r\n", KEEP, false },
		{ OK CHUNKED "4\r\npart\r\n0\r\nX Y: 1\r\n\r\n", KEEP, false },
		{ OK "X: 1\r\n" LENGTH "part", CLOSE, true },
		{ OK "x:1\r\ncontent-length:4\r\n\r\npart", CLOSE, true },
	};

	(void)state;
	assert_int_equal(count_wrong(answers, COUNT(answers), false), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_response_ends_by_its_framing),
		cmocka_unit_test(an_invalid_message_is_no_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
