#include "raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* No answer may be awaited until the timeout of the call. */
#define CALL_TIMEOUT_US (20 * US_PER_S)
#define TEXT_MAX 256
#define REST "Content-Length: 2\r\n\r\nok"

static void on_head(void *arg, const struct upclient_response *response)
{
	struct raw_result *r = arg;

	r->heads++;
	r->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_end(void *arg)
{
	((struct raw_result *)arg)->ended = true;
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct raw_result *r = arg;

	r->failed = true;
	r->why = why;
}

static const struct upclient_events events = { on_head, on_body, on_end,
					       on_failed, NULL };

void raw_server_open(struct raw_server *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	memset(s, 0, sizeof(*s));
	s->fd = -1;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	assert_true(s->listener >= 0);
	assert_int_equal(bind(s->listener, (struct sockaddr *)&at, sizeof(at)),
			 0);
	assert_int_equal(listen(s->listener, 16), 0);
	getsockname(s->listener, (struct sockaddr *)&at, &len);
	s->port = ntohs(at.sin_port);
}

void raw_server_close(struct raw_server *s)
{
	if (s->fd >= 0)
		close(s->fd);
	close(s->listener);
}

/* Takes a new connection and answers the first bytes on it. */
static void serve(struct raw_server *s)
{
	char bytes[1024];
	int fd = accept4(s->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0) {
		if (s->fd >= 0)
			close(s->fd);
		s->fd = fd;
		s->answered = false;
	}
	if (s->fd < 0 || s->answered ||
	    recv(s->fd, bytes, sizeof(bytes), 0) <= 0)
		return;
	s->answered = true;
	assert_int_equal(send(s->fd, s->text, strlen(s->text), MSG_NOSIGNAL),
			 strlen(s->text));
}

static bool has_ended(void *arg)
{
	struct raw_result *r = arg;

	serve(r->server);
	return r->ended || r->failed;
}

/* Runs one request to its end. */
void raw_server_call(struct app *a, struct upclient *u, struct raw_server *s,
		     struct raw_result *r)
{
	struct upclient_request req = { .method = "GET",
					.target = "/",
					.end = true,
					.timeout_us = CALL_TIMEOUT_US };

	memset(r, 0, sizeof(*r));
	r->server = s;
	assert_true(upclient_start(u, &req, &events, r) != 0);
	app_run(a, has_ended, r);
}

/* The request may have run; what follows the line answers nothing. */
bool raw_server_line_is_lost(const char *line)
{
	char text[TEXT_MAX];
	struct raw_server s;
	struct raw_result r;
	struct upclient *u;
	struct app a;
	bool lost;

	app_open(&a, NULL);
	raw_server_open(&s);
	u = upclient_pool_create(a.loop, "127.0.0.1", s.port, 4, NULL);
	snprintf(text, sizeof(text), "%s\r\n" REST "HTTP/1.1 200 OK\r\n" REST,
		 line);
	s.text = text;
	raw_server_call(&a, u, &s, &r);
	lost = r.failed && r.heads == 0 && r.why == UPCLIENT_LOST;
	if (!lost)
		print_error("'%s': %d heads, status %d, failure %d\n", line,
			    r.heads, r.status, r.failed ? (int)r.why : -1);
	/* The same connection would not be answered again. */
	s.text = "HTTP/1.1 201 Created\r\n" REST;
	if (lost) {
		raw_server_call(&a, u, &s, &r);
		lost = r.ended && r.status == 201;
	}
	upclient_destroy(u);
	raw_server_close(&s);
	app_close(&a);
	return lost;
}
