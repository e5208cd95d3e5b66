#ifndef MAN_IMPL_H
#define MAN_IMPL_H

/* Declarations private to the manifest module. */

#include "man.h"

struct man_network {
	bool ipv4;
	uint8_t prefix; /* bits */
	uint8_t address[16]; /* IPv4 uses the first 4 bytes */
};

struct man_group {
	char name[MAN_NAME_MAX];
	uint32_t network_count;
	struct man_network networks[MAN_NETWORKS_MAX];
};

#define MAN_NO_SEGMENT 0xff

/* The path pattern of one kind, split into segments. */
struct man_rule {
	uint16_t service; /* index into man.services */
	uint16_t kind; /* index into the kinds of the service */
	uint8_t count; /* number of segments */
	uint8_t key_segment; /* MAN_NO_SEGMENT if the key is not in the path */
	uint32_t first_hash; /* of the first segment, 0 for a wildcard */
	uint16_t wildcards; /* bit set of the {key} and {any} segments */
	uint8_t start[MAN_SEGMENTS_MAX]; /* offset in the pattern */
	uint8_t len[MAN_SEGMENTS_MAX];
	uint32_t next; /* next rule at the same node, MAN_NONE if none */
};

#define MAN_NONE UINT32_MAX

/* A node of the prefix tree over path segments. */
struct man_node {
	uint32_t wildcard; /* child for any segment, MAN_NONE if none */
	uint32_t rule; /* first rule ending here, MAN_NONE if none */
};

/* An edge for a literal segment, in a hash table with open addressing. */
struct man_edge {
	uint32_t from;
	uint32_t to; /* MAN_NONE in an empty slot */
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
	size_t rule_capacity;
	struct man_rule *rules;
	size_t node_count;
	struct man_node *nodes;
	size_t edge_mask;
	struct man_edge *edges;
};

/*
 * Splits a pattern into segments. Returns NULL on success, otherwise the reason
 * why the pattern is invalid.
 */
const char *man_cut_pattern(const char *path, struct man_rule *rule);

/* Returns true if some path matches both patterns. */
bool man_ambiguous(const char *path_a, const struct man_rule *a,
		   const char *path_b, const struct man_rule *b);

/* Builds the prefix tree of all rules; false if memory is exhausted. */
bool man_build_index(struct man *m);

/*
 * Returns the edge from a node for a literal segment, or the empty slot where
 * it belongs.
 */
struct man_edge *man_find_edge(const struct man *m, uint32_t from,
			       const char *text, size_t len);

/*
 * Parses a network in CIDR notation. Returns NULL on success, otherwise the
 * reason why it is invalid.
 */
const char *man_read_network(const char *text, struct man_network *out);

/*
 * Percent-decodes text, and + to a space if plus is set. Returns the decoded
 * length, or -1 if the text is malformed, has a NUL byte or does not fit.
 */
int man_decode(const char *text, size_t len, bool plus, char *out, size_t size);

#endif
