#include "pub_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctr.h"
#include "log.h"
#include "syn.h"

#define SETTLE_ATTEMPTS_MAX 4
#define STORE_ATTEMPTS_MAX 4
/*
 * Publications that wait here; each holds a text of up to MANIFEST_BYTES_MAX.
 */
#define WAITING_MAX 8

/* Writes the value of the row "manifest"; freed by the caller. */
static char *encode_pointer(const struct pointer *p)
{
	json_t *json =
		json_pack("{s:I,s:s,s:s}", "version", (json_int_t)p->version,
			  "object", p->object, "publication", p->publication);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

static void begin_next(struct pub *p);

/* Ends the publication in progress, tells the publisher, begins the next. */
static void finish(struct pub *p, enum pub_result result)
{
	pub_done_fn done = p->done;
	uint64_t version = p->found.version;

	if (result == PUB_DONE) {
		version = p->new_pointer.version;
		log_emit(LOG_MANIFEST_PUBLISHED,
			 "version=%" PRIu64 " publication=%s", version,
			 p->new_pointer.publication);
	}
	free(p->new_text);
	p->new_text = NULL;
	p->done = NULL;
	done(p->done_arg, result, version, &p->refusal);
	begin_next(p);
}

static int fire(struct pub *p, enum event event)
{
	p->phase = statechart_fire(p->chart, p->phase, event, p);
	return p->phase;
}

/* Maps the result of the platform to an event of the chart. */
static enum event event_of(enum platapi_result result)
{
	switch (result) {
	case PLATAPI_OK:
		return EVENT_OK;
	case PLATAPI_CONFLICT:
		return EVENT_CONFLICT;
	case PLATAPI_UNKNOWN:
		return EVENT_LOST;
	default:
		return EVENT_FAILED;
	}
}

static void settle_due(void *arg, uint64_t now_us);

/* The row was read back after a write without an answer. */
static void settled(void *arg, enum platapi_result result,
		    const struct replica_entry *row)
{
	struct pub *p = arg;
	bool is_ours;

	if (result != PLATAPI_OK && result != PLATAPI_NOT_FOUND) {
		if (++p->settle_attempts < SETTLE_ATTEMPTS_MAX) {
			tmr_at(p->n->timers, nod_now_us(p->n) + RETRY_US,
			       settle_due, p);
			return;
		}
		fire(p, EVENT_LOST);
		finish(p, PUB_UNKNOWN);
		return;
	}
	is_ours = result == PLATAPI_OK && pub_decode_pointer(row, &p->found) &&
		  strcmp(p->found.publication, p->new_pointer.publication) == 0;
	if (row)
		syn_apply(p->n->syn, row);
	fire(p, is_ours ? EVENT_OK : EVENT_CONFLICT);
	finish(p, is_ours ? PUB_DONE : PUB_CONFLICT);
}

static void settle_due(void *arg, uint64_t now_us)
{
	struct pub *p = arg;

	(void)now_us;
	platapi_get(p->n->platform, MANIFEST_KEY, settled, p);
}

/* The pointer was written, or another publisher was first. */
static void pointer_written(void *arg, enum platapi_result result,
			    const struct replica_entry *row)
{
	struct pub *p = arg;
	struct pointer other;

	if (row)
		syn_apply(p->n->syn, row);
	switch (fire(p, event_of(result))) {
	case PHASE_SETTLING:
		p->settle_attempts = 0;
		settle_due(p, 0);
		return;
	default:
		break;
	}
	if (result == PLATAPI_CONFLICT && row &&
	    pub_decode_pointer(row, &other))
		p->found = other;
	finish(p, result == PLATAPI_OK	     ? PUB_DONE :
		  result == PLATAPI_CONFLICT ? PUB_CONFLICT :
					       PUB_UNREACHABLE);
}

static void store_due(void *arg, uint64_t now_us);

/*
 * The body is stored; nothing points to it yet. Without an answer it is stored
 * again, which is safe since the name of an object is made from its bytes.
 */
static void object_stored(void *arg, enum platapi_result result,
			  const void *body, size_t len)
{
	struct pub *p = arg;
	char *value;

	(void)body;
	(void)len;
	if (result == PLATAPI_UNKNOWN &&
	    ++p->store_attempts < STORE_ATTEMPTS_MAX) {
		tmr_at(p->n->timers, nod_now_us(p->n) + RETRY_US, store_due, p);
		return;
	}
	if (fire(p, result == PLATAPI_OK ? EVENT_OK : EVENT_FAILED) !=
	    PHASE_WRITING) {
		finish(p, PUB_UNREACHABLE);
		return;
	}
	value = encode_pointer(&p->new_pointer);
	ctr_add(CTR_PLATFORM_WRITES, 1);
	platapi_put(p->n->platform, MANIFEST_KEY, p->found.row_version,
		    value ? value : "", pointer_written, p);
	free(value);
}

static void store_due(void *arg, uint64_t now_us)
{
	struct pub *p = arg;

	(void)now_us;
	platapi_put_object(p->n->platform, p->new_pointer.object, p->new_text,
			   p->new_len, object_stored, p);
}

/* True if the new manifest may replace the one in the table. */
static bool may_replace(struct pub *p, enum pub_result *why)
{
	*why = PUB_CONFLICT;
	if (p->expect != PUB_ANY_VERSION && p->expect != p->found.version)
		return false;
	if (p->new_pointer.version > p->found.version)
		return true;
	*why = PUB_REFUSED;
	return err_set(&p->refusal, ERR_MANIFEST, MANIFEST_BAD_VALUE,
		       "version %" PRIu64
		       " is not higher than the published version %" PRIu64,
		       p->new_pointer.version, p->found.version);
}

/* The present pointer has been read. */
static void pointer_read(void *arg, enum platapi_result result,
			 const struct replica_entry *row)
{
	struct pub *p = arg;
	enum pub_result why = PUB_UNREACHABLE;
	bool ok = result == PLATAPI_OK || result == PLATAPI_NOT_FOUND;

	memset(&p->found, 0, sizeof(p->found));
	if (result == PLATAPI_OK) {
		pub_decode_pointer(row, &p->found);
		syn_apply(p->n->syn, row);
	}
	if (ok)
		ok = may_replace(p, &why);
	if (!ok) {
		fire(p, why == PUB_UNREACHABLE ? EVENT_FAILED : EVENT_CONFLICT);
		finish(p, why);
		return;
	}
	fire(p, EVENT_OK);
	p->store_attempts = 0;
	store_due(p, 0);
}

/* Checks the text; false with the reason in p->refusal. */
static bool check_new(struct pub *p, const char *text, size_t len)
{
	struct manifest *man =
		manifest_parse("manifest", text, len, &p->refusal);
	bool ok = man != NULL;

	if (ok && p->man && manifest_version(man) > manifest_version(p->man))
		ok = manifest_may_replace(p->man, man, &p->refusal);
	if (ok)
		p->new_pointer.version = manifest_version(man);
	manifest_destroy(man);
	return ok;
}

/* Checks, then reads, stores and writes, as the chart says. */
static void begin(struct pub *p, const char *text, size_t len, uint64_t expect,
		  const char *publication, pub_done_fn fn, void *arg)
{
	err_clear(&p->refusal);
	memset(&p->new_pointer, 0, sizeof(p->new_pointer));
	p->found = p->wanted;
	p->new_text = check_new(p, text, len) ? malloc(len + 1) : NULL;
	if (!p->new_text) {
		fn(arg, PUB_REFUSED, p->wanted.version, &p->refusal);
		return;
	}
	memcpy(p->new_text, text, len);
	p->new_len = len;
	p->expect = expect;
	p->done = fn;
	p->done_arg = arg;
	snprintf(p->new_pointer.publication, PUBLICATION_MAX, "%s",
		 publication);
	pub_name_object(text, len, p->new_pointer.object);
	fire(p, EVENT_BEGIN);
	platapi_get(p->n->platform, MANIFEST_KEY, pointer_read, p);
}

static void free_waiting(struct waiting *w)
{
	free(w->text);
	free(w);
}

/* Begins the publications that wait until one is in progress. */
static void begin_next(struct pub *p)
{
	while (p->waiting && !p->done) {
		struct waiting *w = p->waiting;

		p->waiting = w->next;
		begin(p, w->text, w->len, w->expect, w->publication, w->done,
		      w->done_arg);
		free_waiting(w);
	}
}

/* Adds a publication to those that wait; false if there are too many. */
static bool wait_for_turn(struct pub *p, const char *text, size_t len,
			  uint64_t expect, const char *publication,
			  pub_done_fn fn, void *arg)
{
	struct waiting **at = &p->waiting;
	struct waiting *w = NULL;
	size_t count = 0;

	for (; *at; at = &(*at)->next)
		count++;
	if (count < WAITING_MAX)
		w = calloc(1, sizeof(*w));
	if (!w)
		return false;
	w->text = malloc(len + 1);
	if (!w->text) {
		free(w);
		return false;
	}
	memcpy(w->text, text, len);
	w->len = len;
	w->expect = expect;
	snprintf(w->publication, sizeof(w->publication), "%s", publication);
	w->done = fn;
	w->done_arg = arg;
	*at = w;
	return true;
}

/* Frees the publications that wait; their publishers are not told. */
void pub_free_waiting(struct pub *p)
{
	while (p->waiting) {
		struct waiting *w = p->waiting;

		p->waiting = w->next;
		free_waiting(w);
	}
}

/* Begins a publication, or lets it wait for the one in progress. */
void pub_publish(struct pub *p, const char *text, size_t len, uint64_t expect,
		 const char *publication, pub_done_fn fn, void *arg)
{
	if (!p->done)
		begin(p, text, len, expect, publication, fn, arg);
	else if (!wait_for_turn(p, text, len, expect, publication, fn, arg))
		fn(arg, PUB_BUSY, p->wanted.version, NULL);
}
