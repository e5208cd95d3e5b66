#include "manifest_impl.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define KEY_SEGMENT "{key}"
#define ANY_SEGMENT "{any}"
#define LITERAL_BYTES                                          \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" \
	"0123456789-._~!$&'()*+,;=:@"

static bool segment_equals(const char *s, size_t len, const char *text)
{
	return strlen(text) == len && memcmp(s, text, len) == 0;
}

/* Adds one segment to the rule; returns why it is invalid, NULL if valid. */
static const char *parse_segment(const char *s, size_t len,
				 struct manifest_rule *r)
{
	uint8_t i = r->count;

	if (len == 0)
		return "an empty segment";
	if (segment_equals(s, len, ".") || segment_equals(s, len, ".."))
		return "a segment . or ..";
	if (segment_equals(s, len, KEY_SEGMENT)) {
		if (r->key_segment != MANIFEST_NO_SEGMENT)
			return "{key} occurs twice";
		r->key_segment = i;
		r->wildcards |= (uint16_t)(1u << i);
	} else if (segment_equals(s, len, ANY_SEGMENT)) {
		r->wildcards |= (uint16_t)(1u << i);
	} else if (strspn(s, LITERAL_BYTES) < len) {
		return "a character that is not allowed";
	}
	r->len[i] = (uint8_t)len;
	r->count++;
	return NULL;
}

const char *manifest_parse_pattern(const char *path, struct manifest_rule *rule)
{
	const char *s = path;

	rule->count = 0;
	rule->wildcards = 0;
	rule->key_segment = MANIFEST_NO_SEGMENT;
	if (*s != '/')
		return "does not begin with /";
	while (*s == '/') {
		size_t len = strcspn(s + 1, "/");
		const char *reason;

		if (rule->count == MANIFEST_SEGMENTS_MAX)
			return "more than 16 segments";
		rule->start[rule->count] = (uint8_t)(s + 1 - path);
		reason = parse_segment(s + 1, len, rule);
		if (reason)
			return reason;
		s += 1 + len;
	}
	rule->first_hash = 0;
	if (!(rule->wildcards & 1))
		rule->first_hash =
			(uint32_t)XXH3_64bits(path + 1, rule->len[0]) | 1;
	return NULL;
}

bool manifest_patterns_overlap(const char *path_a,
			       const struct manifest_rule *a,
			       const char *path_b,
			       const struct manifest_rule *b)
{
	if (a->count != b->count)
		return false;
	for (uint8_t i = 0; i < a->count; i++) {
		if ((a->wildcards | b->wildcards) >> i & 1)
			continue;
		if (a->len[i] != b->len[i] ||
		    memcmp(path_a + a->start[i], path_b + b->start[i],
			   a->len[i]) != 0)
			return false;
	}
	return true;
}

struct manifest_edge *manifest_find_edge(const struct manifest *m,
					 uint32_t from, const char *text,
					 size_t len)
{
	size_t i = XXH3_64bits_withSeed(text, len, from) & m->edge_mask;

	while (m->edges[i].to != MANIFEST_NONE) {
		const struct manifest_edge *e = &m->edges[i];

		if (e->from == from && e->len == len &&
		    memcmp(e->text, text, len) == 0)
			break;
		i = (i + 1) & m->edge_mask;
	}
	return &m->edges[i];
}

static uint32_t add_node(struct manifest *m)
{
	struct manifest_node *n = &m->nodes[m->node_count];

	n->wildcard = MANIFEST_NONE;
	n->rule = MANIFEST_NONE;
	return (uint32_t)m->node_count++;
}

/* Inserts the pattern of one rule into the tree. */
static void add_rule(struct manifest *m, uint32_t index)
{
	struct manifest_rule *r = &m->rules[index];
	const char *path = m->services[r->service].kinds[r->kind].path;
	uint32_t node = 0;

	for (uint8_t i = 0; i < r->count; i++) {
		const char *text = path + r->start[i];

		if (r->wildcards >> i & 1) {
			if (m->nodes[node].wildcard == MANIFEST_NONE)
				m->nodes[node].wildcard = add_node(m);
			node = m->nodes[node].wildcard;
		} else {
			struct manifest_edge *e =
				manifest_find_edge(m, node, text, r->len[i]);

			if (e->to == MANIFEST_NONE) {
				e->from = node;
				e->text = text;
				e->len = r->len[i];
				e->to = add_node(m);
			}
			node = e->to;
		}
	}
	r->next = m->nodes[node].rule;
	m->nodes[node].rule = index;
}

/* The hash table of the edges is at most half full. */
bool manifest_build_index(struct manifest *m)
{
	size_t segments = 1, slots = 2;

	for (size_t i = 0; i < m->rule_count; i++)
		segments += m->rules[i].count;
	while (slots < 2 * segments)
		slots *= 2;
	m->nodes = calloc(segments, sizeof(*m->nodes));
	m->edges = calloc(slots, sizeof(*m->edges));
	if (!m->nodes || !m->edges)
		return false;
	m->edge_mask = slots - 1;
	for (size_t i = 0; i < slots; i++)
		m->edges[i] = (struct manifest_edge){ .to = MANIFEST_NONE,
						      .text = "" };
	add_node(m);
	for (size_t i = 0; i < m->rule_count; i++)
		add_rule(m, (uint32_t)i);
	return true;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

int manifest_percent_decode(const char *text, size_t len, bool plus, char *out,
			    size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < len; i++) {
		int c = (unsigned char)text[i];

		if (c == '%') {
			int high = i + 2 < len ? hex_digit(text[i + 1]) : -1;
			int low = i + 2 < len ? hex_digit(text[i + 2]) : -1;

			if (high < 0 || low < 0)
				return -1;
			c = high * 16 + low;
			i += 2;
		} else if (plus && c == '+') {
			c = ' ';
		}
		if (c == 0 || n + 1 >= size)
			return -1;
		out[n++] = (char)c;
	}
	out[n] = '\0';
	return (int)n;
}
