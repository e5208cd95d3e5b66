#include "ctl_http.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upclient.h"

/* The request body is sent in chunks of this size. */
#define CHUNK_BYTES 16384

struct exchange {
	struct upclient *pool;
	uint32_t call;
	const char *body;
	size_t remaining;
	struct ctl_response *response;
	size_t capacity;
	bool done;
	bool cut; /* a part of the response was not kept */
	bool failed;
	enum upclient_failure failure;
};

/* Splits at the last colon, as an IPv6 address has colons, too. */
bool ctl_parse_endpoint(const char *text, struct ctl_endpoint *out,
			struct err *err)
{
	const char *colon = strrchr(text, ':');
	unsigned char binary[sizeof(struct in6_addr)];
	unsigned long port = colon ? strtoul(colon + 1, NULL, 10) : 0;
	size_t len = colon ? (size_t)(colon - text) : 0;

	if (!colon || len == 0 || len >= sizeof(out->address) || port == 0 ||
	    port > UINT16_MAX)
		return err_set(err, ERR_CTL, CTL_BAD_ADDRESS,
			       "%s is not ADDRESS:PORT", text);
	memcpy(out->address, text, len);
	out->address[len] = '\0';
	out->port = (uint16_t)port;
	if (inet_pton(AF_INET, out->address, binary) != 1 &&
	    inet_pton(AF_INET6, out->address, binary) != 1)
		return err_set(err, ERR_CTL, CTL_BAD_ADDRESS,
			       "%s is not an IP address", out->address);
	return true;
}

static void on_head(void *arg, const struct upclient_response *response)
{
	struct exchange *exchange = arg;

	exchange->response->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct exchange *exchange = arg;
	struct ctl_response *response = exchange->response;
	size_t capacity = exchange->capacity ? exchange->capacity : CHUNK_BYTES;
	char *body;

	exchange->cut =
		exchange->cut || response->len + len > CTL_RESPONSE_MAX_BYTES;
	if (exchange->cut)
		return;
	while (capacity < response->len + len + 1)
		capacity *= 2;
	if (capacity != exchange->capacity) {
		body = realloc(response->body, capacity);
		if (!body) {
			exchange->cut = true;
			return;
		}
		response->body = body;
		exchange->capacity = capacity;
	}
	memcpy(response->body + response->len, data, len);
	response->len += len;
	response->body[response->len] = '\0';
}

static void on_end(void *arg)
{
	struct exchange *exchange = arg;

	exchange->done = true;
	exchange->failed = exchange->cut;
	exchange->failure = UPCLIENT_BROKEN;
}

static void on_failed(void *arg, enum upclient_failure failure)
{
	struct exchange *exchange = arg;

	exchange->done = true;
	exchange->failed = true;
	exchange->failure = failure;
}

/* Sends chunks until the send buffer of the connection is full. */
static void on_writable(void *arg)
{
	struct exchange *exchange = arg;
	bool room = true;

	while (room && exchange->remaining) {
		size_t len = exchange->remaining < CHUNK_BYTES ?
				     exchange->remaining :
				     CHUNK_BYTES;
		const char *chunk = exchange->body;

		exchange->body += len;
		exchange->remaining -= len;
		room = upclient_write(exchange->pool, exchange->call, chunk,
				      len, exchange->remaining == 0);
	}
}

static const struct upclient_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.writable = on_writable,
};

static bool check_result(const struct exchange *exchange,
			 const struct ctl_endpoint *to, struct err *err)
{
	if (!exchange->failed)
		return true;
	if (exchange->failure == UPCLIENT_NOT_SENT ||
	    exchange->failure == UPCLIENT_REFUSED)
		return err_set(err, ERR_CTL, CTL_UNREACHABLE,
			       "%s:%u cannot be reached", to->address,
			       to->port);
	return err_set(err, ERR_CTL, CTL_RESPONSE_LOST,
		       "the response of %s:%u was lost", to->address, to->port);
}

bool ctl_request(struct lwsloop *loop, const struct ctl_endpoint *to,
		 const char *method, const char *target, const void *body,
		 size_t len, unsigned int timeout_ms, struct ctl_response *out,
		 struct err *err)
{
	struct exchange exchange = { .response = out };
	size_t first = len < CHUNK_BYTES ? len : CHUNK_BYTES;
	struct upclient_request req = { .method = method,
					.target = target,
					.content_length = (long long)len,
					.first = body,
					.first_len = first,
					.end = first == len,
					.timeout_us = timeout_ms * US_PER_MS };

	memset(out, 0, sizeof(*out));
	exchange.body = (const char *)body + first;
	exchange.remaining = len - first;
	exchange.pool =
		upclient_pool_create(loop, to->address, to->port, 1, err);
	if (!exchange.pool)
		return err_wrap(err, ERR_CTL, CTL_UNREACHABLE,
				"cannot connect");
	exchange.call = upclient_start(exchange.pool, &req, &events, &exchange);
	exchange.failed = exchange.call == 0;
	exchange.failure = UPCLIENT_NOT_SENT;
	if (exchange.call && !req.end)
		on_writable(&exchange);
	while (exchange.call && !exchange.done)
		lwsloop_run_once(loop);
	upclient_destroy(exchange.pool);
	return check_result(&exchange, to, err);
}

void ctl_response_free(struct ctl_response *response)
{
	free(response->body);
	response->body = NULL;
	response->len = 0;
}
