#ifndef RCONFIG_CHECK_H
#define RCONFIG_CHECK_H

/*
 * Findings about a routing configuration that can be read but is probably not
 * what was meant. Does no I/O.
 */

#include "findings.h"
#include "routing_config.h"

/*
 * Calls fn with the text of each finding: routes that never match because an
 * earlier one has their host and prefix, services that no entry describes or no
 * route names, names used twice, and timeouts below the target latency. Returns
 * their number.
 */
size_t rconfig_check(const struct rconfig *c, findings_fn fn, void *arg);

#endif
