#include "rconfig_check.h"

#include <stdio.h>
#include <string.h>

/* Compares a route with those before it. */
static void check_earlier(const struct rconfig *c, size_t i, struct findings *r)
{
	const struct rconfig_route *route = &c->routes[i];

	for (size_t k = 0; k < i; k++) {
		const struct rconfig_route *first = &c->routes[k];

		if (strcmp(route->policy.name, first->policy.name) == 0)
			findings_add(r, "route %s: the name is used twice",
				     route->policy.name);
		if (strcmp(route->host, first->host) != 0 ||
		    strcmp(route->prefix, first->prefix) != 0)
			continue;
		findings_add(
			r,
			"route %s: never matches, as route %s has the same host "
			"and prefix",
			route->policy.name, first->policy.name);
		return;
	}
}

/* Checks a route by itself, and that its services exist. */
static void check_route(const struct rconfig *c,
			const struct rconfig_route *route, struct findings *r)
{
	const struct rconfig_policy *p = &route->policy;

	if (p->timeout_ms > 0 && p->timeout_ms < p->objective_ms)
		findings_add(
			r,
			"route %s: the timeout, %u ms, is below the target "
			"latency, %u ms",
			p->name, p->timeout_ms, p->objective_ms);
	for (size_t i = 0; i < route->part_count; i++) {
		if (!rconfig_service(c, route->parts[i].service))
			findings_add(
				r,
				"route %s: no entry describes the service %s",
				p->name, route->parts[i].service);
	}
}

static bool is_used(const struct rconfig *c, const char *service)
{
	for (size_t i = 0; i < c->route_count; i++) {
		for (size_t k = 0; k < c->routes[i].part_count; k++) {
			if (strcmp(c->routes[i].parts[k].service, service) == 0)
				return true;
		}
	}
	return false;
}

/* Reports the findings about a configuration. */
size_t rconfig_check(const struct rconfig *c, findings_fn fn, void *arg)
{
	struct findings r = { .fn = fn, .arg = arg };

	for (size_t i = 0; i < c->route_count; i++) {
		check_earlier(c, i, &r);
		check_route(c, &c->routes[i], &r);
	}
	for (size_t i = 0; i < c->service_count; i++) {
		const struct rconfig_service *s = &c->services[i];

		if (!is_used(c, s->name))
			findings_add(&r, "service %s: no route names it",
				     s->name);
		/* The first of a name is the one that is found. */
		if (rconfig_service(c, s->name) != s)
			findings_add(&r, "service %s: the name is used twice",
				     s->name);
	}
	return r.count;
}
