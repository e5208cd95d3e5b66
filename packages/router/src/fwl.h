#ifndef FWL_H
#define FWL_H

/*
 * Header fields that daemons add to a forwarded request and its response, in
 * addition to those of the caller and the upstream.
 */

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "exr.h"
#include "hmg.h"

#define FWL_REQUEST_FIELD "Geranium-Forward"
#define FWL_REFUSED_FIELD "Geranium-Refused"
#define FWL_FAILED_FIELD "Geranium-Failed"
#define FWL_LOAD_FIELD "Geranium-Load"
#define FWL_TIMES_FIELD "Geranium-Times"

struct fwl_request {
	char upstream_id[LIFE_ID_MAX];
	char caller_service[RCF_NAME_MAX];
	uint64_t left_us; /* time to the deadline */
	uint64_t objective_left_us; /* 0 if the objective has passed */
	uint32_t rank;
	uint32_t kind;
	bool idempotent;
	bool keyed; /* the request may run only where its key is held */
	bool sender_stopping; /* the sender has little time left */
};

void fwl_write_request(struct buf *out, const struct fwl_request *r);
bool fwl_read_request(const struct hmg *m, struct fwl_request *r);

void fwl_write_refusal(struct buf *out, enum exr_refusal why, uint64_t wait_us);
bool fwl_read_refusal(const struct hmg *m, enum exr_refusal *why,
		      uint64_t *wait_us);

void fwl_write_load(struct buf *out, const struct exr_load *load);

void fwl_write_times(struct buf *out, const struct exr_times *t);
bool fwl_read_times(const struct hmg *m, struct exr_times *t);

bool fwl_read_load(const struct hmg *m, uint32_t *requests);

#endif
