#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "dedup.h"

#define START_MS 1700000000000
#define PART 7

struct fixture {
	struct dedup *dedup;
	uint64_t now_ms;
	uint32_t next;
	char body[DEDUP_BODY_MAX];
	uint32_t body_len;
};

static void make_id(const struct fixture *f, uint32_t n, char id[DEDUP_ID_MAX])
{
	snprintf(id, DEDUP_ID_MAX, "%llu-%08x-0000-4000-8000-00000000",
		 (unsigned long long)f->now_ms, n);
}

/* A request that is new, runs and ends. */
static void run_request(void *arg)
{
	struct fixture *f = arg;
	struct dedup_response r = { .status = 200,
				    .content_type = "application/json",
				    .body_len = f->body_len,
				    .body = f->body };
	char id[DEDUP_ID_MAX];
	uint32_t handle;

	make_id(f, f->next++, id);
	if (dedup_begin(f->dedup, PART, id, f->now_ms, &handle, &r) !=
	    DEDUP_NEW)
		abort();
	r.body_len = f->body_len;
	r.body = f->body;
	r.status = 200;
	dedup_finish(f->dedup, handle, &r);
}

static void resend_request(void *arg)
{
	struct fixture *f = arg;
	struct dedup_response r;
	char id[DEDUP_ID_MAX];
	uint32_t handle;

	make_id(f, 0, id);
	if (dedup_begin(f->dedup, PART, id, f->now_ms, &handle, &r) !=
	    DEDUP_DONE)
		abort();
}

static void tick(void *arg)
{
	struct fixture *f = arg;

	dedup_expire(f->dedup, f->now_ms);
}

/* Time and length of the JSON text that a planned move hands over. */
static void measure_export(struct slp *s, struct fixture *f, uint32_t size,
			   const char *name)
{
	double start = slp_cpu_ns();
	char *text = dedup_export(f->dedup, PART);
	double ns = slp_cpu_ns() - start;

	if (text)
		slp_add(s, name, size, ns, (double)strlen(text));
	free(text);
}

static bool measure(struct slp *s, uint32_t size, uint32_t body)
{
	struct fixture *f = calloc(1, sizeof(*f));
	size_t before;
	double start;
	double ns;

	if (!f)
		return false;
	memset(f->body, 'x', sizeof(f->body));
	f->body_len = body;
	f->now_ms = START_MS;
	before = slp_heap_bytes();
	f->dedup = dedup_create(size + 1);
	if (!f->dedup) {
		free(f);
		return false;
	}
	dedup_open(f->dedup, PART, f->now_ms);
	f->now_ms += 2 * DEDUP_SKEW_MS;
	start = slp_cpu_ns();
	for (uint32_t i = 0; i < size; i++)
		run_request(f);
	ns = (slp_cpu_ns() - start) / size;
	slp_add(s,
		body ? "dup request 256 B, remembered" :
		       "dup request, remembered",
		size, ns, (double)slp_heap_bytes() - (double)before);
	if (!body) {
		slp_add(s, "dup resend, remembered", size,
			slp_time(s, resend_request, f), SLP_NONE);
		slp_add(s, "dup tick, remembered", size, slp_time(s, tick, f),
			SLP_NONE);
	}
	measure_export(s, f, size,
		       body ? "dup export 256 B, remembered" :
			      "dup export, remembered");
	dedup_destroy(f->dedup);
	free(f);
	return true;
}

/* Windows of 100 to 100,000 requests without a body and with one. */
bool slp_dup(struct slp *s)
{
	static const uint32_t sizes[] = { 100, 1000, 10000, 100000 };
	bool ok = true;

	for (size_t i = 0; ok && i < sizeof(sizes) / sizeof(*sizes); i++) {
		if (slp_wants(s, sizes[i]))
			ok = measure(s, sizes[i], 0) &&
			     measure(s, sizes[i], 256);
	}
	return ok;
}
