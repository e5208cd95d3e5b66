#ifndef PMG_H
#define PMG_H

/* Short messages between daemons, beside forwarded requests. */

#include <stdint.h>

#include "hcl.h"

/* Who learns of the answers; it outlives the connections. */
struct pmg_sender {
	/* Called with the status of an answer, 0 if none came. */
	void (*on_answer)(void *arg, uint16_t status);
	void *arg;
};

/* Posts bytes or a text to a daemon. False if nothing can be sent. */
bool pmg_send_bytes(struct hcl *daemon, const char *target, const char *bytes,
		    size_t len, const struct pmg_sender *sender);
bool pmg_send(struct hcl *daemon, const char *target, const char *text,
	      const struct pmg_sender *sender);

#endif
