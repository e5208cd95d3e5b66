#include "adn.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "adn_view.h"
#include "ctr.h"
#include "exe.h"
#include "log.h"
#include "pub.h"
#include "syn.h"
#include "upd.h"
#include "wrt.h"

#define BODY_MAX (MAN_BYTES_MAX + 1)
#define METRICS_BYTES 32768
#define CONNECTIONS_MAX 256
#define IDLE_MS 60000
#define HEADER_MS 5000
#define NAME_MAX_BYTES 64

/* One request of an operator, or an announcement of the upstream. */
struct ask {
	struct adn *adn;
	struct htp_req *req; /* NULL once the connection has closed */
	const struct route *route;
	char *body;
	size_t len;
	size_t capacity;
	bool pending; /* an answer of the platform is awaited */
	bool over; /* answered */
};

struct adn {
	struct nod *n;
	struct htp *server;
};

typedef void (*handler_fn)(struct ask *a);

struct route {
	const char *method;
	const char *path;
	handler_fn fn;
};

static void answer_text(struct ask *a, int status, const char *type,
			const void *body, size_t len)
{
	struct htp_header header = { "content-type", type };

	a->over = true;
	if (a->req)
		htp_reply(a->req, status, &header, 1, body, len);
}

/* Answers with a JSON value and takes it over. */
static void answer_json(struct ask *a, int status, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;

	if (text)
		answer_text(a, status, "application/json", text, strlen(text));
	else
		answer_text(a, 500, "text/plain", "out of memory\n", 14);
	free(text);
	json_decref(json);
}

/* Answers with a result word and a reason. */
static void answer_result(struct ask *a, int status, const char *result,
			  const char *reason)
{
	answer_json(a, status,
		    json_pack("{s:s,s:s}", "result", result, "reason", reason));
}

/* Copies the value of a query field; false if it is missing or too long. */
static bool query_field(const struct ask *a, const char *name, char *out,
			size_t size)
{
	const char *at = htp_query(a->req);
	size_t name_len = strlen(name);

	while (at && *at) {
		size_t len = strcspn(at, "&");

		if (len > name_len && at[name_len] == '=' &&
		    strncmp(at, name, name_len) == 0) {
			len -= name_len + 1;
			if (len >= size)
				return false;
			memcpy(out, at + name_len + 1, len);
			out[len] = '\0';
			return true;
		}
		at += len;
		at += *at == '&';
	}
	return false;
}

static void get_status(struct ask *a)
{
	answer_json(a, 200, adn_view_status(a->adn->n));
}

static void get_members(struct ask *a)
{
	answer_json(a, 200, adn_view_members(a->adn->n));
}

static void get_owners(struct ask *a)
{
	answer_json(a, 200, adn_view_owners(a->adn->n));
}

static void get_hot(struct ask *a)
{
	answer_json(a, 200, adn_view_hot(a->adn->n));
}

static void get_quarantine(struct ask *a)
{
	answer_json(a, 200, adn_view_quarantine(a->adn->n));
}

/* Explains where a key goes; the key may be percent-encoded. */
static void get_explain(struct ask *a)
{
	char service[NAME_MAX_BYTES];
	char key[MAN_KEY_MAX];
	json_t *json;

	if (!query_field(a, "service", service, sizeof(service)) ||
	    !query_field(a, "key", key, sizeof(key))) {
		answer_result(a, 400, "refused",
			      "the fields service and key are needed");
		return;
	}
	json = adn_view_explain(a->adn->n, service, key);
	if (json)
		answer_json(a, 200, json);
	else
		answer_result(a, 404, "refused", "no such service in force");
}

static void get_metrics(struct ask *a)
{
	char *text = malloc(METRICS_BYTES);
	size_t len;

	if (!text) {
		answer_text(a, 500, "text/plain", "out of memory\n", 14);
		return;
	}
	len = ctr_write(text, METRICS_BYTES);
	answer_text(a, 200, "text/plain; version=0.0.4", text,
		    len < METRICS_BYTES ? len : METRICS_BYTES - 1);
	free(text);
}

static void get_manifest(struct ask *a)
{
	size_t len;
	const char *text = pub_text(a->adn->n->pub, &len);

	if (text)
		answer_text(a, 200, "application/yaml", text, len);
	else
		answer_result(a, 404, "refused", "no manifest is in force");
}

/* The publication has ended. */
static void published(void *arg, enum pub_result result, uint64_t version,
		      const struct err *err)
{
	static const struct {
		int status;
		const char *word;
	} words[] = {
		[PUB_DONE] = { 200, "done" },
		[PUB_REFUSED] = { 400, "refused" },
		[PUB_CONFLICT] = { 409, "conflict" },
		[PUB_UNREACHABLE] = { 503, "unreachable" },
		[PUB_UNKNOWN] = { 504, "unknown" },
		[PUB_BUSY] = { 503, "unreachable" },
	};
	struct ask *a = arg;
	json_t *json = json_pack("{s:s,s:I,s:s}", "result", words[result].word,
				 "version", (json_int_t)version, "reason",
				 err ? err->text : "");

	a->pending = false;
	answer_json(a, words[result].status, json);
	if (!a->req) {
		free(a->body);
		free(a);
	}
}

static void post_manifest(struct ask *a)
{
	char text[NAME_MAX_BYTES];
	char publication[NAME_MAX_BYTES];
	uint64_t expect = PUB_ANY_VERSION;

	if (query_field(a, "expect", text, sizeof(text)))
		expect = strtoull(text, NULL, 10);
	if (!query_field(a, "publication", publication, sizeof(publication)))
		snprintf(publication, sizeof(publication), "%016" PRIx64,
			 clk_random(a->adn->n->clk));
	a->pending = true;
	pub_publish(a->adn->n->pub, a->body ? a->body : "", a->len, expect,
		    publication, published, a);
}

static void post_drain(struct ask *a)
{
	upd_drain(a->adn->n->upstream, true);
	answer_result(a, 200, "done", "the upstream takes no new work");
}

static void post_undrain(struct ask *a)
{
	upd_drain(a->adn->n->upstream, false);
	answer_result(a, 200, "done", "the upstream may take new work");
}

/* A write of the table for an operator has ended. */
static void written(void *arg, enum plt_result result)
{
	struct ask *a = arg;

	a->pending = false;
	if (result == PLT_OK)
		answer_result(a, 200, "done", "");
	else if (result == PLT_CONFLICT)
		answer_result(a, 409, "conflict", "the row has changed");
	else if (result == PLT_UNAVAILABLE)
		answer_result(a, 503, "unreachable",
			      "the platform does not answer");
	else
		answer_result(a, 504, "unknown", "it may have taken effect");
	if (!a->req) {
		free(a->body);
		free(a);
	}
}

/* Lifts a quarantine on all daemons. */
static void post_lift(struct ask *a)
{
	char text[NAME_MAX_BYTES];
	char key[ROW_KEY_MAX];
	uint64_t fingerprint;

	if (!query_field(a, "fingerprint", text, sizeof(text)) ||
	    sscanf(text, "%" SCNx64, &fingerprint) != 1) {
		answer_result(a, 400, "refused",
			      "the field fingerprint is needed, in hex");
		return;
	}
	qtn_lift(exe_quarantine(a->adn->n->exec), fingerprint);
	snprintf(key, sizeof(key), "quarantine/%016" PRIx64, fingerprint);
	a->pending = true;
	wrt_value(a->adn->n->writer, key, "{\"strikes\":0,\"label\":\"\"}",
		  written, a);
}

/* An operator says that a process has ended. */
static void post_ended(struct ask *a)
{
	char instance[NAME_MAX_BYTES];
	char incarnation[NAME_MAX_BYTES];
	char key[ROW_KEY_MAX];

	if (!query_field(a, "instance", instance, sizeof(instance)) ||
	    !query_field(a, "incarnation", incarnation, sizeof(incarnation))) {
		answer_result(a, 400, "refused",
			      "the fields instance and incarnation are needed");
		return;
	}
	snprintf(key, sizeof(key), "ended/%" PRIu64 "/%016" PRIx64,
		 (uint64_t)strtoull(instance, NULL, 10),
		 (uint64_t)strtoull(incarnation, NULL, 16));
	log_emit(LOG_OPERATOR_ENDED, "instance=%s incarnation=%s", instance,
		 incarnation);
	a->pending = true;
	wrt_value(a->adn->n->writer, key, "{}", written, a);
}

static bool read_number(const json_t *json, const char *name, json_int_t low,
			json_int_t high, uint16_t *out)
{
	const json_t *value = json_object_get(json, name);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < low || number > high)
		return false;
	*out = (uint16_t)number;
	return true;
}

static bool read_name(const json_t *json, const char *name, char *out,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text && *text && strlen(text) < size &&
	       snprintf(out, size, "%s", text) > 0;
}

/* Reads an announcement; everything but load and health is needed. */
static bool read_announcement(const struct ask *a, struct upd_announcement *out)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	const json_t *load = json_object_get(json, "load");
	char state[16] = "";
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = read_name(json, "service", out->service, sizeof(out->service)) &&
	     read_name(json, "address", out->address, sizeof(out->address)) &&
	     read_name(json, "state", state, sizeof(state)) &&
	     read_number(json, "port", 1, 65535, &out->port) &&
	     read_number(json, "slots", 1, 1000, &out->slots) &&
	     read_number(json, "connections", 1, 10000, &out->connections) &&
	     (strcmp(state, "up") == 0 || strcmp(state, "draining") == 0);
	out->draining = strcmp(state, "draining") == 0;
	out->load = json_number_value(load);
	out->healthy = !json_is_false(json_object_get(json, "healthy"));
	json_decref(json);
	return ok;
}

static void post_announce(struct ask *a)
{
	struct upd_announcement announcement;
	struct err err = { 0 };

	if (!read_announcement(a, &announcement))
		answer_result(a, 400, "refused",
			      "service, address, port, slots, connections and "
			      "state are needed");
	else if (!upd_announce(a->adn->n->upstream, &announcement, &err))
		answer_result(a, 503, "refused", err.text);
	else
		answer_result(a, 200, "done", "");
}

static const struct route routes[] = {
	{ "GET", "/-/status", get_status },
	{ "GET", "/-/members", get_members },
	{ "GET", "/-/owners", get_owners },
	{ "GET", "/-/hot", get_hot },
	{ "GET", "/-/quarantine", get_quarantine },
	{ "GET", "/-/explain", get_explain },
	{ "GET", "/-/metrics", get_metrics },
	{ "GET", "/-/manifest", get_manifest },
	{ "POST", "/-/manifest", post_manifest },
	{ "POST", "/-/drain", post_drain },
	{ "POST", "/-/undrain", post_undrain },
	{ "POST", "/-/quarantine/lift", post_lift },
	{ "POST", "/-/ended", post_ended },
	{ "POST", "/-/announce", post_announce },
};

/* Finds the route of a request; *known tells whether the path exists. */
static const struct route *find_route(const struct htp_req *r, bool *known)
{
	*known = false;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, htp_path(r)) != 0)
			continue;
		*known = true;
		if (strcmp(routes[i].method, htp_method(r)) == 0)
			return &routes[i];
	}
	return NULL;
}

static void on_head(void *arg, struct htp_req *r)
{
	struct ask *a = calloc(1, sizeof(*a));
	bool known;

	if (!a) {
		htp_abort(r);
		return;
	}
	a->adn = arg;
	a->req = r;
	htp_set_user(r, a);
	a->route = find_route(r, &known);
	if (!a->route)
		answer_result(a, known ? 405 : 404, "refused",
			      known ? "no such method" : "no such path");
	else if (htp_content_length(r) > (long long)BODY_MAX)
		answer_result(a, 413, "refused", "the body is too long");
	else if (htp_content_length(r) == 0)
		a->route->fn(a);
}

/* Collects the body, then handles the request. */
static void on_body(void *arg, struct htp_req *r, const void *data, size_t len,
		    bool end)
{
	struct ask *a = htp_user(r);
	size_t capacity;
	char *body;

	(void)arg;
	if (!a || a->over || a->pending || htp_content_length(r) == 0)
		return;
	if (a->len + len > BODY_MAX) {
		answer_result(a, 413, "refused", "the body is too long");
		return;
	}
	if (a->len + len > a->capacity) {
		capacity = (a->len + len) * 2;
		body = realloc(a->body, capacity);
		if (!body) {
			answer_result(a, 500, "refused", "out of memory");
			return;
		}
		a->body = body;
		a->capacity = capacity;
	}
	if (len)
		memcpy(a->body + a->len, data, len);
	a->len += len;
	if (end)
		a->route->fn(a);
}

static void on_writable(void *arg, struct htp_req *r)
{
	(void)arg;
	(void)r;
}

static void on_closed(void *arg, struct htp_req *r, bool complete)
{
	struct ask *a = htp_user(r);

	(void)arg;
	(void)complete;
	if (!a)
		return;
	a->req = NULL;
	if (a->pending)
		return;
	free(a->body);
	free(a);
}

static const struct htp_ops server_ops = {
	.head = on_head,
	.body = on_body,
	.writable = on_writable,
	.closed = on_closed,
};

/* Opens the port for operators. */
struct adn *adn_create(struct nod *n, struct err *err)
{
	struct adn *a = calloc(1, sizeof(*a));
	struct htp_params params = { .address = n->set.address,
				     .port = n->set.admin_port,
				     .max_connections = CONNECTIONS_MAX,
				     .idle_timeout_ms = IDLE_MS,
				     .header_timeout_ms = HEADER_MS };

	if (!a) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	a->n = n;
	a->server = htp_create(n->loop, &params, &server_ops, a, err);
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
		htp_destroy(a->server);
	free(a);
}
