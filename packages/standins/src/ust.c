#include "ust.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <utlist.h>
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#define PIECE_BYTES 16384

struct ust_work {
	struct ust_work *prev; /* in the list of the stalled */
	struct ust_work *next;
	struct ust *u;
	struct websrv_req *r;
	uint64_t number;
	uint64_t partition;
	uint64_t fence;
	uint64_t deadline_ms;
	uint32_t timer;
	bool running; /* holds a slot, and its end is not in the journal */
	bool stalled;
	bool deadline_timer;
	XXH64_state_t hash;
	uint64_t received;
	uint64_t left; /* bytes of the response that are to be written */
	uint64_t sent;
	uint64_t cut_at; /* the response is aborted here, UINT64_MAX if not */
};

static const char *idempotency_key(const struct websrv_req *r)
{
	const char *key = websrv_header(r, "idempotency-key");

	return key ? key : "";
}

static void write_journal(const struct ust_work *w, const char *event,
			  const char *how)
{
	const struct jrn_entry e = { event,
				     how,
				     w->partition,
				     w->fence,
				     websrv_method(w->r),
				     websrv_path(w->r),
				     idempotency_key(w->r),
				     w->number };

	if (!jrn_write(w->u->journal, &e))
		fprintf(stderr, "a line of the journal was not written\n");
}

/* Answers a request that had no effect. */
static void refuse(struct websrv_req *r, int status, const char *why)
{
	const struct websrv_header headers[] = { { "geranium-refused", why },
						 { "retry-after", "1" } };

	websrv_reply(r, status, headers, status == 503 ? 2 : 1, why,
		     strlen(why));
}

/* Ends the work in the journal and gives the slot back. */
static void finish(struct ust_work *w, const char *how)
{
	if (w->stalled)
		DL_DELETE(w->u->stalled, w);
	w->stalled = false;
	tmr_cancel(lwsloop_timers(w->u->loop), w->timer);
	w->timer = 0;
	if (!w->running)
		return;
	w->running = false;
	w->u->busy--;
	write_journal(w, "end", how);
}

/*
 * Writes until the connection is full or the body ends. A response that is to
 * be cut is aborted only when all before the cut has left.
 */
static void write_response(struct ust_work *w, bool drained)
{
	static char piece[PIECE_BYTES];
	bool more = true;

	if (!piece[0])
		memset(piece, 'g', sizeof(piece));
	while (w->left && more) {
		size_t n = w->left < PIECE_BYTES ? w->left : PIECE_BYTES;

		if (w->sent >= w->cut_at) {
			if (drained)
				websrv_abort(w->r);
			return;
		}
		w->left -= n;
		w->sent += n;
		drained = false;
		more = websrv_write(w->r, piece, n, !w->left);
	}
}

/* Starts a response of a number of bytes, cut at half of it if asked for. */
static void respond_bytes(struct ust_work *w, uint64_t bytes, bool truncate)
{
	char instance[UST_TEXT_MAX];
	struct websrv_header header = { "x-instance", instance };

	snprintf(instance, sizeof(instance), "%s", w->u->instance);
	w->left = bytes;
	w->cut_at = truncate ? bytes / 2 : UINT64_MAX;
	if (!bytes) {
		websrv_reply(w->r, 200, &header, 1, "", 0);
		return;
	}
	if (websrv_respond(w->r, 200, &header, 1, (long long)bytes))
		write_response(w, false);
}

/* Answers with what was asked, so that a caller can tell a foreign answer. */
static void respond_echo(struct ust_work *w, bool truncate)
{
	char hash[24];
	char *text;
	json_t *json;

	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)XXH64_digest(&w->hash));
	json = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:s}", "method",
			 websrv_method(w->r), "path", websrv_path(w->r), "key",
			 idempotency_key(w->r), "instance", w->u->instance,
			 "number", (json_int_t)w->number, "bytes",
			 (json_int_t)w->received, "xxh64", hash);
	if (!truncate) {
		com_reply_json(w->r, 200, json);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text && websrv_respond(w->r, 200, NULL, 0, (long long)strlen(text)))
		websrv_write(w->r, text, strlen(text) / 2, false);
	free(text);
	w->cut_at = 0;
	w->left = 1; /* the next writable() aborts */
}

/* The commit: the fence is looked at again, as it may have risen meanwhile. */
static void complete(struct ust_work *w)
{
	char text[32];
	uint64_t bytes;
	bool truncate;

	if (w->u->fences && w->fence &&
	    !fnc_pass(w->u->fences, w->partition, w->fence)) {
		w->u->refused_fence++;
		finish(w, "refused-fence");
		refuse(w->r, 412, "fence");
		return;
	}
	w->u->done++;
	finish(w, "done");
	truncate = com_query(w->r, "truncate", text, sizeof(text)) &&
		   strcmp(text, "1") == 0;
	if (strcmp(websrv_method(w->r), "GET") == 0 &&
	    com_query(w->r, "bytes", text, sizeof(text)) &&
	    com_number(text, &bytes))
		respond_bytes(w, bytes, truncate);
	else
		respond_echo(w, truncate);
}

/* The deadline has come before the work was finished. */
static void stop_at_deadline(struct ust_work *w)
{
	w->u->deadlines++;
	finish(w, "deadline");
	com_reply_error(w->r, 504, "deadline");
}

static void on_timer(void *arg, uint64_t now_us)
{
	struct ust_work *w = arg;

	(void)now_us;
	w->timer = 0;
	if (w->deadline_timer)
		stop_at_deadline(w);
	else
		complete(w);
}

static bool is_stalled(const struct ust *u, const struct websrv_req *r)
{
	return u->stall[0] &&
	       strncmp(websrv_path(r), u->stall, strlen(u->stall)) == 0;
}

/* Waits for the service time or the deadline, whichever comes first. */
static void wait_until_done(struct ust_work *w, bool forever)
{
	struct ust *u = w->u;
	uint64_t now_us = lwsloop_now_us(u->loop);
	uint64_t now_ms = clk_wall_ms(lwsloop_clock(u->loop));
	uint64_t service_ms = u->service_ms;
	uint64_t left_ms = 0;

	if (now_us < u->cold_until_us)
		service_ms *= UST_COLD_FACTOR;
	if (w->deadline_ms > now_ms)
		left_ms = w->deadline_ms - now_ms;
	w->deadline_timer = w->deadline_ms && (forever || left_ms < service_ms);
	if (w->deadline_timer)
		service_ms = left_ms;
	if (forever && !w->deadline_timer)
		return;
	if (!service_ms) {
		on_timer(w, now_us);
		return;
	}
	w->timer = tmr_at(lwsloop_timers(u->loop),
			  now_us + service_ms * US_PER_MS, on_timer, w);
}

/* Checks what refuses a request before it has any effect. */
static bool is_admitted(struct ust *u, struct websrv_req *r, uint64_t partition,
			uint64_t fence)
{
	uint64_t start_by = com_header_number(r, "geranium-start-by", 0);

	if (start_by && clk_wall_ms(lwsloop_clock(u->loop)) > start_by) {
		u->refused_start_by++;
		refuse(r, 412, "start-by");
		return false;
	}
	if (u->shed || u->busy >= u->slots) {
		u->refused_shed++;
		refuse(r, 503, "shed");
		return false;
	}
	if (u->fences && fence && !fnc_pass(u->fences, partition, fence)) {
		u->refused_fence++;
		refuse(r, 412, "fence");
		return false;
	}
	return true;
}

/* Takes a slot for a request or refuses it. */
void ust_head(struct ust *u, struct websrv_req *r)
{
	uint64_t partition = com_header_number(r, "geranium-partition", 0);
	uint64_t fence = com_header_number(r, "geranium-fence", 0);
	struct ust_work *w;

	if (!is_admitted(u, r, partition, fence))
		return;
	w = calloc(1, sizeof(*w));
	if (!w) {
		refuse(r, 503, "shed");
		return;
	}
	w->u = u;
	w->r = r;
	w->partition = partition;
	w->fence = fence;
	w->deadline_ms = com_header_number(r, "geranium-deadline", 0);
	w->number = ++u->started;
	w->running = true;
	u->busy++;
	XXH64_reset(&w->hash, 0);
	websrv_set_user(r, w);
	write_journal(w, "start", NULL);
	if (u->crash[0] && strstr(websrv_path(r), u->crash))
		_exit(UST_EXIT_CRASH);
}

/* Takes the body in and starts to work at its end. */
void ust_body(struct websrv_req *r, const void *data, size_t len, bool end)
{
	struct ust_work *w = websrv_user(r);

	if (!w || !w->running)
		return;
	if (len)
		XXH64_update(&w->hash, data, len);
	w->received += len;
	if (!end)
		return;
	if (is_stalled(w->u, r)) {
		w->stalled = true;
		DL_APPEND(w->u->stalled, w);
	}
	wait_until_done(w, w->stalled);
}

/* Writes more of the response. */
void ust_writable(struct websrv_req *r)
{
	struct ust_work *w = websrv_user(r);

	if (w)
		write_response(w, true);
}

/* Stops the work if the caller has gone before its end. */
void ust_closed(struct websrv_req *r, bool whole)
{
	struct ust_work *w = websrv_user(r);

	(void)whole;
	if (!w)
		return;
	if (w->running)
		w->u->cancelled++;
	finish(w, "cancelled");
	free(w);
}

/* Goes over the list once; the service time starts anew. */
void ust_release_stalled(struct ust *u)
{
	struct ust_work *w;
	struct ust_work *next;

	DL_FOREACH_SAFE(u->stalled, w, next)
	{
		if (is_stalled(u, w->r))
			continue;
		DL_DELETE(u->stalled, w);
		w->stalled = false;
		tmr_cancel(lwsloop_timers(u->loop), w->timer);
		w->timer = 0;
		wait_until_done(w, false);
	}
}
