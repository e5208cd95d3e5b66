#include "routing_config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Increment of the low-discrepancy sequence that selects among services. */
#define GOLDEN_RATIO_STEP UINT64_C(0x9E3779B97F4A7C15)
#define HIGH_BITS 32

/* Frees the lists of a configuration and clears it. */
void rconfig_free(struct rconfig *c)
{
	free(c->routes);
	free(c->services);
	memset(c, 0, sizeof(*c));
}

/* True if a Host field names this host, with or without a port. */
static bool host_matches(const char *host, struct span value)
{
	size_t len = strlen(host);

	if (!value.text || value.len < len ||
	    strncasecmp(value.text, host, len) != 0)
		return false;
	return value.len == len || value.text[len] == ':';
}

/* Returns the path of a request target, without query and fragment. */
static struct span target_path(struct span target)
{
	struct span path = target;

	for (path.len = 0; path.len < target.len; path.len++) {
		if (target.text[path.len] == '?' ||
		    target.text[path.len] == '#')
			break;
	}
	return path;
}

/*
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of the target's path. Returns NULL if there is none.
 */
const struct rconfig_route *rconfig_find_route(const struct rconfig *c,
					       struct span host,
					       struct span target)
{
	struct span path = target_path(target);
	const struct rconfig_route *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < c->route_count; i++) {
		const struct rconfig_route *r = &c->routes[i];
		size_t len = strlen(r->prefix);

		if (len <= best_len || len > path.len ||
		    memcmp(path.text, r->prefix, len) != 0 ||
		    !host_matches(r->host, host))
			continue;
		best = r;
		best_len = len;
	}
	return best;
}

/* Finds a service by its name. Returns NULL if there is none. */
const struct rconfig_service *rconfig_service(const struct rconfig *c,
					      const char *name)
{
	for (size_t i = 0; i < c->service_count; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	}
	return NULL;
}

/*
 * Chooses a service of the route by weight. Any number may be given;
 * consecutive numbers distribute the requests in proportion to the weights.
 * Returns NULL if the route has no services.
 */
const char *rconfig_choose_service(const struct rconfig_route *r,
				   uint64_t sequence)
{
	uint64_t total = 0;
	uint64_t position;

	if (r->part_count == 0)
		return NULL;
	for (uint32_t i = 0; i < r->part_count; i++)
		total += r->parts[i].weight;
	position = ((sequence * GOLDEN_RATIO_STEP) >> HIGH_BITS) * total >>
		   HIGH_BITS;
	for (uint32_t i = 0; i < r->part_count; i++) {
		if (position < r->parts[i].weight)
			return r->parts[i].service;
		position -= r->parts[i].weight;
	}
	return r->parts[r->part_count - 1].service;
}
