#include "net_test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The event loop wakes at this interval, so that the raw sockets are polled. */
#define TICK_US (2 * US_PER_MS)

#define BLOCK_BYTES 65536

/* State of a request to the test server. */
struct request_state {
	struct app *app;
	struct websrv_req *req;
	size_t bytes_left; /* bytes of the /big response not written yet */
	size_t bytes_received; /* body bytes received */
	uint32_t timer;
	bool echo;
	bool sink;
};

static void tick(void *arg, uint64_t now_us)
{
	(void)arg;
	(void)now_us;
}

static void write_big_body(struct request_state *j)
{
	static char piece[BLOCK_BYTES];
	bool more = true;

	memset(piece, 'b', sizeof(piece));
	while (more && j->bytes_left > 0) {
		size_t n = j->bytes_left < BLOCK_BYTES ? j->bytes_left :
							 BLOCK_BYTES;

		j->bytes_left -= n;
		more = websrv_write(j->req, piece, n, j->bytes_left == 0);
	}
}

static void reply_late(void *arg, uint64_t now_us)
{
	struct request_state *j = arg;

	(void)now_us;
	j->timer = 0;
	websrv_reply(j->req, 200, NULL, 0, "late", 4);
}

static void copy_text(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

/* Acts by path; the query is a number of bytes or milliseconds, or a status. */
static void start_request(struct request_state *j, const char *path,
			  const char *query)
{
	static const struct websrv_header headers[] = { { "etag", "\"1\"" } };
	unsigned long n = strtoul(query, NULL, 10);

	if (strcmp(path, "/big") == 0) {
		j->bytes_left = n;
		websrv_respond(j->req, 200, NULL, 0, (long long)n);
		write_big_body(j);
	} else if (strcmp(path, "/slow") == 0) {
		j->timer = tmr_at(lwsloop_timers(j->app->loop),
				  lwsloop_now_us(j->app->loop) + n * US_PER_MS,
				  reply_late, j);
	} else if (strcmp(path, "/cut") == 0) {
		websrv_respond(j->req, 200, NULL, 0,
			       n ? (long long)n : WEBSRV_LENGTH_UNKNOWN);
		websrv_write(j->req, "abcde", 5, false);
		websrv_abort(j->req);
	} else if (strcmp(path, "/status") == 0) {
		websrv_reply(j->req, (int)n, headers, 1, NULL, 0);
	} else if (strcmp(path, "/echo") == 0) {
		j->echo = true;
		websrv_respond(j->req, 200, NULL, 0, WEBSRV_LENGTH_UNKNOWN);
	} else if (strcmp(path, "/hold") == 0) {
		j->app->held = j->req;
	} else if (strcmp(path, "/sink") == 0) {
		j->sink = true;
	} else {
		websrv_reply(j->req, 200, headers, 1, "hello", 5);
	}
}

static void on_head(void *arg, struct websrv_req *r)
{
	struct app *a = arg;
	struct request_state *j = calloc(1, sizeof(*j));

	assert_non_null(j);
	a->heads++;
	j->app = a;
	j->req = r;
	websrv_set_user(r, j);
	copy_text(a->method, sizeof(a->method), websrv_method(r));
	copy_text(a->path, sizeof(a->path), websrv_path(r));
	copy_text(a->query, sizeof(a->query), websrv_query(r));
	copy_text(a->header, sizeof(a->header), websrv_header(r, "x-test"));
	if (a->pause_at_head)
		websrv_pause(r, true);
	start_request(j, websrv_path(r), websrv_query(r));
}

static void on_body(void *arg, struct websrv_req *r, const void *data,
		    size_t len, bool end)
{
	struct app *a = arg;
	struct request_state *j = websrv_user(r);
	char text[32];

	a->body_bytes += len;
	j->bytes_received += len;
	if (len > a->max_body_call)
		a->max_body_call = len;
	if (j->echo && !websrv_write(r, data, len, end) && !end)
		websrv_pause(r, true);
	if (j->sink && end)
		websrv_reply(
			r, 200, NULL, 0, text,
			(size_t)sprintf(text, "got %zu", j->bytes_received));
}

static void on_writable(void *arg, struct websrv_req *r)
{
	struct request_state *j = websrv_user(r);

	(void)arg;
	if (j->bytes_left > 0)
		write_big_body(j);
	if (j->echo)
		websrv_pause(r, false);
}

static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct app *a = arg;
	struct request_state *j = websrv_user(r);

	if (complete)
		a->complete++;
	else
		a->incomplete++;
	if (a->held == r)
		a->held = NULL;
	tmr_cancel(lwsloop_timers(a->loop), j->timer);
	free(j);
}

static const struct websrv_ops app_ops = { on_head, on_body, on_writable,
					   on_closed };

/* Returns parameters with limits that no test reaches unintentionally. */
struct websrv_params app_params(void)
{
	struct websrv_params p = { "127.0.0.1", 0, 2000, 120000, 120000 };

	return p;
}

/* Creates the event loop and the server; params may be NULL for defaults. */
void app_open(struct app *a, const struct websrv_params *params)
{
	struct websrv_params defaults = app_params();
	struct err err = { 0 };

	memset(a, 0, sizeof(*a));
	a->loop = lwsloop_create(clk_system(), 0, &err);
	assert_non_null(a->loop);
	a->server = websrv_create(a->loop, params ? params : &defaults,
				  &app_ops, a, &err);
	if (!a->server)
		print_error("%s\n", err.text);
	assert_non_null(a->server);
	tmr_every(lwsloop_timers(a->loop), 0, TICK_US, tick, NULL);
}

/* Destroys the server and the event loop. */
void app_close(struct app *a)
{
	websrv_destroy(a->server);
	lwsloop_destroy(a->loop);
}

/* Runs the event loop until a condition holds; fails after TEST_TIMEOUT_US. */
void app_run(struct app *a, condition_fn until, void *arg)
{
	uint64_t end = lwsloop_now_us(a->loop) + TEST_TIMEOUT_US;

	while (!until(arg)) {
		lwsloop_run_once(a->loop);
		assert_true(lwsloop_now_us(a->loop) < end);
	}
}

/* Runs the event loop for at least the given time, in microseconds. */
void app_run_for(struct app *a, uint64_t us)
{
	uint64_t end = lwsloop_now_us(a->loop) + us;

	while (lwsloop_now_us(a->loop) < end)
		lwsloop_run_once(a->loop);
}

/* Connects; the server accepts the connection once the event loop runs. */
void raw_open(struct raw_conn *r, struct app *a)
{
	raw_open_window(r, a, 0);
}

/* Same with a receive buffer of this size, unless it is 0. */
void raw_open_window(struct raw_conn *r, struct app *a, int window)
{
	struct sockaddr_in at = { .sin_family = AF_INET };

	memset(r, 0, sizeof(*r));
	r->app = a;
	r->capacity = BLOCK_BYTES;
	r->in = calloc(1, r->capacity);
	at.sin_port = htons(websrv_port(a->server));
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_true(r->fd >= 0);
	if (window > 0)
		setsockopt(r->fd, SOL_SOCKET, SO_RCVBUF, &window,
			   sizeof(window));
	assert_int_equal(connect(r->fd, (struct sockaddr *)&at, sizeof(at)), 0);
	fcntl(r->fd, F_SETFL, O_NONBLOCK);
}

/* Closes the socket. */
void raw_close(struct raw_conn *r)
{
	if (r->fd >= 0)
		close(r->fd);
	r->fd = -1;
	free(r->in);
	r->in = NULL;
}

/* Sends all bytes, running the event loop while the socket buffer is full. */
void raw_send_bytes(struct raw_conn *r, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(r->fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			return;
		if (n < 0) {
			lwsloop_run_once(r->app->loop);
			continue;
		}
		at += n;
		len -= (size_t)n;
	}
}

void raw_send(struct raw_conn *r, const char *text)
{
	raw_send_bytes(r, text, strlen(text));
}

/* Reads all data that is available, without blocking. */
void raw_poll(struct raw_conn *r)
{
	ssize_t n;

	for (;;) {
		if (r->len + BLOCK_BYTES > r->capacity) {
			r->capacity *= 2;
			r->in = realloc(r->in, r->capacity);
			assert_non_null(r->in);
		}
		n = recv(r->fd, r->in + r->len, r->capacity - r->len - 1, 0);
		if (n < 0 && errno == EAGAIN)
			return;
		if (n <= 0) {
			r->closed = true;
			return;
		}
		r->len += (size_t)n;
		r->in[r->len] = '\0';
	}
}

struct expected_text {
	struct raw_conn *raw_conn;
	const char *text;
};

static bool has_text(void *arg)
{
	struct expected_text *e = arg;

	raw_poll(e->raw_conn);
	if (!e->text)
		return e->raw_conn->closed;
	if (strstr(e->raw_conn->in, e->text))
		return true;
	if (e->raw_conn->closed)
		fail_msg("closed without '%s' after '%s'", e->text,
			 e->raw_conn->in);
	return false;
}

/* Runs the event loop until text is received; fails if the server closes. */
void raw_expect(struct raw_conn *r, const char *text)
{
	struct expected_text e = { r, text };

	app_run(r->app, has_text, &e);
}

/* Runs the event loop until the server closes the connection. */
void raw_expect_close(struct raw_conn *r)
{
	struct expected_text e = { r, NULL };

	app_run(r->app, has_text, &e);
}

/* Discards the received data. */
void raw_clear(struct raw_conn *r)
{
	r->len = 0;
	r->in[0] = '\0';
}
