#ifndef ATT_H
#define ATT_H

/*
 * The upstream beside this daemon: which life it is, what it announces, which
 * keys it is granted. A grant travels only in the answer to an announcement, so
 * an answer that would change nothing is kept for a moment, for changes to go
 * out at once.
 */

#include <stdbool.h>
#include <stdint.h>

#include "hsv.h"
#include "nrw.h"
#include "plat.h"
#include "rls.h"
#include "rnw.h"
#include "vew.h"

struct att;

struct att_ops {
	/* Another life, or the state of the same one has changed. */
	void (*on_upstream)(void *arg);
	/* The keys that may be sent to the upstream have changed. */
	void (*on_keys)(void *arg);
};

struct att_parts {
	struct evl *loop;
	const struct plat *platform;
	const struct rsettings *settings;
	struct rnw *lease;
	struct vew *view;
	struct rls *releases;
};

struct att *att_create(const struct att_parts *parts, const struct att_ops *ops,
		       void *arg);
void att_destroy(struct att *a);

/* What an earlier process knew of the upstream; before any announcement. */
void att_found(struct att *a, const struct nrw *row);

/* No keys are granted until the plan has been read up to this ticket. */
void att_wait_for_plan(struct att *a, uint64_t ticket);

/*
 * Takes an announcement and answers it, now or later. Returns what
 * att_answer_gone() gets if the connection ends before, NULL if answered.
 */
void *att_announce(struct att *a, struct hsc *c,
		   const struct plat_announcement *n);
void att_answer_gone(struct att *a);

/* The plan or the lease has changed. */
void att_plan_changed(struct att *a);

/* The upstream did not take a connection or broke one: it is looked at. */
void att_suspect(struct att *a);

/* The life that is there; its id is "" if there is none. */
const struct life *att_life(const struct att *a);
const char *att_service(const struct att *a);
uint32_t att_slots(const struct att *a);
bool att_takes_work(const struct att *a);

/* True while requests may be sent to it, so also for a while as it leaves. */
bool att_is_open(const struct att *a, uint64_t now_us);

/* Milliseconds that it stays slow after its start, as it says. */
uint32_t att_slow_left_ms(const struct att *a, uint64_t now_us);

enum att_key {
	ATT_GRANTED, /* the upstream holds the key */
	ATT_EXPECTED, /* it will, as soon as the former holder has released */
	ATT_ELSEWHERE
};
enum att_key att_key(const struct att *a, uint32_t key, uint64_t now_us);

#endif
