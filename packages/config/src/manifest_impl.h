#ifndef MANIFEST_IMPL_H
#define MANIFEST_IMPL_H

/* Declarations private to the manifest module. */

#include "manifest.h"

struct manifest_network {
	bool ipv4;
	uint8_t prefix; /* bits */
	uint8_t address[16]; /* IPv4 uses the first 4 bytes */
};

struct manifest_group {
	char name[MANIFEST_NAME_MAX];
	uint32_t network_count;
	struct manifest_network networks[MANIFEST_NETWORKS_MAX];
};

#define MANIFEST_NO_SEGMENT 0xff

/* The path pattern of one kind, split into segments. */
struct manifest_rule {
	uint16_t service; /* index into man.services */
	uint16_t kind; /* index into the kinds of the service */
	uint8_t count; /* number of segments */
	uint8_t key_segment; /* MANIFEST_NO_SEGMENT if the key is not in the path */
	uint32_t first_hash; /* of the first segment, 0 for a wildcard */
	uint16_t wildcards; /* bit set of the {key} and {any} segments */
	uint8_t start[MANIFEST_SEGMENTS_MAX]; /* offset in the pattern */
	uint8_t len[MANIFEST_SEGMENTS_MAX];
	uint32_t next; /* next rule at the same node, MANIFEST_NONE if none */
};

#define MANIFEST_NONE UINT32_MAX

/* A node of the prefix tree over path segments. */
struct manifest_node {
	uint32_t wildcard; /* child for any segment, MANIFEST_NONE if none */
	uint32_t rule; /* first rule ending here, MANIFEST_NONE if none */
};

/* An edge for a literal segment, in a hash table with open addressing. */
struct manifest_edge {
	uint32_t from;
	uint32_t to; /* MANIFEST_NONE in an empty slot */
	const char *text;
	uint32_t len;
};

struct manifest {
	uint32_t format;
	uint64_t version;
	size_t group_count;
	struct manifest_group groups[MANIFEST_GROUPS_MAX];
	size_t service_count;
	struct manifest_service services[MANIFEST_SERVICES_MAX];
	size_t rule_count;
	size_t rule_capacity;
	struct manifest_rule *rules;
	size_t node_count;
	struct manifest_node *nodes;
	size_t edge_mask;
	struct manifest_edge *edges;
};

/*
 * Splits a pattern into segments. Returns NULL on success, otherwise the reason
 * why the pattern is invalid.
 */
const char *manifest_parse_pattern(const char *path,
				   struct manifest_rule *rule);

/* Returns true if some path matches both patterns. */
bool manifest_patterns_overlap(const char *path_a,
			       const struct manifest_rule *a,
			       const char *path_b,
			       const struct manifest_rule *b);

/* Builds the prefix tree of all rules; false if memory is exhausted. */
bool manifest_build_index(struct manifest *m);

/*
 * Returns the edge from a node for a literal segment, or the empty slot where
 * it belongs.
 */
struct manifest_edge *manifest_find_edge(const struct manifest *m,
					 uint32_t from, const char *text,
					 size_t len);

/*
 * Parses a network in CIDR notation. Returns NULL on success, otherwise the
 * reason why it is invalid.
 */
const char *manifest_parse_network(const char *text,
				   struct manifest_network *out);

/*
 * Percent-decodes text, and + to a space if plus is set. Returns the decoded
 * length, or -1 if the text is malformed, has a NUL byte or does not fit.
 */
int manifest_percent_decode(const char *text, size_t len, bool plus, char *out,
			    size_t size);

#endif
