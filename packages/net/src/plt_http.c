#include "plt.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ups.h"

#define CONNECTIONS_MAX 16
#define TARGET_MAX 512
#define ANSWER_MAX (16 * 1024 * 1024)
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503

enum kind {
	KIND_ROW,
	KIND_ROWS,
	KIND_BODY
};

struct http {
	struct plt base;
	struct lop *loop;
	struct ups *pool;
	struct ask *asks;
};

/* One call of the platform. */
struct ask {
	struct http *http;
	struct ask *next;
	uint32_t timer;
	enum kind kind;
	bool is_write;
	bool retried;
	char method[4];
	char target[TARGET_MAX];
	void *request; /* body that is sent */
	size_t request_len;
	int status;
	char *body;
	size_t len;
	size_t capacity;
	enum plt_result failed; /* delivered when start() has failed */
	union {
		plt_row_fn row;
		plt_rows_fn rows;
		plt_body_fn body;
	} fn;
	void *arg;
};

/* Appends a text with everything but letters, digits and -._ encoded. */
static void encode(char *out, size_t size, const char *text)
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

/* Frees a call that is in no list any more. */
static void drop_ask(struct ask *a)
{
	tmr_cancel(lop_timers(a->http->loop), a->timer);
	free(a->request);
	free(a->body);
	free(a);
}

/* Frees a call and takes it out of the list. */
static void free_ask(struct ask *a)
{
	struct ask **at = &a->http->asks;

	while (*at && *at != a)
		at = &(*at)->next;
	if (*at)
		*at = a->next;
	drop_ask(a);
}

/* Tells the result without any data and frees the call. */
static void tell(struct ask *a, enum plt_result result)
{
	struct ask copy = *a;

	free_ask(a);
	if (copy.kind == KIND_ROW)
		copy.fn.row(copy.arg, result, NULL);
	else if (copy.kind == KIND_ROWS)
		copy.fn.rows(copy.arg, result, NULL, 0, 0);
	else
		copy.fn.body(copy.arg, result, NULL, 0);
}

/* Reads a row from JSON; its value is text that the caller frees. */
static bool read_row(const json_t *json, struct replica_entry *row)
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

static void tell_row(struct ask *a, enum plt_result result)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	plt_row_fn fn = a->fn.row;
	void *arg = a->arg;
	struct replica_entry row;
	bool ok = read_row(json, &row);

	json_decref(json);
	if (!ok) {
		tell(a, result == PLT_CONFLICT ? PLT_CONFLICT : PLT_UNKNOWN);
		return;
	}
	free_ask(a);
	fn(arg, result, &row);
	free(row.value);
}

static void tell_rows(struct ask *a)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	const json_t *list = json_object_get(json, "rows");
	const json_t *complete = json_object_get(json, "complete");
	size_t count = json_array_size(list);
	struct replica_entry *rows = calloc(count + 1, sizeof(*rows));
	plt_rows_fn fn = a->fn.rows;
	void *arg = a->arg;
	bool ok = rows && json_is_integer(complete);

	for (size_t i = 0; ok && i < count; i++)
		ok = read_row(json_array_get(list, i), &rows[i]);
	if (ok) {
		free_ask(a);
		fn(arg, PLT_OK, rows, count,
		   (uint64_t)json_integer_value(complete));
	} else {
		tell(a, PLT_UNAVAILABLE);
	}
	for (size_t i = 0; rows && i < count; i++)
		free(rows[i].value);
	free(rows);
	json_decref(json);
}

static void tell_body(struct ask *a)
{
	plt_body_fn fn = a->fn.body;
	void *arg = a->arg;
	char *body = a->body;
	size_t len = a->len;

	a->body = NULL;
	free_ask(a);
	fn(arg, PLT_OK, body ? body : "", len);
	free(body);
}

/* A whole answer has arrived. */
static void on_end(void *arg)
{
	struct ask *a = arg;

	switch (a->status) {
	case HTTP_OK:
		if (a->kind == KIND_ROW)
			tell_row(a, PLT_OK);
		else if (a->kind == KIND_ROWS)
			tell_rows(a);
		else
			tell_body(a);
		break;
	case HTTP_CONFLICT:
		tell_row(a, PLT_CONFLICT);
		break;
	case HTTP_NOT_FOUND:
		tell(a, PLT_NOT_FOUND);
		break;
	default:
		tell(a, PLT_UNAVAILABLE);
		break;
	}
}

static void on_head(void *arg, const struct ups_response *response)
{
	struct ask *a = arg;

	a->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct ask *a = arg;
	size_t capacity = a->capacity ? a->capacity : 4096;
	char *body;

	if (a->len + len > ANSWER_MAX)
		return;
	while (capacity < a->len + len)
		capacity *= 2;
	if (capacity != a->capacity) {
		body = realloc(a->body, capacity);
		if (!body)
			return;
		a->body = body;
		a->capacity = capacity;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
}

static void send_ask(struct ask *a);

/*
 * A read on a kept connection that was just closing is sent once more. A write
 * is not, as it may have taken effect.
 */
static void on_failed(void *arg, enum ups_failure why)
{
	struct ask *a = arg;
	bool sent = why != UPS_NOT_SENT && why != UPS_REFUSED;

	if (why == UPS_LOST && !a->is_write && !a->retried) {
		a->retried = true;
		send_ask(a);
		return;
	}
	tell(a, sent ? PLT_UNKNOWN : PLT_UNAVAILABLE);
}

static const struct ups_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
};

static void failed_due(void *arg, uint64_t now_us)
{
	struct ask *a = arg;

	(void)now_us;
	a->timer = 0;
	tell(a, a->failed);
}

/* Tells at the end of the step that nothing was sent. */
static void fail_later(struct ask *a)
{
	struct lop *loop = a->http->loop;

	a->failed = PLT_UNAVAILABLE;
	a->timer = tmr_at(lop_timers(loop), lop_now_us(loop), failed_due, a);
}

static void send_ask(struct ask *a)
{
	static const struct htp_header type = { "content-type",
						"application/json" };
	struct ups_request req = { .method = a->method,
				   .target = a->target,
				   .headers = &type,
				   .header_count = a->is_write ? 1 : 0,
				   .content_length = (long long)a->request_len,
				   .first = a->request,
				   .first_len = a->request_len,
				   .end = true,
				   .timeout_us = PLT_TIMEOUT_MS * US_PER_MS };

	a->len = 0;
	if (ups_start(a->http->pool, &req, &events, a))
		return;
	fail_later(a);
}

/* Makes a call; NULL when memory is exhausted, and it is never answered. */
static struct ask *create_ask(struct plt *p, enum kind kind, const char *method,
			      void *arg)
{
	struct http *h = (struct http *)p;
	struct ask *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->http = h;
	a->kind = kind;
	a->arg = arg;
	a->is_write = strcmp(method, "PUT") == 0;
	snprintf(a->method, sizeof(a->method), "%s", method);
	a->next = h->asks;
	h->asks = a;
	return a;
}

/* Sends a write with a copy of its body; without memory nothing is sent. */
static void send_body(struct ask *a, const void *body, size_t len)
{
	a->request = malloc(len + 1);
	if (!a->request) {
		fail_later(a);
		return;
	}
	memcpy(a->request, body, len);
	a->request_len = len;
	send_ask(a);
}

static void get(struct plt *p, const char *key, plt_row_fn fn, void *arg)
{
	struct ask *a = create_ask(p, KIND_ROW, "GET", arg);

	if (!a)
		return;
	a->fn.row = fn;
	snprintf(a->target, sizeof(a->target), "/table/");
	encode(a->target, sizeof(a->target), key);
	send_ask(a);
}

static void put(struct plt *p, const char *key, uint64_t expect,
		const char *value, plt_row_fn fn, void *arg)
{
	struct ask *a = create_ask(p, KIND_ROW, "PUT", arg);
	size_t n;

	if (!a)
		return;
	a->fn.row = fn;
	snprintf(a->target, sizeof(a->target), "/table/");
	encode(a->target, sizeof(a->target), key);
	n = strlen(a->target);
	if (expect == PLT_ANY_VERSION)
		snprintf(a->target + n, sizeof(a->target) - n, "?expect=any");
	else
		snprintf(a->target + n, sizeof(a->target) - n,
			 "?expect=%" PRIu64, expect);
	send_body(a, value, strlen(value));
}

static void since(struct plt *p, uint64_t seq, size_t max, plt_rows_fn fn,
		  void *arg)
{
	struct ask *a = create_ask(p, KIND_ROWS, "GET", arg);

	if (!a)
		return;
	a->fn.rows = fn;
	snprintf(a->target, sizeof(a->target),
		 "/table?since=%" PRIu64 "&limit=%zu", seq, max);
	send_ask(a);
}

static void put_object(struct plt *p, const char *name, const void *body,
		       size_t len, plt_body_fn fn, void *arg)
{
	struct ask *a = create_ask(p, KIND_BODY, "PUT", arg);

	if (!a)
		return;
	a->fn.body = fn;
	snprintf(a->target, sizeof(a->target), "/object/");
	encode(a->target, sizeof(a->target), name);
	send_body(a, body, len);
}

static void get_object(struct plt *p, const char *name, plt_body_fn fn,
		       void *arg)
{
	struct ask *a = create_ask(p, KIND_BODY, "GET", arg);

	if (!a)
		return;
	a->fn.body = fn;
	snprintf(a->target, sizeof(a->target), "/object/");
	encode(a->target, sizeof(a->target), name);
	send_ask(a);
}

static void destroy(struct plt *p)
{
	struct http *h = (struct http *)p;
	struct ask *a;
	struct ask *next;

	ups_destroy(h->pool);
	for (a = h->asks; a; a = next) {
		next = a->next;
		drop_ask(a);
	}
	free(h);
}

static const struct plt_ops http_ops = {
	.get = get,
	.put = put,
	.since = since,
	.put_object = put_object,
	.get_object = get_object,
	.destroy = destroy,
};

/* Makes the client of the platform's service. */
struct plt *plt_http_create(struct lop *l, const char *address, uint16_t port,
			    struct err *err)
{
	struct http *h = calloc(1, sizeof(*h));

	if (!h) {
		err_set(err, ERR_PLATFORM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	h->loop = l;
	h->base.ops = &http_ops;
	h->pool = ups_lws_create(l, address, port, CONNECTIONS_MAX, err);
	if (!h->pool) {
		err_wrap(err, ERR_PLATFORM, NET_BAD_ADDRESS, "platform");
		free(h);
		return NULL;
	}
	return &h->base;
}
