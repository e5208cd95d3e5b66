#include "mir.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A failed insertion leaves hh.tbl NULL instead of ending the process. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#define ROW_PREFIX "row/"
#define MEMBER_PREFIX "member/"

/* Smallest allocation of the arrays, in entries. */
#define LIST_MIN 64

struct row_node {
	struct row row;
	UT_hash_handle hh; /* by row.part */
};

struct member_node {
	struct member member;
	UT_hash_handle hh; /* by member.proc.instance */
};

struct node {
	struct mir_entry entry;
	UT_hash_handle hh; /* by entry.key */
	struct row_node *row; /* NULL for other kinds of rows */
	struct member_node *member; /* NULL for other kinds of rows */
};

/* One write in the order of the table; node is NULL after a later write. */
struct write {
	uint64_t seq;
	struct node *node;
};

struct subscriber {
	mir_change_fn fn;
	void *arg;
};

/*
 * writes is in ascending order of seq, for a binary search. A later write of
 * the same row leaves a hole; holes are removed when half of writes are holes.
 */
struct mir {
	struct node *nodes;
	struct row_node *rows;
	struct member_node *members;
	struct row_node **row_list; /* in order of arrival, to iterate over */
	size_t row_size;
	struct member_node **member_list;
	size_t member_size;
	struct write *writes;
	size_t write_count;
	size_t write_size;
	size_t holes;
	struct subscriber subscribers[MIR_SUBSCRIBERS_MAX];
	size_t subscriber_count;
	const struct row *changed; /* NULL outside of the calls */
	struct row_set before; /* of changed; version 0 if it is new */
	uint64_t complete;
};

/* Creates an empty mirror; NULL when memory is exhausted. */
struct mir *mir_create(void)
{
	return calloc(1, sizeof(struct mir));
}

static void node_free(struct node *node)
{
	free(node->row);
	free(node->member);
	free(node->entry.value);
	free(node);
}

/* Frees the mirror and all rows; m may be NULL. */
void mir_destroy(struct mir *m)
{
	struct node *node;
	struct node *next;

	if (!m)
		return;
	node = m->nodes;
	HASH_CLEAR(hh, m->rows);
	HASH_CLEAR(hh, m->members);
	HASH_CLEAR(hh, m->nodes);
	for (; node; node = next) {
		next = node->hh.next;
		node_free(node);
	}
	free(m->row_list);
	free(m->member_list);
	free(m->writes);
	free(m);
}

/* Adds a subscriber; false when there are MIR_SUBSCRIBERS_MAX already. */
bool mir_subscribe(struct mir *m, mir_change_fn fn, void *arg)
{
	if (m->subscriber_count == MIR_SUBSCRIBERS_MAX)
		return false;
	m->subscribers[m->subscriber_count++] =
		(struct subscriber){ .fn = fn, .arg = arg };
	return true;
}

/* Makes room for one more entry of an array; returns its new address. */
static void *grow(void *list, size_t *size, size_t count, size_t entry_bytes)
{
	size_t wanted = *size ? *size * 2 : LIST_MIN;
	void *grown;

	if (count < *size)
		return list;
	grown = reallocarray(list, wanted, entry_bytes);
	if (grown)
		*size = wanted;
	return grown;
}

static void compact_writes(struct mir *m)
{
	size_t kept = 0;

	for (size_t i = 0; i < m->write_count; i++) {
		if (m->writes[i].node)
			m->writes[kept++] = m->writes[i];
	}
	m->write_count = kept;
	m->holes = 0;
}

/* Returns the position of the first write with a number over seq. */
static size_t find_write(const struct mir *m, uint64_t seq)
{
	size_t low = 0;
	size_t high = m->write_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (m->writes[middle].seq <= seq)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void insert_write(struct mir *m, struct node *node)
{
	size_t at = find_write(m, node->entry.seq);

	memmove(&m->writes[at + 1], &m->writes[at],
		(m->write_count - at) * sizeof(*m->writes));
	m->writes[at] = (struct write){ .seq = node->entry.seq, .node = node };
	m->write_count++;
}

static void remove_write(struct mir *m, const struct node *node)
{
	size_t at = find_write(m, node->entry.seq);

	while (at > 0 && m->writes[at - 1].node != node)
		at--;
	if (at == 0)
		return;
	m->writes[at - 1].node = NULL;
	if (++m->holes * 2 > m->write_count)
		compact_writes(m);
}

static bool reserve(struct mir *m)
{
	struct write *writes = grow(m->writes, &m->write_size, m->write_count,
				    sizeof(*writes));
	struct row_node **rows;
	struct member_node **members;

	if (!writes)
		return false;
	m->writes = writes;
	rows = grow(m->row_list, &m->row_size, HASH_COUNT(m->rows),
		    sizeof(struct row_node *));
	if (!rows)
		return false;
	m->row_list = rows;
	members = grow(m->member_list, &m->member_size, HASH_COUNT(m->members),
		       sizeof(struct member_node *));
	if (!members)
		return false;
	m->member_list = members;
	return true;
}

/* A value read from an entry, before the mirror is changed. */
struct parsed {
	bool is_row;
	bool is_member;
	struct row row;
	struct member member;
};

static bool check_key(const struct mir_entry *e, const char *expected,
		      struct err *err)
{
	if (!strcmp(e->key, expected))
		return true;
	return err_set(err, ERR_ROWS, ROW_BAD_KEY, "key %s holds the row of %s",
		       e->key, expected);
}

static bool parse_other(const struct mir_entry *e, struct err *err)
{
	json_error_t why;
	json_t *root = json_loads(e->value, JSON_DECODE_ANY, &why);

	if (!root)
		return err_set(err, ERR_ROWS, ROW_BAD_JSON, "%s: %s", e->key,
			       why.text);
	json_decref(root);
	return true;
}

/* Rows of kinds that this version does not know are kept and passed on. */
static bool parse(const struct mir_entry *e, struct parsed *p, struct err *err)
{
	char expected[ROW_KEY_MAX];

	if (!e->key[0] || !memchr(e->key, 0, sizeof(e->key)))
		return err_set(err, ERR_ROWS, ROW_BAD_KEY,
			       "key is empty or too long");
	if (!e->value)
		return err_set(err, ERR_ROWS, ROW_BAD_JSON, "%s: no value",
			       e->key);
	p->is_row = !strncmp(e->key, ROW_PREFIX, strlen(ROW_PREFIX));
	p->is_member = !strncmp(e->key, MEMBER_PREFIX, strlen(MEMBER_PREFIX));
	if (p->is_row) {
		if (!row_decode(e->value, &p->row, err))
			return false;
		row_key(p->row.part, expected);
		return check_key(e, expected, err);
	}
	if (p->is_member) {
		if (!member_decode(e->value, &p->member, err))
			return false;
		member_key(p->member.proc.instance, expected);
		return check_key(e, expected, err);
	}
	return parse_other(e, err);
}

static bool index_row(struct mir *m, struct node *node, const struct row *row)
{
	node->row = calloc(1, sizeof(*node->row));
	if (!node->row)
		return false;
	node->row->row = *row;
	HASH_ADD(hh, m->rows, row.part, sizeof(node->row->row.part), node->row);
	if (!node->row->hh.tbl)
		return false;
	m->row_list[HASH_COUNT(m->rows) - 1] = node->row;
	return true;
}

static bool index_member(struct mir *m, struct node *node,
			 const struct member *member)
{
	node->member = calloc(1, sizeof(*node->member));
	if (!node->member)
		return false;
	node->member->member = *member;
	HASH_ADD(hh, m->members, member.proc.instance,
		 sizeof(node->member->member.proc.instance), node->member);
	if (!node->member->hh.tbl)
		return false;
	m->member_list[HASH_COUNT(m->members) - 1] = node->member;
	return true;
}

/* Adds a node without a value; NULL when memory is exhausted. */
static struct node *add_node(struct mir *m, const struct mir_entry *e,
			     const struct parsed *p)
{
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	memcpy(node->entry.key, e->key, sizeof(node->entry.key));
	HASH_ADD_STR(m->nodes, entry.key, node);
	if (!node->hh.tbl) {
		node_free(node);
		return NULL;
	}
	if ((p->is_row && !index_row(m, node, &p->row)) ||
	    (p->is_member && !index_member(m, node, &p->member))) {
		HASH_DEL(m->nodes, node);
		node_free(node);
		return NULL;
	}
	return node;
}

static void update_node(struct mir *m, struct node *node,
			const struct parsed *p)
{
	if (p->is_row && node->row) {
		m->before = node->row->row.set;
		node->row->row = p->row;
	}
	if (p->is_member)
		node->member->member = p->member;
}

static bool store(struct mir *m, struct node *held, const struct mir_entry *e,
		  const struct parsed *p, struct node **stored)
{
	char *value = strdup(e->value);
	struct node *node = held;

	if (!value)
		return false;
	if (reserve(m) && !held)
		node = add_node(m, e, p);
	if (!node || m->write_count == m->write_size) {
		free(value);
		return false;
	}
	if (held) {
		remove_write(m, node);
		update_node(m, node, p);
	}
	free(node->entry.value);
	node->entry.value = value;
	node->entry.version = e->version;
	node->entry.seq = e->seq;
	insert_write(m, node);
	*stored = node;
	return true;
}

static void tell(struct mir *m, const struct node *node)
{
	m->changed = node->row ? &node->row->row : NULL;
	for (size_t i = 0; i < m->subscriber_count; i++)
		m->subscribers[i].fn(m->subscribers[i].arg, &node->entry);
	m->changed = NULL;
}

/* Applies a row and tells the subscribers; see mir.h. */
enum mir_result mir_apply(struct mir *m, const struct mir_entry *e,
			  struct err *err)
{
	struct parsed parsed = { 0 };
	struct node *node = NULL;

	if (memchr(e->key, 0, sizeof(e->key)))
		HASH_FIND_STR(m->nodes, e->key, node);
	if (node && e->version <= node->entry.version)
		return MIR_OLD;
	if (!parse(e, &parsed, err))
		return MIR_INVALID;
	m->before =
		node && node->row ? node->row->row.set : (struct row_set){ 0 };
	if (!store(m, node, e, &parsed, &node)) {
		err_set(err, ERR_ROWS, ROW_NO_MEMORY, "no memory for row %s",
			e->key);
		return MIR_INVALID;
	}
	tell(m, node);
	return MIR_NEW;
}

/* Spares the subscribers that need both sets a copy of each row. */
const struct row *mir_changed_row(const struct mir *m,
				  const struct row_set **before)
{
	*before = m->changed && m->before.version ? &m->before : NULL;
	return m->changed;
}

/* Returns the number that mir_set_complete() has raised. */
uint64_t mir_complete(const struct mir *m)
{
	return m->complete;
}

/* A lower number is ignored, as replies may arrive late. */
void mir_set_complete(struct mir *m, uint64_t seq)
{
	if (seq > m->complete)
		m->complete = seq;
}

/* Finds the start by binary search and skips the holes. */
size_t mir_since(const struct mir *m, uint64_t seq,
		 const struct mir_entry **out, size_t max)
{
	size_t count = 0;

	for (size_t i = find_write(m, seq); i < m->write_count && count < max;
	     i++) {
		if (m->writes[i].node)
			out[count++] = &m->writes[i].node->entry;
	}
	return count;
}

/* Returns the row of a key as text. */
const struct mir_entry *mir_get(const struct mir *m, const char *key)
{
	struct node *node;

	HASH_FIND_STR(m->nodes, key, node);
	return node ? &node->entry : NULL;
}

/* Returns the assignment row of a partition. */
const struct row *mir_row(const struct mir *m, uint64_t part)
{
	struct row_node *node;

	HASH_FIND(hh, m->rows, &part, sizeof(part), node);
	return node ? &node->row : NULL;
}

/* Returns the member of an instance. */
const struct member *mir_member(const struct mir *m, uint32_t instance)
{
	struct member_node *node;

	HASH_FIND(hh, m->members, &instance, sizeof(instance), node);
	return node ? &node->member : NULL;
}

/* Returns the members in the order in which they were learned. */
const struct member *mir_next_member(const struct mir *m, size_t *pos)
{
	if (*pos >= HASH_COUNT(m->members))
		return NULL;
	return &m->member_list[(*pos)++]->member;
}

/* Returns the assignment rows in the order in which they were learned. */
const struct row *mir_next_row(const struct mir *m, size_t *pos)
{
	if (*pos >= HASH_COUNT(m->rows))
		return NULL;
	return &m->row_list[(*pos)++]->row;
}

/* Returns the number of members in all states. */
size_t mir_member_count(const struct mir *m)
{
	return HASH_COUNT(m->members);
}
