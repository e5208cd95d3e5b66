#include "cluster_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 8192
/* Lines at the end of a log; a report of a sanitizer fits. */
#define LAST_LINES 60

static FILE *open_log(const struct cluster *c, size_t node)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/node%zu.log", c->dir, node);
	return fopen(path, "r");
}

/* Prints the last lines of the log of a daemon. */
void cluster_print_log_end(const struct cluster *c, size_t node)
{
	FILE *f = open_log(c, node);
	char *line = malloc(LINE_BYTES);
	size_t lines = 0;

	if (!f || !line)
		exit(99);
	while (fgets(line, LINE_BYTES, f))
		lines++;
	rewind(f);
	for (size_t i = 0; fgets(line, LINE_BYTES, f); i++) {
		if (i + LAST_LINES >= lines)
			printf("node%zu: %s", node, line);
	}
	free(line);
	fclose(f);
}

/* Prints the lines of all daemons that contain a text. */
void cluster_print_log_lines(const struct cluster *c, const char *text)
{
	char *line = malloc(LINE_BYTES);

	if (!line)
		exit(99);
	for (size_t node = 0; node < c->count; node++) {
		FILE *f = open_log(c, node);

		while (f && fgets(line, LINE_BYTES, f)) {
			if (strstr(line, text))
				printf("node%zu: %s", node, line);
		}
		if (f)
			fclose(f);
	}
	free(line);
}
