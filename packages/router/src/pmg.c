#include "pmg.h"

#include <string.h>

/* An idle connection is used again for a message within this time. */
#define REUSE_US (5 * US_PER_S)

/* Reports the status. */
static void on_head(void *arg, const struct hmg *m)
{
	const struct pmg_sender *s = arg;

	s->on_answer(s->arg, m->status);
}

/* Answers have no body that matters. */
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

/* Reports that no whole answer came. */
static void on_failed(void *arg, enum hxc_failure failure)
{
	const struct pmg_sender *s = arg;

	(void)failure;
	s->on_answer(s->arg, 0);
}

static const struct hxc_ops message_ops = { NULL, on_head, on_body, on_done,
					    on_failed };

/* Posts a message. */
bool pmg_send_bytes(struct hcl *daemon, const char *target, const char *bytes,
		    size_t len, const struct pmg_sender *sender)
{
	struct buf head = { 0 };
	struct hxc_request q = { .head = &head,
				 .body = bytes,
				 .body_len = len,
				 .reuse_us = REUSE_US };
	bool sent;

	buf_printf(&head, "POST %s HTTP/1.1\r\nContent-Length: %zu\r\n\r\n",
		   target, q.body_len);
	sent = hxc_start(daemon, &q, &message_ops, (void *)sender) != NULL;
	buf_free(&head);
	return sent;
}

/* Posts a text. */
bool pmg_send(struct hcl *daemon, const char *target, const char *text,
	      const struct pmg_sender *sender)
{
	return pmg_send_bytes(daemon, target, text, strlen(text), sender);
}
