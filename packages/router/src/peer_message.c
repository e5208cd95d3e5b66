#include "peer_message.h"

#include <string.h>

#include "zip.h"

/* Longest idle time after which a connection is reused. */
#define REUSE_US (5 * US_PER_S)

/* Reports the head of a response. */
static void on_head(void *arg, const struct httpmsg *m)
{
	const struct peermsg_sender *s = arg;

	s->on_answer(s->arg, m);
}

/* Ignores the body of a response. */
static void on_body(void *arg, const char *bytes, size_t len)
{
	(void)arg;
	(void)bytes;
	(void)len;
}

static void on_done(void *arg)
{
	(void)arg;
}

/* Reports a missing or truncated response. */
static void on_failed(void *arg, enum httpcall_failure failure)
{
	const struct peermsg_sender *s = arg;

	(void)failure;
	s->on_answer(s->arg, NULL);
}

static const struct httpcall_ops message_ops = { NULL, on_head, on_body,
						 on_done, on_failed };

/*
 * Sends bytes to a daemon by POST, counted by counters, which may be NULL.
 * Returns false if the message cannot be sent; the sender is then not called.
 */
bool peermsg_send_fields(struct httppool *daemon, const char *target,
			 const char *fields, const char *bytes, size_t len,
			 const struct httpcall_counters *counters,
			 const struct peermsg_sender *sender)
{
	struct buf head = { 0 };
	struct httpcall_request q = { .head = &head,
				      .body = bytes,
				      .body_len = len,
				      .pack_body =
					      !zip_is_compressed(bytes, len),
				      .reuse_us = REUSE_US,
				      .counters = counters };
	bool sent;

	buf_printf(&head, "POST %s HTTP/1.1\r\nContent-Length: %zu\r\n", target,
		   q.body_len);
	buf_add_text(&head, fields);
	buf_add_text(&head, "\r\n");
	sent = httpcall_start(daemon, &q, &message_ops, (void *)sender) != NULL;
	buf_free(&head);
	return sent;
}

/* Sends bytes without further fields, see peermsg_send_fields(). */
bool peermsg_send_bytes(struct httppool *daemon, const char *target,
			const char *bytes, size_t len,
			const struct httpcall_counters *counters,
			const struct peermsg_sender *sender)
{
	return peermsg_send_fields(daemon, target, "", bytes, len, counters,
				   sender);
}

/* Sends a text to a daemon, see peermsg_send_bytes(). */
bool peermsg_send(struct httppool *daemon, const char *target, const char *text,
		  const struct httpcall_counters *counters,
		  const struct peermsg_sender *sender)
{
	return peermsg_send_bytes(daemon, target, text, strlen(text), counters,
				  sender);
}
