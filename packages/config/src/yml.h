#ifndef YML_H
#define YML_H

/*
 * Table-driven reader of YAML documents for settings and manifests. Each error
 * message has the file, line and field and says what is allowed. Aliases,
 * anchors, tags, multiple documents and deep nesting are rejected: these files
 * do not need them, and they let a small file expand to a very large document.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <yaml.h>

#include "err.h"

#define YML_DEPTH_MAX 16
#define YML_PATH_MAX 96

enum yml_error {
	YML_UNREADABLE,
	YML_TOO_LARGE,
	YML_SYNTAX,
	YML_UNKNOWN_FIELD,
	YML_MISSING_FIELD,
	YML_BAD_VALUE,
	YML_DUPLICATE,
	YML_UNKNOWN_GROUP,
	YML_ERROR_COUNT
};

/* The size limit and error codes of one type of file. */
struct yml_file_type {
	enum err_layer layer;
	int codes[YML_ERROR_COUNT];
	size_t bytes_max;
};

struct yml {
	const char *name; /* file name */
	const struct yml_file_type *layer;
	struct err *err;
	void *arg; /* for the read functions of fields and items */
	yaml_document_t doc;
	char path[YML_PATH_MAX]; /* of the current field */
};

typedef bool (*yml_read_fn)(struct yml *y, const yaml_node_t *node, void *out);
typedef bool (*yml_item_fn)(struct yml *y, const yaml_node_t *node, size_t i,
			    void *out);

enum yml_type {
	YML_U16,
	YML_U32,
	YML_U64,
	YML_BOOL,
	YML_TEXT,
	YML_CHOICE, /* an enum whose values index choices */
	YML_MAP, /* a nested mapping */
	YML_CUSTOM /* read() gets the enclosing struct */
};

/* One field of a mapping; a table ends with an entry whose name is NULL. */
struct yml_field {
	const char *name;
	enum yml_type type;
	bool required;
	size_t offset; /* in the target struct */
	uint64_t min, max; /* range of a number */
	size_t size; /* of a string buffer in bytes, with the NUL */
	bool (*valid)(const char *text); /* checks a string, may be NULL */
	const char *allowed; /* valid strings, for error messages */
	const char *const *choices; /* NULL-terminated */
	const struct yml_field *fields;
	yml_read_fn read;
};

/*
 * Parses a document of len bytes. On success the caller frees the document with
 * yml_close().
 */
bool yml_open(struct yml *y, const char *text, size_t len);
void yml_close(struct yml *y);

/*
 * Reads a file into a new buffer, which the caller frees, and sets *len to its
 * size in bytes. Returns NULL on error.
 */
char *yml_read_file(const char *path, const struct yml_file_type *file_type,
		    size_t *len, struct err *err);

/* Reports an error at the line of a node. Always returns false. */
bool yml_fail(const struct yml *y, const yaml_node_t *node,
	      enum yml_error error, const char *allowed, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* Same as yml_fail() for a field of the mapping. Always returns false. */
bool yml_fail_field(struct yml *y, const yaml_node_t *map, const char *field,
		    enum yml_error error, const char *allowed,
		    const char *reason);

/*
 * Reads a mapping into a struct, in the order of the table. Unknown, repeated
 * and missing required fields are errors.
 */
bool yml_read_map(struct yml *y, const yaml_node_t *node,
		  const struct yml_field *fields, void *out);

/* Reads the value of one field into the struct at out. */
bool yml_read_field(struct yml *y, const yaml_node_t *node,
		    const struct yml_field *f, void *out);

/*
 * Calls fn for each item of a list until it returns false. A list with fewer
 * than min or more than max items is an error.
 */
bool yml_read_list(struct yml *y, const yaml_node_t *node, size_t min,
		   size_t max, yml_item_fn fn, void *out);

/* Returns the number of items of a list, 0 for other nodes. */
size_t yml_count(const yaml_node_t *node);

/*
 * Returns a string of the document, NULL and an error for other nodes and for
 * one that is not valid.
 */
const char *yml_get_text(const struct yml *y, const yaml_node_t *node,
			 bool (*valid)(const char *), const char *allowed);

/* Reads a string into a buffer of size bytes, with a NUL. */
bool yml_read_text(const struct yml *y, const yaml_node_t *node, char *out,
		   size_t size, bool (*valid)(const char *),
		   const char *allowed);

/* Returns true for 1 or more of the characters a-z A-Z 0-9 . _ - */
bool yml_is_name(const char *text);
#define YML_NAME_ALLOWED "1 to 31 of a-z A-Z 0-9 . _ -"

/* Returns true for an IPv4 or IPv6 address. */
bool yml_is_address(const char *text);

#endif
