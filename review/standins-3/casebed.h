#ifndef CASEBED_H
#define CASEBED_H

/*
 * What the scripts of review cases 11 and up share: the record, the choice of
 * free ports, and settings that differ from those of the testbed.
 */

#include <stdbool.h>

#include "testbed.h"

/* Exit status of a case. */
enum casebed_result {
	CASEBED_HELD = 0,
	CASEBED_BROKEN = 1,
	CASEBED_NOT_RUN = 2
};

/*
 * Creates the deployment on free ports and opens DIR/record.txt. argv is that of
 * the program: its first argument is DIR.
 */
void casebed_create(struct testbed *s, int argc, char **argv, size_t nodes,
		    size_t keyed);

/* False with TROUBLE=0 in the environment. */
bool casebed_has_trouble(void);

/* Writes a line with the time since the start to the record and to stdout. */
void casebed_record(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

/* Replaces a text in the settings of a node, before its daemon is started. */
void casebed_change_settings(const struct testbed *s, size_t node,
			     const char *from, const char *to);

/* Returns the milliseconds since the start. */
unsigned long long casebed_now_ms(const struct testbed *s);

/* Ends all processes and returns the exit status, which it records. */
int casebed_finish(struct testbed *s, enum casebed_result result,
		   const char *why);

#endif
