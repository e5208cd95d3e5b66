#ifndef PMG_H
#define PMG_H

/* Short messages between daemons, apart from forwarded requests. */

#include <stdint.h>

#include "hcl.h"

/* Receiver of the responses; must outlive the connections. */
struct pmg_sender {
	/* Called with the status of a response, 0 if there was none. */
	void (*on_answer)(void *arg, uint16_t status);
	void *arg;
};

bool pmg_send_bytes(struct hcl *daemon, const char *target, const char *bytes,
		    size_t len, const struct pmg_sender *sender);
bool pmg_send(struct hcl *daemon, const char *target, const char *text,
	      const struct pmg_sender *sender);

#endif
