#include "lse_part.h"

#include <string.h>

/* Returns a member of a set: the owner is 0, the witnesses follow. */
const struct proc *lse_member(const struct row_set *set, size_t i)
{
	return i ? &set->witness[i - 1] : &set->owner;
}

/*
 * Finds a version among those that may still act. A version that the newest
 * row does not list is known to be sealed, unless it is the one held here.
 */
const struct row_set *lse_find_set(const struct part *p, uint64_t version)
{
	if (p->row.set.version == version)
		return &p->row.set;
	for (uint32_t i = 0; i < p->row.prev_count; i++) {
		if (p->row.prev[i].version == version)
			return &p->row.prev[i];
	}
	return p->holds && p->held.version == version ? &p->held : NULL;
}

/* Finds the proof that a process has ended; NULL if there is none. */
const struct ended *lse_find_ended(const struct lse *l, const struct proc *p)
{
	struct proc key;
	struct ended *e;

	memset(&key, 0, sizeof(key));
	key.instance = p->instance;
	key.incarnation = p->incarnation;
	HASH_FIND(hh, l->ended, &key, sizeof(key), e);
	return e;
}

/*
 * True while the promise given to a holder in a version is open. A promise to
 * a process that has ended is void.
 */
bool lse_owes(const struct lse *l, const struct part *p,
	      const struct proc *holder, uint64_t version, uint64_t now_us)
{
	return p->promise.version == version &&
	       proc_equal(&p->promise.to, holder) &&
	       now_us < p->promise.until_us && !lse_find_ended(l, holder);
}

/* True for the process that runs this module. */
bool lse_is_self(const struct lse *l, const struct proc *p)
{
	return proc_equal(&l->self, p);
}

/* Sends a message about a partition to another process. */
void lse_send(struct lse *l, const struct part *p, const struct proc *to,
	      const struct lse_msg *msg)
{
	struct lse_msg m = *msg;

	if (!to->incarnation || lse_is_self(l, to))
		return;
	m.part = p->part;
	l->ops.send(l->arg, to, &m);
}

/* Sends an answer with the fields that are common to all answers. */
void lse_answer(struct lse *l, const struct part *p, const struct proc *to,
		const struct lse_msg *question, struct lse_msg *answer)
{
	answer->version = question->version;
	answer->seq = question->seq;
	answer->claimed = p->claimed >= question->version;
	answer->sealed_below = p->sealed_below;
	lse_send(l, p, to, answer);
}
