#include <stdlib.h>
#include <string.h>

#include "keylease.h"
#include "log.h"
#include "planner_int.h"
#include "txt.h"

/* By how much a daemon may take the table's clock to be ahead. */
#define LEASE_CLOCK_MS 2000

/*
 * Sets whether the lease of a node may be valid. A row of an earlier era may
 * have been renewed since, at the latest when the present era was first seen.
 */
static void set_alive(struct planner_node *x, uint64_t now_ms, uint64_t era_ms)
{
	uint64_t until_ms = x->row.lease_until_ms;

	x->earlier = x->unreadable || x->row.era < tbl_era(x->version);
	if (x->earlier && until_ms < era_ms + KEYLEASE_TERM_MS)
		until_ms = era_ms + KEYLEASE_TERM_MS;
	/* No renewal makes a lease longer, whatever the row says. */
	if (x->unreadable ||
	    until_ms > x->seen_ms + KEYLEASE_TERM_MS + LEASE_CLOCK_MS)
		until_ms = x->seen_ms + KEYLEASE_TERM_MS + LEASE_CLOCK_MS;
	x->alive = now_ms <= until_ms + PLANNER_EXPIRY_MARGIN_MS &&
		   (x->earlier || !x->row.expired);
	x->expires = !x->alive && !x->row.expired;
}

/*
 * Returns the entry of the read before with this name and version, NULL if
 * there is none. Entries are sorted; *pos is where the last search ended.
 */
static const struct planner_node *find_before(const struct planner_node *before,
					      size_t count, size_t *pos,
					      const struct tbl_row *t)
{
	int order = -1;

	while (*pos < count) {
		order = strcmp(before[*pos].row.node, t->key);
		if (order >= 0)
			break;
		(*pos)++;
	}
	return order == 0 && before[*pos].version == t->version ?
		       &before[*pos] :
		       NULL;
}

/*
 * Parses the rows of the nodes. Of one that cannot be read the daemon may hold
 * a lease all the same; it is logged and marked.
 */
size_t planner_parse_nodes(const struct tbl_result *r, uint64_t era_ms,
			   const struct planner_node *before,
			   size_t before_count, struct planner_node *out)
{
	size_t n = 0;
	size_t pos = 0;

	for (size_t i = 0; i < r->count; i++) {
		const struct tbl_row *t = &r->rows[i];
		struct planner_node *x = &out[n];
		const struct planner_node *old =
			find_before(before, before_count, &pos, t);

		if (t->removed)
			continue;
		x->unreadable =
			!noderow_parse(t->value, t->len, t->version, &x->row) ||
			strcmp(x->row.node, t->key) != 0;
		if (x->unreadable) {
			log_emit(LOG_ROW_INVALID, "key=%s version=%llu", t->key,
				 (unsigned long long)t->version);
			memset(&x->row, 0, sizeof(x->row));
			if (!txt_copy(x->row.node, sizeof(x->row.node), t->key))
				continue;
		}
		x->version = t->version;
		x->seen_ms = old ? old->seen_ms : r->now_ms;
		set_alive(x, r->now_ms, era_ms);
		n++;
	}
	return n;
}

/* Makes room for the rows of a read; false if out of memory. */
static bool reserve(struct planner_nodes *n, size_t count)
{
	struct planner_node *list, *before;

	if (count <= n->capacity)
		return true;
	list = reallocarray(n->list, count * 2, sizeof(*list));
	if (list)
		n->list = list;
	before = reallocarray(n->before, count * 2, sizeof(*before));
	if (before)
		n->before = before;
	if (!list || !before)
		return false;
	n->capacity = count * 2;
	return true;
}

/* Parses the rows beside those of the read before, which stay known. */
bool planner_nodes_read(struct planner_nodes *n, const struct tbl_result *r,
			uint64_t era_ms)
{
	struct planner_node *before;

	if (!reserve(n, r->count))
		return false;
	before = n->list;
	n->list = n->before;
	n->before = before;
	n->count = planner_parse_nodes(r, era_ms, before, n->count, n->list);
	return true;
}

/* Frees the nodes of both reads. */
void planner_nodes_free(struct planner_nodes *n)
{
	free(n->list);
	free(n->before);
}
