#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapter_check.h"
#include "ctl.h"
#include "manifest.h"
#include "manifest_check.h"

/* No configuration of either form is longer. */
#define FILE_BYTES_MAX (16u << 20)

/* The texts of one kind, as a JSON list or printed at once. */
struct list {
	json_t *json; /* NULL: print */
	const char *prefix;
};

/* A file of either form. */
struct text {
	char *bytes; /* NULL if it cannot be read */
	size_t len;
};

static void add(void *arg, const char *text)
{
	struct list *list = arg;

	if (list->json)
		json_array_append_new(list->json, json_string(text));
	else
		printf("%s: %s\n", list->prefix, text);
}

/* Reads a file; the caller frees its bytes. */
static struct text read_text(const char *path)
{
	struct text t = { .bytes = malloc(FILE_BYTES_MAX) };
	FILE *f = fopen(path, "rb");

	if (f && t.bytes)
		t.len = fread(t.bytes, 1, FILE_BYTES_MAX, f);
	if (f)
		fclose(f);
	return t;
}

/* Reads a manifest; an error, which has file and line, is a finding. */
static struct manifest *load(const char *path, struct list *findings)
{
	struct err err = { 0 };
	struct manifest *m = manifest_load(path, &err);

	if (!m)
		add(findings, err.text);
	return m;
}

/* Checks a manifest; true if there are findings. */
static bool check_manifest(struct ctl *c, struct list *findings,
			   struct list *differences)
{
	struct manifest *new = load(c->args[0], findings);
	struct manifest *old = c->against ? load(c->against, findings) : NULL;
	struct err err = { 0 };
	bool found = !new || (c->against && !old);

	if (new &&manifest_check(new, add, findings) > 0)
		found = true;
	if (new &&old) {
		if (!manifest_may_replace(old, new, &err)) {
			add(findings, err.text);
			found = true;
		}
		manifest_compare(old, new, add, differences);
	}
	manifest_destroy(new);
	manifest_destroy(old);
	return found;
}

/* Checks a configuration in the platform's form; true if there are findings. */
static bool check_config(struct ctl *c, const struct text *new,
			 struct list *findings, struct list *differences)
{
	bool found =
		adapter_check_config(new->bytes, new->len, add, findings) > 0;
	struct text old;

	if (!c->against)
		return found;
	old = read_text(c->against);
	if (!old.bytes || !adapter_is_config(old.bytes, old.len)) {
		add(findings, "the other version cannot be read");
		found = true;
	} else if (!adapter_compare_configs(old.bytes, old.len, new->bytes,
					    new->len, add, differences)) {
		add(findings, "version: is not above that of the other one");
		found = true;
	}
	free(old.bytes);
	return found;
}

/* Returns whether a text begins like a JSON object, unlike a manifest. */
static bool is_json(const struct text *t)
{
	size_t at = 0;

	while (at < t->len && isspace((unsigned char)t->bytes[at]))
		at++;
	return at < t->len && t->bytes[at] == '{';
}

/*
 * Checks a file, and compares it with another version. A difference alone is no
 * finding, unless the new version may not replace the other one.
 */
enum ctl_exit ctl_check(struct ctl *c)
{
	json_t *root =
		c->json ? json_pack("{s:[],s:[]}", "findings", "differences") :
			  NULL;
	struct list findings = { json_object_get(root, "findings"), "finding" };
	struct list differences = { json_object_get(root, "differences"),
				    "difference" };
	struct text new = read_text(c->args[0]);
	bool found;

	if (new.bytes && is_json(&new))
		found = check_config(c, &new, &findings, &differences);
	else
		found = check_manifest(c, &findings, &differences);
	free(new.bytes);
	if (root) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	} else if (!found) {
		printf("no findings\n");
	}
	json_decref(root);
	return found ? CTL_EXIT_REFUSED : CTL_EXIT_DONE;
}
