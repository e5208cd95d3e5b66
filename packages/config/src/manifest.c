#include "manifest_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void manifest_destroy(struct manifest *m)
{
	if (!m)
		return;
	for (size_t i = 0; i < MANIFEST_SERVICES_MAX; i++)
		free(m->services[i].kinds);
	free(m->rules);
	free(m->nodes);
	free(m->edges);
	free(m);
}

uint64_t manifest_version(const struct manifest *m)
{
	return m->version;
}

size_t manifest_service_count(const struct manifest *m)
{
	return m->service_count;
}

/* Returns a service by its position in the file, NULL past the end. */
const struct manifest_service *manifest_service_at(const struct manifest *m,
						   size_t i)
{
	return i < m->service_count ? &m->services[i] : NULL;
}

/* Returns a service by its id, NULL if there is none. */
const struct manifest_service *manifest_service_by_id(const struct manifest *m,
						      uint16_t id)
{
	for (size_t i = 0; i < m->service_count; i++) {
		if (m->services[i].id == id)
			return &m->services[i];
	}
	return NULL;
}

/* Returns a service by its name, NULL if there is none. */
const struct manifest_service *
manifest_service_by_name(const struct manifest *m, const char *name)
{
	for (size_t i = 0; i < m->service_count; i++) {
		if (strcmp(m->services[i].name, name) == 0)
			return &m->services[i];
	}
	return NULL;
}

/*
 * The partition of a key depends on the number of partitions. If that number
 * changed, a key could have two owners while daemons run different versions.
 */
bool manifest_may_replace(const struct manifest *old,
			  const struct manifest *new, struct err *err)
{
	if (new->version <= old->version)
		return err_set(err, ERR_MANIFEST, MANIFEST_BAD_VALUE,
			       "version: %" PRIu64
			       " is not new (allowed: over %" PRIu64 ")",
			       new->version, old->version);
	for (size_t i = 0; i < new->service_count; i++) {
		const struct manifest_service *s = &new->services[i];
		const struct manifest_service *prev =
			manifest_service_by_id(old, s->id);

		if (prev && prev->partitions != s->partitions)
			return err_set(
				err, ERR_MANIFEST, MANIFEST_BAD_VALUE,
				"services[%zu].partitions: %" PRIu32
				" changes service %s (allowed: %" PRIu32 ")",
				i, s->partitions, s->name, prev->partitions);
	}
	return true;
}

uint32_t manifest_max_nonidempotent_ms(const struct manifest_service *s)
{
	uint32_t longest = 0;

	for (uint32_t i = 0; i < s->kind_count; i++) {
		const struct manifest_kind *k = &s->kinds[i];

		if (!k->idempotent && k->deadline_ms > longest)
			longest = k->deadline_ms;
	}
	return longest;
}

/* Warns if the deadline of a kind delays the next owner for too long. */
static void warn_kind(const struct manifest_service *s, uint32_t kind,
		      manifest_warn_fn fn, void *arg)
{
	const struct manifest_kind *k = &s->kinds[kind];
	char text[ERR_TEXT_MAX];

	if (k->idempotent ||
	    k->deadline_ms <= MANIFEST_UNFENCED_DEADLINE_MAX_MS)
		return;
	snprintf(text, sizeof(text),
		 "service %s, kind %s: deadline_ms %" PRIu32
		 " is over %d and the upstreams do not check fences: a key may "
		 "be unavailable for more than 3 s after a loss",
		 s->name, k->name, k->deadline_ms,
		 MANIFEST_UNFENCED_DEADLINE_MAX_MS);
	fn(arg, text);
}

void manifest_check_deadlines(const struct manifest *m, manifest_warn_fn fn,
			      void *arg)
{
	for (size_t i = 0; i < m->service_count; i++) {
		const struct manifest_service *s = &m->services[i];

		for (uint32_t k = 0; !s->checks_fences && k < s->kind_count;
		     k++)
			warn_kind(s, k, fn, arg);
	}
}
