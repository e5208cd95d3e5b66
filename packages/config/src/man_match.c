#include "man_impl.h"

#include <string.h>

/* A request path cut into segments, and the method to look for. */
struct cut {
	const char *method;
	uint32_t count;
	const char *text[MAN_SEGMENTS_MAX];
	size_t len[MAN_SEGMENTS_MAX];
};

/* Cuts a path; false if it does not begin with / or has too many segments. */
static bool cut_path(const char *path, struct cut *c)
{
	const char *s = path;

	c->count = 0;
	if (*s != '/')
		return false;
	while (*s == '/') {
		const char *end = strchrnul(s + 1, '/');

		if (c->count == MAN_SEGMENTS_MAX)
			return false;
		c->text[c->count] = s + 1;
		c->len[c->count++] = (size_t)(end - s - 1);
		s = end;
	}
	return true;
}

/*
 * An upstream may resolve . and .. and would then run another kind, so no
 * segment of a pattern matches them.
 */
static bool is_dots(const char *s, size_t len)
{
	char out[3];
	int n = man_decode(s, len, false, out, sizeof(out));

	return n > 0 && strspn(out, ".") == (size_t)n;
}

/* Checks the segments that stand where the pattern has {any}. */
static bool any_segments_valid(const struct man_rule *r, const struct cut *c)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (!(r->wild >> i & 1) || i == r->key_segment)
			continue;
		if (c->len[i] == 0 || is_dots(c->text[i], c->len[i]))
			return false;
	}
	return true;
}

/* Returns the rule of a node with the method of the request. */
static const struct man_rule *rule_at(const struct man *m, uint32_t node,
				      const struct cut *c,
				      enum man_verdict *verdict)
{
	for (uint32_t i = m->nodes[node].rule; i != MAN_NONE;
	     i = m->rules[i].next) {
		const struct man_rule *r = &m->rules[i];
		const struct man_service *s = &m->services[r->service];

		if (!any_segments_valid(r, c))
			continue;
		if (strcmp(s->kinds[r->kind].method, c->method) == 0)
			return r;
		*verdict = MAN_NO_METHOD;
	}
	return NULL;
}

/*
 * Walks the tree without recursion: where a literal segment and a wildcard both
 * go on, the wildcard is kept for later. One place for each depth is enough, as
 * the deepest one is always taken first.
 */
static const struct man_rule *walk(const struct man *m, const struct cut *c,
				   enum man_verdict *verdict)
{
	uint32_t later[MAN_SEGMENTS_MAX];
	uint32_t later_depth[MAN_SEGMENTS_MAX];
	uint32_t waiting = 0, at = 0, depth = 0;

	for (;;) {
		const struct man_rule *r = NULL;
		uint32_t wild, next = MAN_NONE;

		if (depth == c->count) {
			r = rule_at(m, at, c, verdict);
			if (r)
				return r;
		} else {
			wild = m->nodes[at].wild;
			next = man_find_edge(m, at, c->text[depth],
					     c->len[depth])
				       ->to;
			if (next == MAN_NONE) {
				next = wild;
			} else if (wild != MAN_NONE) {
				later[waiting] = wild;
				later_depth[waiting++] = depth + 1;
			}
			depth++;
		}
		if (next == MAN_NONE) {
			if (waiting == 0)
				return NULL;
			next = later[--waiting];
			depth = later_depth[waiting];
		}
		at = next;
	}
}

/* True if a name of a query, which may be encoded, is the one looked for. */
static bool same_name(const char *s, size_t len, const char *name)
{
	char out[MAN_NAME_MAX];

	return man_decode(s, len, true, out, sizeof(out)) >= 0 &&
	       strcmp(out, name) == 0;
}

/*
 * Finds a field of a query. A repeated one is refused, as the upstream may take
 * the other value than the router.
 */
static int query_key(const char *query, const char *name, char *out)
{
	int found = -1;

	while (query && *query) {
		const char *end = strchrnul(query, '&');
		const char *equals = memchr(query, '=', (size_t)(end - query));

		if (equals &&
		    same_name(query, (size_t)(equals - query), name)) {
			if (found >= 0)
				return -1;
			found = man_decode(equals + 1,
					   (size_t)(end - equals - 1), true,
					   out, MAN_KEY_MAX);
			if (found < 0)
				return -1;
		}
		query = *end ? end + 1 : end;
	}
	return found;
}

/* Takes a header without the blanks around it. */
static int header_key(const struct man_request *req, const char *name,
		      char *out)
{
	const char *s = req->header ? req->header(req->arg, name) : NULL;
	size_t len;

	if (!s)
		return -1;
	s += strspn(s, " \t");
	len = strlen(s);
	while (len > 0 && (s[len - 1] == ' ' || s[len - 1] == '\t'))
		len--;
	return man_decode(s, len, false, out, MAN_KEY_MAX);
}

/* Takes the key from the place that the kind names. */
static int read_key(const struct man_rule *r, const struct man_kind *k,
		    const struct cut *c, const struct man_request *req,
		    char *out)
{
	uint8_t i = r->key_segment;

	switch (k->key_source) {
	case MAN_KEY_QUERY:
		return query_key(req->query, k->key_name, out);
	case MAN_KEY_HEADER:
		return header_key(req, k->key_name, out);
	case MAN_KEY_PATH:
		break;
	}
	if (is_dots(c->text[i], c->len[i]))
		return -1;
	return man_decode(c->text[i], c->len[i], false, out, MAN_KEY_MAX);
}

/* Finds the kind of a request and its key; uses no heap. */
enum man_verdict man_match(const struct man *m, const struct man_request *req,
			   struct man_match *out)
{
	enum man_verdict verdict = MAN_NO_KIND;
	struct cut c = { .method = req->method };
	const struct man_rule *r;
	int len;

	if (!cut_path(req->path, &c))
		return MAN_NO_KIND;
	r = walk(m, &c, &verdict);
	if (!r)
		return verdict;
	out->service = &m->services[r->service];
	out->kind = r->kind;
	len = read_key(r, &out->service->kinds[r->kind], &c, req, out->key);
	if (len <= 0)
		return MAN_NO_KEY;
	out->key_len = (size_t)len;
	return MAN_MATCH;
}
