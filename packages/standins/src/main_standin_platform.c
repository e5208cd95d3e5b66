/*
 * Stand-in of the platform: the table service and the object store over HTTP
 * and JSON, in memory. POST /control makes it fail on demand.
 */

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "com.h"
#include "stb.h"

#define KEY_MAX 1024
#define VALUE_MAX (1024 * 1024)
#define OBJECT_MAX (64 * 1024 * 1024)
#define ROWS_MAX 10000
#define DEFAULT_ROWS 1000

struct platform {
	struct lwsloop *loop;
	struct stb *table;
	const char *address;
	uint16_t port;
	uint64_t reads;
	uint64_t writes; /* that took effect */
	uint64_t conflicts;
	uint64_t refused; /* while it was down */
	uint64_t dropped; /* replies */
	bool down;
	uint64_t latency_ms;
	uint64_t drop_replies;
};

/* A request; the answer is held back for the latency. */
struct ask {
	struct platform *p;
	struct websrv_req *r;
	struct com_buf body;
	char key[KEY_MAX];
	uint32_t timer;
};

static json_t *pack_row(const struct stb_row *row)
{
	return json_pack("{s:s,s:I,s:I,s:s}", "key", row->key, "version",
			 (json_int_t)row->version, "seq", (json_int_t)row->seq,
			 "value", row->value);
}

/* A conflict with an absent row is answered with a row of version 0. */
static void reply_row(struct ask *a, int status)
{
	const struct stb_row absent = { a->key, "", 0, 0 };
	const struct stb_row *row = stb_get(a->p->table, a->key);

	com_reply_json(a->r, status, pack_row(row ? row : &absent));
}

static void get_row(struct ask *a)
{
	a->p->reads++;
	if (stb_get(a->p->table, a->key))
		reply_row(a, 200);
	else
		com_reply_error(a->r, 404, "no such row");
}

/* True if this write's reply is to be lost. */
static bool drops_reply(struct ask *a)
{
	a->p->writes++;
	if (!a->p->drop_replies)
		return false;
	a->p->drop_replies--;
	a->p->dropped++;
	websrv_abort(a->r);
	return true;
}

static void put_row(struct ask *a)
{
	uint64_t expect = STB_ANY_VERSION;
	char text[32] = "";

	com_query(a->r, "expect", text, sizeof(text));
	if (strcmp(text, "any") != 0 && !com_number(text, &expect)) {
		com_reply_error(a->r, 400, "expect is a version or \"any\"");
		return;
	}
	switch (stb_put(a->p->table, a->key, expect,
			a->body.data ? a->body.data : "")) {
	case STB_WRITTEN:
		if (!drops_reply(a))
			reply_row(a, 200);
		break;
	case STB_CONFLICT:
		a->p->conflicts++;
		reply_row(a, 409);
		break;
	default:
		com_reply_error(a->r, 500, "out of memory");
	}
}

/* complete is the last number of the answer when rows had to be left out. */
static void list_rows(struct ask *a)
{
	const struct stb_row *row = NULL;
	json_t *rows = json_array();
	uint64_t complete = stb_seq(a->p->table);
	uint64_t limit = DEFAULT_ROWS;
	uint64_t since = 0;
	char text[32];

	a->p->reads++;
	if (com_query(a->r, "since", text, sizeof(text)))
		com_number(text, &since);
	if (com_query(a->r, "limit", text, sizeof(text)))
		com_number(text, &limit);
	if (!limit || limit > ROWS_MAX)
		limit = ROWS_MAX;
	while ((row = stb_next(a->p->table, since, row))) {
		json_array_append_new(rows, pack_row(row));
		if (json_array_size(rows) == limit) {
			complete = row->seq;
			break;
		}
	}
	com_reply_json(a->r, 200,
		       json_pack("{s:o,s:I}", "rows", rows, "complete",
				 (json_int_t)complete));
}

static void put_object(struct ask *a)
{
	if (!stb_put_object(a->p->table, a->key, a->body.data, a->body.len)) {
		com_reply_error(a->r, 500, "out of memory");
		return;
	}
	memset(&a->body, 0, sizeof(a->body));
	if (!drops_reply(a))
		com_reply_json(a->r, 200, json_object());
}

static void get_object(struct ask *a)
{
	struct stb_object object;

	a->p->reads++;
	if (stb_get_object(a->p->table, a->key, &object))
		websrv_reply(a->r, 200, NULL, 0, object.body, object.len);
	else
		com_reply_error(a->r, 404, "no such object");
}

static void get_control(struct ask *a)
{
	struct platform *p = a->p;

	com_reply_json(a->r, 200,
		       json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:I,s:I}",
				 "reads", (json_int_t)p->reads, "writes",
				 (json_int_t)p->writes, "conflicts",
				 (json_int_t)p->conflicts, "refused",
				 (json_int_t)p->refused, "dropped",
				 (json_int_t)p->dropped, "rows",
				 (json_int_t)stb_rows(p->table), "seq",
				 (json_int_t)stb_seq(p->table), "down", p->down,
				 "latency_ms", (json_int_t)p->latency_ms,
				 "drop_replies", (json_int_t)p->drop_replies));
}

/* Fields that are absent keep their values. */
static void post_control(struct ask *a)
{
	json_t *json = json_loadb(a->body.data ? a->body.data : "", a->body.len,
				  0, NULL);
	json_t *down = json_object_get(json, "down");
	json_t *latency = json_object_get(json, "latency_ms");
	json_t *drop = json_object_get(json, "drop_replies");

	if (!json_is_object(json)) {
		json_decref(json);
		com_reply_error(a->r, 400, "a JSON object is needed");
		return;
	}
	if (down)
		a->p->down = json_is_true(down);
	if (json_is_integer(latency))
		a->p->latency_ms = (uint64_t)json_integer_value(latency);
	if (json_is_integer(drop))
		a->p->drop_replies = (uint64_t)json_integer_value(drop);
	json_decref(json);
	get_control(a);
}

/* Odd requests are answered, even ones cut off: callers meet both. */
static void refuse_down(struct ask *a)
{
	if (a->p->refused++ % 2)
		com_reply_error(a->r, 503, "down");
	else
		websrv_abort(a->r);
}

struct route {
	const char *method;
	const char *path;
	bool prefix; /* what follows the path is the key */
	size_t body_max;
	void (*fn)(struct ask *a);
};

static const struct route routes[] = {
	{ "GET", "/control", false, 0, get_control },
	{ "POST", "/control", false, VALUE_MAX, post_control },
	{ "GET", "/table", false, 0, list_rows },
	{ "GET", "/table/", true, 0, get_row },
	{ "PUT", "/table/", true, VALUE_MAX, put_row },
	{ "GET", "/object/", true, 0, get_object },
	{ "PUT", "/object/", true, OBJECT_MAX, put_object },
};

static const struct route *find_route(const struct websrv_req *r)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const struct route *route = &routes[i];
		size_t len = strlen(route->path);

		if (strcmp(websrv_method(r), route->method) != 0)
			continue;
		if (route->prefix ?
			    strncmp(websrv_path(r), route->path, len) == 0 :
			    strcmp(websrv_path(r), route->path) == 0)
			return route;
	}
	return NULL;
}

static void run(struct ask *a)
{
	const struct route *route = find_route(a->r);
	const char *key = websrv_path(a->r);

	if (!route)
		com_reply_error(a->r, 404, "no such path");
	else if (route->prefix &&
		 !com_decode(key + strlen(route->path), a->key, KEY_MAX))
		com_reply_error(a->r, 400, "malformed key");
	else
		route->fn(a);
}

static void on_latency(void *arg, uint64_t now_us)
{
	struct ask *a = arg;

	(void)now_us;
	a->timer = 0;
	run(a);
}

static bool is_control(const struct websrv_req *r)
{
	return strcmp(websrv_path(r), "/control") == 0;
}

static void on_head(void *arg, struct websrv_req *r)
{
	struct ask *a = calloc(1, sizeof(*a));

	if (!a) {
		websrv_abort(r);
		return;
	}
	a->p = arg;
	a->r = r;
	websrv_set_user(r, a);
}

static void on_body(void *arg, struct websrv_req *r, const void *data,
		    size_t len, bool end)
{
	const struct route *route = find_route(r);
	struct platform *p = arg;
	struct ask *a = websrv_user(r);

	if (!a)
		return;
	if (!com_append(&a->body, data, len, route ? route->body_max : 0)) {
		websrv_set_user(r, NULL);
		com_free(&a->body);
		free(a);
		com_reply_error(r, 413, "the body is too long");
		return;
	}
	if (!end)
		return;
	if (p->down && !is_control(r))
		refuse_down(a);
	else if (p->latency_ms && !is_control(r))
		a->timer = tmr_at(lwsloop_timers(p->loop),
				  lwsloop_now_us(p->loop) +
					  p->latency_ms * US_PER_MS,
				  on_latency, a);
	else
		run(a);
}

static void on_writable(void *arg, struct websrv_req *r)
{
	(void)arg;
	(void)r;
}

static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct platform *p = arg;
	struct ask *a = websrv_user(r);

	(void)complete;
	if (!a)
		return;
	tmr_cancel(lwsloop_timers(p->loop), a->timer);
	com_free(&a->body);
	free(a);
}

static const struct websrv_ops ops = { on_head, on_body, on_writable,
				       on_closed };

static const struct argp_option options[] = {
	{ "address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "port to listen on (chosen)", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct platform *p = state->input;
	uint64_t number;

	switch (key) {
	case 'a':
		p->address = text;
		return 0;
	case 'p':
		if (!com_number(text, &number) || number > UINT16_MAX)
			argp_error(state, "port: 0 to 65535, not %s", text);
		p->port = (uint16_t)number;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Stand-in of the platform's table service and objects."
	};
	struct platform p = { .address = "127.0.0.1" };
	struct websrv *server;

	argp_parse(&argp, argc, argv, 0, NULL, &p);
	p.table = stb_create();
	if (!p.table)
		return COM_EXIT_START;
	p.loop = com_start_loop();
	server = com_listen(p.loop, p.address, p.port, &ops, &p);
	lwsloop_run(p.loop);
	websrv_destroy(server);
	lwsloop_destroy(p.loop);
	stb_destroy(p.table);
	return EXIT_SUCCESS;
}
