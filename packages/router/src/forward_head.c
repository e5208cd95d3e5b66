#include <string.h>
#include <xxhash.h>

#include "forward_int.h"
#include "txt.h"

/* Least time to the deadline that another daemon is told. */
#define TIMEOUT_MIN_US (1 * US_PER_MS)
/* A shorter body is sent with its head. */
#define EXPECT_MIN_BYTES 1024

/* Returns the kind of a request, which is the same for a whole route. */
uint32_t fwd_request_kind(const struct fwd_request *f)
{
	return (uint32_t)XXH3_64bits(f->policy.name, strlen(f->policy.name));
}

/* Returns the name of the service on the instance of the caller. */
struct span fwd_caller_service(const struct fwd_request *f)
{
	const char *name = f->owner->parts.settings->service_name;

	return (struct span){ name, name ? strlen(name) : 0 };
}

/* True for a field of daemons, which a caller may have forged. */
static bool skip_field(const void *arg, struct span name)
{
	(void)arg;
	return peerhdr_is_field(name);
}

/*
 * True if the body is sent to a daemon only once that would admit the request:
 * between data centres a refused body costs more than the wait for the answer.
 */
bool fwd_awaits_continue(const struct fwd_request *f, const struct memb *m)
{
	return buf_len(f->body) >= EXPECT_MIN_BYTES &&
	       strcmp(m->data_centre, f->owner->parts.settings->data_centre) !=
		       0;
}

/* Writes the head of the request to another daemon. */
void fwd_write_peer_head(const struct fwd_request *f, const struct memb *m,
			 uint64_t now_us, struct buf *out)
{
	struct span target = httpmsg_target(f->message);
	struct peerhdr_request peer_request = {
		.left_us = TIMEOUT_MIN_US,
		.caller_service = fwd_caller_service(f),
		.rank = f->policy.rank,
		.kind = fwd_request_kind(f),
		.idempotent = f->policy.idempotent,
		.keyed = f->keyed,
		.others_left = f->others_left,
		.sender_stopping = f->owner->end_us > 0,
		.sent = tblclock_make_stamp(f->owner->parts.clock, now_us),
	};

	txt_copy(peer_request.upstream_id, sizeof(peer_request.upstream_id),
		 m->incarnation.id);
	if (f->deadline_us > now_us)
		peer_request.left_us = f->deadline_us - now_us;
	if (f->objective_us > now_us)
		peer_request.objective_left_us = f->objective_us - now_us;
	buf_add_text(out, f->message->method);
	buf_add(out, " ", 1);
	buf_add(out, target.text, target.len);
	buf_add_text(out, " HTTP/1.1\r\n");
	httpmsg_copy_fields(f->message, out, skip_field, NULL);
	peerhdr_write_request(out, &peer_request);
	if (buf_len(f->body) > 0 || f->message->length != 0)
		buf_printf(out, "Content-Length: %zu\r\n", buf_len(f->body));
	if (fwd_awaits_continue(f, m))
		buf_add_text(out, "Expect: 100-continue\r\n");
	buf_add_text(out, "\r\n");
}
