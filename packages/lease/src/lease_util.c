#include "lease_int.h"

#include <string.h>

/* Returns a member of a set: index 0 is the owner, the witnesses follow. */
const struct proc *lease_member(const struct row_set *set, size_t i)
{
	return i ? &set->witness[i - 1] : &set->owner;
}

/*
 * Returns the set of a version that may still act, else NULL. A version that
 * the newest row does not list is known to be sealed, unless it is the one held
 * here.
 */
const struct row_set *lease_find_set(const struct partition *p,
				     uint64_t version)
{
	if (p->row.set.version == version)
		return &p->row.set;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		if (p->row.prev[i].version == version)
			return &p->row.prev[i];
	}
	return p->holds && p->held.version == version ? &p->held : NULL;
}

/* Returns the proof that a process has ended, NULL if there is none. */
const struct ended_proc *lease_find_ended(const struct lease_mgr *mgr,
					  const struct proc *p)
{
	struct proc key;
	struct ended_proc *e;

	memset(&key, 0, sizeof(key));
	key.instance = p->instance;
	key.incarnation = p->incarnation;
	HASH_FIND(hh, mgr->ended, &key, sizeof(key), e);
	return e;
}

/*
 * True if the promise given to a holder in a version is still open. A promise
 * to a process that has ended is void.
 */
bool lease_promise_is_open(const struct lease_mgr *mgr,
			   const struct partition *p, const struct proc *holder,
			   uint64_t version, uint64_t now_us)
{
	return p->promise.version == version &&
	       proc_equal(&p->promise.to, holder) &&
	       now_us < p->promise.until_us && !lease_find_ended(mgr, holder);
}

/* True for the process that runs this module. */
bool lease_is_self(const struct lease_mgr *mgr, const struct proc *p)
{
	return proc_equal(&mgr->self, p);
}

/* Sends a message about a partition, unless to is this process or none. */
void lease_send(struct lease_mgr *mgr, const struct partition *p,
		const struct proc *to, const struct lease_msg *msg)
{
	struct lease_msg m = *msg;

	if (!to->incarnation || lease_is_self(mgr, to))
		return;
	m.part = p->part;
	mgr->ops.send(mgr->arg, to, &m);
}

/* Sends a reply after filling the fields that all replies share. */
void lease_reply(struct lease_mgr *mgr, const struct partition *p,
		 const struct proc *to, const struct lease_msg *request,
		 struct lease_msg *reply)
{
	reply->version = request->version;
	reply->seq = request->seq;
	reply->claimed = p->claimed >= request->version;
	reply->sealed_below = p->sealed_below;
	lease_send(mgr, p, to, reply);
}
