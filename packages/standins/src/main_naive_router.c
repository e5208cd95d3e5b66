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
#include "upclient.h"

#define ROUTES_MAX 8
#define UPSTREAMS_MAX 128
#define CONNECTIONS 120
#define TIMEOUT_US (60 * US_PER_S)
#define KEY_MAX 256

/* The upstreams of all paths that begin with a prefix. */
struct route {
	const char *prefix;
	size_t prefix_len;
	struct upclient *upstreams[UPSTREAMS_MAX];
	size_t count;
};

struct router {
	struct lwsloop *loop;
	const char *address;
	uint16_t port;
	char *specs[ROUTES_MAX];
	struct route routes[ROUTES_MAX];
	size_t route_count;
};

/* One request on its way. */
struct pass {
	struct websrv_req *req;
	struct upclient *upstream;
	uint32_t call; /* 0 when it is over */
	bool responded;
};

static void on_response(void *arg, const struct upclient_response *response)
{
	struct pass *p = arg;

	p->responded = true;
	websrv_respond(p->req, response->status, response->headers,
		       response->header_count, response->content_length);
}

static void on_response_body(void *arg, const void *data, size_t len)
{
	struct pass *p = arg;

	if (!websrv_write(p->req, data, len, false))
		upclient_pause(p->upstream, p->call, true);
}

static void on_response_end(void *arg)
{
	struct pass *p = arg;

	p->call = 0;
	websrv_write(p->req, NULL, 0, true);
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct pass *p = arg;

	(void)why;
	p->call = 0;
	if (p->responded)
		websrv_abort(p->req);
	else
		com_reply_error(p->req, 502, "upstream failed");
}

static void on_upstream_writable(void *arg)
{
	websrv_pause(((struct pass *)arg)->req, false);
}

static const struct upclient_events events = { on_response, on_response_body,
					       on_response_end, on_failed,
					       on_upstream_writable };

/* The third part of the path, or the field "client" of the query. */
static void find_key(const struct websrv_req *r, char key[KEY_MAX])
{
	key[0] = '\0';
	if (sscanf(websrv_path(r), "/%*[^/]/%*[^/]/%255[^/]", key) != 1)
		com_query(r, "client", key, KEY_MAX);
}

static struct upclient *choose(struct router *n, const struct websrv_req *r)
{
	char key[KEY_MAX];

	find_key(r, key);
	for (size_t i = 0; i < n->route_count; i++) {
		struct route *route = &n->routes[i];

		if (strncmp(websrv_path(r), route->prefix, route->prefix_len) ==
		    0)
			return route->upstreams[XXH3_64bits(key, strlen(key)) %
						route->count];
	}
	return NULL;
}

static bool forward(struct pass *p)
{
	const char *id = websrv_header(p->req, "idempotency-key");
	const struct websrv_header header = { "idempotency-key", id };
	const char *query = websrv_query(p->req);
	char target[2 * WEBSRV_PATH_MAX];
	struct upclient_request req = { .method = websrv_method(p->req),
					.target = target,
					.headers = &header,
					.header_count = id ? 1 : 0,
					.content_length =
						websrv_content_length(p->req),
					.timeout_us = TIMEOUT_US };

	req.end = req.content_length == 0;
	snprintf(target, sizeof(target), "%s%s%s", websrv_path(p->req),
		 query[0] ? "?" : "", query);
	p->call = upclient_start(p->upstream, &req, &events, p);
	return p->call != 0;
}

static void on_head(void *arg, struct websrv_req *r)
{
	struct pass *p = calloc(1, sizeof(*p));

	websrv_set_user(r, p);
	if (!p) {
		websrv_abort(r);
		return;
	}
	p->req = r;
	p->upstream = choose(arg, r);
	if (!p->upstream)
		com_reply_error(r, 404, "no route");
	else if (!forward(p))
		com_reply_error(r, 503, "no connection is free");
}

static void on_body(void *arg, struct websrv_req *r, const void *data,
		    size_t len, bool end)
{
	struct pass *p = websrv_user(r);

	(void)arg;
	if (!p || !p->call || websrv_content_length(r) == 0)
		return;
	if (!upclient_write(p->upstream, p->call, data, len, end) && !end)
		websrv_pause(r, true);
}

static void on_writable(void *arg, struct websrv_req *r)
{
	struct pass *p = websrv_user(r);

	(void)arg;
	if (p && p->call)
		upclient_pause(p->upstream, p->call, false);
}

static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct pass *p = websrv_user(r);

	(void)arg;
	(void)complete;
	if (p && p->call)
		upclient_cancel(p->upstream, p->call);
	free(p);
}

static const struct websrv_ops ops = { on_head, on_body, on_writable,
				       on_closed };

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
		struct upclient *u = NULL;
		char address[46];
		uint16_t port;

		if (route->count < UPSTREAMS_MAX &&
		    com_split_address(item, address, &port))
			u = upclient_pool_create(n->loop, address, port,
						 CONNECTIONS, &err);
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
	struct websrv *server;

	argp_parse(&argp, argc, argv, 0, NULL, &n);
	n.loop = com_start_loop();
	for (size_t i = 0; i < n.route_count; i++)
		open_route(&n, &n.routes[i], n.specs[i]);
	server = com_listen(n.loop, n.address, n.port, &ops, &n);
	lwsloop_run(n.loop);
	websrv_destroy(server);
	for (size_t i = 0; i < n.route_count; i++) {
		for (size_t j = 0; j < n.routes[i].count; j++)
			upclient_destroy(n.routes[i].upstreams[j]);
	}
	lwsloop_destroy(n.loop);
	return EXIT_SUCCESS;
}
