/*
 * Guards against a route that is not found, or another one than the longest
 * prefix, in configurations with thousands of routes.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>

#include "routing_config.h"

#define ROUTES 5000
#define HOSTS 7
#define LOOKUPS 20000

static uint32_t state_of_draws = 4711;

static uint32_t draw(uint32_t below)
{
	state_of_draws = state_of_draws * 1664525 + 1013904223;
	return (state_of_draws >> 8) % below;
}

/* Draws a path of one to three short segments. */
static void draw_path(char *out, size_t size)
{
	uint32_t segments = 1 + draw(3);
	size_t n = (size_t)snprintf(out, size, "/");

	while (segments-- > 0) {
		uint32_t name = draw(40);

		n += (size_t)snprintf(out + n, size - n, "%x/", name * name);
	}
}

static void make_config(struct rconfig *c)
{
	memset(c, 0, sizeof(*c));
	c->routes = calloc(ROUTES, sizeof(*c->routes));
	c->route_count = ROUTES;
	for (size_t i = 0; i < ROUTES; i++) {
		char host[32], prefix[64];

		snprintf(host, sizeof(host), "h%u.example", draw(HOSTS));
		draw_path(prefix, sizeof(prefix));
		c->routes[i].host = strdup(host);
		c->routes[i].prefix = strdup(prefix);
	}
	assert_true(rconfig_build_index(c));
}

/* Compares the path with each route. */
static const struct rconfig_route *search(const struct rconfig *c,
					  const char *host, const char *path)
{
	const struct rconfig_route *best = NULL;

	for (size_t i = 0; i < c->route_count; i++) {
		const struct rconfig_route *r = &c->routes[i];

		if (strcasecmp(r->host, host) == 0 &&
		    strncmp(r->prefix, path, strlen(r->prefix)) == 0 &&
		    (!best || strlen(r->prefix) > strlen(best->prefix)))
			best = r;
	}
	return best;
}

static void each_lookup_finds_the_longest_prefix(void **state)
{
	struct rconfig c;
	size_t found = 0;

	(void)state;
	make_config(&c);
	for (size_t i = 0; i < LOOKUPS; i++) {
		uint32_t number = draw(HOSTS + 1);
		const struct rconfig_route *expected;
		char host[32], field[40], path[64];

		snprintf(host, sizeof(host), "h%u.EXAMPLE", number);
		snprintf(field, sizeof(field), "%s%s", host,
			 i % 2 ? ":8080" : "");
		draw_path(path, sizeof(path));
		expected = search(&c, host, path);
		found += expected != NULL;
		snprintf(path + strlen(path), 8, "x?/a/");
		assert_ptr_equal(rconfig_find_route(
					 &c,
					 (struct span){ field, strlen(field) },
					 (struct span){ path, strlen(path) }),
				 expected);
	}
	assert_true(found > LOOKUPS / 10);
	rconfig_free(&c);
}

static void empty_configuration_has_no_route(void **state)
{
	struct rconfig c = { 0 };
	struct span host = { "h", 1 };
	struct span target = { "/", 1 };

	(void)state;
	assert_null(rconfig_find_route(&c, host, target));
	assert_true(rconfig_build_index(&c));
	assert_null(rconfig_find_route(&c, host, target));
	assert_null(rconfig_find_route(&c, (struct span){ NULL, 0 }, target));
	rconfig_free(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_lookup_finds_the_longest_prefix),
		cmocka_unit_test(empty_configuration_has_no_route),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
