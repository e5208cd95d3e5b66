#include "manifest_impl.h"

#include <string.h>

/* A request path split into segments, and the method of the request. */
struct path_segments {
	const char *method;
	uint32_t count;
	const char *text[MANIFEST_SEGMENTS_MAX];
	size_t len[MANIFEST_SEGMENTS_MAX];
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

		if (segs->count == MANIFEST_SEGMENTS_MAX)
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
	int n = manifest_percent_decode(s, len, false, out, sizeof(out));

	return n > 0 && strspn(out, ".") == (size_t)n;
}

/* Checks the segments that the pattern matches with {any}. */
static bool any_segments_valid(const struct manifest_rule *r,
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
static const struct manifest_rule *
rule_for_method(const struct manifest *m, uint32_t node,
		const struct path_segments *segs, enum manifest_result *verdict)
{
	for (uint32_t i = m->nodes[node].rule; i != MANIFEST_NONE;
	     i = m->rules[i].next) {
		const struct manifest_rule *r = &m->rules[i];
		const struct manifest_service *s = &m->services[r->service];

		if (!any_segments_valid(r, segs))
			continue;
		if (strcmp(s->kinds[r->kind].method, segs->method) == 0)
			return r;
		*verdict = MANIFEST_NO_METHOD;
	}
	return NULL;
}

/*
 * Searches the prefix tree depth first without recursion. Where both a literal
 * edge and a wildcard match, the wildcard is pushed on a stack for
 * backtracking. One stack entry per depth suffices, as the deepest entry is
 * always popped first.
 */
static const struct manifest_rule *find_rule(const struct manifest *m,
					     const struct path_segments *segs,
					     enum manifest_result *verdict)
{
	uint32_t stack[MANIFEST_SEGMENTS_MAX];
	uint32_t stack_depth[MANIFEST_SEGMENTS_MAX];
	uint32_t stacked = 0, node = 0, depth = 0;

	for (;;) {
		const struct manifest_rule *r = NULL;
		uint32_t wildcard, next = MANIFEST_NONE;

		if (depth == segs->count) {
			r = rule_for_method(m, node, segs, verdict);
			if (r)
				return r;
		} else {
			wildcard = m->nodes[node].wildcard;
			next = manifest_find_edge(m, node, segs->text[depth],
						  segs->len[depth])
				       ->to;
			if (next == MANIFEST_NONE) {
				next = wildcard;
			} else if (wildcard != MANIFEST_NONE) {
				stack[stacked] = wildcard;
				stack_depth[stacked++] = depth + 1;
			}
			depth++;
		}
		if (next == MANIFEST_NONE) {
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
	char out[MANIFEST_NAME_MAX];

	return manifest_percent_decode(s, len, true, out, sizeof(out)) >= 0 &&
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
			found = manifest_percent_decode(
				equals + 1, (size_t)(end - equals - 1), true,
				out, MANIFEST_KEY_MAX);
			if (found < 0)
				return -1;
		}
		query = *end ? end + 1 : end;
	}
	return found;
}

/* Extracts a header without surrounding blanks; returns its length or -1. */
static int header_key(const struct manifest_request *req, const char *name,
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
	return manifest_percent_decode(s, len, false, out, MANIFEST_KEY_MAX);
}

/* Extracts the key from the source that the kind names. */
static int extract_key(const struct manifest_rule *r,
		       const struct manifest_kind *k,
		       const struct path_segments *segs,
		       const struct manifest_request *req, char *out)
{
	uint8_t i = r->key_segment;

	switch (k->key_source) {
	case MANIFEST_KEY_QUERY:
		return query_key(req->query, k->key_name, out);
	case MANIFEST_KEY_HEADER:
		return header_key(req, k->key_name, out);
	case MANIFEST_KEY_PATH:
		break;
	}
	if (is_dot_segment(segs->text[i], segs->len[i]))
		return -1;
	return manifest_percent_decode(segs->text[i], segs->len[i], false, out,
				       MANIFEST_KEY_MAX);
}

enum manifest_result manifest_match(const struct manifest *m,
				    const struct manifest_request *req,
				    struct manifest_match *out)
{
	enum manifest_result verdict = MANIFEST_NO_KIND;
	struct path_segments segs = { .method = req->method };
	const struct manifest_rule *r;
	int len;

	if (!split_path(req->path, &segs))
		return MANIFEST_NO_KIND;
	r = find_rule(m, &segs, &verdict);
	if (!r)
		return verdict;
	out->service = &m->services[r->service];
	out->kind = r->kind;
	len = extract_key(r, &out->service->kinds[r->kind], &segs, req,
			  out->key);
	if (len <= 0)
		return MANIFEST_NO_KEY;
	out->key_len = (size_t)len;
	return MANIFEST_MATCH;
}
