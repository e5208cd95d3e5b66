#include "routing_config.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Characters of a host that are put into lower case at a time. */
#define HOST_BLOCK_BYTES 128
/* Increment of the low-discrepancy sequence that selects among services. */
#define GOLDEN_RATIO_STEP UINT64_C(0x9E3779B97F4A7C15)
/* 2 to the power of 64. */
#define SEQUENCE_RANGE 18446744073709551616.0
/* Minimum size of the hash table of routes. */
#define SLOTS_MIN 16

/* Frees the texts and the list of a route and clears it. */
void rconfig_free_route(struct rconfig_route *r)
{
	free(r->host);
	free(r->prefix);
	free(r->parts);
	memset(r, 0, sizeof(*r));
}

/* Copies a route with its texts; out is empty if out of memory. */
bool rconfig_copy_route(struct rconfig_route *out,
			const struct rconfig_route *r)
{
	*out = *r;
	out->host = strdup(r->host);
	out->prefix = strdup(r->prefix);
	out->parts = calloc(r->part_count + 1, sizeof(*out->parts));
	if (!out->host || !out->prefix || !out->parts) {
		rconfig_free_route(out);
		return false;
	}
	memcpy(out->parts, r->parts, r->part_count * sizeof(*out->parts));
	return true;
}

/* Frees the lists of a configuration and clears it. */
void rconfig_free(struct rconfig *c)
{
	for (size_t i = 0; i < c->route_count; i++)
		rconfig_free_route(&c->routes[i]);
	free(c->routes);
	free(c->services);
	free(c->index.slots);
	free(c->index.lengths);
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

/* Hashes a host without regard to case. */
static uint64_t hash_host(struct span host)
{
	char lower[HOST_BLOCK_BYTES];
	uint64_t hash = 0;

	for (size_t at = 0; at < host.len; at += sizeof(lower)) {
		size_t n = host.len - at;

		if (n > sizeof(lower))
			n = sizeof(lower);
		for (size_t i = 0; i < n; i++)
			lower[i] =
				(char)tolower((unsigned char)host.text[at + i]);
		hash = XXH3_64bits_withSeed(lower, n, hash);
	}
	return hash;
}

/* Compares two lengths, the longest first, for qsort(). */
static int compare_lengths(const void *a, const void *b)
{
	const size_t *x = a, *y = b;

	return (*x < *y) - (*x > *y);
}

/* Returns the route with this host and prefix, NULL if there is none. */
static const struct rconfig_route *find_exact(const struct rconfig *c,
					      struct span host, uint64_t hash,
					      const char *prefix, size_t len)
{
	const struct rconfig_index *x = &c->index;
	size_t mask = x->slot_count - 1;

	for (size_t i = XXH3_64bits_withSeed(prefix, len, hash) & mask;
	     x->slots[i] != 0; i = (i + 1) & mask) {
		const struct rconfig_route *r = &c->routes[x->slots[i] - 1];

		if (strlen(r->prefix) == len &&
		    memcmp(r->prefix, prefix, len) == 0 &&
		    span_is_nocase(host, r->host))
			return r;
	}
	return NULL;
}

/* Adds a route to the hash table, unless one of its host and prefix is in. */
static void add_route(struct rconfig *c, size_t n)
{
	struct rconfig_index *x = &c->index;
	const struct rconfig_route *r = &c->routes[n];
	struct span host = { r->host, strlen(r->host) };
	uint64_t hash = hash_host(host);
	size_t len = strlen(r->prefix);
	size_t i = XXH3_64bits_withSeed(r->prefix, len, hash) &
		   (x->slot_count - 1);

	if (find_exact(c, host, hash, r->prefix, len))
		return;
	while (x->slots[i] != 0)
		i = (i + 1) & (x->slot_count - 1);
	x->slots[i] = (uint32_t)n + 1;
}

/* Lists the different lengths of the prefixes. */
static void list_lengths(struct rconfig *c)
{
	struct rconfig_index *x = &c->index;

	for (size_t n = 0; n < c->route_count; n++)
		x->lengths[n] = strlen(c->routes[n].prefix);
	qsort(x->lengths, c->route_count, sizeof(x->lengths[0]),
	      compare_lengths);
	x->length_count = 0;
	for (size_t n = 0; n < c->route_count; n++) {
		if (x->length_count == 0 ||
		    x->lengths[x->length_count - 1] != x->lengths[n])
			x->lengths[x->length_count++] = x->lengths[n];
	}
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
	free(x->lengths);
	x->slot_count = count;
	x->slots = calloc(count, sizeof(*x->slots));
	x->lengths = calloc(c->route_count + 1, sizeof(*x->lengths));
	x->length_count = 0;
	if (!x->slots || !x->lengths)
		return false;
	for (size_t n = 0; n < c->route_count; n++)
		add_route(c, n);
	list_lengths(c);
	return true;
}

/* Returns the route of a host with the longest prefix of the path. */
static const struct rconfig_route *
find_longest(const struct rconfig *c, struct span host, struct span path)
{
	uint64_t hash = hash_host(host);

	for (size_t i = 0; i < c->index.length_count; i++) {
		size_t len = c->index.lengths[i];
		const struct rconfig_route *r =
			len <= path.len ?
				find_exact(c, host, hash, path.text, len) :
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
	double total = 0;
	double position;

	if (r->part_count == 0)
		return NULL;
	for (size_t i = 0; i < r->part_count; i++)
		total += r->parts[i].weight;
	position =
		(double)(sequence * GOLDEN_RATIO_STEP) / SEQUENCE_RANGE * total;
	for (size_t i = 0; i < r->part_count; i++) {
		if (position < r->parts[i].weight)
			return r->parts[i].service;
		position -= r->parts[i].weight;
	}
	return r->parts[r->part_count - 1].service;
}

/* An unknown region is allowed only by a route that names none. */
bool rconfig_allows_region(const struct rconfig_policy *p, const char *region)
{
	for (uint32_t i = 0; i < p->region_count; i++) {
		if (strcmp(p->regions[i], region) == 0)
			return true;
	}
	return p->region_count == 0;
}
