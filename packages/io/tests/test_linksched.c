#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "clk.h"
#include "httpsrv.h"
#include "linksched.h"

#define MS US_PER_MS
#define LINK_BYTES_PER_S 1750000 /* 14 Mbit/s */
#define DOWNLOAD_BYTES 90000
#define RESPONSES 400

/* Model of the transmit queue of a link. */
struct queue {
	double bytes;
	uint64_t at_us;
};

/* Drains the queue up to now and adds bytes; returns the delay of the last. */
static uint64_t enqueue(struct queue *q, size_t bytes, uint64_t now_us)
{
	q->bytes -= (double)(now_us - q->at_us) * LINK_BYTES_PER_S /
		    (double)US_PER_S;
	q->at_us = now_us;
	if (q->bytes < 0)
		q->bytes = 0;
	q->bytes += (double)bytes;
	return (uint64_t)(q->bytes * (double)US_PER_S / LINK_BYTES_PER_S);
}

struct download {
	struct linksched_stream stream;
	uint64_t arrival_us, left_us;
};

/* Delays of downloads and short responses in a simulation. */
struct outcome {
	uint32_t downloads_within; /* sent within half a second */
	uint64_t short_wait_us; /* maximum for a short response */
};

static struct download downloads[RESPONSES];

/* Sends what the scheduler allows at this time. */
static void send_ready(struct linksched *l, struct queue *q,
		       struct outcome *out, uint64_t now)
{
	struct linksched_stream *s;
	uint64_t wait;
	size_t bytes;

	while ((s = linksched_next(l, now, &bytes, &wait))) {
		struct download *d = (struct download *)s;
		uint64_t left = now + enqueue(q, bytes, now);

		if (s->left > 0)
			continue;
		linksched_remove(l, s);
		out->downloads_within += left - d->arrival_us <= 500 * MS;
	}
}

/*
 * Simulates downloads of two very different lengths at use_pct of the link
 * bandwidth, and a short response every 5 ms. If not paced, downloads are
 * queued at once.
 */
static struct outcome simulate(bool paced, uint32_t use_pct)
{
	struct linksched *l = linksched_create(LINK_BYTES_PER_S);
	struct outcome out = { 0, 0 };
	struct queue q = { 0, 0 };
	uint64_t gap = (uint64_t)DOWNLOAD_BYTES * US_PER_S * 100 /
		       LINK_BYTES_PER_S / use_pct;
	uint64_t end = gap * RESPONSES;
	uint32_t arrived = 0;

	for (uint64_t now = 0; now < end; now += MS) {
		if (arrived < RESPONSES && now >= gap * arrived) {
			struct download *d = &downloads[arrived];
			size_t bytes = arrived % 8 == 0 ?
					       4 * DOWNLOAD_BYTES :
					       DOWNLOAD_BYTES * 4 / 7;

			memset(d, 0, sizeof(*d));
			d->arrival_us = now;
			d->stream.left = d->stream.ready = bytes;
			arrived++;
			if (paced)
				linksched_add(l, &d->stream);
			else
				out.downloads_within +=
					enqueue(&q, bytes, now) <= 500 * MS;
		}
		if (paced)
			send_ready(l, &q, &out, now);
		if (now % (5 * MS) == 0) {
			uint64_t wait = enqueue(&q, 500, now);

			linksched_charge(l, 500, now);
			if (wait > out.short_wait_us)
				out.short_wait_us = wait;
		}
	}
	linksched_destroy(l);
	return out;
}

/* Guards against short responses that are delayed behind downloads. */
static void test_downloads_do_not_delay_short_responses(void **state)
{
	struct outcome unpaced = simulate(false, 80);
	struct outcome paced = simulate(true, 80);

	(void)state;
	/* A call has 100 ms in total, so the link may use only a small part. */
	assert_true(paced.short_wait_us <= 25 * MS);
	assert_true(unpaced.short_wait_us > 100 * MS);
	assert_true(paced.downloads_within >= RESPONSES * 95 / 100);
}

/* Guards against an overloaded link on which all downloads are late. */
static void test_most_downloads_are_fast_under_overload(void **state)
{
	struct outcome unpaced = simulate(false, 110);
	struct outcome paced = simulate(true, 110);

	(void)state;
	assert_true(paced.downloads_within >= RESPONSES * 75 / 100);
	assert_true(paced.downloads_within > unpaced.downloads_within * 2);
	assert_true(paced.short_wait_us <= 25 * MS);
}

/* Guards against a response of a stopping daemon delayed by shorter ones. */
static void test_urgent_response_goes_first(void **state)
{
	struct linksched *l = linksched_create(LINK_BYTES_PER_S);
	struct linksched_stream a = { .left = 4 * DOWNLOAD_BYTES,
				      .ready = 4 * DOWNLOAD_BYTES };
	struct linksched_stream b = { .left = DOWNLOAD_BYTES,
				      .ready = DOWNLOAD_BYTES };
	uint64_t wait;
	size_t bytes;

	(void)state;
	linksched_add(l, &a);
	linksched_add(l, &b);
	assert_ptr_equal(linksched_next(l, 100 * MS, &bytes, &wait), &b);
	a.urgent = true;
	assert_ptr_equal(linksched_next(l, 200 * MS, &bytes, &wait), &a);
	a.blocked = true;
	assert_ptr_equal(linksched_next(l, 300 * MS, &bytes, &wait), &b);
	assert_null(linksched_next(l, 300 * MS, &bytes, &wait));
	assert_in_range(wait, 1, 20 * MS);
	linksched_destroy(l);
}

/* Guards against long responses that are starved by short ones. */
static void test_short_responses_do_not_starve_long_ones(void **state)
{
	struct linksched *l = linksched_create(LINK_BYTES_PER_S);
	struct linksched_stream a = { .left = DOWNLOAD_BYTES,
				      .ready = DOWNLOAD_BYTES };
	uint64_t now = 0;
	uint64_t wait;
	size_t bytes;

	(void)state;
	linksched_add(l, &a);
	/* Short responses at twice the link bandwidth for two seconds. */
	for (; now < 2000 * MS; now += MS)
		linksched_charge(l, 2 * LINK_BYTES_PER_S / 1000, now);
	while (!linksched_next(l, now, &bytes, &wait))
		now += MS;
	assert_true(now <= 2200 * MS);
	linksched_destroy(l);
}

/* Guards against admission control that ignores the load of the link. */
static void test_time_counts_earlier_streams(void **state)
{
	struct linksched *l = linksched_create(LINK_BYTES_PER_S);
	struct linksched_stream a = { .left = DOWNLOAD_BYTES };
	struct linksched_stream b = { .left = 10 * DOWNLOAD_BYTES };
	uint64_t alone = linksched_send_time_us(l, DOWNLOAD_BYTES);

	(void)state;
	linksched_add(l, &a);
	assert_in_range(linksched_send_time_us(l, DOWNLOAD_BYTES),
			2 * alone - 2, 2 * alone + 2);
	linksched_add(l, &b);
	assert_in_range(linksched_send_time_us(l, DOWNLOAD_BYTES),
			2 * alone - 2, 2 * alone + 2);
	assert_in_range(linksched_total_time_us(l, DOWNLOAD_BYTES),
			12 * alone - 12, 12 * alone + 12);
	linksched_destroy(l);
}

#define CLIENTS 12
#define SERVER_ADDRESS "127.0.0.1:20114"

struct server {
	struct evloop *loop;
	struct pacer *link;
	struct httpsrv *http;
	uint32_t answered;
	const char *big;
	size_t big_len;
};

/*
 * Responds to /short with a short body, to /big with s->big, to /chunks with a
 * chunked download, else with a download of known length.
 */
static void *on_request(void *arg, struct httpconn *c, const struct httpmsg *m,
			const struct buf *body)
{
	static char bytes[DOWNLOAD_BYTES];
	struct server *s = arg;

	(void)body;
	s->answered++;
	if (span_is(httpmsg_target(m), "/short")) {
		httpconn_reply(c, 200, "", "ok", 2);
		return NULL;
	}
	if (span_is(httpmsg_target(m), "/big")) {
		httpconn_reply(c, 200, "", s->big, s->big_len);
		return NULL;
	}
	httpconn_begin(c, 200, "", 0,
		       span_is(httpmsg_target(m), "/chunks") ? -1 :
							       DOWNLOAD_BYTES);
	for (size_t i = 0; i < DOWNLOAD_BYTES; i += DOWNLOAD_BYTES / 9)
		httpconn_write(c, bytes, DOWNLOAD_BYTES / 9);
	httpconn_end(c);
	return NULL;
}

static void on_disconnect(void *request)
{
	(void)request;
}

static const struct httpsrv_ops server_ops = { on_request, on_disconnect,
					       NULL };

static int setup(void **state)
{
	struct server *s = calloc(1, sizeof(*s));
	struct err err = { 0 };

	s->loop = evloop_create(clk_system(), &err);
	s->link = pacer_create(s->loop, LINK_BYTES_PER_S);
	s->http = httpsrv_create(s->loop, SERVER_ADDRESS, &server_ops, s, &err);
	if (!s->http)
		return -1;
	httpsrv_set_pacer(s->http, s->link);
	*state = s;
	return 0;
}

static int teardown(void **state)
{
	struct server *s = *state;

	httpsrv_destroy(s->http);
	pacer_destroy(s->link);
	evloop_destroy(s->loop);
	free(s);
	return 0;
}

/* Connects and sends a request. */
static int send_request(const char *target)
{
	char text[128];
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int len = snprintf(text, sizeof(text),
			   "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target);

	assert_true(tcpsock_parse_address(SERVER_ADDRESS, &a));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(write(fd, text, (size_t)len), len);
	return fd;
}

/* Reads all available data; returns its size and stores the last read. */
static size_t read_available(int fd, char *last, size_t size)
{
	char text[65536];
	size_t all = 0;
	ssize_t n;

	while ((n = recv(fd, text, sizeof(text), MSG_DONTWAIT)) > 0) {
		all += (size_t)n;
		snprintf(last, size, "%.*s",
			 (int)((size_t)n < size - 1 ? (size_t)n : size - 1),
			 text);
	}
	return all;
}

static void run(struct server *s, uint64_t us)
{
	uint64_t end = evloop_now_us(s->loop) + us;

	while (evloop_now_us(s->loop) < end)
		evloop_run_once(s->loop, MS);
}

/* Guards against a server that sends all downloads at once. */
static void test_downloads_are_paced_to_link_rate(void **state)
{
	struct server *s = *state;
	char text[64] = "";
	int fds[CLIENTS];
	size_t all = 0;
	uint64_t began = evloop_now_us(s->loop);
	int fd;

	for (int i = 0; i < CLIENTS; i++)
		fds[i] = send_request(i % 2 ? "/long" : "/chunks");
	while (s->answered < CLIENTS)
		evloop_run_once(s->loop, MS);
	fd = send_request("/short");
	run(s, 100 * MS);
	assert_true(read_available(fd, text, sizeof(text)) > 0);
	assert_non_null(strstr(text, "200"));
	close(fd);
	for (int i = 0; i < CLIENTS; i++)
		all += read_available(fds[i], text, sizeof(text));
	assert_true(all <= (evloop_now_us(s->loop) - began + 20 * MS) *
				   LINK_BYTES_PER_S / US_PER_S);
	assert_true(httpsrv_busy_count(s->http) > 0);
	run(s, 800 * MS);
	for (int i = 0; i < CLIENTS; i++) {
		all += read_available(fds[i], text, sizeof(text));
		close(fds[i]);
	}
	assert_true(all >= (size_t)CLIENTS * DOWNLOAD_BYTES);
	assert_int_equal(httpsrv_busy_count(s->http), 0);
}

/* Guards against an exit before the last responses have been sent. */
static void test_connection_is_busy_until_output_is_sent(void **state)
{
	static char bytes[8 << 20];
	struct server *s = *state;
	char text[64] = "";
	size_t all = 0;
	int fd;

	httpsrv_set_pacer(s->http, NULL);
	for (int drained = 0; drained < 2; drained++) {
		s->big = bytes;
		s->big_len = sizeof(bytes);
		fd = send_request("/big");
		run(s, 50 * MS);
		/* The client has read nothing: most of the body is buffered. */
		assert_true(httpsrv_busy_count(s->http) +
				    tcpsock_closing_count() >
			    0);
		for (all = 0; all < sizeof(bytes);) {
			all += read_available(fd, text, sizeof(text));
			evloop_run_once(s->loop, MS);
		}
		run(s, 20 * MS);
		assert_int_equal(httpsrv_busy_count(s->http) +
					 tcpsock_closing_count(),
				 0);
		close(fd);
		run(s, 20 * MS);
		httpsrv_drain(s->http);
	}
}

/* Guards against a disconnect during a download that blocks the link. */
static void test_disconnect_releases_link(void **state)
{
	struct server *s = *state;
	char text[64] = "";
	int fd = send_request("/long");
	int other;

	while (s->answered < 1)
		evloop_run_once(s->loop, MS);
	run(s, 20 * MS);
	close(fd);
	run(s, 20 * MS);
	other = send_request("/long");
	run(s, 200 * MS);
	assert_true(read_available(other, text, sizeof(text)) >=
		    DOWNLOAD_BYTES);
	assert_int_equal(httpsrv_busy_count(s->http), 0);
	close(other);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_downloads_do_not_delay_short_responses),
		cmocka_unit_test(test_most_downloads_are_fast_under_overload),
		cmocka_unit_test(test_urgent_response_goes_first),
		cmocka_unit_test(test_short_responses_do_not_starve_long_ones),
		cmocka_unit_test(test_time_counts_earlier_streams),
		cmocka_unit_test_setup_teardown(
			test_downloads_are_paced_to_link_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connection_is_busy_until_output_is_sent, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_disconnect_releases_link,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
