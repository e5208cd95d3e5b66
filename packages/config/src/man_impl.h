#ifndef MAN_IMPL_H
#define MAN_IMPL_H

/* What the source files of the manifest share. */

#include "man.h"

struct man_network {
	bool ipv4;
	uint8_t prefix; /* bits */
	uint8_t address[16]; /* the first 4 bytes for IPv4 */
};

struct man_group {
	char name[MAN_NAME_MAX];
	uint32_t network_count;
	struct man_network networks[MAN_NETWORKS_MAX];
};

#define MAN_NO_SEGMENT 0xff

/* The pattern of one kind, cut into segments. */
struct man_rule {
	uint16_t service; /* index in man.services */
	uint16_t kind; /* index in its kinds */
	uint8_t count; /* of segments */
	uint8_t key_segment; /* MAN_NO_SEGMENT if the key is not in the path */
	uint32_t
		first; /* hash of the first segment, 0 if it matches anything */
	uint16_t wild; /* bit set of the segments that match anything */
	uint8_t start[MAN_SEGMENTS_MAX];
	uint8_t len[MAN_SEGMENTS_MAX];
	uint32_t next; /* rule with the same segments, MAN_NONE if none */
};

#define MAN_NONE UINT32_MAX

/* A node of the tree of segments. */
struct man_node {
	uint32_t wild; /* node after any segment, MAN_NONE if none */
	uint32_t rule; /* first rule that ends here, MAN_NONE if none */
};

/* An edge with a literal segment, in an open hash table. */
struct man_edge {
	uint32_t from;
	uint32_t to; /* MAN_NONE for an empty place */
	const char *text;
	uint32_t len;
};

struct man {
	uint32_t format;
	uint64_t version;
	size_t group_count;
	struct man_group groups[MAN_GROUPS_MAX];
	size_t service_count;
	struct man_service services[MAN_SERVICES_MAX];
	size_t rule_count;
	size_t rule_max;
	struct man_rule *rules;
	size_t node_count;
	struct man_node *nodes;
	size_t edge_mask;
	struct man_edge *edges;
};

/* Returns why a pattern is refused, NULL after it was cut into segments. */
const char *man_cut_pattern(const char *path, struct man_rule *rule);

/* True if some path matches both patterns. */
bool man_ambiguous(const char *path_a, const struct man_rule *a,
		   const char *path_b, const struct man_rule *b);

/* Builds the tree over all rules; false when memory is exhausted. */
bool man_build_index(struct man *m);

/*
 * Returns the edge from a node with a literal segment, or the empty place where
 * it would stand.
 */
struct man_edge *man_find_edge(const struct man *m, uint32_t from,
			       const char *text, size_t len);

/* Returns why a network is refused, NULL after it was read. */
const char *man_read_network(const char *text, struct man_network *out);

/* Percent-decodes text; returns the length, -1 if malformed or too long. */
int man_decode(const char *text, size_t len, bool plus, char *out, size_t size);

#endif
