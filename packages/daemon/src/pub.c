#include "pub.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cht.h"
#include "ctr.h"
#include "log.h"
#include "syn.h"

#define MANIFEST_KEY "manifest"
#define OBJECT_NAME_MAX 64
#define PUBLICATION_MAX 64
#define RETRY_US (500 * US_PER_MS)
#define FETCH_TIMEOUT_US (2 * US_PER_S)

/* The row "manifest" of the table. */
struct pointer {
	uint64_t version; /* of the manifest */
	uint64_t row_version;
	char object[OBJECT_NAME_MAX];
	char publication[PUBLICATION_MAX];
};

enum phase {
	PHASE_IDLE,
	PHASE_READING,
	PHASE_STORING,
	PHASE_WRITING,
	PHASE_SETTLING
};

/* Number and order as in the chart "publication". */
static const char *const phase_names[] = { "idle",    "reading",  "storing",
					   "writing", "settling", NULL };

enum event {
	EVENT_BEGIN,
	EVENT_OK,
	EVENT_CONFLICT,
	EVENT_FAILED,
	EVENT_LOST
};

static const char *const event_names[] = { "begin",  "ok",   "conflict",
					   "failed", "lost", NULL };

struct subscriber {
	pub_change_fn fn;
	void *arg;
};

struct pub {
	struct nod *n;
	struct cht *chart;
	struct man *man;
	char *text;
	size_t len;
	struct subscriber subscribers[PUB_SUBSCRIBERS_MAX];
	size_t subscriber_count;
	struct pointer wanted; /* newest pointer that is known */
	bool fetching;

	/* the publication in progress */
	int phase;
	char *new_text;
	size_t new_len;
	uint64_t expect;
	struct pointer new_pointer;
	struct pointer found; /* what the table held */
	struct err refusal;
	pub_done_fn done;
	void *done_arg;
	int settle_attempts;
};

#define SETTLE_ATTEMPTS_MAX 4

static void fetch(struct pub *p);

/* Reads the value of the row "manifest". */
static bool decode_pointer(const struct mir_entry *row, struct pointer *out)
{
	json_t *json = json_loads(row->value, 0, NULL);
	const char *object = json_string_value(json_object_get(json, "object"));
	const char *publication =
		json_string_value(json_object_get(json, "publication"));
	json_int_t version =
		json_integer_value(json_object_get(json, "version"));
	bool ok = object && publication && version > 0;

	memset(out, 0, sizeof(*out));
	if (ok) {
		out->version = (uint64_t)version;
		out->row_version = row->version;
		snprintf(out->object, sizeof(out->object), "%s", object);
		snprintf(out->publication, sizeof(out->publication), "%s",
			 publication);
	}
	json_decref(json);
	return ok;
}

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

/* The name of an object is made from its bytes, so it never changes. */
static void name_object(const void *text, size_t len, char *out)
{
	XXH128_hash_t hash = XXH3_128bits(text, len);

	snprintf(out, OBJECT_NAME_MAX, "manifest-%016" PRIx64 "%016" PRIx64,
		 (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Puts a manifest in force if it follows the present one. */
static bool put_in_force(struct pub *p, struct man *man, const char *text,
			 size_t len, struct err *err)
{
	char *copy;

	if (p->man && !man_follows(p->man, man, err))
		return false;
	copy = malloc(len + 1);
	if (!copy)
		return err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
	memcpy(copy, text, len);
	copy[len] = '\0';
	for (size_t i = 0; i < p->subscriber_count; i++)
		p->subscribers[i].fn(p->subscribers[i].arg, man);
	man_destroy(p->man);
	free(p->text);
	p->man = man;
	p->text = copy;
	p->len = len;
	ctr_set(CTR_MANIFEST_VERSION, man_version(man));
	log_emit(LOG_MANIFEST_IN_FORCE, "version=%" PRIu64, man_version(man));
	return true;
}

/* Checks a body that was fetched and puts it in force. */
static bool take_body(struct pub *p, const void *body, size_t len)
{
	char name[OBJECT_NAME_MAX];
	struct err err = { 0 };
	struct man *man;

	name_object(body, len, name);
	if (strcmp(name, p->wanted.object) != 0)
		return false;
	man = man_parse(name, body, len, &err);
	if (man && man_version(man) == p->wanted.version &&
	    put_in_force(p, man, body, len, &err))
		return true;
	log_emit(LOG_MANIFEST_REFUSED, "object=%s error=\"%s\"", name,
		 err.text);
	man_destroy(man);
	return false;
}

static void retry_due(void *arg, uint64_t now_us)
{
	(void)now_us;
	fetch(arg);
}

static void fetch_later(struct pub *p)
{
	tmr_at(p->n->timers, nod_now_us(p->n) + RETRY_US, retry_due, p);
}

/* The object store has answered. */
static void object_fetched(void *arg, enum plt_result result, const void *body,
			   size_t len)
{
	struct pub *p = arg;

	p->fetching = false;
	if (result != PLT_OK || !take_body(p, body, len)) {
		fetch_later(p);
		return;
	}
	fetch(p);
}

/* A peer has answered; the object store is asked if it could not help. */
static void peer_fetched(void *arg, enum per_failure failure, void *result)
{
	struct pub *p = arg;
	struct peer_body *body = result;

	if (failure == PER_OK && body->status == PEER_OK &&
	    take_body(p, body->bytes.bytes_val, body->bytes.bytes_len)) {
		p->fetching = false;
		fetch(p);
		return;
	}
	plt_get_object(p->n->platform, p->wanted.object, object_fetched, p);
}

/* Fetches the wanted body, from the peer that told of it if there is one. */
static void fetch(struct pub *p)
{
	uint32_t instance = p->n->syn ? syn_last_source(p->n->syn) : 0;
	const struct member *m = mir_member(p->n->mirror, instance);
	struct peer_fetch args = { .from = nod_to_peer(&p->n->self),
				   .name = p->wanted.object };
	struct per_address to;

	if (p->fetching || p->wanted.version <= pub_version(p))
		return;
	p->fetching = true;
	if (m) {
		nod_peer_address(m, &to);
		if (per_call(p->n->peers, &to, PEER_FETCH, &args,
			     FETCH_TIMEOUT_US, peer_fetched, p))
			return;
	}
	plt_get_object(p->n->platform, p->wanted.object, object_fetched, p);
}

/* A row of the mirror has changed: is it the pointer to a newer manifest? */
static void row_changed(void *arg, const struct mir_entry *row)
{
	struct pub *p = arg;
	struct pointer pointer;

	if (strcmp(row->key, MANIFEST_KEY) != 0 ||
	    !decode_pointer(row, &pointer))
		return;
	if (pointer.version <= p->wanted.version)
		return;
	p->wanted = pointer;
	fetch(p);
}

/* Makes the module; its chart is charts/publication.yaml. */
struct pub *pub_create(struct nod *n, struct err *err)
{
	struct pub *p = calloc(1, sizeof(*p));

	if (!p) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	p->n = n;
	p->chart = nod_load_chart(n, "publication", phase_names, event_names,
				  NULL, 0, err);
	if (!p->chart || !mir_subscribe(n->mirror, row_changed, p)) {
		pub_destroy(p);
		return NULL;
	}
	p->phase = cht_initial(p->chart);
	return p;
}

/* Frees the module and the manifest in force. */
void pub_destroy(struct pub *p)
{
	if (!p)
		return;
	cht_destroy(p->chart);
	man_destroy(p->man);
	free(p->text);
	free(p->new_text);
	free(p);
}

/* Returns the manifest in force. */
const struct man *pub_manifest(const struct pub *p)
{
	return p->man;
}

/* Returns the version in force. */
uint64_t pub_version(const struct pub *p)
{
	return p->man ? man_version(p->man) : 0;
}

/* Returns the text of the manifest in force. */
const char *pub_text(const struct pub *p, size_t *len)
{
	*len = p->len;
	return p->text;
}

/* Subscribes to changes of the manifest. */
void pub_subscribe(struct pub *p, pub_change_fn fn, void *arg)
{
	if (p->subscriber_count == PUB_SUBSCRIBERS_MAX)
		return;
	p->subscribers[p->subscriber_count].fn = fn;
	p->subscribers[p->subscriber_count].arg = arg;
	p->subscriber_count++;
}

/* Sends the body of the manifest in force if it is the one asked for. */
void pub_answer(struct pub *p, struct per_question *q,
		const struct peer_fetch *args)
{
	struct peer_body answer = { .status = PEER_NOT_FOUND };
	char name[OBJECT_NAME_MAX];

	if (p->text) {
		name_object(p->text, p->len, name);
		if (strcmp(name, args->name) == 0) {
			answer.status = PEER_OK;
			answer.bytes.bytes_val = p->text;
			answer.bytes.bytes_len = (u_int)p->len;
		}
	}
	per_reply(p->n->peers, q, &answer);
}

/* Ends the publication in progress and tells the publisher. */
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
}

static int fire(struct pub *p, enum event event)
{
	p->phase = cht_fire(p->chart, p->phase, event, p);
	return p->phase;
}

/* Maps the result of the platform to an event of the chart. */
static enum event event_of(enum plt_result result)
{
	switch (result) {
	case PLT_OK:
		return EVENT_OK;
	case PLT_CONFLICT:
		return EVENT_CONFLICT;
	case PLT_UNKNOWN:
		return EVENT_LOST;
	default:
		return EVENT_FAILED;
	}
}

static void settle_due(void *arg, uint64_t now_us);

/* The row was read back after a write without an answer. */
static void settled(void *arg, enum plt_result result,
		    const struct mir_entry *row)
{
	struct pub *p = arg;
	bool is_ours;

	if (result != PLT_OK && result != PLT_NOT_FOUND) {
		if (++p->settle_attempts < SETTLE_ATTEMPTS_MAX) {
			tmr_at(p->n->timers, nod_now_us(p->n) + RETRY_US,
			       settle_due, p);
			return;
		}
		fire(p, EVENT_LOST);
		finish(p, PUB_UNKNOWN);
		return;
	}
	is_ours = result == PLT_OK && decode_pointer(row, &p->found) &&
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
	plt_get(p->n->platform, MANIFEST_KEY, settled, p);
}

/* The pointer was written, or another publisher was first. */
static void pointer_written(void *arg, enum plt_result result,
			    const struct mir_entry *row)
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
	if (result == PLT_CONFLICT && row && decode_pointer(row, &other))
		p->found = other;
	finish(p, result == PLT_OK	 ? PUB_DONE :
		  result == PLT_CONFLICT ? PUB_CONFLICT :
					   PUB_UNREACHABLE);
}

/* The body is stored; nothing points to it yet. */
static void object_stored(void *arg, enum plt_result result, const void *body,
			  size_t len)
{
	struct pub *p = arg;
	char *value;

	(void)body;
	(void)len;
	if (fire(p, result == PLT_OK ? EVENT_OK : EVENT_FAILED) !=
	    PHASE_WRITING) {
		finish(p, PUB_UNREACHABLE);
		return;
	}
	value = encode_pointer(&p->new_pointer);
	ctr_add(CTR_PLATFORM_WRITES, 1);
	plt_put(p->n->platform, MANIFEST_KEY, p->found.row_version,
		value ? value : "", pointer_written, p);
	free(value);
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
	return err_set(&p->refusal, ERR_MANIFEST, MAN_BAD_VALUE,
		       "version %" PRIu64
		       " is not higher than the published version %" PRIu64,
		       p->new_pointer.version, p->found.version);
}

/* The present pointer has been read. */
static void pointer_read(void *arg, enum plt_result result,
			 const struct mir_entry *row)
{
	struct pub *p = arg;
	enum pub_result why = PUB_UNREACHABLE;
	bool ok = result == PLT_OK || result == PLT_NOT_FOUND;

	memset(&p->found, 0, sizeof(p->found));
	if (result == PLT_OK) {
		decode_pointer(row, &p->found);
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
	plt_put_object(p->n->platform, p->new_pointer.object, p->new_text,
		       p->new_len, object_stored, p);
}

/* Checks the text; false with the reason in p->refusal. */
static bool check_new(struct pub *p, const char *text, size_t len)
{
	struct man *man = man_parse("manifest", text, len, &p->refusal);
	bool ok = man != NULL;

	if (ok && p->man && man_version(man) > man_version(p->man))
		ok = man_follows(p->man, man, &p->refusal);
	if (ok)
		p->new_pointer.version = man_version(man);
	man_destroy(man);
	return ok;
}

/* Checks, then reads, stores and writes, as the chart says. */
void pub_publish(struct pub *p, const char *text, size_t len, uint64_t expect,
		 const char *publication, pub_done_fn fn, void *arg)
{
	if (p->done) {
		fn(arg, PUB_BUSY, p->wanted.version, NULL);
		return;
	}
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
	name_object(text, len, p->new_pointer.object);
	fire(p, EVENT_BEGIN);
	plt_get(p->n->platform, MANIFEST_KEY, pointer_read, p);
}
