#include "platapi.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "upclient.h"

#define CONNECTIONS_MAX 16
#define TARGET_MAX 512
#define RESPONSE_MAX (16 * 1024 * 1024)
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503

enum response_kind {
	KIND_ROW,
	KIND_ROWS,
	KIND_BODY
};

struct http_client {
	struct platapi base;
	struct lwsloop *loop;
	struct upclient *pool;
	struct platform_call *calls;
};

/* A request to the platform. */
struct platform_call {
	struct http_client *http_client;
	struct platform_call *next;
	uint32_t timer;
	enum response_kind response_kind;
	bool is_write;
	bool retried;
	bool cut; /* a part of the response was not kept */
	char method[4];
	char target[TARGET_MAX];
	void *request; /* request body */
	size_t request_len;
	int status;
	char *body;
	size_t len;
	size_t capacity;
	enum platapi_result failed; /* reported by the timer */
	union {
		platapi_row_fn row;
		platapi_rows_fn rows;
		platapi_body_fn body;
	} fn;
	void *arg;
};

/* Appends text, percent-encoding all but letters, digits and "-._". */
static void append_encoded(char *out, size_t size, const char *text)
{
	static const char digits[] = "0123456789ABCDEF";
	size_t n = strlen(out);

	for (; *text && n + 4 < size; text++) {
		unsigned char ch = (unsigned char)*text;

		if (isalnum(ch) || strchr("-._", ch)) {
			out[n++] = (char)ch;
		} else {
			out[n++] = '%';
			out[n++] = digits[ch >> 4];
			out[n++] = digits[ch & 15];
		}
	}
	out[n] = '\0';
}

/* Frees a call that is not in the list. */
static void destroy_call(struct platform_call *a)
{
	tmr_cancel(lwsloop_timers(a->http_client->loop), a->timer);
	free(a->request);
	free(a->body);
	free(a);
}

/* Removes a call from the list and frees it. */
static void remove_call(struct platform_call *a)
{
	struct platform_call **at = &a->http_client->calls;

	while (*at && *at != a)
		at = &(*at)->next;
	if (*at)
		*at = a->next;
	destroy_call(a);
}

/* Reports a result without data and frees the call. */
static void report_result(struct platform_call *a, enum platapi_result result)
{
	struct platform_call copy = *a;

	remove_call(a);
	if (copy.response_kind == KIND_ROW)
		copy.fn.row(copy.arg, result, NULL);
	else if (copy.response_kind == KIND_ROWS)
		copy.fn.rows(copy.arg, result, NULL, 0, 0);
	else
		copy.fn.body(copy.arg, result, NULL, 0);
}

/* Decodes a row from JSON; the caller frees row->value. */
static bool decode_row(const json_t *json, struct replica_entry *row)
{
	const char *key = json_string_value(json_object_get(json, "key"));
	const char *value = json_string_value(json_object_get(json, "value"));

	memset(row, 0, sizeof(*row));
	if (!key || !value || strlen(key) >= sizeof(row->key))
		return false;
	snprintf(row->key, sizeof(row->key), "%s", key);
	row->version =
		(uint64_t)json_integer_value(json_object_get(json, "version"));
	row->seq = (uint64_t)json_integer_value(json_object_get(json, "seq"));
	row->value = strdup(value);
	return row->value != NULL;
}

static void report_row(struct platform_call *a, enum platapi_result result)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	platapi_row_fn fn = a->fn.row;
	void *arg = a->arg;
	struct replica_entry row;
	bool ok = decode_row(json, &row);

	json_decref(json);
	if (!ok) {
		report_result(a, result == PLATAPI_CONFLICT ? PLATAPI_CONFLICT :
							      PLATAPI_UNKNOWN);
		return;
	}
	remove_call(a);
	fn(arg, result, &row);
	free(row.value);
}

static void report_rows(struct platform_call *a)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	const json_t *list = json_object_get(json, "rows");
	const json_t *complete = json_object_get(json, "complete");
	size_t count = json_array_size(list);
	struct replica_entry *rows = calloc(count + 1, sizeof(*rows));
	platapi_rows_fn fn = a->fn.rows;
	void *arg = a->arg;
	bool ok = rows && json_is_integer(complete);

	for (size_t i = 0; ok && i < count; i++)
		ok = decode_row(json_array_get(list, i), &rows[i]);
	if (ok) {
		remove_call(a);
		fn(arg, PLATAPI_OK, rows, count,
		   (uint64_t)json_integer_value(complete));
	} else {
		report_result(a, PLATAPI_UNAVAILABLE);
	}
	for (size_t i = 0; rows && i < count; i++)
		free(rows[i].value);
	free(rows);
	json_decref(json);
}

static void report_body(struct platform_call *a)
{
	platapi_body_fn fn = a->fn.body;
	void *arg = a->arg;
	char *body = a->body;
	size_t len = a->len;

	a->body = NULL;
	remove_call(a);
	fn(arg, PLATAPI_OK, body ? body : "", len);
	free(body);
}

/* Reports a complete response. */
static void on_end(void *arg)
{
	struct platform_call *a = arg;

	if (a->cut) {
		report_result(a, a->is_write ? PLATAPI_UNKNOWN :
					       PLATAPI_UNAVAILABLE);
		return;
	}
	switch (a->status) {
	case HTTP_OK:
		if (a->response_kind == KIND_ROW)
			report_row(a, PLATAPI_OK);
		else if (a->response_kind == KIND_ROWS)
			report_rows(a);
		else
			report_body(a);
		break;
	case HTTP_CONFLICT:
		report_row(a, PLATAPI_CONFLICT);
		break;
	case HTTP_NOT_FOUND:
		report_result(a, PLATAPI_NOT_FOUND);
		break;
	default:
		report_result(a, PLATAPI_UNAVAILABLE);
		break;
	}
}

static void on_head(void *arg, const struct upclient_response *response)
{
	struct platform_call *a = arg;

	a->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct platform_call *a = arg;
	size_t capacity = a->capacity ? a->capacity : 4096;
	char *body;

	a->cut = a->cut || a->len + len > RESPONSE_MAX;
	if (a->cut)
		return;
	while (capacity < a->len + len)
		capacity *= 2;
	if (capacity != a->capacity) {
		body = realloc(a->body, capacity);
		if (!body) {
			a->cut = true;
			return;
		}
		a->body = body;
		a->capacity = capacity;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
}

static void send_call(struct platform_call *a);

/*
 * Retries a read once, as the server may have closed a persistent connection
 * just then. A write is not retried, as it may have taken effect.
 */
static void on_failed(void *arg, enum upclient_failure why)
{
	struct platform_call *a = arg;
	bool sent = why != UPCLIENT_NOT_SENT && why != UPCLIENT_REFUSED;

	if (why == UPCLIENT_LOST && !a->is_write && !a->retried) {
		a->retried = true;
		send_call(a);
		return;
	}
	report_result(a, sent ? PLATAPI_UNKNOWN : PLATAPI_UNAVAILABLE);
}

static const struct upclient_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
};

static void report_failure(void *arg, uint64_t now_us)
{
	struct platform_call *a = arg;

	(void)now_us;
	a->timer = 0;
	report_result(a, a->failed);
}

/* Reports from the event loop that nothing was sent. */
static void defer_failure(struct platform_call *a)
{
	struct lwsloop *loop = a->http_client->loop;

	a->failed = PLATAPI_UNAVAILABLE;
	a->timer = tmr_at(lwsloop_timers(loop), lwsloop_now_us(loop),
			  report_failure, a);
}

static void send_call(struct platform_call *a)
{
	static const struct websrv_header type = { "content-type",
						   "application/json" };
	struct upclient_request req = {
		.method = a->method,
		.target = a->target,
		.headers = &type,
		.header_count = a->is_write ? 1 : 0,
		.content_length = (long long)a->request_len,
		.first = a->request,
		.first_len = a->request_len,
		.end = true,
		.timeout_us = PLATAPI_TIMEOUT_MS * US_PER_MS
	};

	a->len = 0;
	a->cut = false;
	if (upclient_start(a->http_client->pool, &req, &events, a))
		return;
	defer_failure(a);
}

/* Creates a call; returns NULL when out of memory, and fn is never called. */
static struct platform_call *create_call(struct platapi *p,
					 enum response_kind response_kind,
					 const char *method, void *arg)
{
	struct http_client *h = (struct http_client *)p;
	struct platform_call *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->http_client = h;
	a->response_kind = response_kind;
	a->arg = arg;
	a->is_write = strcmp(method, "PUT") == 0;
	snprintf(a->method, sizeof(a->method), "%s", method);
	a->next = h->calls;
	h->calls = a;
	return a;
}

/* Sends a write with a copy of body; fails the call when out of memory. */
static void send_body(struct platform_call *a, const void *body, size_t len)
{
	a->request = malloc(len + 1);
	if (!a->request) {
		defer_failure(a);
		return;
	}
	memcpy(a->request, body, len);
	a->request_len = len;
	send_call(a);
}

static void get(struct platapi *p, const char *key, platapi_row_fn fn,
		void *arg)
{
	struct platform_call *a = create_call(p, KIND_ROW, "GET", arg);

	if (!a)
		return;
	a->fn.row = fn;
	snprintf(a->target, sizeof(a->target), "/table/");
	append_encoded(a->target, sizeof(a->target), key);
	send_call(a);
}

static void put(struct platapi *p, const char *key, uint64_t expect,
		const char *value, platapi_row_fn fn, void *arg)
{
	struct platform_call *a = create_call(p, KIND_ROW, "PUT", arg);
	size_t n;

	if (!a)
		return;
	a->fn.row = fn;
	snprintf(a->target, sizeof(a->target), "/table/");
	append_encoded(a->target, sizeof(a->target), key);
	n = strlen(a->target);
	if (expect == PLATAPI_ANY_VERSION)
		snprintf(a->target + n, sizeof(a->target) - n, "?expect=any");
	else
		snprintf(a->target + n, sizeof(a->target) - n,
			 "?expect=%" PRIu64, expect);
	send_body(a, value, strlen(value));
}

static void since(struct platapi *p, uint64_t seq, size_t max,
		  platapi_rows_fn fn, void *arg)
{
	struct platform_call *a = create_call(p, KIND_ROWS, "GET", arg);

	if (!a)
		return;
	a->fn.rows = fn;
	snprintf(a->target, sizeof(a->target),
		 "/table?since=%" PRIu64 "&limit=%zu", seq, max);
	send_call(a);
}

static void put_object(struct platapi *p, const char *name, const void *body,
		       size_t len, platapi_body_fn fn, void *arg)
{
	struct platform_call *a = create_call(p, KIND_BODY, "PUT", arg);

	if (!a)
		return;
	a->fn.body = fn;
	snprintf(a->target, sizeof(a->target), "/object/");
	append_encoded(a->target, sizeof(a->target), name);
	send_body(a, body, len);
}

static void get_object(struct platapi *p, const char *name, platapi_body_fn fn,
		       void *arg)
{
	struct platform_call *a = create_call(p, KIND_BODY, "GET", arg);

	if (!a)
		return;
	a->fn.body = fn;
	snprintf(a->target, sizeof(a->target), "/object/");
	append_encoded(a->target, sizeof(a->target), name);
	send_call(a);
}

static void destroy(struct platapi *p)
{
	struct http_client *h = (struct http_client *)p;
	struct platform_call *a;
	struct platform_call *next;

	upclient_destroy(h->pool);
	for (a = h->calls; a; a = next) {
		next = a->next;
		destroy_call(a);
	}
	free(h);
}

static const struct platapi_ops http_ops = {
	.get = get,
	.put = put,
	.since = since,
	.put_object = put_object,
	.get_object = get_object,
	.destroy = destroy,
};

/*
 * Creates a client over HTTP and JSON. Returns NULL on failure; errors: layer
 * platform, a code of enum net_error.
 */
struct platapi *platapi_http_create(struct lwsloop *l, const char *address,
				    uint16_t port, struct err *err)
{
	struct http_client *h = calloc(1, sizeof(*h));

	if (!h) {
		err_set(err, ERR_PLATFORM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	h->loop = l;
	h->base.ops = &http_ops;
	h->pool = upclient_pool_create(l, address, port, CONNECTIONS_MAX, err);
	if (!h->pool) {
		err_wrap(err, ERR_PLATFORM, NET_BAD_ADDRESS, "platform");
		free(h);
		return NULL;
	}
	return &h->base;
}
