#include "plt.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "tab.h"
#include "ups.h"

#define CONNECTIONS 8
#define TARGET_MAX 1024

/* Largest answer that is taken, in bytes. */
#define ANSWER_MAX (64UL * 1024 * 1024)

enum kind {
	KIND_ROW,
	KIND_ROWS,
	KIND_BODY
};

struct plt_http {
	struct plt base;
	struct lop *loop;
	struct ups *pool;
	struct tab *calls;
};

struct call {
	struct plt_http *p;
	uint32_t handle;
	uint32_t request; /* of the pool */
	uint32_t timer; /* a failure found inside the starting call */
	enum kind kind;
	bool write;
	bool retried;
	uint64_t end_us;
	char target[TARGET_MAX];
	char *out; /* body of the request */
	size_t out_len;
	int status;
	char *in; /* body of the answer */
	size_t in_len;
	size_t in_size;
	bool too_large;
	plt_row_fn row_fn;
	plt_rows_fn rows_fn;
	plt_body_fn body_fn;
	void *arg;
};

static void free_call(struct call *c)
{
	tmr_cancel(lop_timers(c->p->loop), c->timer);
	tab_remove(c->p->calls, c->handle);
	free(c->out);
	free(c->in);
	free(c);
}

/* Ends a call that has no answer that could be read. */
static void finish_empty(struct call *c, enum plt_result result)
{
	if (c->kind == KIND_ROW)
		c->row_fn(c->arg, result, NULL);
	else if (c->kind == KIND_ROWS)
		c->rows_fn(c->arg, result, NULL, 0, 0);
	else
		c->body_fn(c->arg, result, NULL, 0);
	free_call(c);
}

/* Reads one row; the value is allocated. */
static bool read_row(json_t *json, struct mir_entry *e)
{
	const char *key = json_string_value(json_object_get(json, "key"));
	json_t *version = json_object_get(json, "version");
	json_t *seq = json_object_get(json, "seq");
	json_t *value = json_object_get(json, "value");

	memset(e, 0, sizeof(*e));
	if (!key || strlen(key) >= sizeof(e->key) ||
	    !json_is_integer(version) || !json_is_integer(seq) || !value)
		return false;
	strcpy(e->key, key);
	e->version = (uint64_t)json_integer_value(version);
	e->seq = (uint64_t)json_integer_value(seq);
	e->value = json_is_string(value) ?
			   strdup(json_string_value(value)) :
			   json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	return e->value != NULL;
}

/* Answers with one row. */
static void finish_row(struct call *c, enum plt_result result)
{
	json_t *json = json_loadb(c->in ? c->in : "", c->in_len, 0, NULL);
	struct mir_entry e;

	if (json && read_row(json, &e)) {
		c->row_fn(c->arg, result, &e);
		free(e.value);
		free_call(c);
	} else if (result == PLT_CONFLICT) {
		finish_empty(c, PLT_CONFLICT); /* there is no row */
	} else {
		finish_empty(c, PLT_UNKNOWN);
	}
	json_decref(json);
}

/* Answers with rows: {"rows":[...],"complete":N}. */
static void finish_rows(struct call *c)
{
	json_t *json = json_loadb(c->in ? c->in : "", c->in_len, 0, NULL);
	json_t *list = json_object_get(json, "rows");
	json_t *complete = json_object_get(json, "complete");
	size_t count = json_array_size(list);
	struct mir_entry *rows = calloc(count + 1, sizeof(*rows));
	bool ok = rows && json_is_array(list) && json_is_integer(complete);
	size_t n = 0;

	while (ok && n < count) {
		ok = read_row(json_array_get(list, n), &rows[n]) &&
		     (n == 0 || rows[n].seq > rows[n - 1].seq);
		n++;
	}
	if (ok)
		c->rows_fn(c->arg, PLT_OK, rows, count,
			   (uint64_t)json_integer_value(complete));
	for (size_t i = 0; i < n; i++)
		free(rows[i].value);
	free(rows);
	json_decref(json);
	if (ok)
		free_call(c);
	else
		finish_empty(c, PLT_UNKNOWN);
}

static void on_head(void *arg, const struct ups_response *response)
{
	struct call *c = arg;

	c->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct call *c = arg;

	if (c->too_large || len > ANSWER_MAX - c->in_len) {
		c->too_large = true;
		return;
	}
	if (c->in_len + len > c->in_size) {
		size_t size = (c->in_len + len) * 2;
		char *in = realloc(c->in, size);

		if (!in) {
			c->too_large = true;
			return;
		}
		c->in = in;
		c->in_size = size;
	}
	memcpy(c->in + c->in_len, data, len);
	c->in_len += len;
}

static void on_end(void *arg)
{
	struct call *c = arg;

	if (c->too_large)
		finish_empty(c, PLT_UNKNOWN);
	else if (c->status == 404)
		finish_empty(c, PLT_NOT_FOUND);
	else if (c->status == 409 && c->kind == KIND_ROW)
		finish_row(c, PLT_CONFLICT);
	else if (c->status / 100 != 2)
		finish_empty(c, c->status == 503 && !c->write ?
					PLT_UNAVAILABLE :
					PLT_UNKNOWN);
	else if (c->kind == KIND_ROW)
		finish_row(c, PLT_OK);
	else if (c->kind == KIND_ROWS)
		finish_rows(c);
	else {
		c->body_fn(c->arg, PLT_OK, c->in, c->in_len);
		free_call(c);
	}
}

static bool send_call(struct call *c);

/*
 * A read may be sent again, as a kept connection may have been closed at the
 * same moment. A write is, too, but only with proof that no byte has left.
 */
static void on_failed(void *arg, enum ups_failure why)
{
	struct call *c = arg;
	bool unsent = why == UPS_NOT_SENT || why == UPS_REFUSED;
	bool again = c->write ? why == UPS_NOT_SENT :
				(why == UPS_NOT_SENT || why == UPS_LOST);

	c->request = 0;
	c->in_len = 0;
	if (again && !c->retried) {
		c->retried = true;
		if (lop_now_us(c->p->loop) < c->end_us && send_call(c))
			return;
	}
	finish_empty(c, unsent ? PLT_UNAVAILABLE : PLT_UNKNOWN);
}

static const struct ups_events events = { on_head, on_body, on_end, on_failed,
					  NULL };

/* Starts the request; false when the pool takes no more. */
static bool send_call(struct call *c)
{
	uint64_t now = lop_now_us(c->p->loop);
	struct ups_request req = {
		.method = c->write ? "PUT" : "GET",
		.target = c->target,
		.content_length = (long long)c->out_len,
		.first = c->out,
		.first_len = c->out_len,
		.end = true,
		.timeout_us = c->end_us > now ? c->end_us - now : 0,
	};

	c->request = ups_start(c->p->pool, &req, &events, c);
	return c->request != 0;
}

static void not_started(void *arg, uint64_t now_us)
{
	struct call *c = arg;

	(void)now_us;
	c->timer = 0;
	finish_empty(c, PLT_UNAVAILABLE);
}

/* Sends a new call; what cannot be sent is reported by a timer. */
static void begin(struct call *c)
{
	c->end_us = lop_now_us(c->p->loop) + PLT_TIMEOUT_MS * US_PER_MS;
	if (!send_call(c))
		c->timer = tmr_at(lop_timers(c->p->loop), 0, not_started, c);
}

/* Appends a name with percent-encoding; slashes are encoded too. */
static void append_encoded(char *target, const char *name)
{
	size_t len = strlen(target);

	for (; *name && len + 4 < TARGET_MAX; name++) {
		unsigned char ch = (unsigned char)*name;

		if (isalnum(ch) || strchr("-._~", ch))
			target[len++] = (char)ch;
		else
			len += (size_t)sprintf(target + len, "%%%02X", ch);
	}
	target[len] = '\0';
}

/* Makes a call; the caller's function is never lost for want of memory. */
static struct call *new_call(struct plt *base, enum kind kind,
			     const char *prefix, const char *name)
{
	struct plt_http *p = (struct plt_http *)base;
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->p = p;
	c->kind = kind;
	c->handle = tab_add(p->calls, c);
	strcpy(c->target, prefix);
	append_encoded(c->target, name);
	return c;
}

static void get(struct plt *base, const char *key, plt_row_fn fn, void *arg)
{
	struct call *c = new_call(base, KIND_ROW, "/table/", key);

	c->row_fn = fn;
	c->arg = arg;
	begin(c);
}

static void put(struct plt *base, const char *key, uint64_t expect,
		const char *value, plt_row_fn fn, void *arg)
{
	struct call *c = new_call(base, KIND_ROW, "/table/", key);
	size_t len = strlen(c->target);

	if (expect != PLT_ANY_VERSION)
		snprintf(c->target + len, TARGET_MAX - len, "?expect=%" PRIu64,
			 expect);
	c->write = true;
	c->out = strdup(value);
	c->out_len = c->out ? strlen(value) : 0;
	c->row_fn = fn;
	c->arg = arg;
	begin(c);
}

static void since(struct plt *base, uint64_t seq, size_t max, plt_rows_fn fn,
		  void *arg)
{
	struct call *c = new_call(base, KIND_ROWS, "/table", "");

	snprintf(c->target, TARGET_MAX, "/table?since=%" PRIu64 "&limit=%zu",
		 seq, max);
	c->rows_fn = fn;
	c->arg = arg;
	begin(c);
}

static void put_object(struct plt *base, const char *name, const void *body,
		       size_t len, plt_body_fn fn, void *arg)
{
	struct call *c = new_call(base, KIND_BODY, "/object/", name);

	c->write = true;
	c->out = malloc(len + 1);
	if (c->out && len > 0)
		memcpy(c->out, body, len);
	c->out_len = c->out ? len : 0;
	c->body_fn = fn;
	c->arg = arg;
	begin(c);
}

static void get_object(struct plt *base, const char *name, plt_body_fn fn,
		       void *arg)
{
	struct call *c = new_call(base, KIND_BODY, "/object/", name);

	c->body_fn = fn;
	c->arg = arg;
	begin(c);
}

/* Ends all calls without calling their functions. */
static void destroy(struct plt *base)
{
	struct plt_http *p = (struct plt_http *)base;
	struct call *c;
	size_t pos = 0;

	if (p->pool)
		ups_destroy(p->pool);
	while (p->calls && (c = tab_next(p->calls, &pos)))
		free_call(c);
	if (p->calls)
		tab_destroy(p->calls);
	free(p);
}

static const struct plt_ops ops = {
	.get = get,
	.put = put,
	.since = since,
	.put_object = put_object,
	.get_object = get_object,
	.destroy = destroy,
};

/* Makes the client; it connects when it is first used. */
struct plt *plt_http_create(struct lop *l, const char *address, uint16_t port,
			    struct err *err)
{
	struct plt_http *p = calloc(1, sizeof(*p));

	if (!p) {
		err_set(err, ERR_PLATFORM, NET_NO_MEMORY, "out of memory");
		return NULL;
	}
	p->base.ops = &ops;
	p->loop = l;
	p->calls = tab_create(TAB_MAX);
	p->pool = ups_lws_create(l, address, port, CONNECTIONS, err);
	if (!p->calls || !p->pool) {
		err_wrap(err, ERR_PLATFORM, NET_NO_MEMORY, "platform client");
		destroy(&p->base);
		return NULL;
	}
	return &p->base;
}
