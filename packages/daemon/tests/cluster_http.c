#include "cluster_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest wait of a step of the loop while the test sleeps. */
#define STEP_US (5 * US_PER_MS)

static void on_head(void *arg, const struct upclient_response *response)
{
	struct exchange *x = arg;

	x->reply->status = response->status;
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, "geranium-outcome") == 0)
			snprintf(x->reply->outcome, sizeof(x->reply->outcome),
				 "%s", response->headers[i].value);
		if (strcmp(response->headers[i].name, "content-type") == 0)
			snprintf(x->reply->type, sizeof(x->reply->type), "%s",
				 response->headers[i].value);
	}
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct reply *r = ((struct exchange *)arg)->reply;
	size_t room = sizeof(r->body) - 1;

	if (r->len < room) {
		size_t part = len < room - r->len ? len : room - r->len;

		memcpy(r->body + r->len, data, part);
		r->body[r->len + part] = '\0';
	}
	r->len += len;
}

static void end_exchange(struct exchange *x)
{
	x->over = true;
	if (x->ended)
		x->ended(x->arg);
}

static void on_end(void *arg)
{
	end_exchange(arg);
}

static void on_failed(void *arg, enum upclient_failure why)
{
	struct exchange *x = arg;

	x->reply->sent = why != UPCLIENT_NOT_SENT && why != UPCLIENT_REFUSED;
	x->reply->broken = why == UPCLIENT_BROKEN;
	x->reply->status = 0;
	end_exchange(x);
}

static const struct upclient_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
};

/* Sends one request; false if no connection was free. */
bool cluster_begin(struct upclient *pool, const char *method, const char *path,
		   const char *id, const char *body, unsigned int timeout_ms,
		   struct exchange *x)
{
	char timeout[16];
	struct websrv_header headers[] = { { "geranium-timeout-ms", timeout },
					   { "idempotency-key", id } };
	size_t len = body ? strlen(body) : 0;
	struct upclient_request req = { .method = method,
					.target = path,
					.headers = headers,
					.header_count = id ? 2 : 1,
					.content_length = (long long)len,
					.first = body,
					.first_len = len,
					.end = true,
					.timeout_us = (timeout_ms + 500) *
						      US_PER_MS };

	memset(x->reply, 0, sizeof(*x->reply));
	x->over = false;
	x->reply->sent = true;
	snprintf(timeout, sizeof(timeout), "%u", timeout_ms);
	if (upclient_start(pool, &req, &events, x))
		return true;
	x->reply->sent = false;
	x->over = true;
	return false;
}

/* Sends one request and runs the loop until it has ended. */
void cluster_send(struct cluster *c, struct upclient *pool, const char *method,
		  const char *path, const char *id, const char *body,
		  unsigned int timeout_ms, struct reply *r)
{
	struct exchange x = { .reply = r };

	cluster_begin(pool, method, path, id, body, timeout_ms, &x);
	while (!x.over)
		lwsloop_run_once(c->loop);
}

/* Sends a request as a caller of a daemon. */
void cluster_request(struct cluster *c, size_t node, const char *method,
		     const char *path, const char *id, const char *body,
		     unsigned int timeout_ms, struct reply *r)
{
	cluster_send(c, c->nodes[node].http, method, path, id, body, timeout_ms,
		     r);
}

/* Sends a request as a caller of the naive router. */
void cluster_request_naive(struct cluster *c, const char *method,
			   const char *path, const char *id, const char *body,
			   unsigned int timeout_ms, struct reply *r)
{
	cluster_send(c, c->naive_pool, method, path, id, body, timeout_ms, r);
}

/* Makes an id whose first part is the time of now. */
void cluster_new_id(char *out, size_t size)
{
	static unsigned int count;

	snprintf(out, size, "%" PRIu64 "-test%u", clk_wall_ms(clk_system()),
		 ++count);
}

static json_t *ask_pool(struct cluster *c, struct upclient *pool,
			const char *method, const char *target,
			const char *body)
{
	struct reply r;

	cluster_send(c, pool, method, target, NULL, body, 1000, &r);
	return r.status == 200 && r.len < sizeof(r.body) ?
		       json_loads(r.body, 0, NULL) :
		       NULL;
}

/* Asks the operators' port. */
json_t *cluster_ask(struct cluster *c, size_t node, const char *method,
		    const char *target)
{
	return ask_pool(c, c->nodes[node].admin, method, target, NULL);
}

/* Asks the platform stand-in, whose table row is at the target. */
json_t *cluster_ask_platform(struct cluster *c, const char *target)
{
	return ask_pool(c, c->platform_pool, "GET", target, NULL);
}

/* Sets the behaviour of the platform stand-in. */
void cluster_control_platform(struct cluster *c, const char *json)
{
	json_decref(ask_pool(c, c->platform_pool, "POST", "/control", json));
}

/* Sets the behaviour of an upstream stand-in. */
void cluster_control_upstream(struct cluster *c, size_t node, const char *json)
{
	json_decref(
		ask_pool(c, c->upstream_pools[node], "POST", "/control", json));
}

/* Reads a number of the status of an upstream stand-in. */
long long cluster_upstream_count(struct cluster *c, size_t node,
				 const char *name)
{
	json_t *json =
		ask_pool(c, c->upstream_pools[node], "POST", "/control", "{}");
	long long count = json_integer_value(json_object_get(json, name));

	json_decref(json);
	return count;
}

/* Asks each daemon whether it holds the partition of the key. */
int cluster_owner(struct cluster *c, const char *service, const char *key)
{
	char target[256];

	snprintf(target, sizeof(target), "/-/explain?service=%s&key=%s",
		 service, key);
	for (size_t i = 0; i < c->count; i++) {
		json_t *json;
		bool held;

		if (c->nodes[i].daemon <= 0)
			continue;
		json = cluster_ask(c, i, "GET", target);
		held = json_is_true(json_object_get(
			json_object_get(json, "row"), "held_here"));
		json_decref(json);
		if (held)
			return (int)i;
	}
	return -1;
}

static void wake(void *arg, uint64_t now_us)
{
	(void)arg;
	(void)now_us;
}

/* Lets the loop run, and a load with it. */
void cluster_sleep(struct cluster *c, unsigned int ms)
{
	uint64_t until = cluster_now_ms() + ms;
	uint32_t id = tmr_every(lwsloop_timers(c->loop),
				lwsloop_now_us(c->loop), STEP_US, wake, c);

	while (cluster_now_ms() < until) {
		if (c->pump)
			c->pump(c->pump_arg);
		lwsloop_run_once(c->loop);
	}
	tmr_cancel(lwsloop_timers(c->loop), id);
}
