#ifndef ATT_INT_H
#define ATT_INT_H

/* State of the local upstream, shared by the source files of the module. */

#include "att.h"

/*
 * Maximum duration of a grant. It is long enough for a few lost announcements
 * and a restart of this daemon. The keys of an upstream that stops announcing
 * itself can be reassigned once it has passed.
 */
#define ATT_HOLD_MAX_MS 4000

struct att {
	struct att_parts parts;
	const struct att_ops *ops;
	void *arg;
	/* Incarnation. */
	struct life life;
	char service[RCONFIG_NAME_MAX];
	uint32_t slots;
	uint64_t seq; /* of the last announcement */
	uint64_t last_announce_us;
	uint64_t slow_until_us; /* end of the slow start */
	bool announced; /* to this process, not only to an earlier one */
	bool draining;
	bool silent; /* it does not respond */
	bool left; /* it has announced its shutdown, which is final */
	uint64_t
		drain_end_us; /* last time to send requests, 0 if not draining */
	int64_t ended_born_ms; /* start of the last ended incarnation */
	char ended_id[LIFE_ID_MAX];
	char unknown_left_id
		[LIFE_ID_MAX]; /* shutdown of a still unknown upstream */
	uint64_t unknown_left_us; /* when that shutdown was received */
	/* Keys. */
	struct plat_announcement last; /* newest announcement */
	struct plat_grant granted; /* newest answer */
	uint64_t granted_until_us;
	uint64_t ticket; /* read of the plan that must precede a grant */
	bool granted_once;
	bool left_out; /* never set */
	/* Delayed answer. */
	struct hsc *pending; /* NULL if there is none */
	uint64_t pending_since_us;
	uint32_t answer_timer;
	/* Health probe. */
	struct skt *probe;
	uint32_t connect_timer; /* timer: the connection attempt has failed */
	uint32_t check_timer; /* timer: periodic health check */
	uint32_t refusals; /* consecutive refused connections */
};

/* Suspends (silent) or resumes the sending of requests to the upstream. */
void att_set_silent(struct att *a, bool silent, const char *reason);

/* Sends the delayed answer now, if there is one. */
void att_answer(struct att *a);

/* True if an answer would change the set of keys that the upstream holds. */
bool att_has_news(struct att *a);

/* Records a release of each key range that the upstream no longer holds. */
void att_find_releases(struct att *a);

/* Starts a probe: refused connections prove that the upstream has ended. */
void att_start_probe(struct att *a);
void att_stop_probe(struct att *a);

/*
 * Ends the current incarnation; there is none until the next announcement. If
 * its end is proved, its later announcements are ignored as stale. Otherwise it
 * holds no keys, but may announce itself again.
 */
void att_end_life(struct att *a, bool proved, const char *reason);

#endif
