#include "demo.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A leaving upstream gets no new work after this time. */
#define LEAVE_LIMIT_US (5 * US_PER_S)

/* The journal with its starts in the order of keys. */
struct journal {
	struct entry *entries;
	size_t count;
	struct entry **starts;
	size_t start_count;
};

static bool is_start(const struct entry *e)
{
	return strcmp(e->event, "start") == 0;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct entry *const *)a)->key,
		      (*(struct entry *const *)b)->key);
}

/* Keeps the third part of the path, which is the key of most kinds. */
static void find_key(struct entry *e)
{
	e->key[0] = '\0';
	sscanf(e->path, "/%*[^/]/%*[^/]/%127[^/]", e->key);
}

static void read_journal(struct demo *d, unsigned int service,
			 struct journal *j)
{
	memset(j, 0, sizeof(*j));
	j->count = cluster_journal(d->cluster, demo_services[service],
				   &j->entries);
	j->starts = calloc(j->count + 1, sizeof(struct entry *));
	for (size_t i = 0; j->starts && i < j->count; i++) {
		find_key(&j->entries[i]);
		if (is_start(&j->entries[i]))
			j->starts[j->start_count++] = &j->entries[i];
	}
	if (j->start_count)
		qsort(j->starts, j->start_count, sizeof(struct entry *),
		      compare_keys);
}

static void free_journal(struct journal *j)
{
	free(j->starts);
	free(j->entries);
}

/* Number of times that the request started. */
static size_t count_starts(const struct journal *j, const char *key)
{
	size_t low = 0;
	size_t high = j->start_count;
	size_t count = 0;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (strcmp(j->starts[middle]->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	while (low < j->start_count && strcmp(j->starts[low]->key, key) == 0) {
		low++;
		count++;
	}
	return count;
}

static size_t node_of(const struct entry *e)
{
	unsigned int node = 0;

	sscanf(e->instance, "node%u", &node);
	return node < CLUSTER_NODES_MAX ? node : 0;
}

/* Max over mean of the requests that began in a time, over some instances. */
static void print_imbalance(const struct demo *d, const struct journal *j,
			    unsigned int service, uint64_t from_us,
			    uint64_t until_us, bool without_killed)
{
	size_t work[CLUSTER_NODES_MAX] = { 0 };
	size_t total = 0;
	size_t max = 0;
	size_t members = 0;

	for (size_t i = 0; i < j->start_count; i++) {
		const struct entry *e = j->starts[i];

		if (e->at_us >= from_us && e->at_us < until_us)
			work[node_of(e)]++;
	}
	for (size_t i = 0; i < d->cluster->count; i++) {
		if (d->cluster->nodes[i].is_booking != (service == 0) ||
		    (without_killed && i == d->killed))
			continue;
		members++;
		total += work[i];
		if (work[i] > max)
			max = work[i];
	}
	printf("imbalance, %s, %s: %.2f (max %zu, mean %.0f of %zu upstreams)\n",
	       demo_services[service],
	       without_killed ? "after the kill" : "before the kill",
	       total ? (double)max * (double)members / (double)total : 0.0, max,
	       (double)total / (double)members, members);
}

/* Partitions whose requests moved to another instance. */
static void print_churn(const struct demo *d, const struct journal *j,
			unsigned int service)
{
	size_t owner[DEMO_PARTITIONS_MAX];
	size_t moved = 0;
	size_t needed = 0;

	for (size_t p = 0; p < DEMO_PARTITIONS_MAX; p++)
		owner[p] = DEMO_NONE;
	for (size_t i = 0; i < j->count; i++) {
		const struct entry *e = &j->entries[i];
		size_t node = node_of(e);

		if (!is_start(e) || e->partition >= DEMO_PARTITIONS_MAX)
			continue;
		if (owner[e->partition] != DEMO_NONE &&
		    owner[e->partition] != node) {
			moved++;
			needed += owner[e->partition] == d->killed ||
				  owner[e->partition] == d->drained;
		}
		owner[e->partition] = node;
	}
	printf("churn, %s: %zu changes of owner over %u partitions, %zu of them from the killed or drained instance\n",
	       demo_services[service], moved, demo_partitions[service], needed);
}

static bool is_good(const struct demo_record *r)
{
	return r->status == 200 && strcmp(r->outcome, "done") == 0;
}

static void print_outcomes(const struct demo *d)
{
	static const char *const names[] = {
		"done",	     "not-run",	    "unknown", "shed",	"invalid",
		"forbidden", "quarantined", "lost",    "unsent"
	};

	printf("outcomes:");
	for (size_t n = 0; n < sizeof(names) / sizeof(names[0]); n++) {
		size_t count = 0;

		for (size_t i = 0; i < d->count; i++)
			count += strcmp(d->records[i].outcome, names[n]) == 0;
		if (count)
			printf(" %s %zu", names[n], count);
	}
	printf(", not sent for want of a connection %zu\n", d->skipped);
}

static int compare_times(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Latency of good answers before the first failure. */
static void print_latency(const struct demo *d)
{
	uint64_t *times = calloc(d->count + 1, sizeof(*times));
	size_t n = 0;

	for (size_t i = 0; times && i < d->count; i++) {
		if (is_good(&d->records[i]) &&
		    d->records[i].sent_us < d->killed_at_us)
			times[n++] = d->records[i].took_us;
	}
	if (n) {
		qsort(times, n, sizeof(*times), compare_times);
		printf("latency before the kill: p50 %.2f ms, p99 %.2f ms\n",
		       (double)times[n / 2] / US_PER_MS,
		       (double)times[n * 99 / 100] / US_PER_MS);
	}
	free(times);
}

/* Prints what each kind got, and the metrics of each service. */
void demo_print_metrics(struct demo *d)
{
	printf("requests: %zu\n", d->count);
	for (size_t k = 0; k < DEMO_KINDS; k++)
		printf("  %-13s %6" PRIu64 " sent, %6" PRIu64 " good\n",
		       demo_kinds[k].name, d->kinds_all[k], d->kinds_good[k]);
	print_outcomes(d);
	print_latency(d);
	for (unsigned int s = 0; s < DEMO_SERVICES; s++) {
		struct journal j;

		read_journal(d, s, &j);
		print_imbalance(d, &j, s, 0, d->killed_at_us, false);
		print_imbalance(d, &j, s, d->killed_at_us, d->drained_at_us,
				true);
		print_churn(d, &j, s);
		free_journal(&j);
	}
}

static size_t verdict(const char *what, size_t violations)
{
	printf("%s  %s", violations ? "BROKEN" : "ok    ", what);
	if (violations)
		printf(" (%zu)", violations);
	printf("\n");
	return violations != 0;
}

/* The caller has proof that the request did not run. */
static bool is_told_not_run(const struct demo_record *r)
{
	static const char *const names[] = { "not-run", "shed", "invalid",
					     "forbidden", "unsent" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(r->outcome, names[i]) == 0)
			return true;
	}
	return false;
}

struct findings {
	size_t foreign;
	size_t ran_though_not_run;
	size_t twice;
	size_t good_without_run;
	size_t without_end;
};

static void check_records(const struct demo *d, const struct journal *j,
			  unsigned int service, struct findings *f)
{
	for (size_t i = 0; i < d->count; i++) {
		const struct demo_record *r = &d->records[i];
		const struct demo_kind *kind = &demo_kinds[r->kind];
		size_t starts;

		if (kind->service != service)
			continue;
		f->foreign += r->foreign;
		f->without_end += r->open;
		if (!kind->key_in_path)
			continue;
		starts = count_starts(j, r->key);
		f->ran_though_not_run += starts && is_told_not_run(r);
		f->twice += kind->once && starts > 1;
		f->good_without_run += is_good(r) && !starts;
	}
}

/* Requests that began on the drained upstream too long after the drain. */
static size_t count_late_work(const struct demo *d, const struct journal *j)
{
	size_t late = 0;

	for (size_t i = 0; i < j->start_count; i++)
		late += node_of(j->starts[i]) == d->drained &&
			j->starts[i]->at_us > d->drained_at_us + LEAVE_LIMIT_US;
	return late;
}

/*
 * Requests of the leaving instance that were interrupted: those that its
 * upstream ended otherwise than by the answer, and those that its daemon had
 * accepted from a caller and broke off.
 */
static size_t count_interrupted(const struct demo *d, const struct journal *j)
{
	size_t count = 0;

	for (size_t i = 0; i < j->count; i++) {
		const struct entry *e = &j->entries[i];

		count += node_of(e) == d->drained && !is_start(e) &&
			 e->at_us >= d->drained_at_us &&
			 strcmp(e->how, "done") != 0;
	}
	for (size_t i = 0; i < d->count; i++) {
		const struct demo_record *r = &d->records[i];

		count += r->node == d->drained &&
			 r->sent_us >= d->drained_at_us &&
			 strcmp(r->outcome, "lost") == 0;
	}
	return count;
}

/* Daemons that are not at the published version of the manifest. */
static size_t count_other_manifests(struct demo *d)
{
	size_t others = 0;

	for (size_t i = 0; i < d->cluster->count; i++) {
		json_t *status;

		if (d->cluster->nodes[i].daemon <= 0)
			continue;
		status = cluster_ask(d->cluster, i, "GET", "/-/status");
		others += json_integer_value(
				  json_object_get(status, "manifest")) != 1;
		json_decref(status);
	}
	return others;
}

/* Partitions that are not held by exactly one daemon, at least. */
static size_t count_not_held(struct demo *d)
{
	json_int_t held = 0;
	json_int_t wanted = 0;

	for (unsigned int s = 0; s < DEMO_SERVICES; s++)
		wanted += demo_partitions[s];
	for (size_t i = 0; i < d->cluster->count; i++) {
		json_t *status;

		if (d->cluster->nodes[i].daemon <= 0)
			continue;
		status = cluster_ask(d->cluster, i, "GET", "/-/status");
		held += json_integer_value(
			json_object_get(status, "partitions"));
		json_decref(status);
	}
	return (size_t)llabs(held - wanted);
}

/* Checks all invariants. */
size_t demo_check(struct demo *d)
{
	struct findings f = { 0 };
	size_t late = 0;
	size_t interrupted = 0;
	size_t owners = 0;
	size_t broken = 0;

	for (unsigned int s = 0; s < DEMO_SERVICES; s++) {
		struct journal j;

		read_journal(d, s, &j);
		check_records(d, &j, s, &f);
		late += count_late_work(d, &j);
		interrupted += count_interrupted(d, &j);
		free_journal(&j);
		owners += cluster_check_owners(d->cluster, demo_services[s]);
	}
	broken += verdict("1 one owner at a time, fences never fall", owners);
	broken += verdict("2 every partition has an owner at the end",
			  count_not_held(d));
	broken += verdict("3 no answer to another request", f.foreign);
	broken += verdict("3 every good answer belongs to a run",
			  f.good_without_run);
	broken += verdict("3 every request has ended", f.without_end);
	broken += verdict("4 not run means not run", f.ran_though_not_run);
	broken += verdict("5 nothing ran twice that may not", f.twice);
	broken += verdict("6 no new work 5 s after the drain", late);
	broken += verdict("7 the shutdown interrupts nothing", interrupted);
	broken += verdict("7 the drained daemon exits with 0",
			  d->stop_status != 0);
	broken += verdict("8 the manifest is in force everywhere",
			  count_other_manifests(d));
	return broken;
}
