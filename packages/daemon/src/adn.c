#include "adn_int.h"

#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 256
#define IDLE_MS 60000
#define HEADER_MS 5000

static const struct route routes[] = {
	{ "GET", "/-/status", adn_get_status },
	{ "GET", "/-/members", adn_get_members },
	{ "GET", "/-/owners", adn_get_owners },
	{ "GET", "/-/hot", adn_get_hot },
	{ "GET", "/-/quarantine", adn_get_quarantine },
	{ "GET", "/-/explain", adn_get_explain },
	{ "GET", "/-/metrics", adn_get_metrics },
	{ "GET", "/-/manifest", adn_get_manifest },
	{ "POST", "/-/manifest", adn_post_manifest },
	{ "POST", "/-/drain", adn_post_drain },
	{ "POST", "/-/undrain", adn_post_undrain },
	{ "POST", "/-/quarantine/lift", adn_post_lift },
	{ "POST", "/-/ended", adn_post_ended },
	{ "POST", "/-/announce", adn_post_announce },
};

/* Finds the route of a request; *known tells whether the path exists. */
static const struct route *find_route(const struct websrv_req *r, bool *known)
{
	*known = false;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, websrv_path(r)) != 0)
			continue;
		*known = true;
		if (strcmp(routes[i].method, websrv_method(r)) == 0)
			return &routes[i];
	}
	return NULL;
}

static void on_head(void *arg, struct websrv_req *r)
{
	struct ask *a = calloc(1, sizeof(*a));
	bool known;

	if (!a) {
		websrv_abort(r);
		return;
	}
	a->adn = arg;
	a->req = r;
	websrv_set_user(r, a);
	a->route = find_route(r, &known);
	if (!a->route)
		adn_result(a, known ? 405 : 404, "refused",
			   known ? "no such method" : "no such path");
	else if (!adn_body_fits(websrv_content_length(r)))
		adn_result(a, 413, "refused", "the body is too long");
	else if (websrv_content_length(r) == 0)
		a->route->fn(a);
}

/* Returns whether the request of this route has a body that is used. */
static bool takes_body(const struct route *route)
{
	return strcmp(route->method, "POST") == 0;
}

/* Collects the body, then handles the request. */
static void on_body(void *arg, struct websrv_req *r, const void *data,
		    size_t len, bool end)
{
	struct ask *a = websrv_user(r);

	(void)arg;
	if (!a || a->over || a->pending || websrv_content_length(r) == 0)
		return;
	if (takes_body(a->route) && !adn_body_add(a, data, len))
		return;
	if (!end)
		return;
	adn_body_end(a);
	a->route->fn(a);
}

static void on_writable(void *arg, struct websrv_req *r)
{
	(void)arg;
	(void)r;
}

static void on_closed(void *arg, struct websrv_req *r, bool complete)
{
	struct ask *a = websrv_user(r);

	(void)arg;
	(void)complete;
	if (!a)
		return;
	a->req = NULL;
	if (a->pending)
		return;
	adn_body_free(a);
	free(a);
}

static const struct websrv_ops server_ops = {
	.head = on_head,
	.body = on_body,
	.writable = on_writable,
	.closed = on_closed,
};

/* Opens the port for operators. */
struct adn *adn_create(struct nod *n, struct err *err)
{
	struct adn *a = calloc(1, sizeof(*a));
	struct websrv_params params = { .address = n->set.address,
					.port = n->set.admin_port,
					.max_connections = CONNECTIONS_MAX,
					.idle_timeout_ms = IDLE_MS,
					.header_timeout_ms = HEADER_MS };

	if (!a) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	a->n = n;
	a->server = websrv_create(n->loop, &params, &server_ops, a, err);
	if (!a->server) {
		err_wrap(err, ERR_DAEMON, NOD_NO_SOCKET, "port for operators");
		adn_destroy(a);
		return NULL;
	}
	return a;
}

/* Frees the module and closes its connections. */
void adn_destroy(struct adn *a)
{
	if (!a)
		return;
	if (a->server)
		websrv_destroy(a->server);
	free(a);
}

/* Counts the connections with output that was not acknowledged. */
size_t adn_unacked(const struct adn *a)
{
	return websrv_unacked(a->server);
}
