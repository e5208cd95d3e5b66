#include "ctl_http.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ups.h"

/* Bytes of a body that are handed over at once. */
#define PIECE_BYTES 16384

struct exchange {
	struct ups *pool;
	uint32_t call;
	const char *body;
	size_t left;
	struct ctl_answer *answer;
	size_t capacity;
	bool over;
	bool failed;
	enum ups_failure why;
};

/* Splits at the last colon; the address has to be an IP address. */
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

static void on_head(void *arg, const struct ups_response *response)
{
	struct exchange *x = arg;

	x->answer->status = response->status;
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct exchange *x = arg;
	struct ctl_answer *a = x->answer;
	size_t capacity = x->capacity ? x->capacity : PIECE_BYTES;
	char *body;

	if (a->len + len > CTL_ANSWER_MAX)
		return;
	while (capacity < a->len + len + 1)
		capacity *= 2;
	if (capacity != x->capacity) {
		body = realloc(a->body, capacity);
		if (!body)
			return;
		a->body = body;
		x->capacity = capacity;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
}

static void on_end(void *arg)
{
	struct exchange *x = arg;

	x->over = true;
}

static void on_failed(void *arg, enum ups_failure why)
{
	struct exchange *x = arg;

	x->over = true;
	x->failed = true;
	x->why = why;
}

/* Sends the next pieces until the connection is full. */
static void on_writable(void *arg)
{
	struct exchange *x = arg;
	bool room = true;

	while (room && x->left) {
		size_t len = x->left < PIECE_BYTES ? x->left : PIECE_BYTES;
		const char *piece = x->body;

		x->body += len;
		x->left -= len;
		room = ups_write(x->pool, x->call, piece, len, x->left == 0);
	}
}

static const struct ups_events events = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
	.writable = on_writable,
};

static bool report(const struct exchange *x, const struct ctl_endpoint *to,
		   struct err *err)
{
	if (!x->failed)
		return true;
	if (x->why == UPS_NOT_SENT || x->why == UPS_REFUSED)
		return err_set(err, ERR_CTL, CTL_NO_ANSWER,
			       "%s:%u cannot be reached", to->address,
			       to->port);
	return err_set(err, ERR_CTL, CTL_LOST, "the answer of %s:%u was lost",
		       to->address, to->port);
}

/* Runs the loop until the answer is there. */
bool ctl_request(struct lop *loop, const struct ctl_endpoint *to,
		 const char *method, const char *target, const void *body,
		 size_t len, unsigned int timeout_ms, struct ctl_answer *out,
		 struct err *err)
{
	struct exchange x = { .answer = out };
	size_t first = len < PIECE_BYTES ? len : PIECE_BYTES;
	struct ups_request req = { .method = method,
				   .target = target,
				   .content_length = (long long)len,
				   .first = body,
				   .first_len = first,
				   .end = first == len,
				   .timeout_us = timeout_ms * US_PER_MS };

	memset(out, 0, sizeof(*out));
	x.body = (const char *)body + first;
	x.left = len - first;
	x.pool = ups_lws_create(loop, to->address, to->port, 1, err);
	if (!x.pool)
		return err_wrap(err, ERR_CTL, CTL_NO_ANSWER, "no connection");
	x.call = ups_start(x.pool, &req, &events, &x);
	x.failed = x.call == 0;
	x.why = UPS_NOT_SENT;
	if (x.call && !req.end)
		on_writable(&x);
	while (x.call && !x.over)
		lop_step(loop);
	ups_destroy(x.pool);
	return report(&x, to, err);
}

/* Frees the body of an answer. */
void ctl_answer_free(struct ctl_answer *a)
{
	free(a->body);
	a->body = NULL;
	a->len = 0;
}
