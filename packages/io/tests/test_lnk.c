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
#include "hsv.h"
#include "lnk.h"

#define MS US_PER_MS
/* A link of 14 Mbit/s. */
#define LINK 1750000
#define DOWNLOAD 90000
#define RESPONSES 400

/* A link whose queue holds what was handed to it and has not left yet. */
struct queue {
	double bytes;
	uint64_t at_us;
};

/* Lets the link send until now, and adds bytes; returns the wait of the last. */
static uint64_t put(struct queue *q, size_t bytes, uint64_t now_us)
{
	q->bytes -= (double)(now_us - q->at_us) * LINK / (double)US_PER_S;
	q->at_us = now_us;
	if (q->bytes < 0)
		q->bytes = 0;
	q->bytes += (double)bytes;
	return (uint64_t)(q->bytes * (double)US_PER_S / LINK);
}

struct download {
	struct lnk_stream stream;
	uint64_t came_us, left_us;
};

/* What callers of downloads and of short requests get. */
struct outcome {
	uint32_t downloads_within; /* left within half a second */
	uint64_t short_wait_us; /* longest of a short response */
};

static struct download downloads[RESPONSES];

/* Hands on what the link carries now. */
static void send_turns(struct lnk *l, struct queue *q, struct outcome *out,
		       uint64_t now)
{
	struct lnk_stream *s;
	uint64_t wait;
	size_t bytes;

	while ((s = lnk_next(l, now, &bytes, &wait))) {
		struct download *d = (struct download *)s;
		uint64_t left = now + put(q, bytes, now);

		if (s->left > 0)
			continue;
		lnk_remove(l, s);
		out->downloads_within += left - d->came_us <= 500 * MS;
	}
}

/*
 * Plays downloads of very different lengths at a part of what the link carries,
 * and a short response each 5 ms. Without a link object all is handed on at once.
 */
static struct outcome play(bool paced, uint32_t use_pct)
{
	struct lnk *l = lnk_create(LINK);
	struct outcome out = { 0, 0 };
	struct queue q = { 0, 0 };
	uint64_t gap = (uint64_t)DOWNLOAD * US_PER_S * 100 / LINK / use_pct;
	uint64_t end = gap * RESPONSES;
	uint32_t came = 0;

	for (uint64_t now = 0; now < end; now += MS) {
		if (came < RESPONSES && now >= gap * came) {
			struct download *d = &downloads[came];
			size_t bytes =
				came % 8 == 0 ? 4 * DOWNLOAD : DOWNLOAD * 4 / 7;

			memset(d, 0, sizeof(*d));
			d->came_us = now;
			d->stream.left = d->stream.ready = bytes;
			came++;
			if (paced)
				lnk_add(l, &d->stream);
			else
				out.downloads_within +=
					put(&q, bytes, now) <= 500 * MS;
		}
		if (paced)
			send_turns(l, &q, &out, now);
		if (now % (5 * MS) == 0) {
			uint64_t wait = put(&q, 500, now);

			lnk_spend(l, 500, now);
			if (wait > out.short_wait_us)
				out.short_wait_us = wait;
		}
	}
	lnk_destroy(l);
	return out;
}

/* Guards against short responses that wait behind downloads on the link. */
static void test_short_responses_do_not_wait_for_downloads(void **state)
{
	struct outcome before = play(false, 80);
	struct outcome after = play(true, 80);

	(void)state;
	/* A call has 100 ms; its wait on the link is to be a small part. */
	assert_true(after.short_wait_us <= 25 * MS);
	assert_true(before.short_wait_us > 100 * MS);
	assert_true(after.downloads_within >= RESPONSES * 95 / 100);
}

/* Guards against a link with too many downloads on which all come late. */
static void test_most_downloads_are_early_under_overload(void **state)
{
	struct outcome before = play(false, 110);
	struct outcome after = play(true, 110);

	(void)state;
	assert_true(after.downloads_within >= RESPONSES * 75 / 100);
	assert_true(after.downloads_within > before.downloads_within * 2);
	assert_true(after.short_wait_us <= 25 * MS);
}

/* Guards against a response of a stopping daemon that waits for shorter ones. */
static void test_hurried_response_goes_first(void **state)
{
	struct lnk *l = lnk_create(LINK);
	struct lnk_stream a = { .left = 4 * DOWNLOAD, .ready = 4 * DOWNLOAD };
	struct lnk_stream b = { .left = DOWNLOAD, .ready = DOWNLOAD };
	uint64_t wait;
	size_t bytes;

	(void)state;
	lnk_add(l, &a);
	lnk_add(l, &b);
	assert_ptr_equal(lnk_next(l, 100 * MS, &bytes, &wait), &b);
	a.hurries = true;
	assert_ptr_equal(lnk_next(l, 200 * MS, &bytes, &wait), &a);
	a.blocked = true;
	assert_ptr_equal(lnk_next(l, 300 * MS, &bytes, &wait), &b);
	assert_null(lnk_next(l, 300 * MS, &bytes, &wait));
	assert_in_range(wait, 1, 20 * MS);
	lnk_destroy(l);
}

/* Guards against long responses that are starved by short ones. */
static void test_short_responses_do_not_starve_long_ones(void **state)
{
	struct lnk *l = lnk_create(LINK);
	struct lnk_stream a = { .left = DOWNLOAD, .ready = DOWNLOAD };
	uint64_t now = 0;
	uint64_t wait;
	size_t bytes;

	(void)state;
	lnk_add(l, &a);
	/* Twice what the link carries, for two seconds. */
	for (; now < 2000 * MS; now += MS)
		lnk_spend(l, 2 * LINK / 1000, now);
	while (!lnk_next(l, now, &bytes, &wait))
		now += MS;
	assert_true(now <= 2200 * MS);
	lnk_destroy(l);
}

/* Guards against an admission that does not see what the link has to carry. */
static void test_time_counts_what_goes_first(void **state)
{
	struct lnk *l = lnk_create(LINK);
	struct lnk_stream a = { .left = DOWNLOAD };
	struct lnk_stream b = { .left = 10 * DOWNLOAD };
	uint64_t alone = lnk_time_us(l, DOWNLOAD);

	(void)state;
	lnk_add(l, &a);
	assert_in_range(lnk_time_us(l, DOWNLOAD), 2 * alone - 2, 2 * alone + 2);
	lnk_add(l, &b);
	assert_in_range(lnk_time_us(l, DOWNLOAD), 2 * alone - 2, 2 * alone + 2);
	assert_in_range(lnk_all_us(l, DOWNLOAD), 12 * alone - 12,
			12 * alone + 12);
	lnk_destroy(l);
}

#define CLIENTS 12
#define PORT "127.0.0.1:20114"

struct server {
	struct evl *loop;
	struct pac *link;
	struct hsv *http;
	uint32_t answered;
	const char *big;
	size_t big_len;
};

/* Answers with a short body for /short, in chunks for /chunks, else long. */
static void *on_request(void *arg, struct hsc *c, const struct hmg *m,
			const struct buf *body)
{
	static char bytes[DOWNLOAD];
	struct server *s = arg;

	(void)body;
	s->answered++;
	if (span_is(hmg_target(m), "/short")) {
		hsc_reply(c, 200, "", "ok", 2);
		return NULL;
	}
	if (span_is(hmg_target(m), "/big")) {
		hsc_reply(c, 200, "", s->big, s->big_len);
		return NULL;
	}
	hsc_begin(c, 200, "", 0,
		  span_is(hmg_target(m), "/chunks") ? -1 : DOWNLOAD);
	for (size_t i = 0; i < DOWNLOAD; i += DOWNLOAD / 9)
		hsc_body(c, bytes, DOWNLOAD / 9);
	hsc_end(c);
	return NULL;
}

static void on_gone(void *request)
{
	(void)request;
}

static const struct hsv_ops server_ops = { on_request, on_gone, NULL };

static int setup(void **state)
{
	struct server *s = calloc(1, sizeof(*s));
	struct err err = { 0 };

	s->loop = evl_create(clk_system(), &err);
	s->link = pac_create(s->loop, LINK);
	s->http = hsv_create(s->loop, PORT, &server_ops, s, &err);
	if (!s->http)
		return -1;
	hsv_set_link(s->http, s->link);
	*state = s;
	return 0;
}

static int teardown(void **state)
{
	struct server *s = *state;

	hsv_destroy(s->http);
	pac_destroy(s->link);
	evl_destroy(s->loop);
	free(s);
	return 0;
}

/* Connects and sends a request. */
static int ask(const char *target)
{
	char text[128];
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int len = snprintf(text, sizeof(text),
			   "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target);

	assert_true(skt_parse(PORT, &a));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(write(fd, text, (size_t)len), len);
	return fd;
}

/* Reads what has come; returns the bytes. */
static size_t take(int fd, char *last, size_t size)
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
	uint64_t end = evl_now_us(s->loop) + us;

	while (evl_now_us(s->loop) < end)
		evl_step(s->loop, MS);
}

/* Guards against a server that hands all downloads to the link at once. */
static void test_downloads_leave_at_the_rate_of_the_link(void **state)
{
	struct server *s = *state;
	char text[64] = "";
	int fds[CLIENTS];
	size_t all = 0;
	uint64_t began = evl_now_us(s->loop);
	int fd;

	for (int i = 0; i < CLIENTS; i++)
		fds[i] = ask(i % 2 ? "/long" : "/chunks");
	while (s->answered < CLIENTS)
		evl_step(s->loop, MS);
	fd = ask("/short");
	run(s, 100 * MS);
	assert_true(take(fd, text, sizeof(text)) > 0);
	assert_non_null(strstr(text, "200"));
	close(fd);
	for (int i = 0; i < CLIENTS; i++)
		all += take(fds[i], text, sizeof(text));
	assert_true(all <=
		    (evl_now_us(s->loop) - began + 20 * MS) * LINK / US_PER_S);
	assert_true(hsv_busy(s->http) > 0);
	run(s, 800 * MS);
	for (int i = 0; i < CLIENTS; i++) {
		all += take(fds[i], text, sizeof(text));
		close(fds[i]);
	}
	assert_true(all >= (size_t)CLIENTS * DOWNLOAD);
	assert_int_equal(hsv_busy(s->http), 0);
}

/* Guards against a process that ends before its last responses have left. */
static void test_response_is_busy_until_the_system_has_it(void **state)
{
	static char bytes[8 << 20];
	struct server *s = *state;
	char text[64] = "";
	size_t all = 0;
	int fd;

	hsv_set_link(s->http, NULL);
	for (int drained = 0; drained < 2; drained++) {
		s->big = bytes;
		s->big_len = sizeof(bytes);
		fd = ask("/big");
		run(s, 50 * MS);
		/* The caller has not read: most of it is still here. */
		assert_true(hsv_busy(s->http) + skt_closing() > 0);
		for (all = 0; all < sizeof(bytes);) {
			all += take(fd, text, sizeof(text));
			evl_step(s->loop, MS);
		}
		run(s, 20 * MS);
		assert_int_equal(hsv_busy(s->http) + skt_closing(), 0);
		close(fd);
		run(s, 20 * MS);
		hsv_drain(s->http);
	}
}

/* Guards against a caller that leaves amid a download and blocks the link. */
static void test_gone_caller_frees_the_link(void **state)
{
	struct server *s = *state;
	char text[64] = "";
	int fd = ask("/long");
	int other;

	while (s->answered < 1)
		evl_step(s->loop, MS);
	run(s, 20 * MS);
	close(fd);
	run(s, 20 * MS);
	other = ask("/long");
	run(s, 200 * MS);
	assert_true(take(other, text, sizeof(text)) >= DOWNLOAD);
	assert_int_equal(hsv_busy(s->http), 0);
	close(other);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_short_responses_do_not_wait_for_downloads),
		cmocka_unit_test(test_most_downloads_are_early_under_overload),
		cmocka_unit_test(test_hurried_response_goes_first),
		cmocka_unit_test(test_short_responses_do_not_starve_long_ones),
		cmocka_unit_test(test_time_counts_what_goes_first),
		cmocka_unit_test_setup_teardown(
			test_downloads_leave_at_the_rate_of_the_link, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_response_is_busy_until_the_system_has_it, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_gone_caller_frees_the_link,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
