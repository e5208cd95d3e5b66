#ifndef LSE_PART_H
#define LSE_PART_H

/* Internal state of the lease manager for each partition. */

#include "lse.h"
#include "lse_model.h"

#include <uthash.h>

#define SET_MEMBERS (1 + ROW_WITNESSES) /* the owner and its witnesses */
#define SEAL_QUORUM 2

/* Largest number of stored proofs that a process has ended. */
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

/* A promise to grant the version to no other process before until_us. */
struct promise {
	struct proc to;
	uint64_t version;
	uint64_t until_us;
};

/* Reply of a member of an older set to SEAL. */
struct seal {
	bool sealed;
	uint64_t at_us; /* when the reply arrived */
	struct proc to; /* holder of a promise that the member had given */
	uint64_t until_us; /* end of that promise */
};

struct partition {
	uint64_t part;
	struct row row; /* the newest version known */
	uint64_t takeover_extra_us; /* see lse_learn() */
	int phase;
	uint64_t sealed_below; /* takes no part in versions below this */
	uint64_t claimed; /* highest version that a successor claimed */
	uint64_t active; /* highest version whose older sets are all sealed */
	uint64_t released; /* highest version that its owner released */
	struct promise promise;
	bool holds; /* is owner or acting successor of the set held */
	bool as_successor; /* is the successor of the set held */
	bool acting; /* between ops.started() and ops.stopped() */
	bool drained;
	struct row_set held;
	uint64_t until_us; /* end of the term in the set held */
	uint64_t grace_end_us; /* see lse_grace_us() */
	uint64_t requests_end_us; /* end of the requests of the last term */
	uint64_t takeover_us; /* when a granted claim may be used; 0 if none */
	uint64_t next_request_us; /* RENEW or CLAIM */
	uint64_t next_seal_us;
	uint64_t next_row_request_us;
	uint64_t prev_owner_reply_us; /* last SEAL_WAIT of the former owner */
	uint64_t last_heard_us[SET_MEMBERS]; /* of row.set, owner first */
	struct seal seals[ROW_PREV_MAX][SET_MEMBERS];
	UT_hash_handle hh;
};

struct ended_proc {
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
	bool no_upstream;
	struct partition *parts;
	struct ended_proc *ended;
};

/* State chart */
void lse_fire(struct lse *mgr, struct partition *p, enum event event,
	      uint64_t now_us);
void lse_fire_role(struct lse *mgr, struct partition *p, uint64_t now_us);
void lse_seal_below(struct lse *mgr, struct partition *p, uint64_t version,
		    uint64_t now_us);

/* Sets, promises and sending */
const struct proc *lse_member(const struct row_set *set, size_t i);
const struct row_set *lse_find_set(const struct partition *p, uint64_t version);
const struct ended_proc *lse_find_ended(const struct lse *mgr,
					const struct proc *p);
bool lse_promise_is_open(const struct lse *mgr, const struct partition *p,
			 const struct proc *holder, uint64_t version,
			 uint64_t now_us);
bool lse_is_self(const struct lse *mgr, const struct proc *p);
void lse_send(struct lse *mgr, const struct partition *p, const struct proc *to,
	      const struct lse_msg *msg);
void lse_reply(struct lse *mgr, const struct partition *p,
	       const struct proc *to, const struct lse_msg *request,
	       struct lse_msg *reply);

/* Requests of owners and successors */
void lse_on_renew(struct lse *mgr, struct partition *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_claim(struct lse *mgr, struct partition *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_seal(struct lse *mgr, struct partition *p, const struct proc *from,
		 const struct lse_msg *msg, uint64_t now_us);

/* Terms: renewal, takeover and expiry */
void lse_check_expiry(struct lse *mgr, struct partition *p, uint64_t now_us);
void lse_on_grant(struct lse *mgr, struct partition *p, const struct proc *from,
		  const struct lse_msg *msg, uint64_t now_us);
void lse_on_claim_grant(struct lse *mgr, struct partition *p,
			const struct proc *from, const struct lse_msg *msg,
			uint64_t now_us);
void lse_check_owner_promise(struct lse *mgr, struct partition *p,
			     uint64_t now_us);
void lse_send_due(struct lse *mgr, struct partition *p, uint64_t now_us);

/* Seals of older sets */
void lse_begin_seal(struct partition *p, uint64_t now_us);
void lse_collect_seals(struct lse *mgr, struct partition *p, uint64_t now_us);
void lse_on_sealed(struct lse *mgr, struct partition *p,
		   const struct proc *from, const struct lse_msg *msg,
		   uint64_t now_us);
void lse_on_seal_wait(struct partition *p, const struct proc *from,
		      const struct lse_msg *msg, uint64_t now_us);

/* Requests for new versions of a row */
void lse_request_rows(struct lse *mgr, struct partition *p, uint64_t now_us);

#endif
