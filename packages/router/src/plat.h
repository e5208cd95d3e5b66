#ifndef PLAT_H
#define PLAT_H

/*
 * Interface of the router to the platform that it runs on. The platform adapter
 * decodes each message once into the types below; only the adapter knows the
 * names of the platform's header and message fields.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "err.h"
#include "httpmsg.h"
#include "incarnation.h"
#include "router_settings.h"
#include "routing_config.h"
#include "tbl.h"

#define PLAT_ID_MAX 128
#define PLAT_HOLDS_MAX 512
#define PLAT_HANDOVER_MAX 48
#define PLAT_NO_KEY UINT32_MAX

/* A request of a caller. */
struct plat_request {
	/* Identifier of the id of this attempt of the caller; may be "". */
	char id[PLAT_ID_MAX];
	uint32_t key; /* 0 to 65535, PLAT_NO_KEY if there is none */
	uint64_t left_ms; /* time to the deadline, if has_deadline */
	bool has_deadline;
};

/* Fields that are added to a request to an upstream. */
struct plat_forward {
	uint64_t left_ms; /* the upstream stops the request after this */
	const char *upstream_id; /* any other upstream rejects the request */
	struct span caller_service; /* name of that at the caller's daemon */
};

/* A response of an upstream. */
struct plat_response {
	bool has_id;
	bool id_matches; /* its id is that of the given request */
	bool is_signed; /* signed, so made by an upstream */
	bool not_run; /* the upstream states that it did not run the request */
	bool other_upstream; /* not the expected one, or without the key */
	bool has_load;
	uint32_t running, waiting, slots; /* if has_load */
	bool has_slowdown;
	/* How long work takes now, 100 is the usual time; if has_slowdown. */
	uint32_t slowdown_pct;
	/* Requests per second from all instances together that it takes. */
	bool has_limit;
	double limit_per_s; /* if has_limit; 0 or more */
	bool leaving; /* the upstream is going to end */
};

/* A range of keys that an upstream holds. */
struct plat_hold {
	uint32_t first, last; /* keys, both inclusive */
	uint64_t fence;
	char handover[PLAT_HANDOVER_MAX]; /* of a grant or a release, or "" */
};

enum plat_state {
	PLAT_READY,
	PLAT_DRAINING /* it is leaving and accepts no new requests */
};

/* Periodic announcement of an upstream to its local daemon. */
struct plat_announcement {
	char id[NAME_SIZE]; /* identifier of its id */
	struct span id_text; /* its id; valid while the message is handled */
	bool leaves; /* the upstream is leaving; other fields are not set */
	int64_t start_unix_ms;
	uint64_t seq; /* increases with each announcement of an incarnation */
	char service[NAME_SIZE]; /* identifier of its name */
	char address[RSETTINGS_ADDRESS_MAX]; /* "" if no IPV4:PORT */
	uint32_t slots;
	enum plat_state state;
	uint32_t slow_left_ms;
	struct plat_hold holds[PLAT_HOLDS_MAX]; /* held or with requests */
	size_t hold_count;
	struct plat_hold freed[PLAT_HOLDS_MAX]; /* since the last response */
	size_t freed_count;
};

/* The response to an announcement. */
struct plat_grant {
	bool renews; /* false if the response does not concern keys */
	uint32_t hold_ms;
	struct plat_hold holds[PLAT_HOLDS_MAX];
	size_t count;
};

struct plat_ops {
	struct tbl (*table)(void *self);
	/* Table and key of the row that stores the configuration. */
	const char *config_table;
	const char *config_key;
	/*
	 * True if a row of that table with this key evacuates a data centre, as
	 * long as the row exists; writes its identifier to an array of
	 * NAME_SIZE.
	 */
	bool (*read_evacuated)(const char *key, char *data_centre);
	/*
	 * An entry that cannot be read does not affect the others; that of the
	 * configuration before remains in its place. If nothing can be read,
	 * the result is false, err of the layer settings is set and c is empty
	 * but for its version, if that could be read.
	 */
	bool (*read_config)(const char *value, size_t len,
			    const struct rconfig *before, struct rconfig *c,
			    struct err *err);
	void (*read_request)(const struct httpmsg *m, struct plat_request *r);
	/* True for a field that write_forward() sets. */
	bool (*is_forward_field)(struct span name);
	void (*write_forward)(struct buf *out, const struct plat_forward *f);
	void (*read_response)(const struct httpmsg *m, const char *request_id,
			      struct plat_response *r);
	void (*write_retry_after)(struct buf *out, uint64_t wait_ms);
	/* False, with a reason, for an invalid announcement. */
	bool (*read_announcement)(const struct httpmsg *m,
				  const struct buf *body,
				  struct plat_announcement *a,
				  const char **reason);
	/* Writes the body of the response to an announcement. */
	void (*write_grant)(struct buf *out, const struct plat_grant *g);
	void (*destroy)(void *self);
};

struct plat {
	const struct plat_ops *ops;
	void *self;
};

#endif
