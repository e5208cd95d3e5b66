#ifndef MANIFEST_CHECK_H
#define MANIFEST_CHECK_H

/*
 * Findings about a manifest that is valid but probably not what was meant, and
 * what a new manifest changes. Does no I/O.
 */

#include "manifest.h"

/*
 * Calls fn with the text of each finding: caller groups that no kind names,
 * networks inside another one of their group, queues that exceed what a daemon
 * holds, kinds that never wait and have no slots, and deadlines that delay the
 * next owner. Returns their number.
 */
size_t manifest_check(const struct manifest *m, manifest_warn_fn fn, void *arg);

/* Calls fn with a text for each difference; returns their number. */
size_t manifest_compare(const struct manifest *old, const struct manifest *new,
			manifest_warn_fn fn, void *arg);

#endif
