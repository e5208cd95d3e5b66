#ifndef DEMO_H
#define DEMO_H

/*
 * The demo: traffic of every kind of the manifest over a cluster, a record of
 * each request, and the checks of the records against the journals.
 */

#include "cluster_int.h"

#define DEMO_SERVICES 2
#define DEMO_PARTITIONS_MAX 64
#define DEMO_KINDS 8
#define DEMO_RECORDS_MAX 100000
#define DEMO_NONE SIZE_MAX

struct demo;

/* One request and what its caller was told. */
struct demo_record {
	struct demo *demo;
	char id[40];
	char key[24]; /* of no other request */
	uint8_t kind;
	uint8_t partition;
	bool open;
	bool foreign; /* the body is not the answer to this request */
	int status; /* 0 if there was no whole response */
	size_t received;
	size_t node; /* daemon that was asked */
	uint64_t sent_us; /* wall clock */
	uint64_t took_us; /* until the end of the answer */
	char outcome[16];
	char body[768]; /* the first bytes */
};

struct demo {
	struct cluster *cluster;
	struct demo_record *records;
	size_t count;
	size_t open;
	size_t skipped; /* no connection was free */
	bool sending;
	bool callable[CLUSTER_NODES_MAX]; /* callers use this daemon */
	uint64_t last_good_us[DEMO_SERVICES][DEMO_PARTITIONS_MAX];
	uint64_t gap_us[DEMO_SERVICES]; /* since the last reset */
	uint64_t kinds_good[DEMO_KINDS];
	uint64_t kinds_all[DEMO_KINDS];
	/* wall clock, microseconds */
	uint64_t killed_at_us;
	uint64_t drained_at_us;
	uint64_t stopped_at_us;
	size_t killed;
	size_t drained;
	int stop_status; /* exit status of the drained daemon */
};

struct demo_kind {
	const char *name;
	const char *method;
	const char *path; /* %s stands for the key */
	unsigned int service;
	bool once;
	bool key_in_path; /* so that the journal names it */
	size_t body_bytes;
	size_t answer_bytes; /* 0: the answer echoes the request */
};

extern const struct demo_kind demo_kinds[DEMO_KINDS];
extern const char *const demo_services[DEMO_SERVICES];
extern const unsigned int demo_partitions[DEMO_SERVICES];

/* Microseconds of the wall clock, as in the journals. */
uint64_t demo_wall_us(void);

/* Sends one request to each service every millisecond until stopped. */
void demo_start_traffic(struct demo *d);
void demo_stop_traffic(struct demo *d);

/* Runs the loop for a while, with traffic. */
void demo_run(struct demo *d, unsigned int ms);

/* Longest time without a good answer of a partition; starts to count anew. */
void demo_print_gaps(struct demo *d, const char *phase);

/* Prints the metrics from the journals. */
void demo_print_metrics(struct demo *d);

/* Checks the invariants; returns the number of those that broke. */
size_t demo_check(struct demo *d);

#endif
