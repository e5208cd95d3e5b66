#ifndef JRN_H
#define JRN_H

/*
 * Journal of an upstream: a line of JSON when a request starts and one when it
 * ends, each written in append mode by one write, so that several upstreams
 * may share a file and a line is whole after a crash of the process.
 */

#include <stdbool.h>
#include <stdint.h>

struct jrn;

struct jrn_entry {
	const char *event; /* "start" or "end" */
	const char *how; /* how it ended, NULL at the start */
	uint64_t partition;
	uint64_t fence;
	const char *method;
	const char *path;
	const char *key; /* of idempotency, "" if there is none */
	uint64_t number; /* of the request in this process */
};

/* path NULL writes nothing. Returns NULL with errno on an error. */
struct jrn *jrn_open(const char *path, const char *instance,
		     uint64_t incarnation);
void jrn_close(struct jrn *j);

/* Returns false when the line was not written whole. */
bool jrn_write(struct jrn *j, const struct jrn_entry *e);

#endif
