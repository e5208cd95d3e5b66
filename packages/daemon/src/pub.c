#include "pub_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "ctr.h"
#include "log.h"
#include "syn.h"

#define FETCH_TIMEOUT_US (2 * US_PER_S)

/* Number and order as in the chart "publication". */
static const char *const phase_names[] = { "idle",    "reading",  "storing",
					   "writing", "settling", NULL };

static const char *const event_names[] = { "begin",  "ok",   "conflict",
					   "failed", "lost", NULL };

static void fetch(struct pub *p);

/* Reads the value of the row "manifest". */
bool pub_decode_pointer(const struct replica_entry *row, struct pointer *out)
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

/* The name of an object is made from its bytes, so it never changes. */
void pub_name_object(const void *text, size_t len, char *out)
{
	XXH128_hash_t hash = XXH3_128bits(text, len);

	snprintf(out, OBJECT_NAME_MAX, "manifest-%016" PRIx64 "%016" PRIx64,
		 (uint64_t)hash.high64, (uint64_t)hash.low64);
}

/* Puts a manifest in force if it follows the present one. */
static bool put_in_force(struct pub *p, struct manifest *man, const char *text,
			 size_t len, struct err *err)
{
	char *copy;

	if (p->man && !manifest_may_replace(p->man, man, err))
		return false;
	copy = malloc(len + 1);
	if (!copy)
		return err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
	memcpy(copy, text, len);
	copy[len] = '\0';
	for (size_t i = 0; i < p->subscriber_count; i++)
		p->subscribers[i].fn(p->subscribers[i].arg, man);
	manifest_destroy(p->man);
	free(p->text);
	p->man = man;
	p->text = copy;
	p->len = len;
	ctr_set(CTR_MANIFEST_VERSION, manifest_version(man));
	log_emit(LOG_MANIFEST_IN_FORCE, "version=%" PRIu64,
		 manifest_version(man));
	return true;
}

/* Checks a body that was fetched and puts it in force. */
static bool take_body(struct pub *p, const void *body, size_t len)
{
	char name[OBJECT_NAME_MAX];
	struct err err = { 0 };
	struct manifest *man;

	pub_name_object(body, len, name);
	if (strcmp(name, p->wanted.object) != 0)
		return false;
	man = manifest_parse(name, body, len, &err);
	if (man && manifest_version(man) == p->wanted.version &&
	    put_in_force(p, man, body, len, &err))
		return true;
	log_emit(LOG_MANIFEST_REFUSED, "object=%s error=\"%s\"", name,
		 err.text);
	manifest_destroy(man);
	return false;
}

static void retry_due(void *arg, uint64_t now_us)
{
	(void)now_us;
	fetch(arg);
}

static void fetch_later(struct pub *p)
{
	p->fetch_failed = true;
	tmr_at(p->n->timers, nod_now_us(p->n) + RETRY_US, retry_due, p);
}

/* The object store has answered. */
static void object_fetched(void *arg, enum platapi_result result,
			   const void *body, size_t len)
{
	struct pub *p = arg;

	p->fetching = false;
	if (result != PLATAPI_OK || !take_body(p, body, len)) {
		fetch_later(p);
		return;
	}
	fetch(p);
}

/* A peer has answered; the object store is asked if it could not help. */
static void peer_fetched(void *arg, enum peerrpc_failure failure, void *result)
{
	struct pub *p = arg;
	struct peer_body *body = result;

	if (failure == PEERRPC_OK && body->status == PEER_OK &&
	    take_body(p, body->bytes.bytes_val, body->bytes.bytes_len)) {
		p->fetching = false;
		fetch(p);
		return;
	}
	platapi_get_object(p->n->platform, p->wanted.object, object_fetched, p);
}

/*
 * The peer that told of the version; any other one if it is unknown, as a seed
 * is, or did not have the body. The name of the body proves that it is right.
 */
static const struct member *choose_peer(const struct pub *p)
{
	const struct member *m = NULL;

	if (!p->n->syn)
		return NULL;
	if (!p->fetch_failed)
		m = replica_member(p->n->replica, syn_last_source(p->n->syn));
	return m ? m : syn_random_member(p->n->syn);
}

/* Fetches the wanted body from a peer, else from the object store. */
static void fetch(struct pub *p)
{
	const struct member *m;
	struct peer_fetch args = { .from = nod_to_peer(&p->n->self),
				   .name = p->wanted.object };
	struct peerrpc_address to;

	if (p->fetching || p->wanted.version <= pub_version(p))
		return;
	p->fetching = true;
	m = choose_peer(p);
	if (m) {
		nod_peer_address(m, &to);
		if (peerrpc_call(p->n->peers, &to, PEER_FETCH, &args,
				 FETCH_TIMEOUT_US, peer_fetched, p))
			return;
	}
	platapi_get_object(p->n->platform, p->wanted.object, object_fetched, p);
}

/* A row of the replica has changed: is it the pointer to a newer manifest? */
static void row_changed(void *arg, const struct replica_entry *row)
{
	struct pub *p = arg;
	struct pointer pointer;

	if (strcmp(row->key, MANIFEST_KEY) != 0 ||
	    !pub_decode_pointer(row, &pointer))
		return;
	if (pointer.version <= p->wanted.version)
		return;
	p->wanted = pointer;
	p->fetch_failed = false;
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
	if (!p->chart || !replica_subscribe(n->replica, row_changed, p)) {
		pub_destroy(p);
		return NULL;
	}
	p->phase = statechart_initial_state(p->chart);
	return p;
}

/* Frees the module and the manifest in force. */
void pub_destroy(struct pub *p)
{
	if (!p)
		return;
	statechart_destroy(p->chart);
	manifest_destroy(p->man);
	free(p->text);
	free(p->new_text);
	pub_free_waiting(p);
	free(p);
}

/* Returns the manifest in force. */
const struct manifest *pub_manifest(const struct pub *p)
{
	return p->man;
}

/* Returns the version in force. */
uint64_t pub_version(const struct pub *p)
{
	return p->man ? manifest_version(p->man) : 0;
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
void pub_answer(struct pub *p, struct peerrpc_question *q,
		const struct peer_fetch *args)
{
	struct peer_body answer = { .status = PEER_NOT_FOUND };
	char name[OBJECT_NAME_MAX];

	if (p->text) {
		pub_name_object(p->text, p->len, name);
		if (strcmp(name, args->name) == 0) {
			answer.status = PEER_OK;
			answer.bytes.bytes_val = p->text;
			answer.bytes.bytes_len = (u_int)p->len;
		}
	}
	peerrpc_reply(p->n->peers, q, &answer);
}
