#ifndef UST_H
#define UST_H

/*
 * The work of the upstream's stand-in: it checks fence, start-by and slots,
 * runs a request for the service time and answers. See main_standin_upstream.c
 * for its options and its control.
 */

#include <stdbool.h>
#include <stdint.h>

#include "com.h"
#include "fnc.h"
#include "jrn.h"

#define UST_TEXT_MAX 256

/* Exit status of a crash that was asked for. */
#define UST_EXIT_CRASH 70

/* Work takes this many times longer while the upstream is cold. */
#define UST_COLD_FACTOR 10

struct ust_work;

struct ust {
	struct lwsloop *loop;
	struct jrn *journal;
	struct fnc *fences; /* NULL if fences are not checked */
	const char *instance;
	uint64_t incarnation;
	uint64_t slots;
	uint64_t service_ms;
	uint64_t cold_until_us;
	bool shed;
	char stall[UST_TEXT_MAX]; /* path prefix, "" for none */
	char crash[UST_TEXT_MAX]; /* part of a path, "" for none */
	uint64_t busy;
	uint64_t started;
	uint64_t done;
	uint64_t refused_fence;
	uint64_t refused_start_by;
	uint64_t refused_shed;
	uint64_t cancelled;
	uint64_t deadlines;
	struct ust_work *stalled;
};

/* Entries of struct websrv_ops for requests that are work. */
void ust_head(struct ust *u, struct websrv_req *r);
void ust_body(struct websrv_req *r, const void *data, size_t len, bool end);
void ust_writable(struct websrv_req *r);
void ust_closed(struct websrv_req *r, bool complete);

/* Lets stalled requests go on that the prefix no longer holds. */
void ust_release_stalled(struct ust *u);

#endif
