/*
 * Stand-in of an upstream. It announces itself to a daemon, does work of a
 * given length, and misbehaves on demand by POST /control with any of
 * {"shed":bool, "stall":PREFIX, "crash":PART, "service_ms":N, "drain":bool,
 * "healthy":bool, "load":number}; the last two are what it claims, and null
 * ends a claim, a stall or a crash.
 */

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upclient.h"
#include "ust.h"

#define ANNOUNCE_US (1 * US_PER_S)
#define CONTROL_MAX 65536
#define ANNOUNCE_CONNECTIONS 2

struct upstream {
	struct ust work;
	struct upclient *daemon;
	const char *address;
	uint16_t port;
	const char *service;
	const char *journal;
	const char *fence_file;
	uint64_t connections;
	uint64_t cold_start_ms;
	char daemon_address[46];
	uint16_t daemon_port;
	bool checks_fences;
	bool draining;
	bool unhealthy; /* what is claimed */
	json_t *load; /* what is claimed, NULL for the truth */
	struct com_buf control;
	struct websrv_req *controller; /* the request whose body is read */
};

static json_t *claimed_load(const struct upstream *u)
{
	if (u->load)
		return json_incref(u->load);
	return json_real((double)u->work.busy / (double)u->work.slots);
}

static void on_answer_head(void *arg, const struct upclient_response *response)
{
	(void)arg;
	(void)response;
}

static void on_answer_body(void *arg, const void *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_answer_end(void *arg)
{
	(void)arg;
}

/* The next announcement is the retry. */
static void on_answer_failed(void *arg, enum upclient_failure why)
{
	(void)arg;
	(void)why;
}

static const struct upclient_events answer_events = {
	on_answer_head, on_answer_body, on_answer_end, on_answer_failed, NULL
};

static void announce(void *arg, uint64_t now_us)
{
	static const struct websrv_header type = { "content-type",
						   "application/json" };
	struct upstream *u = arg;
	struct upclient_request req = { .method = "POST",
					.target = "/-/announce",
					.headers = &type,
					.header_count = 1,
					.end = true,
					.timeout_us = ANNOUNCE_US };
	json_t *json =
		json_pack("{s:s,s:s,s:i,s:I,s:I,s:s,s:o,s:b}", "service",
			  u->service, "address", u->address, "port", u->port,
			  "slots", (json_int_t)u->work.slots, "connections",
			  (json_int_t)u->connections, "state",
			  u->draining ? "draining" : "up", "load",
			  claimed_load(u), "healthy", !u->unhealthy);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	(void)now_us;
	json_decref(json);
	if (!text)
		return;
	req.first = text;
	req.first_len = strlen(text);
	req.content_length = (long long)req.first_len;
	upclient_start(u->daemon, &req, &answer_events, u);
	free(text);
}

static void reply_status(struct upstream *u, struct websrv_req *r)
{
	const struct ust *w = &u->work;

	com_reply_json(
		r, 200,
		json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}",
			  "service", u->service, "instance", w->instance,
			  "busy", (json_int_t)w->busy, "slots",
			  (json_int_t)w->slots, "started",
			  (json_int_t)w->started, "done", (json_int_t)w->done,
			  "refused_fence", (json_int_t)w->refused_fence,
			  "refused_start_by", (json_int_t)w->refused_start_by,
			  "refused_shed", (json_int_t)w->refused_shed,
			  "cancelled", (json_int_t)w->cancelled, "deadlines",
			  (json_int_t)w->deadlines, "draining", u->draining));
}

static void set_text(json_t *json, const char *name, char out[UST_TEXT_MAX])
{
	json_t *value = json_object_get(json, name);
	const char *text = json_string_value(value);

	if (value)
		snprintf(out, UST_TEXT_MAX, "%s", text ? text : "");
}

static void set_flag(json_t *json, const char *name, bool *out)
{
	json_t *value = json_object_get(json, name);

	if (value)
		*out = json_is_true(value);
}

static void apply_control(struct upstream *u, json_t *json)
{
	json_t *load = json_object_get(json, "load");
	json_t *healthy = json_object_get(json, "healthy");
	json_t *service_ms = json_object_get(json, "service_ms");

	set_flag(json, "shed", &u->work.shed);
	set_flag(json, "drain", &u->draining);
	set_text(json, "stall", u->work.stall);
	set_text(json, "crash", u->work.crash);
	if (healthy)
		u->unhealthy = json_is_false(healthy);
	if (json_is_integer(service_ms))
		u->work.service_ms = (uint64_t)json_integer_value(service_ms);
	if (load) {
		json_decref(u->load);
		u->load = json_is_number(load) ? json_incref(load) : NULL;
	}
	ust_release_stalled(&u->work);
}

static void take_control(struct upstream *u, struct websrv_req *r)
{
	json_t *json = json_loadb(u->control.data ? u->control.data : "",
				  u->control.len, 0, NULL);

	com_free(&u->control);
	u->controller = NULL;
	if (!json_is_object(json)) {
		com_reply_error(r, 400, "a JSON object is needed");
	} else {
		apply_control(u, json);
		reply_status(u, r);
	}
	json_decref(json);
}

/* One request for control at a time, since only the tests send them. */
static void head_control(struct upstream *u, struct websrv_req *r)
{
	if (strcmp(websrv_method(r), "POST") != 0)
		reply_status(u, r);
	else if (u->controller)
		com_reply_error(r, 409, "another request for control runs");
	else
		u->controller = r;
}

static void on_head(void *arg, struct websrv_req *r)
{
	struct upstream *u = arg;

	if (strcmp(websrv_path(r), "/control") == 0)
		head_control(u, r);
	else if (strcmp(websrv_path(r), "/health") == 0)
		com_reply_json(r, u->unhealthy ? 503 : 200,
			       json_pack("{s:b}", "healthy", !u->unhealthy));
	else if (strcmp(websrv_path(r), "/load") == 0)
		com_reply_json(r, 200,
			       json_pack("{s:o}", "load", claimed_load(u)));
	else
		ust_head(&u->work, r);
}

static void on_body(void *arg, struct websrv_req *r, const void *data,
		    size_t len, bool end)
{
	struct upstream *u = arg;

	if (r != u->controller) {
		ust_body(r, data, len, end);
		return;
	}
	if (!com_append(&u->control, data, len, CONTROL_MAX)) {
		com_free(&u->control);
		u->controller = NULL;
		com_reply_error(r, 413, "the body is too long");
		return;
	}
	if (end)
		take_control(u, r);
}

static void on_writable(void *arg, struct websrv_req *r)
{
	(void)arg;
	ust_writable(r);
}

static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct upstream *u = arg;

	if (r == u->controller) {
		u->controller = NULL;
		com_free(&u->control);
	}
	ust_closed(r, complete);
}

static const struct websrv_ops ops = { on_head, on_body, on_writable,
				       on_closed };

enum {
	KEY_SLOTS = 256,
	KEY_CONNECTIONS,
	KEY_DAEMON,
	KEY_CHECKS_FENCES,
	KEY_FENCE_FILE,
	KEY_COLD_START,
	KEY_SERVICE_MS,
	KEY_JOURNAL
};

static const struct argp_option options[] = {
	{ "address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "port to listen on (chosen)", 0 },
	{ "service", 's', "NAME", 0, "service that it belongs to", 0 },
	{ "instance", 'i', "NAME", 0, "name in answers and journal", 0 },
	{ "slots", KEY_SLOTS, "N", 0, "requests at a time (6)", 0 },
	{ "connections", KEY_CONNECTIONS, "N", 0, "connections (120)", 0 },
	{ "daemon", KEY_DAEMON, "IP:PORT", 0, "operators' port to announce at",
	  0 },
	{ "checks-fences", KEY_CHECKS_FENCES, "on|off", 0,
	  "refuse lower fences (off)", 0 },
	{ "fence-file", KEY_FENCE_FILE, "FILE", 0,
	  "fences seen, shared by the service", 0 },
	{ "cold-start-ms", KEY_COLD_START, "N", 0, "slow at first (0)", 0 },
	{ "service-ms", KEY_SERVICE_MS, "N", 0, "time of a request (1)", 0 },
	{ "journal", KEY_JOURNAL, "FILE", 0, "file to append to", 0 },
	{ 0 }
};

static uint64_t number_option(struct argp_state *state, const char *text,
			      uint64_t max)
{
	uint64_t number;

	if (!com_number(text, &number) || number > max)
		argp_error(state, "%s is not a number from 0 to %llu", text,
			   (unsigned long long)max);
	return number;
}

static error_t parse_number(int key, char *text, struct argp_state *state)
{
	struct upstream *u = state->input;

	switch (key) {
	case 'p':
		u->port = (uint16_t)number_option(state, text, UINT16_MAX);
		return 0;
	case KEY_SLOTS:
		u->work.slots = number_option(state, text, 1000);
		return 0;
	case KEY_CONNECTIONS:
		u->connections = number_option(state, text, 10000);
		return 0;
	case KEY_COLD_START:
		u->cold_start_ms = number_option(state, text, UINT32_MAX);
		return 0;
	case KEY_SERVICE_MS:
		u->work.service_ms = number_option(state, text, UINT32_MAX);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct upstream *u = state->input;

	switch (key) {
	case 'a':
		u->address = text;
		return 0;
	case 's':
		u->service = text;
		return 0;
	case 'i':
		u->work.instance = text;
		return 0;
	case KEY_DAEMON:
		if (!com_split_address(text, u->daemon_address,
				       &u->daemon_port))
			argp_error(state, "%s is not IP:PORT", text);
		return 0;
	case KEY_CHECKS_FENCES:
		u->checks_fences = strcmp(text, "on") == 0;
		if (!u->checks_fences && strcmp(text, "off") != 0)
			argp_error(state, "%s is not on or off", text);
		return 0;
	case KEY_FENCE_FILE:
		u->fence_file = text;
		return 0;
	case KEY_JOURNAL:
		u->journal = text;
		return 0;
	case ARGP_KEY_END:
		if (u->checks_fences && !u->fence_file)
			argp_error(state, "--checks-fences needs --fence-file");
		return 0;
	default:
		return parse_number(key, text, state);
	}
}

/* Opens the files that the options name; ends the process on an error. */
static void open_files(struct upstream *u)
{
	u->work.incarnation = clk_random(clk_system());
	u->work.journal =
		jrn_open(u->journal, u->work.instance, u->work.incarnation);
	if (u->checks_fences)
		u->work.fences = fnc_open(u->fence_file);
	if (u->work.journal && (u->work.fences || !u->checks_fences))
		return;
	perror(u->work.journal ? u->fence_file : u->journal);
	exit(COM_EXIT_START);
}

/* Announces itself now and each second. */
static void start_announcing(struct upstream *u)
{
	struct err err = { 0 };

	u->daemon = upclient_pool_create(u->work.loop, u->daemon_address,
					 u->daemon_port, ANNOUNCE_CONNECTIONS,
					 &err);
	if (!u->daemon) {
		fprintf(stderr, "%s\n", err.text);
		exit(COM_EXIT_START);
	}
	tmr_every(lwsloop_timers(u->work.loop), lwsloop_now_us(u->work.loop),
		  ANNOUNCE_US, announce, u);
}

int main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
					  .parser = parse_option,
					  .doc = "Stand-in of an upstream." };
	struct upstream u = {
		.address = "127.0.0.1",
		.service = "service",
		.connections = 120,
		.work = { .instance = "upstream", .slots = 6, .service_ms = 1 }
	};
	struct websrv *server;

	argp_parse(&argp, argc, argv, 0, NULL, &u);
	open_files(&u);
	u.work.loop = com_start_loop();
	u.work.cold_until_us =
		lwsloop_now_us(u.work.loop) + u.cold_start_ms * US_PER_MS;
	server = com_listen(u.work.loop, u.address, u.port, &ops, &u);
	u.port = websrv_port(server);
	if (u.daemon_port)
		start_announcing(&u);
	lwsloop_run(u.work.loop);
	websrv_destroy(server);
	if (u.daemon)
		upclient_destroy(u.daemon);
	lwsloop_destroy(u.work.loop);
	jrn_close(u.work.journal);
	fnc_close(u.work.fences);
	json_decref(u.load);
	return EXIT_SUCCESS;
}
