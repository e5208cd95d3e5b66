/*
 * Load generator: a number of connections, each of which sends its next
 * request when the answer to the last one has come.
 */

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "com.h"
#include "lgk.h"
#include "lgs.h"
#include "upclient.h"

#define DAEMONS_MAX 256
#define DEFAULT_SEED 20260101

/* After a failure a connection waits, so that a refusal is not a busy loop. */
#define RETRY_US (10 * US_PER_MS)

struct load;

/* One connection and the request that runs on it. */
struct worker {
	struct load *load;
	struct upclient *daemon;
	uint64_t key;
	uint64_t start_us;
	uint64_t received;
	long long expected;
	int status;
	char outcome[LGS_NAME_MAX];
};

struct load {
	struct lwsloop *loop;
	struct lgk *keys;
	struct lgs stats;
	struct upclient *daemons[DAEMONS_MAX];
	const char *addresses[DAEMONS_MAX];
	size_t daemon_count;
	struct worker *workers;
	struct lgk_kind kinds[LGK_KINDS_MAX];
	size_t kind_count;
	uint64_t connections;
	uint64_t key_count;
	double skew;
	uint64_t seed;
	uint64_t hot_period_s;
	uint64_t rate; /* requests/s over all, 0 for no limit */
	uint64_t duration_s;
	uint64_t timeout_ms;
	uint64_t next_slot_us;
	uint64_t request_number;
	char *body;
	bool as_json;
	bool stopped;
};

static void send_next(void *arg, uint64_t now_us);

/* Starts the next request, later if the rate is limited. */
static void schedule(struct worker *w, uint64_t delay_us)
{
	struct load *l = w->load;
	uint64_t at_us = lwsloop_now_us(l->loop) + delay_us;

	if (l->rate) {
		if (l->next_slot_us > at_us)
			at_us = l->next_slot_us;
		l->next_slot_us = at_us + US_PER_S / l->rate;
	}
	tmr_at(lwsloop_timers(l->loop), at_us, send_next, w);
}

static void finish(struct worker *w, const char *outcome, bool good)
{
	struct load *l = w->load;
	uint64_t now_us = lwsloop_now_us(l->loop);

	if (l->stopped)
		return;
	lgs_add(&l->stats, w->key, outcome, good, now_us - w->start_us, now_us);
	schedule(w, good ? 0 : RETRY_US);
}

static void on_head(void *arg, const struct upclient_response *response)
{
	struct worker *w = arg;

	w->status = response->status;
	w->expected = response->content_length;
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, "geranium-outcome") == 0)
			snprintf(w->outcome, sizeof(w->outcome), "%s",
				 response->headers[i].value);
	}
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct worker *w = arg;

	(void)data;
	w->received += len;
}

/* An upstream asked without a daemon names no outcome; its status counts. */
static void on_end(void *arg)
{
	struct worker *w = arg;
	bool ok = w->status >= 200 && w->status < 300;

	if (w->expected >= 0 && w->received != (uint64_t)w->expected)
		finish(w, "short-body", false);
	else if (w->outcome[0])
		finish(w, w->outcome, ok && strcmp(w->outcome, "done") == 0);
	else
		finish(w, ok ? "no-outcome-2xx" : "no-outcome-other", ok);
}

static void on_failed(void *arg, enum upclient_failure why)
{
	static const char *const names[] = { "failed-not-sent",
					     "failed-refused", "failed-lost",
					     "failed-timeout",
					     "failed-broken" };

	finish(arg, names[why], false);
}

static const struct upclient_events events = { on_head, on_body, on_end,
					       on_failed, NULL };

/* Puts the key into the template. */
static void make_target(const struct lgk_kind *kind, uint64_t key, char *out,
			size_t size)
{
	const char *at = strstr(kind->path, "{key}");

	if (at)
		snprintf(out, size, "%.*s%" PRIu64 "%s", (int)(at - kind->path),
			 kind->path, key, at + strlen("{key}"));
	else
		snprintf(out, size, "%s", kind->path);
}

static bool start_request(struct worker *w, const struct lgk_kind *kind)
{
	struct load *l = w->load;
	char target[LGK_TEXT_MAX + 32];
	char id[96];
	const struct websrv_header header = { "idempotency-key", id };
	struct upclient_request req = { .method = kind->method,
					.target = target,
					.headers = &header,
					.header_count = kind->once ? 1 : 0,
					.content_length =
						(long long)kind->body_bytes,
					.first = l->body,
					.first_len = kind->body_bytes,
					.end = true,
					.timeout_us =
						l->timeout_ms * US_PER_MS };

	make_target(kind, w->key, target, sizeof(target));
	snprintf(id, sizeof(id), "%" PRIu64 "-%" PRIx64 "-%" PRIu64,
		 clk_wall_ms(lwsloop_clock(l->loop)), l->seed,
		 ++l->request_number);
	return upclient_start(w->daemon, &req, &events, w) != 0;
}

static void send_next(void *arg, uint64_t now_us)
{
	struct worker *w = arg;
	struct load *l = w->load;
	uint64_t epoch = 0;

	if (l->stopped)
		return;
	if (l->hot_period_s)
		epoch = (now_us - l->stats.start_us) /
			(l->hot_period_s * US_PER_S);
	w->key = lgk_key(l->keys, epoch);
	w->start_us = lwsloop_now_us(l->loop);
	w->received = 0;
	w->expected = WEBSRV_LENGTH_UNKNOWN;
	w->status = 0;
	w->outcome[0] = '\0';
	if (!start_request(w, lgk_draw(l->keys, l->kinds, l->kind_count)))
		finish(w, "failed-not-started", false);
}

static void on_over(void *arg, uint64_t now_us)
{
	(void)now_us;
	lwsloop_stop(arg);
}

enum {
	KEY_SKEW = 256,
	KEY_SEED,
	KEY_HOT_PERIOD,
	KEY_JSON,
	KEY_TIMEOUT
};

static const struct argp_option options[] = {
	{ "connections", 'c', "N", 0, "connections (16)", 0 },
	{ "duration", 'd', "S", 0, "seconds (10)", 0 },
	{ "rate", 'r', "N", 0, "requests/s over all (no limit)", 0 },
	{ "keys", 'k', "N", 0, "keys (100000)", 0 },
	{ "skew", KEY_SKEW, "X", 0, "exponent of the Zipf distribution (0.9)",
	  0 },
	{ "hot-period", KEY_HOT_PERIOD, "S", 0,
	  "seconds until other keys are hot (never)", 0 },
	{ "seed", KEY_SEED, "N", 0, "seed of the draws (20260101)", 0 },
	{ "kind", 't', "METHOD,PATH,WEIGHT,idempotent|once[,BYTES]", 0,
	  "kind of request, {key} in PATH stands for the key; repeatable", 0 },
	{ "timeout-ms", KEY_TIMEOUT, "N", 0, "time for a request (10000)", 0 },
	{ "json", KEY_JSON, NULL, 0, "report as JSON", 0 },
	{ 0 }
};

static uint64_t number_option(struct argp_state *state, const char *text,
			      uint64_t min, uint64_t max)
{
	uint64_t number;

	if (!com_number(text, &number) || number < min || number > max)
		argp_error(state,
			   "%s is not a number from %" PRIu64 " to %" PRIu64,
			   text, min, max);
	return number;
}

static void add_kind(struct load *l, const char *text, struct argp_state *state)
{
	if (l->kind_count == LGK_KINDS_MAX ||
	    !lgk_parse(text, &l->kinds[l->kind_count]))
		argp_error(state, "kind: %s", text);
	l->kind_count++;
}

static error_t parse_numbers(int key, char *text, struct argp_state *state)
{
	struct load *l = state->input;

	switch (key) {
	case 'c':
		l->connections = number_option(state, text, 1, 16384);
		return 0;
	case 'd':
		l->duration_s = number_option(state, text, 1, 86400);
		return 0;
	case 'r':
		l->rate = number_option(state, text, 1, US_PER_S);
		return 0;
	case 'k':
		l->key_count = number_option(state, text, 1, LGK_KEYS_MAX);
		return 0;
	case KEY_SEED:
		l->seed = number_option(state, text, 0, INT64_MAX);
		return 0;
	case KEY_HOT_PERIOD:
		l->hot_period_s = number_option(state, text, 1, 86400);
		return 0;
	case KEY_TIMEOUT:
		l->timeout_ms = number_option(state, text, 1, 86400000);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct load *l = state->input;

	switch (key) {
	case 't':
		add_kind(l, text, state);
		return 0;
	case KEY_SKEW:
		l->skew = strtod(text, NULL);
		return 0;
	case KEY_JSON:
		l->as_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (l->daemon_count == DAEMONS_MAX)
			argp_error(state, "at most %d daemons", DAEMONS_MAX);
		l->addresses[l->daemon_count++] = text;
		return 0;
	case ARGP_KEY_END:
		if (!l->daemon_count)
			argp_error(state, "no daemon is named");
		return 0;
	default:
		return parse_numbers(key, text, state);
	}
}

/* Opens a pool for each daemon; ends the process on an error. */
static void open_daemons(struct load *l)
{
	unsigned int each =
		(unsigned int)(l->connections / l->daemon_count) + 1;

	for (size_t i = 0; i < l->daemon_count; i++) {
		struct err err = { 0 };
		char address[46];
		uint16_t port;

		if (com_split_address(l->addresses[i], address, &port))
			l->daemons[i] = upclient_pool_create(l->loop, address,
							     port, each, &err);
		if (!l->daemons[i]) {
			fprintf(stderr, "%s: %s\n", l->addresses[i],
				err.text[0] ? err.text : "not IP:PORT");
			exit(COM_EXIT_START);
		}
	}
}

/* Makes the workers, the keys and the longest body; false without memory. */
static bool prepare(struct load *l)
{
	size_t longest = 1;

	if (!l->kind_count)
		lgk_parse("GET,/item/{key},1,idempotent",
			  &l->kinds[l->kind_count++]);
	for (size_t i = 0; i < l->kind_count; i++) {
		if (l->kinds[i].body_bytes > longest)
			longest = l->kinds[i].body_bytes;
	}
	l->body = malloc(longest);
	l->keys = lgk_create(l->key_count, l->skew, l->seed);
	l->workers = calloc(l->connections, sizeof(*l->workers));
	if (l->body)
		memset(l->body, 'b', longest);
	return l->body && l->keys && l->workers;
}

/* Runs for the duration or until a signal. */
static void run(struct load *l)
{
	uint64_t now_us = lwsloop_now_us(l->loop);

	lgs_start(&l->stats, l->key_count, now_us);
	for (uint64_t i = 0; i < l->connections; i++) {
		l->workers[i].load = l;
		l->workers[i].daemon = l->daemons[i % l->daemon_count];
		schedule(&l->workers[i], 0);
	}
	tmr_at(lwsloop_timers(l->loop), now_us + l->duration_s * US_PER_S,
	       on_over, l->loop);
	lwsloop_run(l->loop);
	l->stopped = true;
	lgs_print(&l->stats, lwsloop_now_us(l->loop), l->seed, l->as_json);
}

int main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
					  .parser = parse_option,
					  .args_doc = "IP:PORT...",
					  .doc = "Load generator." };
	static struct load l = { .connections = 16,
				 .key_count = 100000,
				 .skew = 0.9,
				 .seed = DEFAULT_SEED,
				 .duration_s = 10,
				 .timeout_ms = 10000 };

	argp_parse(&argp, argc, argv, 0, NULL, &l);
	if (!prepare(&l))
		return COM_EXIT_START;
	l.loop = com_start_loop();
	open_daemons(&l);
	run(&l);
	for (size_t i = 0; i < l.daemon_count; i++)
		upclient_destroy(l.daemons[i]);
	lwsloop_destroy(l.loop);
	lgk_destroy(l.keys);
	free(l.workers);
	free(l.body);
	return EXIT_SUCCESS;
}
