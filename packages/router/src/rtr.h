#ifndef RTR_H
#define RTR_H

/*
 * The range router: a daemon beside one upstream on a platform whose upstreams
 * take their keys in the answers to their announcements.
 */

#include "clk.h"
#include "err.h"
#include "evl.h"
#include "plat.h"
#include "router_settings.h"

struct rtr;

/* Makes the adapter of the platform; errors: layer platform. */
typedef struct plat (*rtr_platform_fn)(struct evl *l, const struct rsettings *s,
				       struct err *err);

/* path is the file of the settings, for reloading. */
struct rtr *rtr_create(const struct rsettings *s, const char *path,
		       rtr_platform_fn make_platform, const struct clk *clk,
		       struct err *err);
void rtr_run(struct rtr *r);
void rtr_destroy(struct rtr *r);

#endif
