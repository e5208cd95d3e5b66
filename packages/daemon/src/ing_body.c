#include <stdlib.h>
#include <string.h>

#include "ing_call.h"

/* Pieces of a body that come while the target is busy, at most this much. */
#define MORE_MAX PEER_CHUNK_MAX

/* Keeps a piece that cannot be sent yet. */
static bool keep_more(struct call *c, const char *data, size_t len)
{
	size_t capacity = c->more_capacity ? c->more_capacity : 4096;
	char *more;

	while (capacity < c->more_len + len)
		capacity *= 2;
	if (capacity != c->more_capacity) {
		more = realloc(c->more, capacity);
		if (!more)
			return false;
		c->more = more;
		c->more_capacity = capacity;
	}
	memcpy(c->more + c->more_len, data, len);
	c->more_len += len;
	return true;
}

/* Fills the part that travels with OPEN; returns how much was taken. */
static size_t fill_first(struct call *c, const char *data, size_t len)
{
	size_t room = PEER_FIRST_MAX - c->first_len;

	if (c->started || !len)
		return 0;
	if (!c->first)
		c->first = malloc(PEER_FIRST_MAX);
	if (!c->first)
		return 0;
	if (len > room)
		len = room;
	memcpy(c->first + c->first_len, data, len);
	c->first_len += len;
	return len;
}

/*
 * Ends a request whose body exceeds the limit, which its head did not show, as
 * the body comes in chunks. It may have run if its first attempt has begun.
 */
static bool check_bytes(struct call *c, size_t len)
{
	c->body_bytes += len;
	if (c->body_bytes <= c->ing->n->set.max_body_bytes)
		return true;
	if (c->started)
		ing_break(c);
	else
		ing_tell(c, OUTCOME_INVALID, 413, 0, "the body is too long");
	return false;
}

/* Collects the body; the caller is paused while enough of it waits. */
void ing_on_body(void *arg, struct websrv_req *r, const void *data, size_t len,
		 bool end)
{
	struct call *c = websrv_user(r);
	size_t taken;

	(void)arg;
	if (!c || c->finished || c->body_end)
		return;
	if (c->early.text) {
		c->body_end = end;
		if (end)
			ing_tell(c, c->early.outcome, c->early.status,
				 c->early.retry_after_ms, c->early.text);
		return;
	}
	if (!check_bytes(c, len))
		return;
	taken = fill_first(c, data, len);
	if (len > taken &&
	    !keep_more(c, (const char *)data + taken, len - taken)) {
		ing_break(c);
		return;
	}
	c->body_end = end;
	if (c->more_len >= MORE_MAX / 2)
		websrv_pause(r, true);
	if (!c->started && (end || c->first_len == PEER_FIRST_MAX))
		ing_attempt(c);
	else
		ing_send_body(c);
}

/* Passes on one piece, if there is one and the target has room. */
void ing_send_body(struct call *c)
{
	char piece[PEER_CHUNK_MAX];
	size_t len = c->more_len < sizeof(piece) ? c->more_len : sizeof(piece);
	bool end = c->body_end && len == c->more_len;

	if (!c->can_send || c->sent_end || (!len && !end))
		return;
	if (len)
		memcpy(piece, c->more, len);
	c->more_len -= len;
	if (c->more_len)
		memmove(c->more, c->more + len, c->more_len);
	c->sent_end = end;
	c->can_send = false;
	c->retry.body_replayable = false;
	if (c->req && c->more_len < MORE_MAX / 2)
		websrv_pause(c->req, false);
	if (!c->run)
		ing_out_data(c, piece, len, end);
	else if (exe_write(c->run, piece, len, end))
		c->can_send = true;
}
