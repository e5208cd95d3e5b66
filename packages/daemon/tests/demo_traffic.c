#include "demo.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define TICK_US 1000
#define TIMEOUT_US (3 * US_PER_S)
#define LAST_ANSWERS_MS 4000
#define STORE_BYTES 20000
#define ARCHIVE_BYTES 65536

const char *const demo_services[DEMO_SERVICES] = { "bookings", "documents" };
const unsigned int demo_partitions[DEMO_SERVICES] = { 64, 24 };

const struct demo_kind demo_kinds[DEMO_KINDS] = {
	{ "history", "GET", "/bookings/clients/%s/history", 0, false, true, 0,
	  0 },
	{ "availability", "GET", "/bookings/slots?client=%s", 0, false, false,
	  0, 0 },
	{ "confirm", "POST", "/bookings/clients/%s/confirmations", 0, true,
	  true, 64, 0 },
	{ "deposit", "POST", "/bookings/clients/%s/deposits", 0, true, true, 64,
	  0 },
	{ "invoice", "GET", "/documents/members/%s/invoices/i1", 1, false, true,
	  0, 0 },
	{ "stamp", "POST", "/documents/members/%s/stamps", 1, true, true, 16,
	  0 },
	{ "archive-read", "GET", "/documents/members/%s/archives/a?bytes=65536",
	  1, false, true, 0, ARCHIVE_BYTES },
	{ "archive-store", "PUT", "/documents/members/%s/archives/a", 1, false,
	  true, STORE_BYTES, 0 },
};

/* Microseconds of the wall clock. */
uint64_t demo_wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Writes a key of the partition that no other request has. */
static void make_key(struct demo_record *r)
{
	static unsigned long number;
	unsigned int partitions = demo_partitions[demo_kinds[r->kind].service];

	do {
		snprintf(r->key, sizeof(r->key), "k%lu", ++number);
	} while (XXH3_64bits(r->key, strlen(r->key)) % partitions !=
		 r->partition);
}

static void note_good(const struct demo_record *r)
{
	struct demo *d = r->demo;
	unsigned int service = demo_kinds[r->kind].service;
	uint64_t *last = &d->last_good_us[service][r->partition];
	uint64_t now_us = lwsloop_now_us(d->cluster->loop);

	if (*last && now_us - *last > d->gap_us[service])
		d->gap_us[service] = now_us - *last;
	*last = now_us;
	d->kinds_good[r->kind]++;
}

/*
 * A whole answer names the path, and the request id if there is one, or has the
 * length that was asked for. The answer does not name the query.
 */
static bool is_own(const struct demo_record *r)
{
	const struct demo_kind *kind = &demo_kinds[r->kind];

	if (kind->answer_bytes)
		return r->received == kind->answer_bytes;
	if (kind->once && !strstr(r->body, r->id))
		return false;
	return !kind->key_in_path || strstr(r->body, r->key);
}

static void on_head(void *arg, const struct upclient_response *response)
{
	struct demo_record *r = arg;

	r->status = response->status;
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, "geranium-outcome") == 0)
			snprintf(r->outcome, sizeof(r->outcome), "%s",
				 response->headers[i].value);
	}
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct demo_record *r = arg;

	if (r->received < sizeof(r->body) - 1) {
		size_t room = sizeof(r->body) - 1 - r->received;

		memcpy(r->body + r->received, data, len < room ? len : room);
	}
	r->received += len;
}

static void on_end(void *arg)
{
	struct demo_record *r = arg;
	bool good = r->status == 200 && strcmp(r->outcome, "done") == 0;

	r->open = false;
	r->demo->open--;
	r->took_us = demo_wall_us() - r->sent_us;
	r->foreign = good && !is_own(r);
	if (good)
		note_good(r);
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct demo_record *r = arg;
	bool unsent = why == UPCLIENT_NOT_SENT || why == UPCLIENT_REFUSED;

	r->open = false;
	r->demo->open--;
	r->status = 0;
	snprintf(r->outcome, sizeof(r->outcome), "%s",
		 unsent ? "unsent" : "lost");
}

static const struct upclient_events events = { on_head, on_body, on_end,
					       on_failed, NULL };

/* The daemon that is asked next, DEMO_NONE if none is left. */
static size_t next_node(struct demo *d)
{
	static size_t turn;

	for (size_t i = 0; i < d->cluster->count; i++) {
		turn = (turn + 1) % d->cluster->count;
		if (d->callable[turn])
			return turn;
	}
	return DEMO_NONE;
}

static bool start_request(struct demo *d, struct demo_record *r)
{
	static char body[STORE_BYTES];
	const struct demo_kind *kind = &demo_kinds[r->kind];
	const struct websrv_header header = { "idempotency-key", r->id };
	char target[128];
	struct upclient_request req = { .method = kind->method,
					.target = target,
					.headers = &header,
					.header_count = kind->once ? 1 : 0,
					.content_length =
						(long long)kind->body_bytes,
					.first = body,
					.first_len = kind->body_bytes,
					.end = true,
					.timeout_us = TIMEOUT_US };

	memset(body, 'd', sizeof(body));
	snprintf(target, sizeof(target), kind->path, r->key);
	return upclient_start(d->cluster->nodes[r->node].http, &req, &events,
			      r) != 0;
}

/*
 * Sends the next request of a service. The partitions follow one another, so
 * that the time without an answer is known for each; the kinds change after a
 * round over the partitions.
 */
static void send_request(struct demo *d, unsigned int service)
{
	static size_t turn[DEMO_SERVICES];
	size_t n = turn[service]++;
	unsigned int partitions = demo_partitions[service];
	struct demo_record *r = &d->records[d->count];

	if (d->count == DEMO_RECORDS_MAX)
		return;
	memset(r, 0, sizeof(*r));
	r->demo = d;
	r->partition = (uint8_t)(n % partitions);
	r->kind = (uint8_t)(service * 4 + (n + n / partitions) % 4);
	make_key(r);
	r->node = next_node(d);
	r->sent_us = demo_wall_us();
	snprintf(r->id, sizeof(r->id), "%" PRIu64 "-demo%zu",
		 r->sent_us / US_PER_MS, d->count);
	if (r->node == DEMO_NONE || !start_request(d, r)) {
		d->skipped++;
		return;
	}
	r->open = true;
	d->count++;
	d->open++;
	d->kinds_all[r->kind]++;
}

static void on_tick(void *arg, uint64_t now_us)
{
	struct demo *d = arg;

	(void)now_us;
	for (unsigned int s = 0; d->sending && s < DEMO_SERVICES; s++)
		send_request(d, s);
}

/* Starts to send. */
void demo_start_traffic(struct demo *d)
{
	struct lwsloop *loop = d->cluster->loop;

	d->sending = true;
	tmr_every(lwsloop_timers(loop), lwsloop_now_us(loop), TICK_US, on_tick,
		  d);
}

/* Runs the loop. */
void demo_run(struct demo *d, unsigned int ms)
{
	uint64_t until = cluster_now_ms() + ms;

	while (cluster_now_ms() < until)
		lwsloop_run_once(d->cluster->loop);
}

/* Stops to send and waits for the last answers. */
void demo_stop_traffic(struct demo *d)
{
	uint64_t until = cluster_now_ms() + LAST_ANSWERS_MS;

	d->sending = false;
	while (d->open && cluster_now_ms() < until)
		lwsloop_run_once(d->cluster->loop);
}

/* Counts partitions that wait at this moment too. */
void demo_print_gaps(struct demo *d, const char *phase)
{
	uint64_t now_us = lwsloop_now_us(d->cluster->loop);

	for (unsigned int s = 0; s < DEMO_SERVICES; s++) {
		uint64_t gap_us = d->gap_us[s];

		for (unsigned int p = 0; p < demo_partitions[s]; p++) {
			uint64_t last_us = d->last_good_us[s][p];

			if (now_us - last_us > gap_us)
				gap_us = now_us - last_us;
		}
		printf("unavailable time, %s, %s: %.3f s\n", phase,
		       demo_services[s], (double)gap_us / US_PER_S);
		d->gap_us[s] = 0;
	}
}
