#include "jrn.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define US_PER_SECOND 1000000LL
#define NS_PER_US 1000

struct jrn {
	int fd; /* -1 writes nothing */
	char *instance;
	uint64_t incarnation;
};

/* Opens the file in append mode. */
struct jrn *jrn_open(const char *path, const char *instance,
		     uint64_t incarnation)
{
	struct jrn *j = calloc(1, sizeof(*j));

	if (!j)
		return NULL;
	j->fd = -1;
	j->incarnation = incarnation;
	j->instance = strdup(instance);
	if (path)
		j->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			     0644);
	if (j->instance && (!path || j->fd >= 0))
		return j;
	free(j->instance);
	free(j);
	return NULL;
}

/* Closes the file; NULL is ignored. */
void jrn_close(struct jrn *j)
{
	if (!j)
		return;
	if (j->fd >= 0)
		close(j->fd);
	free(j->instance);
	free(j);
}

/* The time of all processes of a machine, since lines of several are merged. */
static json_int_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * US_PER_SECOND + ts.tv_nsec / NS_PER_US;
}

/* The incarnation is text, since 64 bits do not fit a JSON number. */
static json_t *pack_entry(const struct jrn *j, const struct jrn_entry *e)
{
	char incarnation[32];

	snprintf(incarnation, sizeof(incarnation), "%llu",
		 (unsigned long long)j->incarnation);
	return json_pack("{s:I,s:s,s:s,s:s,s:I,s:I,s:s,s:s,s:s,s:I,s:s*}",
			 "time", now_us(), "event", e->event, "instance",
			 j->instance, "incarnation", incarnation, "partition",
			 (json_int_t)e->partition, "fence",
			 (json_int_t)e->fence, "method", e->method, "path",
			 e->path, "key", e->key, "number",
			 (json_int_t)e->number, "how", e->how);
}

/* Writes one line by one write. */
bool jrn_write(struct jrn *j, const struct jrn_entry *e)
{
	json_t *json;
	char *text;
	char *line;
	size_t len;
	bool ok = false;

	if (j->fd < 0)
		return true;
	json = pack_entry(j, e);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	json_decref(json);
	len = text ? strlen(text) : 0;
	line = text ? realloc(text, len + 2) : NULL;
	if (line) {
		line[len] = '\n';
		ok = write(j->fd, line, len + 1) == (ssize_t)(len + 1);
	}
	free(line ? line : text);
	return ok;
}
