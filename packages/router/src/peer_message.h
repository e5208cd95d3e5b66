#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

/* Short messages between daemons, apart from forwarded requests. */

#include <stdint.h>

#include "httppool.h"

/* Receiver of the responses; must outlive the connections. */
struct peermsg_sender {
	/* Called with the head of a response, NULL if there was none. */
	void (*on_answer)(void *arg, const struct httpmsg *m);
	void *arg;
};

/* fields: header lines to add, each with its end of line. */
bool peermsg_send_fields(struct httppool *daemon, const char *target,
			 const char *fields, const char *bytes, size_t len,
			 const struct httpcall_counters *counters,
			 const struct peermsg_sender *sender);
bool peermsg_send_bytes(struct httppool *daemon, const char *target,
			const char *bytes, size_t len,
			const struct httpcall_counters *counters,
			const struct peermsg_sender *sender);
bool peermsg_send(struct httppool *daemon, const char *target, const char *text,
		  const struct httpcall_counters *counters,
		  const struct peermsg_sender *sender);

#endif
