#include "attempts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ATTEMPTS_MAX 65536

struct attempt {
	uint64_t sent_us; /* wall clock, as in the journal */
	char id[64];
	char outcome[24];
};

struct attempts {
	struct cluster *cluster;
	size_t count;
	struct attempt list[ATTEMPTS_MAX];
};

/* Makes an empty list. */
struct attempts *attempts_create(struct cluster *c)
{
	struct attempts *a = calloc(1, sizeof(*a));

	if (!a)
		exit(99);
	a->cluster = c;
	return a;
}

/* Frees the list. */
void attempts_destroy(struct attempts *a)
{
	free(a);
}

/* Microseconds of the wall clock, as the journal has them. */
static uint64_t wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* Sends a request and keeps what was answered. */
void attempts_post(struct attempts *a, size_t node, const char *path,
		   const char *id, unsigned int timeout_ms, struct reply *r)
{
	struct attempt *t = &a->list[a->count];

	if (a->count == ATTEMPTS_MAX) {
		fprintf(stderr, "more than %d attempts\n", ATTEMPTS_MAX);
		exit(99);
	}
	a->count++;
	t->sent_us = wall_us();
	snprintf(t->id, sizeof(t->id), "%s", id);
	cluster_request(a->cluster, node, "POST", path, id, "{}", timeout_ms,
			r);
	snprintf(t->outcome, sizeof(t->outcome), "%s", r->outcome);
}

static bool says_not_run(const struct attempt *t)
{
	return strcmp(t->outcome, "not-run") == 0 ||
	       strcmp(t->outcome, "shed") == 0 ||
	       strcmp(t->outcome, "invalid") == 0 ||
	       strcmp(t->outcome, "forbidden") == 0 ||
	       strcmp(t->outcome, "quarantined") == 0;
}

/* Time at which the next attempt with the same id was sent. */
static uint64_t next_sent(const struct attempts *a, size_t i)
{
	for (size_t j = i + 1; j < a->count; j++) {
		if (strcmp(a->list[j].id, a->list[i].id) == 0)
			return a->list[j].sent_us;
	}
	return UINT64_MAX;
}

/* Looks for a start of the request between an attempt and the next one. */
static bool did_start(const struct entry *entries, size_t count,
		      const struct attempt *t, uint64_t until_us)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(entries[i].event, "start") == 0 &&
		    entries[i].at_us >= t->sent_us &&
		    entries[i].at_us < until_us &&
		    strcmp(entries[i].key, t->id) == 0)
			return true;
	}
	return false;
}

/* Compares each answer that denies a run with the journal. */
size_t attempts_check(const struct attempts *a, const char *service)
{
	struct entry *entries;
	size_t count = cluster_journal(a->cluster, service, &entries);
	size_t judged = 0;
	size_t violations = 0;

	for (size_t i = 0; i < a->count; i++) {
		const struct attempt *t = &a->list[i];

		if (!says_not_run(t))
			continue;
		judged++;
		if (!did_start(entries, count, t, next_sent(a, i)))
			continue;
		printf("request %s was answered %s and ran\n", t->id,
		       t->outcome);
		violations++;
	}
	printf("%s: %zu attempts, %zu answers deny a run, %zu are wrong\n",
	       service, a->count, judged, violations);
	free(entries);
	return violations;
}

/* Counts the attempts with an outcome. */
size_t attempts_count(const struct attempts *a, const char *outcome)
{
	size_t count = 0;

	for (size_t i = 0; i < a->count; i++)
		count += strcmp(a->list[i].outcome, outcome) == 0;
	return count;
}

/* Counts the starts of an id. */
size_t attempts_runs(struct cluster *c, const char *service, const char *id)
{
	struct entry *entries;
	size_t count = cluster_journal(c, service, &entries);
	size_t runs = 0;

	for (size_t i = 0; i < count; i++)
		runs += strcmp(entries[i].event, "start") == 0 &&
			strcmp(entries[i].key, id) == 0;
	free(entries);
	return runs;
}

/* Connects to a port on loopback. */
int raw_connect(unsigned int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_addr.s_addr = inet_addr(cluster_address());
	if (fd >= 0 && connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Writes a request to a connection of its own. */
int raw_post(struct cluster *c, size_t node, const char *path, const char *id)
{
	int fd = raw_connect(cluster_http_port(c, node));
	char text[512];
	int len = snprintf(text, sizeof(text),
			   "POST %s HTTP/1.1\r\nHost: x\r\n"
			   "Idempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}",
			   path, id);

	if (fd < 0 || send(fd, text, (size_t)len, MSG_NOSIGNAL) != len) {
		fprintf(stderr, "a raw request was not sent\n");
		exit(99);
	}
	return fd;
}
