#ifndef MEMBUD_H
#define MEMBUD_H

/*
 * Account of the memory that clients and other daemons can make the process
 * hold: all byte queues (buf.h), parsed fields, and the objects of connections.
 * One for the process, as its memory limit is.
 */

#include <stddef.h>

/* Limit in bytes that clilimit.h decides by; 0 for none. */
void membud_set_limit(size_t bytes);
size_t membud_limit(void);

/* Bytes in use. */
size_t membud_used(void);

/* Records that an allocation of before bytes has after bytes now. */
void membud_change(size_t before, size_t after);

/* Returns free memory of the allocator to the system. */
void membud_trim(void);

#endif
