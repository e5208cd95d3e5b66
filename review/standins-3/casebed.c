#include "casebed.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_FIRST 21000
#define PORT_STEP 250
#define PORT_LAST 31000
#define TEXT_MAX 65536

static FILE *record;
static struct testbed *bed;
static uint64_t start_us;

/* True if nothing listens at a port of the loopback address. */
static bool is_free(unsigned int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	bool ok;

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return ok;
}

/* Returns the first of count free ports, 0 if there are none. */
static unsigned int find_ports(unsigned int count)
{
	for (unsigned int first = PORT_FIRST +
				  (unsigned int)getpid() % 20 * PORT_STEP;
	     first < PORT_LAST; first += PORT_STEP) {
		unsigned int n = 0;

		while (n < count && is_free(first + n))
			n++;
		if (n == count)
			return first;
	}
	return 0;
}

void casebed_create(struct testbed *s, int argc, char **argv, size_t nodes,
		    size_t keyed)
{
	unsigned int port =
		find_ports(2 + (unsigned int)nodes * TESTBED_PORTS);
	char path[4096];

	snprintf(path, sizeof(path), "%s/record.txt", argc > 1 ? argv[1] : ".");
	record = fopen(path, "w");
	if (!record || !port || !getenv("GERANIUMSPOKE_BIN")) {
		fprintf(stderr, "no record, no free ports or no programs\n");
		exit(CASEBED_NOT_RUN);
	}
	testbed_create(s, (uint16_t)port, nodes, keyed, 1);
	bed = s;
	start_us = evloop_now_us(s->loop);
	casebed_record("trouble=%d", casebed_has_trouble());
}

bool casebed_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

unsigned long long casebed_now_ms(const struct testbed *s)
{
	return (evloop_now_us(s->loop) - start_us) / US_PER_MS;
}

void casebed_record(const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	fprintf(record, "%6llu ms  %s\n", casebed_now_ms(bed), text);
	fflush(record);
	printf("%6llu ms  %s\n", casebed_now_ms(bed), text);
	fflush(stdout);
}

void casebed_change_settings(const struct testbed *s, size_t node,
			     const char *from, const char *to)
{
	char path[256], text[TEXT_MAX];
	size_t len;
	char *at;
	FILE *f;

	snprintf(path, sizeof(path), "%s/n%zu.yaml", s->folder, node);
	f = fopen(path, "r");
	len = f ? fread(text, 1, sizeof(text) - 1, f) : 0;
	if (f)
		fclose(f);
	text[len] = '\0';
	at = strstr(text, from);
	f = at ? fopen(path, "w") : NULL;
	if (!f)
		exit(CASEBED_NOT_RUN);
	fprintf(f, "%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
	fclose(f);
}

int casebed_finish(struct testbed *s, enum casebed_result result,
		   const char *why)
{
	static const char *const names[] = { "the rule held",
					     "the rule was broken",
					     "the case could not run" };

	casebed_record("%s: %s", names[result], why);
	/* The logs are kept only for a violation. */
	s->violation[0] = '\0';
	testbed_destroy(s);
	fclose(record);
	return result;
}
