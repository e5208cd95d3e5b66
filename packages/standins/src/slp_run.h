#ifndef SLP_RUN_H
#define SLP_RUN_H

/* The groups of measurements; each adds its lines to the table. */

#include "lease.h"
#include "replica.h"
#include "route.h"
#include "slp_tab.h"

/*
 * The build declares lease and route, so their headers are included without a
 * test: objects that were compiled without them would leave lines out.
 */
#define SLP_HAS_LEASE 1

/* Each returns false when memory is exhausted or a decision is not as due. */
bool slp_lease(struct slp *s);
bool slp_dup(struct slp *s);
bool slp_mirror(struct slp *s);
bool slp_place(struct slp *s);
bool slp_route(struct slp *s);
bool slp_config(struct slp *s);
bool slp_wire(struct slp *s);
bool slp_spread(struct slp *s);
bool slp_rows(struct slp *s);

/*
 * Fills a replica with rows of service 1 and its members, in ascending order of
 * their sequence numbers: members first. Returns NULL when memory is exhausted.
 */
struct table_replica *slp_fill(struct slp *s, uint32_t rows, uint32_t members);

/*
 * A row with random processes of instances 1 to members and prev earlier sets:
 * none as created, 1 after each later write of an active row.
 */
struct row slp_row(struct slp *s, uint32_t partition, uint32_t members,
		   uint32_t prev);

/* A member whose names have the length of those in use. */
struct member slp_member(uint32_t instance);

#endif
