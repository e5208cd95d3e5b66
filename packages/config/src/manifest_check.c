#include "manifest_check.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "findings.h"
#include "manifest_impl.h"

/* The queues of one daemon hold this many requests, see docs/manifest.md. */
#define QUEUES_MAX 1024
#define TEXT_MAX 2048

static void add_warning(void *arg, const char *text)
{
	findings_add(arg, "%s", text);
}

/* Returns whether all addresses of a network are in another one. */
static bool is_inside(const struct manifest_network *in,
		      const struct manifest_network *out)
{
	uint8_t bytes = out->prefix / 8;
	uint8_t mask = (uint8_t)(0xff00 >> out->prefix % 8);

	if (in->ipv4 != out->ipv4 || in->prefix < out->prefix ||
	    memcmp(in->address, out->address, bytes) != 0)
		return false;
	return !mask ||
	       ((in->address[bytes] ^ out->address[bytes]) & mask) == 0;
}

/* Reports the networks of a group that another one makes superfluous. */
static void check_networks(const struct manifest_group *g, struct findings *r)
{
	for (uint32_t i = 0; i < g->network_count; i++) {
		for (uint32_t k = 0; k < g->network_count; k++) {
			const struct manifest_network *in = &g->networks[i];
			const struct manifest_network *out = &g->networks[k];

			/* Of two equal ones, the later is reported. */
			if (i == k || !is_inside(in, out) ||
			    (in->prefix == out->prefix && i < k))
				continue;
			findings_add(
				r,
				"callers %s, networks[%u]: inside networks[%u]",
				g->name, i, k);
			break;
		}
	}
}

/* Reports the groups that no kind names. */
static void check_groups(const struct manifest *m, struct findings *r)
{
	uint32_t used = 0;

	for (size_t i = 0; i < m->service_count; i++) {
		for (uint32_t k = 0; k < m->services[i].kind_count; k++)
			used |= m->services[i].kinds[k].groups;
	}
	for (size_t g = 0; g < m->group_count; g++) {
		if (!(used & 1u << g))
			findings_add(r, "callers %s: no kind names this group",
				     m->groups[g].name);
		check_networks(&m->groups[g], r);
	}
}

/* Reports limits of the kinds of a service that contradict each other. */
static void check_kinds(const struct manifest_service *s, struct findings *r)
{
	uint32_t queues = 0;

	for (uint32_t i = 0; i < s->kind_count; i++) {
		const struct manifest_kind *k = &s->kinds[i];

		queues += k->queue;
		if (k->queue == 0 && k->share_pct == 0)
			findings_add(
				r,
				"service %s, kind %s: queue 0 and share_pct 0: "
				"refused whenever other kinds use the slots",
				s->name, k->name);
	}
	if (queues > QUEUES_MAX)
		findings_add(
			r,
			"service %s: the values of queue add up to %" PRIu32
			" and are scaled down to %d",
			s->name, queues, QUEUES_MAX);
}

/* Reports the findings about one manifest. */
size_t manifest_check(const struct manifest *m, manifest_warn_fn fn, void *arg)
{
	struct findings r = { .fn = fn, .arg = arg };

	check_groups(m, &r);
	for (size_t i = 0; i < m->service_count; i++)
		check_kinds(&m->services[i], &r);
	manifest_check_deadlines(m, add_warning, &r);
	return r.count;
}

static const struct manifest_kind *find_kind(const struct manifest_service *s,
					     const char *name)
{
	for (uint32_t i = 0; i < s->kind_count; i++) {
		if (strcmp(s->kinds[i].name, name) == 0)
			return &s->kinds[i];
	}
	return NULL;
}

/* Formats the names of the groups that a kind admits. */
static void format_groups(const struct manifest *m, uint32_t groups, char *out,
			  size_t size)
{
	size_t len = 0;

	snprintf(out, size, "%s", groups ? "" : "all");
	for (size_t g = 0; g < m->group_count && len + 1 < size; g++) {
		if (groups & 1u << g)
			len += (size_t)snprintf(out + len, size - len, "%s%s",
						len ? "," : "",
						m->groups[g].name);
	}
}

/* Formats all fields of a kind, as in the manifest. */
static void format_kind(const struct manifest *m, const struct manifest_kind *k,
			char *out, size_t size)
{
	static const char *const sources[] = { "path", "query", "header" };
	char groups[MANIFEST_GROUPS_MAX * MANIFEST_NAME_MAX];

	format_groups(m, k->groups, groups, sizeof(groups));
	snprintf(out, size,
		 "%s %s key %s:%s idempotent %s deadline_ms %" PRIu32
		 " share_pct %" PRIu32 " queue %" PRIu32 " callers %s",
		 k->method, k->path, sources[k->key_source], k->key_name,
		 k->idempotent ? "true" : "false", k->deadline_ms, k->share_pct,
		 k->queue, groups);
}

/* Reports the kinds of a service that were added, removed or changed. */
static void compare_kinds(const struct manifest *old,
			  const struct manifest_service *a,
			  const struct manifest *new,
			  const struct manifest_service *b, struct findings *r)
{
	char before[TEXT_MAX];
	char after[TEXT_MAX];

	for (uint32_t i = 0; i < a->kind_count; i++) {
		if (!find_kind(b, a->kinds[i].name))
			findings_add(r, "service %s, kind %s: removed", a->name,
				     a->kinds[i].name);
	}
	for (uint32_t i = 0; i < b->kind_count; i++) {
		const struct manifest_kind *k = &b->kinds[i];
		const struct manifest_kind *was = find_kind(a, k->name);

		if (!was) {
			findings_add(r, "service %s, kind %s: added", b->name,
				     k->name);
			continue;
		}
		format_kind(old, was, before, sizeof(before));
		format_kind(new, k, after, sizeof(after));
		if (strcmp(before, after) == 0)
			continue;
		findings_add(r, "service %s, kind %s: was %s", b->name, k->name,
			     before);
		findings_add(r, "service %s, kind %s: now %s", b->name, k->name,
			     after);
	}
}

/* Reports a number of a service that has changed. */
static void compare_number(const struct manifest_service *s, const char *field,
			   uint32_t was, uint32_t now, struct findings *r)
{
	if (was != now)
		findings_add(r,
			     "service %s: %s %" PRIu32 " instead of %" PRIu32,
			     s->name, field, now, was);
}

/* Reports the differences of a service that is in both manifests. */
static void compare_service(const struct manifest *old,
			    const struct manifest_service *a,
			    const struct manifest *new,
			    const struct manifest_service *b,
			    struct findings *r)
{
	if (strcmp(a->name, b->name) != 0)
		findings_add(r, "service %s: was named %s", b->name, a->name);
	compare_number(b, "partitions", a->partitions, b->partitions, r);
	compare_number(b, "checks_fences", a->checks_fences, b->checks_fences,
		       r);
	compare_number(b, "weigh", a->weigh, b->weigh, r);
	compare_number(b, "imbalance_tolerance_pct", a->imbalance_tolerance_pct,
		       b->imbalance_tolerance_pct, r);
	compare_number(b, "moves_per_minute", a->moves_per_minute,
		       b->moves_per_minute, r);
	compare_kinds(old, a, new, b, r);
}

static const struct manifest_group *find_group(const struct manifest *m,
					       const char *name)
{
	for (size_t g = 0; g < m->group_count; g++) {
		if (strcmp(m->groups[g].name, name) == 0)
			return &m->groups[g];
	}
	return NULL;
}

/* Reports the caller groups that were added, removed or changed. */
static void compare_groups(const struct manifest *old,
			   const struct manifest *new, struct findings *r)
{
	for (size_t g = 0; g < old->group_count; g++) {
		if (!find_group(new, old->groups[g].name))
			findings_add(r, "callers %s: removed",
				     old->groups[g].name);
	}
	for (size_t g = 0; g < new->group_count; g++) {
		const struct manifest_group *now = &new->groups[g];
		const struct manifest_group *was = find_group(old, now->name);

		if (!was)
			findings_add(r, "callers %s: added", now->name);
		else if (was->network_count != now->network_count ||
			 memcmp(was->networks, now->networks,
				now->network_count *
					sizeof(now->networks[0])) != 0)
			findings_add(r, "callers %s: other networks",
				     now->name);
	}
}

/* Reports what a new manifest changes. */
size_t manifest_compare(const struct manifest *old, const struct manifest *new,
			manifest_warn_fn fn, void *arg)
{
	struct findings r = { .fn = fn, .arg = arg };

	compare_groups(old, new, &r);
	for (size_t i = 0; i < old->service_count; i++) {
		const struct manifest_service *s = &old->services[i];

		if (!manifest_service_by_id(new, s->id))
			findings_add(&r, "service %s: removed", s->name);
	}
	for (size_t i = 0; i < new->service_count; i++) {
		const struct manifest_service *s = &new->services[i];
		const struct manifest_service *was =
			manifest_service_by_id(old, s->id);

		if (was)
			compare_service(old, was, new, s, &r);
		else
			findings_add(&r, "service %s: added", s->name);
	}
	return r.count;
}
