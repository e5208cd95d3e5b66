/* The platform's store: rows in memory, in the order of their first write. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <libwebsockets.h>

#include "bed.h"

#define ROWS_MAX 512
#define WAITERS_MAX 512
#define FEED_CHECK_US (2 * US_PER_MS)
#define JSON_FIELDS "Content-Type: application/json\r\n"
#define NODE_TABLE "geraniumspoke-nodes"

struct row {
	char table[64], key[200];
	char *value; /* base64, NULL if removed */
	uint64_t version;
};

struct waiter {
	struct httpconn *connection; /* NULL if unused */
	struct bed_node *node;
	char table[64];
	uint64_t after;
	uint64_t until_us;
	bool forgotten; /* the store lost it: no answer */
};

static struct row rows[ROWS_MAX], copied[ROWS_MAX];
static size_t row_count, copied_count;
static uint64_t version, copied_version;
static uint32_t era = 1;
static struct waiter waiters[WAITERS_MAX];
static struct waiter silent; /* stands for calls without an answer */
static uint32_t timer;

static struct row *find_row(const char *table, const char *key)
{
	for (size_t i = 0; i < row_count; i++) {
		if (strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].key, key) == 0)
			return &rows[i];
	}
	return NULL;
}

/* Writes a row, or removes it if the value is NULL. */
static void write_row(const char *table, const char *key, const char *value)
{
	struct row *r = find_row(table, key);

	if (!r) {
		if (row_count == ROWS_MAX)
			abort();
		r = &rows[row_count++];
		snprintf(r->table, sizeof(r->table), "%s", table);
		snprintf(r->key, sizeof(r->key), "%s", key);
	}
	free(r->value);
	r->value = value ? strdup(value) : NULL;
	r->version = version;
}

static int by_version(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return ((*x)->version > (*y)->version) -
	       ((*x)->version < (*y)->version);
}

static int by_key(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void list_row(json_t *list, const struct row *r)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
			      "", "key", r->key, "ver", (json_int_t)r->version);

	if (r->value)
		json_object_set_new(o, "value", json_string(r->value));
	else
		json_object_set_new(o, "deleted", json_true());
	json_array_append_new(list, o);
}

/* Lists a table: the changes after a version, or all rows that exist. */
static json_t *list_rows(const char *table, uint64_t after, bool feed)
{
	struct row *found[ROWS_MAX];
	json_t *list = json_array();
	size_t n = 0;

	for (size_t i = 0; i < row_count; i++) {
		if (strcmp(rows[i].table, table) == 0 &&
		    (feed ? rows[i].version > after : rows[i].value != NULL))
			found[n++] = &rows[i];
	}
	qsort(found, n, sizeof(found[0]), feed ? by_version : by_key);
	for (size_t i = 0; i < n; i++)
		list_row(list, found[i]);
	return list;
}

static void respond(struct bed *b, struct httpconn *c, uint16_t status,
		    json_t *list)
{
	json_t *root =
		json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more", 0,
			  "ver", (json_int_t)version, "now_ms",
			  (json_int_t)(evloop_now_us(b->loop) / US_PER_MS));
	char *text = json_dumps(root, JSON_COMPACT);
	char fields[96];

	snprintf(fields, sizeof(fields), JSON_FIELDS "Store-Era: %u\r\n", era);
	httpconn_reply(c, status, fields, text, strlen(text));
	free(text);
	json_decref(root);
}

/* Answers the polls that have changes or whose time is over. */
static void answer_polls(void *arg, uint64_t now_us)
{
	struct bed *b = arg;

	if (b->store_away)
		return;
	for (size_t i = 0; i < WAITERS_MAX; i++) {
		struct waiter *w = &waiters[i];
		struct httpconn *c = w->connection;
		json_t *list;

		if (!c || w->forgotten || w->node->cut)
			continue;
		list = list_rows(w->table, w->after, true);
		if (json_array_size(list) == 0 && now_us < w->until_us) {
			json_decref(list);
			continue;
		}
		w->connection = NULL;
		respond(b, c, 200, list);
	}
}

/* True if all rows have the versions that a transaction expects. */
static bool versions_match(const json_t *root)
{
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "expected_rev"), i, o) {
		const struct row *r =
			find_row(json_string_value(json_object_get(o, "table")),
				 json_string_value(json_object_get(o, "key")));
		uint64_t is = r && r->value ? r->version : 0;

		if (is !=
		    (uint64_t)json_integer_value(json_object_get(o, "ver")))
			return false;
	}
	return true;
}

static json_t *list_expected(const json_t *root)
{
	json_t *list = json_array();
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "expected_rev"), i, o) {
		const struct row *r =
			find_row(json_string_value(json_object_get(o, "table")),
				 json_string_value(json_object_get(o, "key")));

		if (r && r->value)
			list_row(list, r);
	}
	return list;
}

/* Notes when a node has written its own row, which renews its lease. */
static void note_lease(struct bed *b, const char *table, const char *key)
{
	for (size_t n = 0; n < b->node_count; n++) {
		if (strcmp(table, NODE_TABLE) == 0 &&
		    strcmp(key, b->nodes[n].name) == 0)
			b->nodes[n].lease_written_us = evloop_now_us(b->loop);
	}
}

static bool apply(struct bed *b, const json_t *root)
{
	static const char *const lists[] = { "puts", "remove" };
	json_t *o;
	size_t i;

	if (!versions_match(root))
		return false;
	version++;
	for (size_t n = 0; n < 2; n++) {
		json_array_foreach(json_object_get(root, lists[n]), i, o) {
			const char *table = json_string_value(
				json_object_get(o, "table"));
			const char *key =
				json_string_value(json_object_get(o, "key"));

			write_row(
				table, key,
				json_string_value(json_object_get(o, "value")));
			note_lease(b, table, key);
			if (strcmp(table, NODE_TABLE) != 0)
				bed_record(b, "store: %s/%s written, ver %llu",
					   table, key,
					   (unsigned long long)version);
		}
	}
	return true;
}

static void copy_parameter(struct span target, const char *name, char *out,
			   size_t size)
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (size_t i = 0; i + len < target.len; i++) {
		size_t end = i + len;

		if (memcmp(target.text + i, name, len) != 0)
			continue;
		while (end < target.len && target.text[end] != '&')
			end++;
		span_copy((struct span){ target.text + i + len, end - i - len },
			  out, size);
		return;
	}
}

static void *add_waiter(struct bed_node *node, struct httpconn *c,
			struct span target, uint64_t after)
{
	char number[32];

	for (size_t i = 0; i < WAITERS_MAX; i++) {
		struct waiter *w = &waiters[i];

		if (w->connection)
			continue;
		w->connection = c;
		w->node = node;
		w->forgotten = false;
		w->after = after;
		copy_parameter(target, "table=", w->table, sizeof(w->table));
		copy_parameter(target, "wait_ms=", number, sizeof(number));
		w->until_us = evloop_now_us(node->bed->loop) +
			      strtoull(number, NULL, 10) * US_PER_MS;
		return w;
	}
	abort();
}

static void *on_call(void *arg, struct httpconn *c, const struct httpmsg *m,
		     const struct buf *body)
{
	struct bed_node *node = arg;
	struct bed *b = node->bed;
	struct span target = httpmsg_target(m);
	char text[64];
	json_t *root;
	bool ok;

	if (b->store_away || node->cut)
		return &silent;
	if (strncmp(target.text, "/rows-feed", 10) == 0) {
		uint64_t after;

		copy_parameter(target, "after=", text, sizeof(text));
		after = strtoull(text, NULL, 10);
		if (after <= version)
			return add_waiter(node, c, target, after);
		respond(b, c, 410, json_array());
		return NULL;
	}
	if (strncmp(target.text, "/rows-get", 9) == 0) {
		copy_parameter(target, "table=", text, sizeof(text));
		respond(b, c, 200, list_rows(text, 0, false));
		return NULL;
	}
	root = json_loadb(buf_data(body), buf_len(body), 0, NULL);
	ok = apply(b, root);
	respond(b, c, ok ? 200 : 412,
		ok ? json_array() : list_expected(root));
	json_decref(root);
	return NULL;
}

static void on_closed(void *request)
{
	struct waiter *w = request;

	w->connection = NULL;
}

static const struct httpsrv_ops store_ops = { on_call, on_closed, NULL };

/* Listens at an address for each node, so that one alone can be cut off. */
void bed_store_open(struct bed *b)
{
	struct err err = { 0 };
	char address[32];

	for (size_t n = 0; n < b->node_count; n++) {
		bed_address(b, n, BED_STORE, address, sizeof(address));
		b->nodes[n].store = httpsrv_create(b->loop, address, &store_ops,
						   &b->nodes[n], &err);
		if (!b->nodes[n].store)
			bed_not_run(b, err.text);
	}
	timer = tmr_every(evloop_timers(b->loop), evloop_now_us(b->loop),
			  FEED_CHECK_US, answer_polls, b);
}

void bed_store_close(struct bed *b)
{
	tmr_cancel(evloop_timers(b->loop), timer);
	for (size_t n = 0; n < b->node_count; n++)
		httpsrv_destroy(b->nodes[n].store);
}

/* Copies all rows. */
void bed_store_copy(struct bed *b)
{
	memcpy(copied, rows, sizeof(copied));
	copied_count = row_count;
	copied_version = version;
	for (size_t i = 0; i < copied_count; i++)
		copied[i].value = rows[i].value ? strdup(rows[i].value) : NULL;
	bed_record(b, "store: copy taken at ver %llu",
		   (unsigned long long)version);
}

/*
 * Comes back from the copy, in a new era. What the operator wrote is written
 * again. Polls from before are not answered.
 */
void bed_store_restore(struct bed *b)
{
	struct row *operators = find_row("op", "config");
	char *config = operators ? strdup(operators->value) : NULL;

	bed_record(b, "store: back from the copy of ver %llu; ver was %llu",
		   (unsigned long long)copied_version,
		   (unsigned long long)version);
	memcpy(rows, copied, sizeof(rows));
	row_count = copied_count;
	version = copied_version + 1;
	era++;
	if (config)
		write_row("op", "config", config);
	free(config);
	for (size_t i = 0; i < WAITERS_MAX; i++)
		waiters[i].forgotten = true;
}

/* Decodes the value of a row; NULL if there is none. */
static json_t *decode_row(const char *table, const char *key)
{
	const struct row *r = find_row(table, key);
	char text[2048] = "";

	if (!r || !r->value || strlen(r->value) >= sizeof(text) ||
	    lws_b64_decode_string(r->value, text, sizeof(text)) < 0)
		return NULL;
	return json_loads(text, 0, NULL);
}

bool bed_store_is_expired(const struct bed *b, size_t node)
{
	json_t *root = decode_row(NODE_TABLE, b->nodes[node].name);
	bool expired = json_is_true(json_object_get(root, "expired"));

	json_decref(root);
	return expired;
}

bool bed_store_is_leader(const struct bed *b, size_t node)
{
	json_t *root = decode_row("geraniumspoke-plan", "leader");
	const char *name = json_string_value(json_object_get(root, "node"));
	bool same = name && strcmp(name, b->nodes[node].name) == 0;

	json_decref(root);
	return same;
}

/* Appends a route to the list of resources. */
static void add_route(json_t *list, const char *name, const char *host,
		      const char *prefix, const char *kind, int timeout_ms,
		      int objective_ms, int priority, const char *service)
{
	json_array_append_new(
		list,
		json_pack("{s:s,s:{s:s},s:{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}}",
			  "type", "routes", "metadata", "name", name, "spec",
			  "host", host, "prefix", prefix, "kind", kind,
			  "timeout_ms", timeout_ms, "target_latency_ms",
			  objective_ms, "priority", priority, "service",
			  service, "max_attempts", 2));
}

/* Writes the operator's configuration. */
void bed_store_publish(struct bed *b, uint32_t config_version,
		       const struct bed_config *change)
{
	json_t *list = json_array();
	char name[16], encoded[8192];
	json_t *root;
	char *text;

	add_route(list, "safe", "h.example", "/safe/", "safe", 800, 200, 2,
		  "keyed");
	add_route(list, "once", "h.example", "/once/", "unsafe", 1000, 250, 1,
		  "keyed");
	if (!change || !change->drops_free)
		add_route(list, "free", "h.example", "/free/", "unsafe", 1000,
			  250, 2, "free");
	if (change && change->added_host)
		add_route(list, "added", change->added_host, "/safe/", "safe",
			  800, 200, 2, "keyed");
	json_array_append_new(
		list, json_pack("{s:s,s:{s:s},s:{s:s,s:i,s:b,s:f}}", "type",
				"services", "metadata", "name", "keyed", "spec",
				"health_path", "/health", "max_connections",
				120, "sharded", 1, "warmup_s", 5.0));
	json_array_append_new(
		list, json_pack("{s:s,s:{s:s},s:{s:s,s:i}}", "type", "services",
				"metadata", "name", "free", "spec",
				"health_path", "/health", "max_connections",
				120));
	json_array_append_new(
		list, json_pack("{s:s,s:{},s:{s:i,s:i,s:i,s:i}}", "type",
				"limits", "metadata", "spec",
				"max_header_bytes", 16384, "max_body_bytes",
				67108864, "header_timeout_ms", 3000,
				"idle_timeout_ms", 15000));
	snprintf(name, sizeof(name), "r%u", config_version);
	root = json_pack("{s:s,s:o}", "version", name, "resources", list);
	text = json_dumps(root, JSON_COMPACT);
	lws_b64_encode_string(text, (int)strlen(text), encoded,
			      sizeof(encoded));
	version++;
	write_row("op", "config", encoded);
	bed_record(b, "operator: configuration %s acknowledged: %s", name,
		   text);
	free(text);
	json_decref(root);
}
