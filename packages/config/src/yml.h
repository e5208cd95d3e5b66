#ifndef YML_H
#define YML_H

/*
 * Reader of YAML documents by tables of fields, shared by settings and
 * manifests. Every error names file, line, field and what is allowed. Aliases,
 * anchors, tags, further documents and deep nesting are refused, as no writer
 * of these files needs them and they can make a small file very large.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <yaml.h>

#include "err.h"

#define YML_DEPTH_MAX 16
#define YML_PATH_MAX 96

enum yml_fault {
	YML_UNREADABLE,
	YML_TOO_LARGE,
	YML_SYNTAX,
	YML_UNKNOWN,
	YML_MISSING,
	YML_BAD,
	YML_DUPLICATE,
	YML_NO_GROUP,
	YML_FAULTS
};

/* How the errors of one kind of file are reported. */
struct yml_layer {
	enum err_layer layer;
	int codes[YML_FAULTS];
	size_t bytes_max;
};

struct yml {
	const char *name; /* of the file */
	const struct yml_layer *layer;
	struct err *err;
	void *arg; /* for the functions of the fields */
	yaml_document_t doc;
	char path[YML_PATH_MAX]; /* of the field that is being read */
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
	YML_CHOICE, /* an enum of the positions in choices */
	YML_MAP, /* fields below */
	YML_CUSTOM /* read() gets the whole struct */
};

/* One field of a mapping; a table ends with a field without a name. */
struct yml_field {
	const char *name;
	enum yml_type type;
	bool required;
	size_t offset; /* in the struct that is filled */
	uint64_t min, max; /* of a number */
	size_t size; /* of a text with its NUL */
	bool (*valid)(const char *text); /* of a text, may be NULL */
	const char *allowed; /* of a text, for messages */
	const char *const *choices; /* ended by NULL */
	const struct yml_field *fields;
	yml_read_fn read;
};

/* Parses a text; yml_close() must follow a true. */
bool yml_open(struct yml *y, const char *text, size_t len);
void yml_close(struct yml *y);

/* Returns the text of a file, which the caller frees; NULL after an error. */
char *yml_read_file(const char *path, const struct yml_layer *layer,
		    size_t *len, struct err *err);

/* Reports an error at a node. Always returns false. */
bool yml_fail(const struct yml *y, const yaml_node_t *node,
	      enum yml_fault fault, const char *allowed, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* The same for a field below the one that is being read. */
bool yml_fail_field(struct yml *y, const yaml_node_t *map, const char *field,
		    enum yml_fault fault, const char *allowed,
		    const char *reason);

/* Reads a mapping into a struct, in the order of the table. */
bool yml_read_map(struct yml *y, const yaml_node_t *node,
		  const struct yml_field *fields, void *out);

/* Reads the value of one field. */
bool yml_read_field(struct yml *y, const yaml_node_t *node,
		    const struct yml_field *f, void *out);

/* Calls fn for each item of a list of min to max items. */
bool yml_read_list(struct yml *y, const yaml_node_t *node, size_t min,
		   size_t max, yml_item_fn fn, void *out);

/* Returns the number of items of a list, 0 for anything else. */
size_t yml_count(const yaml_node_t *node);

/* Reads a text; size is that of out. */
bool yml_read_text(const struct yml *y, const yaml_node_t *node, char *out,
		   size_t size, bool (*valid)(const char *),
		   const char *allowed);

/* True for 1 or more of the characters a-z A-Z 0-9 . _ - */
bool yml_is_name(const char *text);
#define YML_NAME_ALLOWED "1 to 31 of a-z A-Z 0-9 . _ -"

/* True for an IPv4 or IPv6 address. */
bool yml_is_address(const char *text);

#endif
