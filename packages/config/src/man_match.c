#include "man_impl.h"

#include <string.h>

/* A request path split into segments, and the method of the request. */
struct path_segments {
	const char *method;
	uint32_t count;
	const char *text[MAN_SEGMENTS_MAX];
	size_t len[MAN_SEGMENTS_MAX];
};

/* Splits a path; false without a leading / or with too many segments. */
static bool split_path(const char *path, struct path_segments *segs)
{
	const char *s = path;

	segs->count = 0;
	if (*s != '/')
		return false;
	while (*s == '/') {
		const char *end = strchrnul(s + 1, '/');

		if (segs->count == MAN_SEGMENTS_MAX)
			return false;
		segs->text[segs->count] = s + 1;
		segs->len[segs->count++] = (size_t)(end - s - 1);
		s = end;
	}
	return true;
}

/*
 * An upstream may resolve . and .. and then execute a request of another kind,
 * so wildcards never match them.
 */
static bool is_dot_segment(const char *s, size_t len)
{
	char out[3];
	int n = man_decode(s, len, false, out, sizeof(out));

	return n > 0 && strspn(out, ".") == (size_t)n;
}

/* Checks the segments that the pattern matches with {any}. */
static bool any_segments_valid(const struct man_rule *r,
			       const struct path_segments *segs)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (!(r->wildcards >> i & 1) || i == r->key_segment)
			continue;
		if (segs->len[i] == 0 ||
		    is_dot_segment(segs->text[i], segs->len[i]))
			return false;
	}
	return true;
}

/* Returns the rule of a node that has the method of the request. */
static const struct man_rule *rule_for_method(const struct man *m,
					      uint32_t node,
					      const struct path_segments *segs,
					      enum man_verdict *verdict)
{
	for (uint32_t i = m->nodes[node].rule; i != MAN_NONE;
	     i = m->rules[i].next) {
		const struct man_rule *r = &m->rules[i];
		const struct man_service *s = &m->services[r->service];

		if (!any_segments_valid(r, segs))
			continue;
		if (strcmp(s->kinds[r->kind].method, segs->method) == 0)
			return r;
		*verdict = MAN_NO_METHOD;
	}
	return NULL;
}

/*
 * Searches the prefix tree depth first without recursion. Where both a literal
 * edge and a wildcard match, the wildcard is pushed on a stack for
 * backtracking. One stack entry per depth suffices, as the deepest entry is
 * always popped first.
 */
static const struct man_rule *find_rule(const struct man *m,
					const struct path_segments *segs,
					enum man_verdict *verdict)
{
	uint32_t stack[MAN_SEGMENTS_MAX];
	uint32_t stack_depth[MAN_SEGMENTS_MAX];
	uint32_t stacked = 0, node = 0, depth = 0;

	for (;;) {
		const struct man_rule *r = NULL;
		uint32_t wildcard, next = MAN_NONE;

		if (depth == segs->count) {
			r = rule_for_method(m, node, segs, verdict);
			if (r)
				return r;
		} else {
			wildcard = m->nodes[node].wildcard;
			next = man_find_edge(m, node, segs->text[depth],
					     segs->len[depth])
				       ->to;
			if (next == MAN_NONE) {
				next = wildcard;
			} else if (wildcard != MAN_NONE) {
				stack[stacked] = wildcard;
				stack_depth[stacked++] = depth + 1;
			}
			depth++;
		}
		if (next == MAN_NONE) {
			if (stacked == 0)
				return NULL;
			next = stack[--stacked];
			depth = stack_depth[stacked];
		}
		node = next;
	}
}

/* Returns true if a field name of a query, once decoded, equals name. */
static bool name_matches(const char *s, size_t len, const char *name)
{
	char out[MAN_NAME_MAX];

	return man_decode(s, len, true, out, sizeof(out)) >= 0 &&
	       strcmp(out, name) == 0;
}

/*
 * Extracts a query field; returns its length or -1. A repeated field is
 * rejected, as the upstream might use another occurrence than the router.
 */
static int query_key(const char *query, const char *name, char *out)
{
	int found = -1;

	while (query && *query) {
		const char *end = strchrnul(query, '&');
		const char *equals = memchr(query, '=', (size_t)(end - query));

		if (equals &&
		    name_matches(query, (size_t)(equals - query), name)) {
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

/* Extracts a header without surrounding blanks; returns its length or -1. */
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

/* Extracts the key from the source that the kind names. */
static int extract_key(const struct man_rule *r, const struct man_kind *k,
		       const struct path_segments *segs,
		       const struct man_request *req, char *out)
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
	if (is_dot_segment(segs->text[i], segs->len[i]))
		return -1;
	return man_decode(segs->text[i], segs->len[i], false, out, MAN_KEY_MAX);
}

enum man_verdict man_match(const struct man *m, const struct man_request *req,
			   struct man_match *out)
{
	enum man_verdict verdict = MAN_NO_KIND;
	struct path_segments segs = { .method = req->method };
	const struct man_rule *r;
	int len;

	if (!split_path(req->path, &segs))
		return MAN_NO_KIND;
	r = find_rule(m, &segs, &verdict);
	if (!r)
		return verdict;
	out->service = &m->services[r->service];
	out->kind = r->kind;
	len = extract_key(r, &out->service->kinds[r->kind], &segs, req,
			  out->key);
	if (len <= 0)
		return MAN_NO_KEY;
	out->key_len = (size_t)len;
	return MAN_MATCH;
}
