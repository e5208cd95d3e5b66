#ifndef LSE_PART_H
#define LSE_PART_H

/* State of a partition at one process; for the files of the module lse only. */

#include "lse.h"
#include "lse_model.h"

#include <uthash.h>

#define MEMBERS (1 + ROW_WITNESSES) /* the owner and its witnesses */
#define MAJORITY 2

/* Largest number of ended processes that are remembered. */
#define ENDED_MAX 4096

/* States and events of charts/lease.yaml, in the order of its name lists. */
enum phase {
	PHASE_IDLE,
	PHASE_SEALING,
	PHASE_RENEWING,
	PHASE_ACTING,
	PHASE_MOVING,
	PHASE_DRAINING,
	PHASE_WATCHING,
	PHASE_CLAIMING,
	PHASE_LEADING,
	PHASE_GIVEN_UP
};

enum event {
	EVENT_OWNER,
	EVENT_SUCCESSOR,
	EVENT_OTHER,
	EVENT_ACTIVE,
	EVENT_GRANTED,
	EVENT_EXPIRED,
	EVENT_OVERDUE,
	EVENT_RENEWED,
	EVENT_GIVE_UP
};

/* A promise to grant nobody else; it is open until until_us. */
struct promise {
	struct proc to;
	uint64_t version;
	uint64_t until_us;
};

/* Answer of a member of an older set to SEAL. */
struct seal {
	bool sealed;
	uint64_t at_us; /* when the answer came */
	struct proc to; /* holder of the promise the member had given */
	uint64_t until_us; /* end of that promise */
};

struct part {
	uint64_t part;
	struct row row; /* the newest version known */
	uint64_t extra_us; /* takeover_extra of lse_learn() */
	int phase;
	uint64_t sealed_below; /* takes no part in versions below this */
	uint64_t claimed; /* highest version that passed to a successor */
	uint64_t active; /* highest version whose older sets are sealed */
	uint64_t released; /* highest version that its owner released */
	struct promise promise;
	bool holds; /* renews a term in the set held */
	bool as_successor; /* of the set held */
	bool acting; /* between ops.started() and ops.stopped() */
	bool drained;
	struct row_set held;
	uint64_t until_us; /* end of the term in the set held */
	uint64_t grace_us; /* see lse_grace_us() */
	uint64_t quiet_us; /* requests of the last term have ended by then */
	uint64_t lead_us; /* a claim that was granted is used from then on */
	uint64_t next_ask_us; /* RENEW or CLAIM */
	uint64_t next_seal_us;
	uint64_t next_want_us;
	uint64_t
		old_owner_us; /* when the owner of the newest old set answered */
	uint64_t heard_us[MEMBERS]; /* by member of row.set, owner first */
	struct seal seals[ROW_PREV_MAX][MEMBERS];
	UT_hash_handle hh;
};

struct ended {
	struct proc proc; /* the key; padding is zero */
	uint64_t at_us;
	UT_hash_handle hh;
};

struct lse {
	struct lse_params params;
	const struct cht *chart;
	struct proc self;
	struct lse_ops ops;
	void *arg;
	enum lse_fault fault;
	bool unable; /* has no upstream */
	struct part *parts;
	struct ended *ended;
};

/* lse_phase.c */
void lse_fire(struct lse *l, struct part *p, enum event event, uint64_t now_us);
void lse_fire_role(struct lse *l, struct part *p, uint64_t now_us);
void lse_seal_to(struct lse *l, struct part *p, uint64_t version,
		 uint64_t now_us);

/* lse_set.c */
const struct proc *lse_member(const struct row_set *set, size_t i);
const struct row_set *lse_find_set(const struct part *p, uint64_t version);
const struct ended *lse_find_ended(const struct lse *l, const struct proc *p);
bool lse_owes(const struct lse *l, const struct part *p,
	      const struct proc *holder, uint64_t version, uint64_t now_us);
bool lse_is_self(const struct lse *l, const struct proc *p);
void lse_send(struct lse *l, const struct part *p, const struct proc *to,
	      const struct lse_msg *msg);
void lse_answer(struct lse *l, const struct part *p, const struct proc *to,
		const struct lse_msg *question, struct lse_msg *answer);

/* lse_witness.c */
void lse_on_renew(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_claim(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_seal(struct lse *l, struct part *p, const struct proc *from,
		 const struct lse_msg *msg, uint64_t now_us);

/* lse_hold.c */
void lse_notice_expiry(struct lse *l, struct part *p, uint64_t now_us);
void lse_on_grant(struct lse *l, struct part *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_claim_grant(struct lse *l, struct part *p, const struct proc *from,
			const struct lse_msg *msg, uint64_t now_us);
void lse_watch_owner(struct lse *l, struct part *p, uint64_t now_us);
void lse_ask(struct lse *l, struct part *p, uint64_t now_us);

/* lse_seal.c */
void lse_begin_seal(struct part *p, uint64_t now_us);
void lse_gather_seals(struct lse *l, struct part *p, uint64_t now_us);
void lse_on_sealed(struct lse *l, struct part *p, const struct proc *from,
		   const struct lse_msg *msg, uint64_t now_us);
void lse_on_seal_wait(struct part *p, const struct proc *from,
		      const struct lse_msg *msg, uint64_t now_us);

/* lse_want.c */
void lse_want_rows(struct lse *l, struct part *p, uint64_t now_us);

#endif
