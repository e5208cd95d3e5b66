#include "cluster.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 8192
#define PARTITIONS 64

static void copy(char *out, size_t size, const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	snprintf(out, size, "%s", text ? text : "");
}

static uint64_t number(const json_t *json, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(json, name));
}

static bool read_entry(const char *line, struct entry *e)
{
	json_t *json = json_loads(line, 0, NULL);

	if (!json)
		return false;
	memset(e, 0, sizeof(*e));
	e->at_us = number(json, "time");
	e->partition = number(json, "partition");
	e->fence = number(json, "fence");
	e->number = number(json, "number");
	copy(e->incarnation, sizeof(e->incarnation), json, "incarnation");
	copy(e->instance, sizeof(e->instance), json, "instance");
	copy(e->event, sizeof(e->event), json, "event");
	copy(e->how, sizeof(e->how), json, "how");
	copy(e->path, sizeof(e->path), json, "path");
	copy(e->key, sizeof(e->key), json, "key");
	json_decref(json);
	return true;
}

static int compare(const void *a, const void *b)
{
	const struct entry *x = a;
	const struct entry *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Reads all lines of the journal. */
size_t cluster_journal(const struct cluster *c, const char *service,
		       struct entry **out)
{
	char path[128];
	char line[LINE_BYTES];
	size_t count = 0;
	size_t room = 0;
	FILE *f;

	*out = NULL;
	snprintf(path, sizeof(path), "%s/%s.journal", cluster_dir(c), service);
	f = fopen(path, "r");
	if (!f)
		return 0;
	while (fgets(line, sizeof(line), f)) {
		if (count == room) {
			room = room ? room * 2 : 1024;
			*out = realloc(*out, room * sizeof(**out));
		}
		if (*out && read_entry(line, &(*out)[count]))
			count++;
	}
	fclose(f);
	if (count)
		qsort(*out, count, sizeof(**out), compare);
	return count;
}

static bool is_start(const struct entry *e)
{
	return strcmp(e->event, "start") == 0;
}

/* A daemon asks for the health of its upstream outside of any partition. */
static bool is_probe(const struct entry *e)
{
	return strcmp(e->path, "/-/health") == 0;
}

/*
 * Time at which a request ended; a crash leaves no line and ends at its start.
 */
static uint64_t end_of(const struct entry *entries, size_t count, size_t i)
{
	for (size_t j = i + 1; j < count; j++) {
		if (!is_start(&entries[j]) &&
		    entries[j].number == entries[i].number &&
		    strcmp(entries[j].incarnation, entries[i].incarnation) ==
			    0 &&
		    strcmp(entries[j].instance, entries[i].instance) == 0)
			return entries[j].at_us;
	}
	return entries[i].at_us;
}

/* What ran last on a partition. */
struct last {
	uint64_t fence;
	uint64_t until_us;
	char instance[32];
};

static size_t check_entry(struct last *last, const struct entry *e,
			  uint64_t until_us)
{
	bool moved = strcmp(last->instance, e->instance) != 0;
	size_t violations = 0;

	if (moved && last->until_us > e->at_us) {
		printf("partition %" PRIu64 ": %s starts at %" PRIu64
		       " while %s runs until %" PRIu64 "\n",
		       e->partition, e->instance, e->at_us, last->instance,
		       last->until_us);
		violations++;
	}
	if (e->fence < last->fence) {
		printf("partition %" PRIu64 ": fence falls from %" PRIu64
		       " to %" PRIu64 "\n",
		       e->partition, last->fence, e->fence);
		violations++;
	}
	if (moved || until_us > last->until_us)
		last->until_us = until_us;
	last->fence = e->fence;
	snprintf(last->instance, sizeof(last->instance), "%s", e->instance);
	return violations;
}

/* Looks for two owners at one time and for falling fences. */
size_t cluster_check_owners(const struct cluster *c, const char *service)
{
	struct last last[PARTITIONS] = { 0 };
	struct entry *entries;
	size_t count = cluster_journal(c, service, &entries);
	size_t violations = 0;
	size_t starts = 0;

	for (size_t i = 0; i < count; i++) {
		if (!is_start(&entries[i]) || is_probe(&entries[i]) ||
		    entries[i].partition >= PARTITIONS)
			continue;
		starts++;
		violations +=
			check_entry(&last[entries[i].partition], &entries[i],
				    end_of(entries, count, i));
	}
	printf("%s: %zu requests started, %zu violations of sole ownership\n",
	       service, starts, violations);
	free(entries);
	return violations;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct entry *)a)->key,
		      ((const struct entry *)b)->key);
}

/* Looks for request ids that started twice. */
size_t cluster_check_once(const struct cluster *c, const char *service)
{
	struct entry *entries;
	size_t count = cluster_journal(c, service, &entries);
	size_t kept = 0;
	size_t violations = 0;

	for (size_t i = 0; i < count; i++) {
		if (is_start(&entries[i]) && entries[i].key[0])
			entries[kept++] = entries[i];
	}
	if (kept)
		qsort(entries, kept, sizeof(*entries), compare_keys);
	for (size_t i = 1; i < kept; i++) {
		if (strcmp(entries[i].key, entries[i - 1].key) != 0)
			continue;
		printf("request %s ran twice\n", entries[i].key);
		violations++;
	}
	printf("%s: %zu requests with an id, %zu ran twice\n", service, kept,
	       violations);
	free(entries);
	return violations;
}

/* Looks for a start of the request. */
bool cluster_did_run(const struct cluster *c, const char *service,
		     const char *id)
{
	struct entry *entries;
	size_t count = cluster_journal(c, service, &entries);
	bool found = false;

	for (size_t i = 0; i < count; i++)
		found = found || (is_start(&entries[i]) &&
				  strcmp(entries[i].key, id) == 0);
	free(entries);
	return found;
}
