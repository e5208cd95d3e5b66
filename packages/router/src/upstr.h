#ifndef UPSTR_H
#define UPSTR_H

/*
 * The local upstream, which runs on the same instance as this daemon: its
 * incarnation, its announcements (heartbeats) and the keys granted to it. A
 * grant can be sent only in the answer to an announcement. An answer that
 * changes nothing is therefore delayed for a short time, so that a change of
 * the plan can be sent at once (long polling).
 */

#include <stdbool.h>
#include <stdint.h>

#include "httpsrv.h"
#include "noderow.h"
#include "plat.h"
#include "relqueue.h"
#include "nodelease.h"
#include "noderpt.h"
#include "planview.h"

struct upstr;

/*
 * Returns the time after which no request is sent to an upstream that began to
 * drain at began_us; it is shorter than the drain time of the settings.
 */
uint64_t upstr_drain_end_us(const struct rsettings *s, uint64_t began_us);

struct upstr_ops {
	/* The incarnation or its state has changed. */
	void (*on_upstream)(void *arg);
	/* An incarnation has ended without having said that it leaves. */
	void (*on_crashed)(void *arg, const struct incarnation *ended);
	/* The keys whose requests the upstream may get have changed. */
	void (*on_keys)(void *arg);
};

struct upstr_parts {
	struct evloop *loop;
	const struct plat *platform;
	const struct rsettings *settings;
	struct nodelease *lease;
	struct planview *view;
	struct relqueue *releases;
};

struct upstr *upstr_create(const struct upstr_parts *parts,
			   const struct upstr_ops *ops, void *arg);
void upstr_destroy(struct upstr *a);

/* Restores the upstream from the row that an earlier process wrote. */
void upstr_restore(struct upstr *a, const struct noderow *row);

/* Grants no keys until the plan has been read up to this ticket. */
void upstr_wait_for_plan(struct upstr *a, uint64_t ticket);

/*
 * Processes an announcement and answers it, at once or later. Returns NULL if
 * it was answered at once, otherwise the argument for upstr_answer_aborted(),
 * which is to be called if the connection closes before the answer.
 */
void *upstr_handle_announcement(struct upstr *a, struct httpconn *c,
				const struct plat_announcement *n);
void upstr_answer_aborted(struct upstr *a);

/* Must be called after each change of the plan or of the lease. */
void upstr_plan_changed(struct upstr *a);

/* Probes the upstream, after a connection to it failed. */
void upstr_check_health(struct upstr *a);

/* The current incarnation; its id is "" if there is none. */
const struct incarnation *upstr_incarnation(const struct upstr *a);
const char *upstr_service(const struct upstr *a);

/* Returns its id, of any length; NULL while only its identifier is known. */
const char *upstr_id(const struct upstr *a);
uint32_t upstr_slots(const struct upstr *a);

/*
 * Adds to a report which keys the upstream holds that no map assigns, unless it
 * has not announced itself to this process or all keys are assigned.
 */
void upstr_state_holds(const struct upstr *a, struct noderpt *report);
bool upstr_accepts_work(const struct upstr *a);

/* Handles an answer of this upstream which says that it is going to end. */
void upstr_record_leave(struct upstr *a, const char *id);

/* True if it has said that it is going to end, in any way. */
bool upstr_has_left(const struct upstr *a);

/*
 * True while requests may be sent to it, which includes its drain time. Those
 * without a key may be sent only if upstr_has_announced(), too; those with one
 * need a grant of this process.
 */
bool upstr_is_open(const struct upstr *a, uint64_t now_us);

/*
 * True once the upstream has announced itself to this process. One restored
 * from the row of an earlier process may have left since that was written.
 */
bool upstr_has_announced(const struct upstr *a);

/* Rest of its slow start in milliseconds, as it announced. */
uint32_t upstr_slow_left_ms(const struct upstr *a, uint64_t now_us);

/*
 * Time for which the upstream stays cold, 0 if it is warm. An unknown state
 * counts as cold: that of an upstream restored from its row that has not yet
 * announced itself to this process, that was silent, refused a connection, or
 * was told to upstr_forget_warm().
 */
#define UPSTR_COLD_UNKNOWN UINT64_MAX
uint64_t upstr_cold_left_us(const struct upstr *a, uint64_t now_us);

/* Its state is not known until the next announcement. */
void upstr_forget_warm(struct upstr *a);

/*
 * Number of times that it began to recover: became cold, as it announced, or
 * announced itself after its state was not known.
 */
uint32_t upstr_recoveries(const struct upstr *a);

enum upstr_key_state {
	UPSTR_KEY_GRANTED, /* the upstream holds a valid grant */
	UPSTR_KEY_GRANT_PENDING, /* it is the owner, but its grant is still to come */
	UPSTR_KEY_NOT_OWNED /* another upstream, or none, owns the key */
};
enum upstr_key_state upstr_key_state(const struct upstr *a, uint32_t key,
				     uint64_t now_us);

#endif
