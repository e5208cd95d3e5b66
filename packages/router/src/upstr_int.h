#ifndef UPSTR_INT_H
#define UPSTR_INT_H

/* State of the local upstream, shared by the source files of the module. */

#include "upstr.h"

/*
 * Maximum duration of a grant. It is long enough for a few lost announcements
 * and a restart of this daemon. The keys of an upstream that stops announcing
 * itself can be reassigned once it has passed.
 */
#define UPSTR_GRANT_MAX_MS 4000

struct upstr {
	struct upstr_parts parts;
	const struct upstr_ops *ops;
	void *arg;
	/* Incarnation. */
	struct incarnation incarnation;
	/* Id of the upstream, NULL if only its identifier is known. */
	char *id;
	char service[NAME_SIZE];
	uint32_t slots;
	uint64_t seq; /* of the last announcement */
	uint64_t last_announce_us;
	uint64_t overdue_since_us; /* announcements are missed, 0 if not */
	uint64_t slow_until_us; /* end of the slow start, if state_known */
	bool state_known; /* from an announcement, and not in doubt since */
	uint32_t recoveries;
	bool announced; /* to this process, not only to an earlier one */
	bool draining;
	bool silent; /* it does not respond */
	bool left; /* it has announced its shutdown, which is final */
	/* Last time to send requests, 0 if not draining. */
	uint64_t drain_end_us;
	int64_t ended_born_ms; /* start of the last ended incarnation */
	char ended_id[NAME_SIZE];
	/* Shutdown of a still unknown upstream, and when it was received. */
	char unknown_left_id[NAME_SIZE];
	uint64_t unknown_left_us;
	/* Keys. */
	struct plat_announcement last; /* newest announcement */
	struct plat_grant granted; /* newest answer */
	uint64_t granted_until_us;
	uint64_t ticket; /* read of the plan that must precede a grant */
	bool granted_once;
	bool left_out; /* never set */
	/* Delayed answer. */
	struct httpconn *pending; /* NULL if there is none */
	uint64_t pending_since_us;
	uint32_t answer_timer;
	/* Health probe. */
	struct tcpsock *probe;
	uint32_t repeat_timer; /* for the next one after a refusal */
	uint32_t connect_timer; /* timer: the connection attempt has failed */
	uint32_t check_timer; /* timer: periodic health check */
	uint32_t recheck_timer; /* timer: repeats one of them */
	uint32_t refusals; /* consecutive refused connections */
};

/* Suspends (silent) or resumes the sending of requests to the upstream. */
void upstr_set_silent(struct upstr *a, bool silent, const char *reason);

/* Records that the upstream announces so many milliseconds of slow start. */
void upstr_record_slow_start(struct upstr *a, uint32_t left_ms,
			     uint64_t now_us);

/* Checks of announcements; those that fail change nothing. */
bool upstr_is_implausible(const struct upstr *a,
			  const struct plat_announcement *n);
bool upstr_is_stale(const struct upstr *a, const struct plat_announcement *n);

/* Sends the delayed answer now, if there is one. */
void upstr_send_answer(struct upstr *a);

/* True if an answer would change the set of keys that the upstream holds. */
bool upstr_grants_differ(struct upstr *a);

/* Records a release of each key range that the upstream no longer holds. */
void upstr_detect_releases(struct upstr *a);

/* Starts a probe: refused connections prove that the upstream has ended. */
void upstr_start_probe(struct upstr *a);
void upstr_stop_probe(struct upstr *a);

/*
 * Ends the current incarnation; there is none until the next announcement. If
 * its end is proved, its later announcements are ignored as stale. Otherwise it
 * holds no keys, but may announce itself again.
 */
void upstr_end_incarnation(struct upstr *a, bool proved, const char *reason);

#endif
