#include "cluster_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "placement.h"
#include <xxhash.h>

#include "row.h"

#define SETTLE_PAUSE_MS 50
#define SERVICE_BOOKINGS 1
#define SERVICE_DOCUMENTS 2
#define DOCUMENTS_PARTITIONS 24

/* Reads the value of a row of the table into a buffer. */
static bool read_value(struct cluster *c, const char *key, char *out,
		       size_t size)
{
	char target[ROW_KEY_MAX + 16];
	const char *value;
	json_t *json;

	snprintf(target, sizeof(target), "/table/%s", key);
	json = cluster_ask_platform(c, target);
	value = json_string_value(json_object_get(json, "value"));
	snprintf(out, size, "%s", value ? value : "");
	json_decref(json);
	return out[0] != '\0';
}

/* True if the daemon that runs now is the process of the member row. */
static bool is_current(struct cluster *c, size_t node, const struct proc *p)
{
	json_t *status = cluster_ask(c, node, "GET", "/-/status");
	const char *text = json_string_value(json_object_get(
		json_object_get(status, "process"), "incarnation"));
	bool same = text && strtoull(text, NULL, 16) == p->incarnation;

	json_decref(status);
	return same;
}

static bool read_row(struct cluster *c, uint64_t part, struct row *row)
{
	char value[4096];
	char key[ROW_KEY_MAX];

	row_key(part, key);
	return read_value(c, key, value, sizeof(value)) &&
	       row_decode(value, row, NULL);
}

/* The processes that the member rows name, by node; none for a stopped one. */
static void read_processes(struct cluster *c, struct proc *out)
{
	char value[4096];
	char key[ROW_KEY_MAX];
	struct member m;

	memset(out, 0, c->count * sizeof(*out));
	for (size_t i = 0; i < c->count; i++) {
		member_key(c->nodes[i].instance, key);
		if (c->nodes[i].daemon > 0 &&
		    read_value(c, key, value, sizeof(value)) &&
		    member_decode(value, &m, NULL) && m.state != MEMBER_GONE &&
		    is_current(c, i, &m.proc))
			out[i] = m.proc;
	}
}

static bool runs(const struct cluster *c, const struct proc *processes,
		 const struct proc *p)
{
	return p->instance >= 1 && p->instance <= c->count &&
	       p->incarnation != 0 &&
	       proc_equal(&processes[p->instance - 1], p);
}

static bool is_settled(struct cluster *c, const struct proc *processes,
		       uint64_t part)
{
	struct row row;

	return read_row(c, part, &row) && runs(c, processes, &row.set.owner) &&
	       runs(c, processes, &row.set.witness[0]) &&
	       runs(c, processes, &row.set.witness[1]);
}

static bool all_settled(struct cluster *c)
{
	struct proc processes[CLUSTER_NODES_MAX];
	uint32_t bookings =
		c->params.bookings ? CLUSTER_BOOKINGS_PARTITIONS : 0;
	uint32_t documents = c->params.documents ? DOCUMENTS_PARTITIONS : 0;

	read_processes(c, processes);
	for (uint32_t i = 0; i < bookings; i++) {
		if (!is_settled(c, processes, part_id(SERVICE_BOOKINGS, i)))
			return false;
	}
	for (uint32_t i = 0; i < documents; i++) {
		if (!is_settled(c, processes, part_id(SERVICE_DOCUMENTS, i)))
			return false;
	}
	return cluster_held(c) == bookings + documents;
}

static void print_proc(const struct proc *p)
{
	printf(" %" PRIu32 "/%016" PRIx64, p->instance, p->incarnation);
}

/* Prints what each daemon knows of a partition of bookings. */
static void print_known(struct cluster *c, uint32_t index)
{
	char target[64];
	char key[16];
	unsigned int number = 0;

	do {
		snprintf(key, sizeof(key), "k%u", number++);
	} while (placement_partition_of_key(key, strlen(key),
					    CLUSTER_BOOKINGS_PARTITIONS) !=
		 index);
	snprintf(target, sizeof(target), "/-/explain?service=bookings&key=%s",
		 key);
	for (size_t i = 0; i < c->count; i++) {
		json_t *known = cluster_ask(c, i, "GET", target);
		char *text = known ? json_dumps(known, JSON_COMPACT) : NULL;

		printf("node %zu knows: %s\n", i, text ? text : "no answer");
		free(text);
		json_decref(known);
	}
}

/* Prints the rows that keep the cluster from being settled. */
static void print_unsettled(struct cluster *c, uint16_t service, uint32_t count)
{
	struct proc processes[CLUSTER_NODES_MAX];

	read_processes(c, processes);
	for (uint32_t i = 0; i < count; i++) {
		uint64_t part = part_id(service, i);
		struct row row = { 0 };

		if (is_settled(c, processes, part))
			continue;
		read_row(c, part, &row);
		printf("service %u partition %u version %" PRIu64
		       " earlier %u:",
		       service, i, row.set.version, row.prev_count);
		print_proc(&row.set.owner);
		print_proc(&row.set.witness[0]);
		print_proc(&row.set.witness[1]);
		printf("\n");
		if (service == SERVICE_BOOKINGS)
			print_known(c, i);
	}
}

/* Prints what each daemon says of itself. */
static void print_status(struct cluster *c)
{
	for (size_t i = 0; i < c->count; i++) {
		json_t *status;
		char *text;

		if (c->nodes[i].daemon <= 0)
			continue;
		status = cluster_ask(c, i, "GET", "/-/status");
		text = status ? json_dumps(status, JSON_COMPACT) : NULL;
		printf("node %zu: %s\n", i, text ? text : "no answer");
		free(text);
		json_decref(status);
	}
}

/* Prints why the cluster is not settled. */
static void explain(struct cluster *c)
{
	printf("not settled: %d partitions held\n", (int)cluster_held(c));
	if (c->params.bookings)
		print_unsettled(c, SERVICE_BOOKINGS,
				CLUSTER_BOOKINGS_PARTITIONS);
	if (c->params.documents)
		print_unsettled(c, SERVICE_DOCUMENTS, DOCUMENTS_PARTITIONS);
	print_status(c);
	fflush(stdout);
}

/* Waits until the table and the daemons agree on owners that run. */
bool cluster_settle(struct cluster *c, unsigned int limit_ms)
{
	uint64_t limit = cluster_now_ms() + limit_ms;

	while (!all_settled(c)) {
		if (cluster_now_ms() > limit) {
			explain(c);
			return false;
		}
		cluster_sleep(c, SETTLE_PAUSE_MS);
	}
	return true;
}

/* Looks the owner up in the table. */
int cluster_row_owner(struct cluster *c, uint32_t partition)
{
	struct row row;

	if (!read_row(c, part_id(SERVICE_BOOKINGS, partition), &row))
		return -1;
	return (int)row.set.owner.instance - 1;
}

/* The same hash as that of the daemons. */
uint32_t cluster_partition(const char *key)
{
	return (uint32_t)(XXH3_64bits(key, strlen(key)) %
			  CLUSTER_BOOKINGS_PARTITIONS);
}
