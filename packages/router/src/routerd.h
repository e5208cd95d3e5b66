#ifndef ROUTERD_H
#define ROUTERD_H

/*
 * The router daemon. One runs on each instance, next to one upstream, on a
 * platform whose upstreams are granted their keys in the answers to their
 * announcements.
 */

#include "clk.h"
#include "err.h"
#include "evloop.h"
#include "plat.h"
#include "router_settings.h"

struct routerd;

/*
 * Creates the adapter of the platform. On failure the result has no ops, and
 * err is of the layer platform.
 */
typedef struct plat (*routerd_platform_fn)(struct evloop *l,
					   const struct rsettings *s,
					   struct err *err);

/*
 * Creates the daemon; NULL and err on failure. path is the file of the
 * settings, which SIGHUP reloads; the string must stay valid.
 */
struct routerd *routerd_create(const struct rsettings *s, const char *path,
			       routerd_platform_fn make_platform,
			       const struct clk *clk, struct err *err);

/* Runs the event loop until the daemon has stopped. */
void routerd_run(struct routerd *r);
void routerd_destroy(struct routerd *r);

#endif
