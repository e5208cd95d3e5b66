#ifndef ATT_INT_H
#define ATT_INT_H

/* The fields of the attached upstream, for its lives and its grants. */

#include "att.h"

/*
 * Longest hold that is granted. It outlasts some missed announcements and a
 * restart of this daemon; the keys of an upstream that falls silent are free
 * after it.
 */
#define ATT_HOLD_MAX_MS 4000

struct att {
	struct att_parts parts;
	const struct att_ops *ops;
	void *arg;
	/* The life. */
	struct life life;
	char service[RCONFIG_NAME_MAX];
	uint32_t slots;
	uint64_t seq;
	uint64_t heard_us; /* last announcement */
	uint64_t cold_until_us;
	bool announced; /* by an announcement, not by an earlier process */
	bool draining;
	bool silent; /* it does not answer */
	bool left; /* it has said that it leaves for good */
	uint64_t closed_us; /* requests are sent until then; 0 if it stays */
	int64_t ended_born_ms; /* of the last life that has ended */
	char ended_id[LIFE_ID_MAX];
	char left_id[LIFE_ID_MAX]; /* has left before it was known here */
	uint64_t left_us;
	/* Keys. */
	struct plat_announcement last; /* what it said last */
	struct plat_grant granted; /* what it was answered last */
	uint64_t granted_until_us;
	uint64_t ticket; /* the plan must have been read up to it */
	bool granted_once;
	bool left_out; /* the last answer took keys away */
	/* The answer that is kept. */
	struct hsc *waiting;
	uint64_t waiting_since_us;
	uint32_t answer_timer;
	/* Whether it lives. */
	struct skt *probe;
	uint32_t probe_limit; /* timer of the connection */
	uint32_t probe_timer;
	uint32_t refusals; /* in a row */
};

/* Sends no more requests to an upstream that does not answer, or again. */
void att_set_silent(struct att *a, bool silent, const char *reason);

/* Answers the waiting announcement now. */
void att_answer(struct att *a);

/* True if the answer would change what the upstream holds. */
bool att_has_news(struct att *a);

/* Looks for keys that the upstream no longer holds. */
void att_find_releases(struct att *a);

/* Proves by refused connections that the upstream has ended. */
void att_start_probe(struct att *a);
void att_stop_probe(struct att *a);

/*
 * Nothing is there until the next announcement. A life whose end is proved does
 * not come back; another one holds nothing, but may announce itself again.
 */
void att_end_life(struct att *a, bool proved, const char *reason);

#endif
