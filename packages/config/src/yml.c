#include "yml.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Longer file names are truncated at the front, so that the field and the range
 * always fit into an error message.
 */
#define NAME_SHOWN_MAX 64
#define REASON_MAX 96

static const char *shown_name(const char *name)
{
	size_t n = strlen(name);

	return n > NAME_SHOWN_MAX ? name + n - NAME_SHOWN_MAX : name;
}

/* Reports an error at a line, with the file, field and range. */
static bool fail_line(const struct yml *y, size_t line, enum yml_error error,
		      const char *allowed, const char *reason)
{
	return err_set(y->err, y->layer->layer, y->layer->codes[error],
		       "%s:%zu: %s: %s (allowed: %s)", shown_name(y->name),
		       line, y->path[0] ? y->path : "document", reason,
		       allowed);
}

bool yml_fail(const struct yml *y, const yaml_node_t *node,
	      enum yml_error error, const char *allowed, const char *fmt, ...)
{
	char reason[REASON_MAX];
	va_list args;

	va_start(args, fmt);
	vsnprintf(reason, sizeof(reason), fmt, args);
	va_end(args);
	return fail_line(y, node ? node->start_mark.line + 1 : 1, error,
			 allowed, reason);
}

/* Checks one parser event for unsupported YAML features. */
static bool check_event(const struct yml *y, const yaml_event_t *e, int *depth,
			int *documents)
{
	size_t line = e->start_mark.line + 1;
	bool has_properties = false;

	switch (e->type) {
	case YAML_ALIAS_EVENT:
		return fail_line(y, line, YML_SYNTAX, "plain values",
				 "aliases are not accepted");
	case YAML_DOCUMENT_START_EVENT:
		if (++*documents > 1)
			return fail_line(y, line, YML_SYNTAX, "one document",
					 "more than one document");
		return true;
	case YAML_SEQUENCE_START_EVENT:
		has_properties = e->data.sequence_start.anchor ||
				 e->data.sequence_start.tag;
		++*depth;
		break;
	case YAML_MAPPING_START_EVENT:
		has_properties = e->data.mapping_start.anchor ||
				 e->data.mapping_start.tag;
		++*depth;
		break;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		--*depth;
		return true;
	case YAML_SCALAR_EVENT:
		has_properties = e->data.scalar.anchor || e->data.scalar.tag;
		break;
	default:
		return true;
	}
	if (has_properties)
		return fail_line(y, line, YML_SYNTAX, "plain values",
				 "anchors and tags are not accepted");
	if (*depth > YML_DEPTH_MAX)
		return fail_line(y, line, YML_SYNTAX, "16 levels",
				 "nested too deeply");
	return true;
}

/* Reports an error of libyaml. */
static bool fail_parser(const struct yml *y, const yaml_parser_t *p)
{
	char reason[REASON_MAX];

	if (p->error == YAML_MEMORY_ERROR)
		return fail_line(y, 1, YML_UNREADABLE, "a smaller file",
				 "memory is exhausted");
	snprintf(reason, sizeof(reason), "%s",
		 p->problem ? p->problem : "cannot be parsed");
	return fail_line(y, p->problem_mark.line + 1, YML_SYNTAX, "YAML 1.1",
			 reason);
}

/* Checks all events of the stream. */
static bool check_events(const struct yml *y, yaml_parser_t *p)
{
	int depth = 0, documents = 0;
	yaml_event_t e;
	bool ok, end = false;

	while (!end) {
		if (!yaml_parser_parse(p, &e))
			return fail_parser(y, p);
		ok = check_event(y, &e, &depth, &documents);
		end = e.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&e);
		if (!ok)
			return false;
	}
	if (documents == 0)
		return fail_line(y, 1, YML_SYNTAX, "one document",
				 "there is no document");
	return true;
}

/* Runs one pass with a new parser: loads the document or checks the events. */
static bool run_parser(struct yml *y, const char *text, size_t len, bool load)
{
	yaml_parser_t p;
	bool ok;

	if (!yaml_parser_initialize(&p))
		return fail_line(y, 1, YML_UNREADABLE, "a smaller file",
				 "memory is exhausted");
	yaml_parser_set_input_string(&p, (const unsigned char *)text, len);
	if (load) {
		ok = yaml_parser_load(&p, &y->doc);
		if (!ok)
			fail_parser(y, &p);
	} else {
		ok = check_events(y, &p);
	}
	yaml_parser_delete(&p);
	return ok;
}

/* Checks the events first, so that no document is built from hostile input. */
bool yml_open(struct yml *y, const char *text, size_t len)
{
	char allowed[48];

	y->path[0] = '\0';
	if (len > y->layer->bytes_max) {
		snprintf(allowed, sizeof(allowed), "up to %zu bytes",
			 y->layer->bytes_max);
		return fail_line(y, 1, YML_TOO_LARGE, allowed,
				 "the file is too large");
	}
	return run_parser(y, text, len, false) &&
	       run_parser(y, text, len, true);
}

void yml_close(struct yml *y)
{
	yaml_document_delete(&y->doc);
}

/* Reads at most one byte over the limit, which makes yml_open() reject it. */
char *yml_read_file(const char *path, const struct yml_file_type *file_type,
		    size_t *len, struct err *err)
{
	struct yml y = { .name = path, .layer = file_type, .err = err };
	char *text = malloc(file_type->bytes_max + 1);
	FILE *f = fopen(path, "rb");
	bool ok = f && text;

	if (ok) {
		*len = fread(text, 1, file_type->bytes_max + 1, f);
		ok = !ferror(f);
	}
	if (!ok) {
		fail_line(&y, 0, YML_UNREADABLE, "a readable file",
			  text ? strerror(errno) : "memory is exhausted");
		free(text);
		text = NULL;
	}
	if (f)
		fclose(f);
	return text;
}
