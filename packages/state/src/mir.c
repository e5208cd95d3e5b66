#include "mir.h"

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
	struct mir_entry entry;
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
	mir_change_fn fn;
	void *arg;
};

/*
 * writes is sorted by seq for binary search. A later write of the same row
 * clears the node of the earlier element; cleared elements are removed when
 * they are more than half of all.
 */
struct mir {
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
	struct subscriber subscribers[MIR_SUBSCRIBERS_MAX];
	size_t subscriber_count;
	const struct row *changed_row; /* NULL while no subscriber is called */
	struct row_set previous_set; /* of changed_row; version 0 if new */
	uint64_t complete_seq; /* all writes up to this one are held */
};

/* Returns an empty replica, NULL if memory is exhausted. */
struct mir *mir_create(void)
{
	return calloc(1, sizeof(struct mir));
}

static void free_node(struct entry_node *node)
{
	free(node->row);
	free(node->member);
	free(node->entry.value);
	free(node);
}

/* Frees the replica and all its rows; NULL is allowed. */
void mir_destroy(struct mir *mirror)
{
	struct entry_node *node;
	struct entry_node *next;

	if (!mirror)
		return;
	node = mirror->nodes;
	HASH_CLEAR(hh, mirror->rows);
	HASH_CLEAR(hh, mirror->members);
	HASH_CLEAR(hh, mirror->nodes);
	for (; node; node = next) {
		next = node->hh.next;
		free_node(node);
	}
	free(mirror->row_list);
	free(mirror->member_list);
	free(mirror->writes);
	free(mirror);
}

/* Adds a subscriber; false if there are MIR_SUBSCRIBERS_MAX already. */
bool mir_subscribe(struct mir *mirror, mir_change_fn fn, void *arg)
{
	if (mirror->subscriber_count == MIR_SUBSCRIBERS_MAX)
		return false;
	mirror->subscribers[mirror->subscriber_count++] =
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

static void compact_writes(struct mir *mirror)
{
	size_t kept = 0;

	for (size_t i = 0; i < mirror->write_count; i++) {
		if (mirror->writes[i].node)
			mirror->writes[kept++] = mirror->writes[i];
	}
	mirror->write_count = kept;
	mirror->cleared_writes = 0;
}

/* Returns the index of the first write after the sequence number seq. */
static size_t find_write(const struct mir *mirror, uint64_t seq)
{
	size_t low = 0;
	size_t high = mirror->write_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (mirror->writes[middle].seq <= seq)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void insert_write(struct mir *mirror, struct entry_node *node)
{
	size_t index = find_write(mirror, node->entry.seq);

	memmove(&mirror->writes[index + 1], &mirror->writes[index],
		(mirror->write_count - index) * sizeof(*mirror->writes));
	mirror->writes[index] =
		(struct write){ .seq = node->entry.seq, .node = node };
	mirror->write_count++;
}

static void remove_write(struct mir *mirror, const struct entry_node *node)
{
	size_t index = find_write(mirror, node->entry.seq);

	while (index > 0 && mirror->writes[index - 1].node != node)
		index--;
	if (index == 0)
		return;
	mirror->writes[index - 1].node = NULL;
	if (++mirror->cleared_writes * 2 > mirror->write_count)
		compact_writes(mirror);
}

static bool reserve_capacity(struct mir *mirror)
{
	struct write *writes = grow(mirror->writes, &mirror->write_capacity,
				    mirror->write_count, sizeof(*writes));
	struct row_node **rows;
	struct member_node **members;

	if (!writes)
		return false;
	mirror->writes = writes;
	rows = grow(mirror->row_list, &mirror->row_capacity,
		    HASH_COUNT(mirror->rows), sizeof(struct row_node *));
	if (!rows)
		return false;
	mirror->row_list = rows;
	members =
		grow(mirror->member_list, &mirror->member_capacity,
		     HASH_COUNT(mirror->members), sizeof(struct member_node *));
	if (!members)
		return false;
	mirror->member_list = members;
	return true;
}

/* Result of parse_entry(). */
struct parsed {
	bool is_row;
	bool is_member;
	struct row row;
	struct member member;
};

static bool check_key(const struct mir_entry *entry, const char *expected_key,
		      struct err *err)
{
	if (!strcmp(entry->key, expected_key))
		return true;
	return err_set(err, ERR_ROWS, ROW_BAD_KEY,
		       "key %s contains the row of key %s", entry->key,
		       expected_key);
}

static bool check_json(const struct mir_entry *entry, struct err *err)
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
static bool parse_entry(const struct mir_entry *entry, struct parsed *parsed,
			struct err *err)
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

static bool index_row(struct mir *mirror, struct entry_node *node,
		      const struct row *row)
{
	node->row = calloc(1, sizeof(*node->row));
	if (!node->row)
		return false;
	node->row->row = *row;
	HASH_ADD(hh, mirror->rows, row.part, sizeof(node->row->row.part),
		 node->row);
	if (!node->row->hh.tbl)
		return false;
	mirror->row_list[HASH_COUNT(mirror->rows) - 1] = node->row;
	return true;
}

static bool index_member(struct mir *mirror, struct entry_node *node,
			 const struct member *member)
{
	node->member = calloc(1, sizeof(*node->member));
	if (!node->member)
		return false;
	node->member->member = *member;
	HASH_ADD(hh, mirror->members, member.proc.instance,
		 sizeof(node->member->member.proc.instance), node->member);
	if (!node->member->hh.tbl)
		return false;
	mirror->member_list[HASH_COUNT(mirror->members) - 1] = node->member;
	return true;
}

/* Adds an entry without a value; NULL if memory is exhausted. */
static struct entry_node *add_node(struct mir *mirror,
				   const struct mir_entry *entry,
				   const struct parsed *parsed)
{
	struct entry_node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	memcpy(node->entry.key, entry->key, sizeof(node->entry.key));
	HASH_ADD_STR(mirror->nodes, entry.key, node);
	if (!node->hh.tbl) {
		free_node(node);
		return NULL;
	}
	if ((parsed->is_row && !index_row(mirror, node, &parsed->row)) ||
	    (parsed->is_member &&
	     !index_member(mirror, node, &parsed->member))) {
		HASH_DEL(mirror->nodes, node);
		free_node(node);
		return NULL;
	}
	return node;
}

static void update_index(struct mir *mirror, struct entry_node *node,
			 const struct parsed *parsed)
{
	if (parsed->is_row && node->row) {
		mirror->previous_set = node->row->row.set;
		node->row->row = parsed->row;
	}
	if (parsed->is_member)
		node->member->member = parsed->member;
}

static bool store_entry(struct mir *mirror, struct entry_node *existing,
			const struct mir_entry *entry,
			const struct parsed *parsed, struct entry_node **stored)
{
	char *value = strdup(entry->value);
	struct entry_node *node = existing;

	if (!value)
		return false;
	if (reserve_capacity(mirror) && !existing)
		node = add_node(mirror, entry, parsed);
	if (!node || mirror->write_count == mirror->write_capacity) {
		free(value);
		return false;
	}
	if (existing) {
		remove_write(mirror, node);
		update_index(mirror, node, parsed);
	}
	free(node->entry.value);
	node->entry.value = value;
	node->entry.version = entry->version;
	node->entry.seq = entry->seq;
	insert_write(mirror, node);
	*stored = node;
	return true;
}

static void notify_subscribers(struct mir *mirror,
			       const struct entry_node *node)
{
	mirror->changed_row = node->row ? &node->row->row : NULL;
	for (size_t i = 0; i < mirror->subscriber_count; i++)
		mirror->subscribers[i].fn(mirror->subscribers[i].arg,
					  &node->entry);
	mirror->changed_row = NULL;
}

/* Parses the row first, so that an error leaves the replica unchanged. */
enum mir_result mir_apply(struct mir *mirror, const struct mir_entry *entry,
			  struct err *err)
{
	struct parsed parsed = { 0 };
	struct entry_node *node = NULL;

	if (memchr(entry->key, 0, sizeof(entry->key)))
		HASH_FIND_STR(mirror->nodes, entry->key, node);
	if (node && entry->version <= node->entry.version)
		return MIR_OLD;
	if (!parse_entry(entry, &parsed, err))
		return MIR_INVALID;
	mirror->previous_set =
		node && node->row ? node->row->row.set : (struct row_set){ 0 };
	if (!store_entry(mirror, node, entry, &parsed, &node)) {
		err_set(err, ERR_ROWS, ROW_NO_MEMORY,
			"out of memory for row %s", entry->key);
		return MIR_INVALID;
	}
	notify_subscribers(mirror, node);
	return MIR_NEW;
}

/* Saves the subscribers that compare both sets a copy of each row. */
const struct row *mir_changed_row(const struct mir *mirror,
				  const struct row_set **previous_set)
{
	*previous_set = mirror->changed_row && mirror->previous_set.version ?
				&mirror->previous_set :
				NULL;
	return mirror->changed_row;
}

/* Returns the sequence number up to which all writes are held. */
uint64_t mir_complete(const struct mir *mirror)
{
	return mirror->complete_seq;
}

/* Ignores a lower number, as replies may arrive out of order. */
void mir_set_complete(struct mir *mirror, uint64_t seq)
{
	if (seq > mirror->complete_seq)
		mirror->complete_seq = seq;
}

/* Finds the start by binary search and skips cleared elements. */
size_t mir_since(const struct mir *mirror, uint64_t seq,
		 const struct mir_entry **out, size_t max)
{
	size_t count = 0;

	for (size_t i = find_write(mirror, seq);
	     i < mirror->write_count && count < max; i++) {
		if (mirror->writes[i].node)
			out[count++] = &mirror->writes[i].node->entry;
	}
	return count;
}

/* Returns the row of a key, NULL if there is none. */
const struct mir_entry *mir_get(const struct mir *mirror, const char *key)
{
	struct entry_node *node;

	HASH_FIND_STR(mirror->nodes, key, node);
	return node ? &node->entry : NULL;
}

/* Returns the assignment row of a partition, NULL if there is none. */
const struct row *mir_row(const struct mir *mirror, uint64_t part)
{
	struct row_node *node;

	HASH_FIND(hh, mirror->rows, &part, sizeof(part), node);
	return node ? &node->row : NULL;
}

/* Returns the member of an instance, NULL if there is none. */
const struct member *mir_member(const struct mir *mirror, uint32_t instance)
{
	struct member_node *node;

	HASH_FIND(hh, mirror->members, &instance, sizeof(instance), node);
	return node ? &node->member : NULL;
}

/* Returns the next member in order of arrival, NULL after the last. */
const struct member *mir_next_member(const struct mir *mirror, size_t *pos)
{
	if (*pos >= HASH_COUNT(mirror->members))
		return NULL;
	return &mirror->member_list[(*pos)++]->member;
}

/* Returns the next assignment row in order of arrival, NULL after the last. */
const struct row *mir_next_row(const struct mir *mirror, size_t *pos)
{
	if (*pos >= HASH_COUNT(mirror->rows))
		return NULL;
	return &mirror->row_list[(*pos)++]->row;
}

/* Returns the number of members, including those in state MEMBER_GONE. */
size_t mir_member_count(const struct mir *mirror)
{
	return HASH_COUNT(mirror->members);
}
