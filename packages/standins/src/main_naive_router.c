/*
 * The naive version of the router, for comparison: the key of a request is
 * hashed over a fixed list of upstreams. It has no lease, no admission and no
 * duplicate window, and it does not notice that an upstream has gone.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "com.h"
#include "ups.h"

#define ROUTES_MAX 8
#define UPSTREAMS_MAX 128
#define CONNECTIONS 120
#define TIMEOUT_US (60 * US_PER_S)
#define KEY_MAX 256

/* The upstreams of all paths that begin with a prefix. */
struct route {
	const char *prefix;
	size_t prefix_len;
	struct ups *upstreams[UPSTREAMS_MAX];
	size_t count;
};

struct router {
	struct lop *loop;
	const char *address;
	uint16_t port;
	char *specs[ROUTES_MAX];
	struct route routes[ROUTES_MAX];
	size_t route_count;
};

/* One request on its way. */
struct pass {
	struct htp_req *req;
	struct ups *upstream;
	uint32_t call; /* 0 when it is over */
	bool responded;
};

static void on_response(void *arg, const struct ups_response *response)
{
	struct pass *p = arg;

	p->responded = true;
	htp_respond(p->req, response->status, response->headers,
		    response->header_count, response->content_length);
}

static void on_response_body(void *arg, const void *data, size_t len)
{
	struct pass *p = arg;

	if (!htp_write(p->req, data, len, false))
		ups_pause(p->upstream, p->call, true);
}

static void on_response_end(void *arg)
{
	struct pass *p = arg;

	p->call = 0;
	htp_write(p->req, NULL, 0, true);
}

static void on_failed(void *arg, enum ups_failure why)
{
	struct pass *p = arg;

	(void)why;
	p->call = 0;
	if (p->responded)
		htp_abort(p->req);
	else
		com_reply_error(p->req, 502, "upstream failed");
}

static void on_upstream_writable(void *arg)
{
	htp_pause(((struct pass *)arg)->req, false);
}

static const struct ups_events events = { on_response, on_response_body,
					  on_response_end, on_failed,
					  on_upstream_writable };

/* The third part of the path, or the field "client" of the query. */
static void find_key(const struct htp_req *r, char key[KEY_MAX])
{
	key[0] = '\0';
	if (sscanf(htp_path(r), "/%*[^/]/%*[^/]/%255[^/]", key) != 1)
		com_query(r, "client", key, KEY_MAX);
}

static struct ups *choose(struct router *n, const struct htp_req *r)
{
	char key[KEY_MAX];

	find_key(r, key);
	for (size_t i = 0; i < n->route_count; i++) {
		struct route *route = &n->routes[i];

		if (strncmp(htp_path(r), route->prefix, route->prefix_len) == 0)
			return route->upstreams[XXH3_64bits(key, strlen(key)) %
						route->count];
	}
	return NULL;
}

static bool forward(struct pass *p)
{
	const char *id = htp_header(p->req, "idempotency-key");
	const struct htp_header header = { "idempotency-key", id };
	const char *query = htp_query(p->req);
	char target[2 * HTP_PATH_MAX];
	struct ups_request req = { .method = htp_method(p->req),
				   .target = target,
				   .headers = &header,
				   .header_count = id ? 1 : 0,
				   .content_length = htp_content_length(p->req),
				   .timeout_us = TIMEOUT_US };

	req.end = req.content_length == 0;
	snprintf(target, sizeof(target), "%s%s%s", htp_path(p->req),
		 query[0] ? "?" : "", query);
	p->call = ups_start(p->upstream, &req, &events, p);
	return p->call != 0;
}

static void on_head(void *arg, struct htp_req *r)
{
	struct pass *p = calloc(1, sizeof(*p));

	htp_set_user(r, p);
	if (!p) {
		htp_abort(r);
		return;
	}
	p->req = r;
	p->upstream = choose(arg, r);
	if (!p->upstream)
		com_reply_error(r, 404, "no route");
	else if (!forward(p))
		com_reply_error(r, 503, "no connection is free");
}

static void on_body(void *arg, struct htp_req *r, const void *data, size_t len,
		    bool end)
{
	struct pass *p = htp_user(r);

	(void)arg;
	if (!p || !p->call || htp_content_length(r) == 0)
		return;
	if (!ups_write(p->upstream, p->call, data, len, end) && !end)
		htp_pause(r, true);
}

static void on_writable(void *arg, struct htp_req *r)
{
	struct pass *p = htp_user(r);

	(void)arg;
	if (p && p->call)
		ups_pause(p->upstream, p->call, false);
}

static void on_closed(void *arg, struct htp_req *r, bool complete)
{
	struct pass *p = htp_user(r);

	(void)arg;
	(void)complete;
	if (p && p->call)
		ups_cancel(p->upstream, p->call);
	free(p);
}

static const struct htp_ops ops = { on_head, on_body, on_writable, on_closed };

static const struct argp_option options[] = {
	{ "address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "port to listen on (chosen)", 0 },
	{ "route", 'r', "PREFIX=IP:PORT,...", 0,
	  "upstreams of a path prefix; repeatable", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct router *n = state->input;
	uint64_t port;

	switch (key) {
	case 'a':
		n->address = text;
		return 0;
	case 'p':
		if (!com_number(text, &port) || port > UINT16_MAX)
			argp_error(state, "%s is not a port", text);
		n->port = (uint16_t)port;
		return 0;
	case 'r':
		if (n->route_count == ROUTES_MAX || !strchr(text, '='))
			argp_error(state, "route: %s", text);
		n->specs[n->route_count++] = text;
		return 0;
	case ARGP_KEY_END:
		if (!n->route_count)
			argp_error(state, "no route is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Opens the pools of a route; ends the process on an error. */
static void open_route(struct router *n, struct route *route, char *spec)
{
	char *rest = strchr(spec, '=');
	char *item;

	*rest++ = '\0';
	route->prefix = spec;
	route->prefix_len = strlen(spec);
	while ((item = strsep(&rest, ",")) != NULL) {
		struct err err = { 0 };
		struct ups *u = NULL;
		char address[46];
		uint16_t port;

		if (route->count < UPSTREAMS_MAX &&
		    com_split_address(item, address, &port))
			u = ups_lws_create(n->loop, address, port, CONNECTIONS,
					   &err);
		if (!u) {
			fprintf(stderr, "%s: cannot be used\n", item);
			exit(COM_EXIT_START);
		}
		route->upstreams[route->count++] = u;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
					  .parser = parse_option,
					  .doc = "Router without leases, for "
						 "comparison." };
	static struct router n = { .address = "127.0.0.1" };
	struct htp *server;

	argp_parse(&argp, argc, argv, 0, NULL, &n);
	n.loop = com_start_loop();
	for (size_t i = 0; i < n.route_count; i++)
		open_route(&n, &n.routes[i], n.specs[i]);
	server = com_listen(n.loop, n.address, n.port, &ops, &n);
	lop_run(n.loop);
	htp_destroy(server);
	for (size_t i = 0; i < n.route_count; i++) {
		for (size_t j = 0; j < n.routes[i].count; j++)
			ups_destroy(n.routes[i].upstreams[j]);
	}
	lop_destroy(n.loop);
	return EXIT_SUCCESS;
}
