#ifndef UPD_H
#define UPD_H

/*
 * The upstream beside this daemon: its announcements, its connections, and
 * whether it is alive by what this daemon sees itself.
 */

#include "admission.h"
#include "nod.h"
#include "upclient.h"

struct upd_announcement {
	char service[MANIFEST_NAME_MAX];
	char address[SETTINGS_ADDRESS_MAX];
	uint16_t port; /* 1 to 65535 */
	uint16_t slots; /* 1 to 1000 */
	uint16_t connections; /* 1 to 10000 */
	bool draining;
	double load; /* as it reports, a hint only */
	bool healthy;
};

struct upd *upd_create(struct nod *n, struct err *err);
void upd_destroy(struct upd *u);

/* The upstream has announced itself. Errors: layer daemon. */
bool upd_announce(struct upd *u, const struct upd_announcement *a,
		  struct err *err);

/* An operator's drain and its end. */
void upd_drain(struct upd *u, bool drain);

/* The connections to the upstream, NULL while there is none. */
struct upclient *upd_pool(const struct upd *u);

/* The admission, NULL before the first announcement. */
struct admitter *upd_admission(const struct upd *u);

/* True while new work may be sent to it. */
bool upd_is_serving(const struct upd *u);

/* A running request lost its connection: is the upstream dead? */
void upd_lost(struct upd *u, uint64_t fingerprint, const char *label);

/* A connection was refused: asks whether the upstream is dead. */
void upd_check(struct upd *u);

/* The name of its state, for operators. */
const char *upd_state_name(const struct upd *u);

#endif
