#include "replica.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* If memory is exhausted an insertion leaves hh.tbl NULL and doesn't exit. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#define ROW_PREFIX "row/"
#define MEMBER_PREFIX "member/"

/* Initial capacity of the arrays, in elements. */
#define CAPACITY_MIN 64

struct row_node {
	struct row row;
	UT_hash_handle hh; /* by row.part */
};

struct member_node {
	struct member member;
	UT_hash_handle hh; /* by member.proc.instance */
};

struct entry_node {
	struct replica_entry entry;
	UT_hash_handle hh; /* by entry.key */
	struct row_node *row; /* NULL for other kinds of rows */
	struct member_node *member; /* NULL for other kinds of rows */
};

/* A write of a row; node is NULL once a later write has replaced it. */
struct write {
	uint64_t seq;
	struct entry_node *node;
};

struct subscriber {
	replica_change_fn fn;
	void *arg;
};

/*
 * writes is sorted by seq for binary search. A later write of the same row
 * clears the node of the earlier element; cleared elements are removed when
 * they are more than half of all.
 */
struct table_replica {
	struct entry_node *nodes;
	struct row_node *rows;
	struct member_node *members;
	struct row_node **row_list; /* in order of arrival, for iteration */
	size_t row_capacity;
	struct member_node **member_list;
	size_t member_capacity;
	struct write *writes;
	size_t write_count;
	size_t write_capacity;
	size_t cleared_writes;
	struct subscriber subscribers[REPLICA_SUBSCRIBERS_MAX];
	size_t subscriber_count;
	const struct row *changed_row; /* NULL while no subscriber is called */
	struct row_set previous_set; /* of changed_row; version 0 if new */
	uint64_t complete_seq; /* all writes up to this one are held */
};

/* Returns an empty replica, NULL if memory is exhausted. */
struct table_replica *replica_create(void)
{
	return calloc(1, sizeof(struct table_replica));
}

static void free_node(struct entry_node *node)
{
	free(node->row);
	free(node->member);
	free(node->entry.value);
	free(node);
}

/* Frees the replica and all its rows; NULL is allowed. */
void replica_destroy(struct table_replica *replica)
{
	struct entry_node *node;
	struct entry_node *next;

	if (!replica)
		return;
	node = replica->nodes;
	HASH_CLEAR(hh, replica->rows);
	HASH_CLEAR(hh, replica->members);
	HASH_CLEAR(hh, replica->nodes);
	for (; node; node = next) {
		next = node->hh.next;
		free_node(node);
	}
	free(replica->row_list);
	free(replica->member_list);
	free(replica->writes);
	free(replica);
}

/* Adds a subscriber; false if there are REPLICA_SUBSCRIBERS_MAX already. */
bool replica_subscribe(struct table_replica *replica, replica_change_fn fn,
		       void *arg)
{
	if (replica->subscriber_count == REPLICA_SUBSCRIBERS_MAX)
		return false;
	replica->subscribers[replica->subscriber_count++] =
		(struct subscriber){ .fn = fn, .arg = arg };
	return true;
}

/*
 * Ensures capacity for one more element of an array. Returns its new address,
 * or NULL if memory is exhausted, which leaves the array unchanged.
 */
static void *grow(void *list, size_t *capacity, size_t count,
		  size_t entry_bytes)
{
	size_t new_capacity = *capacity ? *capacity * 2 : CAPACITY_MIN;
	void *grown;

	if (count < *capacity)
		return list;
	grown = reallocarray(list, new_capacity, entry_bytes);
	if (grown)
		*capacity = new_capacity;
	return grown;
}

static void compact_writes(struct table_replica *replica)
{
	size_t kept = 0;

	for (size_t i = 0; i < replica->write_count; i++) {
		if (replica->writes[i].node)
			replica->writes[kept++] = replica->writes[i];
	}
	replica->write_count = kept;
	replica->cleared_writes = 0;
}

/* Returns the index of the first write after the sequence number seq. */
static size_t find_write(const struct table_replica *replica, uint64_t seq)
{
	size_t low = 0;
	size_t high = replica->write_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (replica->writes[middle].seq <= seq)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void insert_write(struct table_replica *replica, struct entry_node *node)
{
	size_t index = find_write(replica, node->entry.seq);

	memmove(&replica->writes[index + 1], &replica->writes[index],
		(replica->write_count - index) * sizeof(*replica->writes));
	replica->writes[index] =
		(struct write){ .seq = node->entry.seq, .node = node };
	replica->write_count++;
}

static void remove_write(struct table_replica *replica,
			 const struct entry_node *node)
{
	size_t index = find_write(replica, node->entry.seq);

	while (index > 0 && replica->writes[index - 1].node != node)
		index--;
	if (index == 0)
		return;
	replica->writes[index - 1].node = NULL;
	if (++replica->cleared_writes * 2 > replica->write_count)
		compact_writes(replica);
}

static bool reserve_capacity(struct table_replica *replica)
{
	struct write *writes = grow(replica->writes, &replica->write_capacity,
				    replica->write_count, sizeof(*writes));
	struct row_node **rows;
	struct member_node **members;

	if (!writes)
		return false;
	replica->writes = writes;
	rows = grow(replica->row_list, &replica->row_capacity,
		    HASH_COUNT(replica->rows), sizeof(struct row_node *));
	if (!rows)
		return false;
	replica->row_list = rows;
	members = grow(replica->member_list, &replica->member_capacity,
		       HASH_COUNT(replica->members),
		       sizeof(struct member_node *));
	if (!members)
		return false;
	replica->member_list = members;
	return true;
}

/* Result of parse_entry(). */
struct parsed {
	bool is_row;
	bool is_member;
	struct row row;
	struct member member;
};

static bool check_key(const struct replica_entry *entry,
		      const char *expected_key, struct err *err)
{
	if (!strcmp(entry->key, expected_key))
		return true;
	return err_set(err, ERR_ROWS, ROW_BAD_KEY,
		       "key %s contains the row of key %s", entry->key,
		       expected_key);
}

static bool check_json(const struct replica_entry *entry, struct err *err)
{
	json_error_t error;
	json_t *root = json_loads(entry->value, JSON_DECODE_ANY, &error);

	if (!root)
		return err_set(err, ERR_ROWS, ROW_BAD_JSON, "%s: %s",
			       entry->key, error.text);
	json_decref(root);
	return true;
}

/*
 * Parses an entry before the replica is changed. Rows of unknown kinds, as
 * newer versions may write, are kept and passed to peers if they are valid
 * JSON.
 */
static bool parse_entry(const struct replica_entry *entry,
			struct parsed *parsed, struct err *err)
{
	char expected_key[ROW_KEY_MAX];

	if (!entry->key[0] || !memchr(entry->key, 0, sizeof(entry->key)))
		return err_set(err, ERR_ROWS, ROW_BAD_KEY,
			       "key is empty or too long");
	if (!entry->value)
		return err_set(err, ERR_ROWS, ROW_BAD_JSON,
			       "%s: value is missing", entry->key);
	parsed->is_row = !strncmp(entry->key, ROW_PREFIX, strlen(ROW_PREFIX));
	parsed->is_member =
		!strncmp(entry->key, MEMBER_PREFIX, strlen(MEMBER_PREFIX));
	if (parsed->is_row) {
		if (!row_decode(entry->value, &parsed->row, err))
			return false;
		row_key(parsed->row.part, expected_key);
		return check_key(entry, expected_key, err);
	}
	if (parsed->is_member) {
		if (!member_decode(entry->value, &parsed->member, err))
			return false;
		member_key(parsed->member.proc.instance, expected_key);
		return check_key(entry, expected_key, err);
	}
	return check_json(entry, err);
}

static bool index_row(struct table_replica *replica, struct entry_node *node,
		      const struct row *row)
{
	node->row = calloc(1, sizeof(*node->row));
	if (!node->row)
		return false;
	node->row->row = *row;
	HASH_ADD(hh, replica->rows, row.part, sizeof(node->row->row.part),
		 node->row);
	if (!node->row->hh.tbl)
		return false;
	replica->row_list[HASH_COUNT(replica->rows) - 1] = node->row;
	return true;
}

static bool index_member(struct table_replica *replica, struct entry_node *node,
			 const struct member *member)
{
	node->member = calloc(1, sizeof(*node->member));
	if (!node->member)
		return false;
	node->member->member = *member;
	HASH_ADD(hh, replica->members, member.proc.instance,
		 sizeof(node->member->member.proc.instance), node->member);
	if (!node->member->hh.tbl)
		return false;
	replica->member_list[HASH_COUNT(replica->members) - 1] = node->member;
	return true;
}

/* Adds an entry without a value; NULL if memory is exhausted. */
static struct entry_node *add_node(struct table_replica *replica,
				   const struct replica_entry *entry,
				   const struct parsed *parsed)
{
	struct entry_node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	memcpy(node->entry.key, entry->key, sizeof(node->entry.key));
	HASH_ADD_STR(replica->nodes, entry.key, node);
	if (!node->hh.tbl) {
		free_node(node);
		return NULL;
	}
	if ((parsed->is_row && !index_row(replica, node, &parsed->row)) ||
	    (parsed->is_member &&
	     !index_member(replica, node, &parsed->member))) {
		HASH_DEL(replica->nodes, node);
		free_node(node);
		return NULL;
	}
	return node;
}

static void update_index(struct table_replica *replica, struct entry_node *node,
			 const struct parsed *parsed)
{
	if (parsed->is_row && node->row) {
		replica->previous_set = node->row->row.set;
		node->row->row = parsed->row;
	}
	if (parsed->is_member)
		node->member->member = parsed->member;
}

static bool store_entry(struct table_replica *replica,
			struct entry_node *existing,
			const struct replica_entry *entry,
			const struct parsed *parsed, struct entry_node **stored)
{
	char *value = strdup(entry->value);
	struct entry_node *node = existing;

	if (!value)
		return false;
	if (reserve_capacity(replica) && !existing)
		node = add_node(replica, entry, parsed);
	if (!node || replica->write_count == replica->write_capacity) {
		free(value);
		return false;
	}
	if (existing) {
		remove_write(replica, node);
		update_index(replica, node, parsed);
	}
	free(node->entry.value);
	node->entry.value = value;
	node->entry.version = entry->version;
	node->entry.seq = entry->seq;
	insert_write(replica, node);
	*stored = node;
	return true;
}

static void notify_subscribers(struct table_replica *replica,
			       const struct entry_node *node)
{
	replica->changed_row = node->row ? &node->row->row : NULL;
	for (size_t i = 0; i < replica->subscriber_count; i++)
		replica->subscribers[i].fn(replica->subscribers[i].arg,
					   &node->entry);
	replica->changed_row = NULL;
}

/* Parses the row first, so that an error leaves the replica unchanged. */
enum replica_result replica_apply(struct table_replica *replica,
				  const struct replica_entry *entry,
				  struct err *err)
{
	struct parsed parsed = { 0 };
	struct entry_node *node = NULL;

	if (memchr(entry->key, 0, sizeof(entry->key)))
		HASH_FIND_STR(replica->nodes, entry->key, node);
	if (node && entry->version <= node->entry.version)
		return REPLICA_OLD_VERSION;
	if (!parse_entry(entry, &parsed, err))
		return REPLICA_INVALID;
	replica->previous_set =
		node && node->row ? node->row->row.set : (struct row_set){ 0 };
	if (!store_entry(replica, node, entry, &parsed, &node)) {
		err_set(err, ERR_ROWS, ROW_NO_MEMORY,
			"out of memory for row %s", entry->key);
		return REPLICA_INVALID;
	}
	notify_subscribers(replica, node);
	return REPLICA_UPDATED;
}

/* Saves the subscribers that compare both sets a copy of each row. */
const struct row *replica_changed_row(const struct table_replica *replica,
				      const struct row_set **previous_set)
{
	*previous_set = replica->changed_row && replica->previous_set.version ?
				&replica->previous_set :
				NULL;
	return replica->changed_row;
}

/* Returns the sequence number up to which all writes are held. */
uint64_t replica_complete_seq(const struct table_replica *replica)
{
	return replica->complete_seq;
}

/* Ignores a lower number, as replies may arrive out of order. */
void replica_set_complete_seq(struct table_replica *replica, uint64_t seq)
{
	if (seq > replica->complete_seq)
		replica->complete_seq = seq;
}

/* Finds the start by binary search and skips cleared elements. */
size_t replica_rows_since(const struct table_replica *replica, uint64_t seq,
			  const struct replica_entry **out, size_t max)
{
	size_t count = 0;

	for (size_t i = find_write(replica, seq);
	     i < replica->write_count && count < max; i++) {
		if (replica->writes[i].node)
			out[count++] = &replica->writes[i].node->entry;
	}
	return count;
}

/* Returns the row of a key, NULL if there is none. */
const struct replica_entry *replica_get(const struct table_replica *replica,
					const char *key)
{
	struct entry_node *node;

	HASH_FIND_STR(replica->nodes, key, node);
	return node ? &node->entry : NULL;
}

/* Returns the assignment row of a partition, NULL if there is none. */
const struct row *replica_row(const struct table_replica *replica,
			      uint64_t part)
{
	struct row_node *node;

	HASH_FIND(hh, replica->rows, &part, sizeof(part), node);
	return node ? &node->row : NULL;
}

/* Returns the member of an instance, NULL if there is none. */
const struct member *replica_member(const struct table_replica *replica,
				    uint32_t instance)
{
	struct member_node *node;

	HASH_FIND(hh, replica->members, &instance, sizeof(instance), node);
	return node ? &node->member : NULL;
}

/* Returns the next member in order of arrival, NULL after the last. */
const struct member *replica_next_member(const struct table_replica *replica,
					 size_t *pos)
{
	if (*pos >= HASH_COUNT(replica->members))
		return NULL;
	return &replica->member_list[(*pos)++]->member;
}

/* Returns the next assignment row in order of arrival, NULL after the last. */
const struct row *replica_next_row(const struct table_replica *replica,
				   size_t *pos)
{
	if (*pos >= HASH_COUNT(replica->rows))
		return NULL;
	return &replica->row_list[(*pos)++]->row;
}

/* Returns the number of members, including those in state MEMBER_GONE. */
size_t replica_member_count(const struct table_replica *replica)
{
	return HASH_COUNT(replica->members);
}
