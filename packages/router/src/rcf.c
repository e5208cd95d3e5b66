#include "rcf.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Step of the low-discrepancy order in which parts are chosen. */
#define GOLDEN_STEP UINT64_C(0x9E3779B97F4A7C15)
#define HIGH_BITS 32

/* Frees the lists. */
void rcf_free(struct rcf *c)
{
	free(c->routes);
	free(c->services);
	memset(c, 0, sizeof(*c));
}

/* True if the host field names this host, with or without a port. */
static bool host_matches(const char *host, struct span value)
{
	size_t len = strlen(host);

	if (!value.text || value.len < len ||
	    strncasecmp(value.text, host, len) != 0)
		return false;
	return value.len == len || value.text[len] == ':';
}

/* Returns the path of a target, without query and fragment. */
static struct span path_of(struct span target)
{
	struct span path = target;

	for (path.len = 0; path.len < target.len; path.len++) {
		if (target.text[path.len] == '?' ||
		    target.text[path.len] == '#')
			break;
	}
	return path;
}

/* Finds the longest prefix. */
const struct rcf_route *rcf_find(const struct rcf *c, struct span host,
				 struct span target)
{
	struct span path = path_of(target);
	const struct rcf_route *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < c->route_count; i++) {
		const struct rcf_route *r = &c->routes[i];
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

/* Finds a service by its name. */
const struct rcf_service *rcf_service(const struct rcf *c, const char *name)
{
	for (size_t i = 0; i < c->service_count; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	}
	return NULL;
}

/* Maps the point onto the line of weights. */
const char *rcf_choose(const struct rcf_route *r, uint64_t point)
{
	uint64_t total = 0;
	uint64_t at;

	if (r->part_count == 0)
		return NULL;
	for (uint32_t i = 0; i < r->part_count; i++)
		total += r->parts[i].weight;
	at = ((point * GOLDEN_STEP) >> HIGH_BITS) * total >> HIGH_BITS;
	for (uint32_t i = 0; i < r->part_count; i++) {
		if (at < r->parts[i].weight)
			return r->parts[i].service;
		at -= r->parts[i].weight;
	}
	return r->parts[r->part_count - 1].service;
}
