#ifndef ATT_H
#define ATT_H

/*
 * The local upstream, which runs on the same instance as this daemon: its
 * incarnation, its announcements (heartbeats) and the keys granted to it. A
 * grant can be sent only in the answer to an announcement. An answer that
 * changes nothing is therefore delayed for a short time, so that a change of
 * the plan can be sent at once (long polling).
 */

#include <stdbool.h>
#include <stdint.h>

#include "hsv.h"
#include "noderow.h"
#include "plat.h"
#include "relqueue.h"
#include "nodelease.h"
#include "vew.h"

struct att;

struct att_ops {
	/* The incarnation or its state has changed. */
	void (*on_upstream)(void *arg);
	/* The keys whose requests the upstream may get have changed. */
	void (*on_keys)(void *arg);
};

struct att_parts {
	struct evl *loop;
	const struct plat *platform;
	const struct rsettings *settings;
	struct nodelease *lease;
	struct vew *view;
	struct relqueue *releases;
};

struct att *att_create(const struct att_parts *parts, const struct att_ops *ops,
		       void *arg);
void att_destroy(struct att *a);

/* Restores the upstream from the row that an earlier process wrote. */
void att_found(struct att *a, const struct noderow *row);

/* Grants no keys until the plan has been read up to this ticket. */
void att_wait_for_plan(struct att *a, uint64_t ticket);

/*
 * Processes an announcement and answers it, at once or later. Returns NULL if
 * it was answered at once, otherwise the argument for
 * att_answer_gone(), which is to be called if the connection closes before the
 * answer.
 */
void *att_announce(struct att *a, struct hsc *c,
		   const struct plat_announcement *n);
void att_answer_gone(struct att *a);

/* Must be called after each change of the plan or of the lease. */
void att_plan_changed(struct att *a);

/* Probes the upstream, after a connection to it failed. */
void att_suspect(struct att *a);

/* The current incarnation; its id is "" if there is none. */
const struct life *att_life(const struct att *a);
const char *att_service(const struct att *a);
uint32_t att_slots(const struct att *a);
bool att_takes_work(const struct att *a);

/* True while requests may be sent to it, which includes its drain time. */
bool att_is_open(const struct att *a, uint64_t now_us);

/* Rest of its slow start in milliseconds, as it announced. */
uint32_t att_slow_left_ms(const struct att *a, uint64_t now_us);

enum att_key {
	ATT_GRANTED, /* the upstream holds a valid grant */
	ATT_EXPECTED, /* it is the owner, but its grant is still to come */
	ATT_ELSEWHERE /* another upstream, or none, owns the key */
};
enum att_key att_key(const struct att *a, uint32_t key, uint64_t now_us);

#endif
