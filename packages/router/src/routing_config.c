#include "routing_config.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Increment of the low-discrepancy sequence that selects among services. */
#define GOLDEN_RATIO_STEP UINT64_C(0x9E3779B97F4A7C15)
#define HIGH_BITS 32
/* Minimum size of the hash table of routes. */
#define SLOTS_MIN 16

/* Frees the lists of a configuration and clears it. */
void rconfig_free(struct rconfig *c)
{
	free(c->routes);
	free(c->services);
	free(c->index.slots);
	memset(c, 0, sizeof(*c));
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

/* Hashes a host, without regard to case, and a prefix. */
static uint64_t hash_route(struct span host, const char *prefix, size_t len)
{
	char lower[RCONFIG_HOST_MAX];
	size_t n = host.len < sizeof(lower) ? host.len : sizeof(lower);

	for (size_t i = 0; i < n; i++)
		lower[i] = (char)tolower((unsigned char)host.text[i]);
	return XXH3_64bits_withSeed(prefix, len, XXH3_64bits(lower, n));
}

/* Compares two lengths, the longest first, for qsort(). */
static int compare_lengths(const void *a, const void *b)
{
	return (int)*(const uint16_t *)b - (int)*(const uint16_t *)a;
}

/* Adds the length of a prefix, unless it is known. */
static void add_length(struct rconfig_index *x, size_t len)
{
	for (size_t i = 0; i < x->length_count; i++) {
		if (x->lengths[i] == len)
			return;
	}
	x->lengths[x->length_count++] = (uint16_t)len;
}

/* Returns the route with this host and prefix, NULL if there is none. */
static const struct rconfig_route *find_exact(const struct rconfig *c,
					      struct span host,
					      const char *prefix, size_t len)
{
	const struct rconfig_index *x = &c->index;
	size_t mask = x->slot_count - 1;

	for (size_t i = hash_route(host, prefix, len) & mask; x->slots[i] != 0;
	     i = (i + 1) & mask) {
		const struct rconfig_route *r = &c->routes[x->slots[i] - 1];

		if (strlen(r->prefix) == len &&
		    memcmp(r->prefix, prefix, len) == 0 &&
		    span_is_nocase(host, r->host))
			return r;
	}
	return NULL;
}

/*
 * Builds the index of the routes, without which rconfig_find_route() finds
 * none. Of several routes with the same host and prefix, the first one counts.
 * Returns false if out of memory.
 */
bool rconfig_build_index(struct rconfig *c)
{
	struct rconfig_index *x = &c->index;
	size_t count = SLOTS_MIN;

	while (count < c->route_count * 2)
		count *= 2;
	free(x->slots);
	x->length_count = 0;
	x->slot_count = count;
	x->slots = calloc(count, sizeof(*x->slots));
	if (!x->slots)
		return false;
	for (size_t n = 0; n < c->route_count; n++) {
		const struct rconfig_route *r = &c->routes[n];
		struct span host = { r->host, strlen(r->host) };
		size_t len = strlen(r->prefix);
		size_t i = hash_route(host, r->prefix, len) & (count - 1);

		if (find_exact(c, host, r->prefix, len))
			continue;
		while (x->slots[i] != 0)
			i = (i + 1) & (count - 1);
		x->slots[i] = (uint32_t)n + 1;
		add_length(x, len);
	}
	qsort(x->lengths, x->length_count, sizeof(x->lengths[0]),
	      compare_lengths);
	return true;
}

/* Returns the route of a host with the longest prefix of the path. */
static const struct rconfig_route *
find_longest(const struct rconfig *c, struct span host, struct span path)
{
	for (size_t i = 0; i < c->index.length_count; i++) {
		size_t len = c->index.lengths[i];
		const struct rconfig_route *r =
			len <= path.len ? find_exact(c, host, path.text, len) :
					  NULL;

		if (r)
			return r;
	}
	return NULL;
}

/*
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of the target's path. The host may be given with its port.
 * Returns NULL if there is none.
 */
const struct rconfig_route *rconfig_find_route(const struct rconfig *c,
					       struct span host,
					       struct span target)
{
	struct span path = target_path(target);
	const char *colon = host.text ? memchr(host.text, ':', host.len) : NULL;
	const struct rconfig_route *r;

	if (!host.text || !c->index.slots)
		return NULL;
	r = find_longest(c, host, path);
	if (!r && colon)
		r = find_longest(
			c,
			(struct span){ host.text, (size_t)(colon - host.text) },
			path);
	return r;
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
