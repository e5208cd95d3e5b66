#ifndef MEM_H
#define MEM_H

/* This daemon's row among the members, and statements about lost ones. */

#include "nod.h"

struct mem *mem_create(struct nod *n);
void mem_destroy(struct mem *m);

/* The upstream beside this daemon has changed; the row is written anew. */
void mem_set_upstream(struct mem *m, uint16_t service, uint16_t slots,
		      enum member_state state);

/* The service and the state as told last. */
uint16_t mem_service(const struct mem *m);
enum member_state mem_state(const struct mem *m);

/* Marks a process as gone in its row, if the row still names it. */
void mem_mark_gone(struct mem *m, const struct proc *p);

#endif
