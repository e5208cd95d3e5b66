#ifndef LEASE_INT_H
#define LEASE_INT_H

/* Internal state of the lease manager for each partition. */

#include "lease.h"
#include "lease_testing.h"

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
	uint64_t takeover_extra_us; /* see lease_update_row() */
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
	uint64_t grace_end_us; /* see lease_grace_end_us() */
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

struct lease_mgr {
	struct lease_params params;
	const struct statechart *chart;
	struct proc self;
	struct lease_callbacks ops;
	void *arg;
	enum lease_fault fault;
	bool no_upstream;
	struct partition *parts;
	struct ended_proc *ended;
};

/* State chart */
void lease_fire(struct lease_mgr *mgr, struct partition *p, enum event event,
		uint64_t now_us);
void lease_fire_role(struct lease_mgr *mgr, struct partition *p,
		     uint64_t now_us);
void lease_seal_below(struct lease_mgr *mgr, struct partition *p,
		      uint64_t version, uint64_t now_us);

/* Sets, promises and sending */
const struct proc *lease_member(const struct row_set *set, size_t i);
const struct row_set *lease_find_set(const struct partition *p,
				     uint64_t version);
const struct ended_proc *lease_find_ended(const struct lease_mgr *mgr,
					  const struct proc *p);
bool lease_promise_is_open(const struct lease_mgr *mgr,
			   const struct partition *p, const struct proc *holder,
			   uint64_t version, uint64_t now_us);
bool lease_is_self(const struct lease_mgr *mgr, const struct proc *p);
void lease_send(struct lease_mgr *mgr, const struct partition *p,
		const struct proc *to, const struct lease_msg *msg);
void lease_reply(struct lease_mgr *mgr, const struct partition *p,
		 const struct proc *to, const struct lease_msg *request,
		 struct lease_msg *reply);

/* Requests of owners and successors */
void lease_on_renew(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us);
void lease_on_claim(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us);
void lease_on_seal(struct lease_mgr *mgr, struct partition *p,
		   const struct proc *from, const struct lease_msg *msg,
		   uint64_t now_us);

/* Terms: renewal, takeover and expiry */
void lease_check_expiry(struct lease_mgr *mgr, struct partition *p,
			uint64_t now_us);
void lease_on_grant(struct lease_mgr *mgr, struct partition *p,
		    const struct proc *from, const struct lease_msg *msg,
		    uint64_t now_us);
void lease_on_claim_grant(struct lease_mgr *mgr, struct partition *p,
			  const struct proc *from, const struct lease_msg *msg,
			  uint64_t now_us);
void lease_check_owner_promise(struct lease_mgr *mgr, struct partition *p,
			       uint64_t now_us);
void lease_send_due(struct lease_mgr *mgr, struct partition *p,
		    uint64_t now_us);

/* Seals of older sets */
void lease_begin_seal(struct partition *p, uint64_t now_us);
void lease_collect_seals(struct lease_mgr *mgr, struct partition *p,
			 uint64_t now_us);
void lease_on_sealed(struct lease_mgr *mgr, struct partition *p,
		     const struct proc *from, const struct lease_msg *msg,
		     uint64_t now_us);
void lease_on_seal_wait(struct partition *p, const struct proc *from,
			const struct lease_msg *msg, uint64_t now_us);

/* Requests for new versions of a row */
void lease_request_rows(struct lease_mgr *mgr, struct partition *p,
			uint64_t now_us);

#endif
