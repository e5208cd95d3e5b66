#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "manifest.h"

#define KINDS 4
#define SERVICE_BYTES 2048 /* more than one service takes in the text */

static const char service_text[] =
	"  - id: %u\n"
	"    name: service-%02u\n"
	"    partitions: 1024\n"
	"    checks_fences: true\n"
	"    policy: {weigh: churn, imbalance_tolerance_pct: 25, "
	"moves_per_minute: 10}\n"
	"    kinds:\n";

static const char kind_text[] = "      - name: kind-%u\n"
				"        method: GET\n"
				"        path: /service-%02u/kind-%u/{key}\n"
				"        idempotent: true\n"
				"        deadline_ms: 1000\n"
				"        share_pct: 25\n"
				"        queue: 64\n"
				"        callers: [all]\n";

/* Writes a manifest of services with KINDS kinds each; freed by the caller. */
static char *make_text(uint32_t services, size_t *len)
{
	size_t size = (size_t)(services + 1) * SERVICE_BYTES;
	char *text = malloc(size);
	size_t n;

	if (!text)
		return NULL;
	n = (size_t)snprintf(text, size,
			     "format: 1\nversion: 1\ncallers:\n"
			     "  - name: all\n"
			     "    networks: [10.0.0.0/8]\n"
			     "services:\n");
	for (uint32_t i = 1; i <= services; i++) {
		n += (size_t)snprintf(text + n, size - n, service_text, i, i);
		for (uint32_t k = 0; k < KINDS; k++)
			n += (size_t)snprintf(text + n, size - n, kind_text, k,
					      i, k);
	}
	*len = n;
	return text;
}

struct fixture {
	char *text;
	size_t len;
	struct manifest *man;
	char path[64];
	bool failed;
};

static void parse(void *arg)
{
	struct fixture *f = arg;
	struct manifest *m = manifest_parse("slopes", f->text, f->len, NULL);

	f->failed |= !m;
	manifest_destroy(m);
}

static void match(void *arg)
{
	struct fixture *f = arg;
	struct manifest_request req = { .method = "GET", .path = f->path };
	struct manifest_match out;

	f->failed |= manifest_match(f->man, &req, &out) != MANIFEST_MATCH;
}

static bool measure(struct slp *s, uint32_t services)
{
	struct fixture f = { 0 };
	size_t before;
	size_t bytes;

	f.text = make_text(services, &f.len);
	if (!f.text)
		return false;
	before = slp_heap_bytes();
	f.man = manifest_parse("slopes", f.text, f.len, NULL);
	bytes = slp_heap_bytes() - before;
	snprintf(f.path, sizeof(f.path), "/service-%02u/kind-%u/client-17",
		 services, KINDS - 1);
	if (f.man) {
		slp_add(s, "man parse, services", services,
			slp_time(s, parse, &f), (double)bytes);
		slp_add(s, "man text, services", services, SLP_NONE,
			(double)f.len);
		slp_add(s, "man match last, services", services,
			slp_time(s, match, &f), SLP_NONE);
	}
	f.failed |= !f.man;
	manifest_destroy(f.man);
	free(f.text);
	return !f.failed;
}

/* Manifests of 1 to 64 services. */
bool slp_config(struct slp *s)
{
	static const uint32_t sizes[] = { 1, 4, 16, 64 };
	bool ok = true;

	for (int i = 0; ok && i < 4; i++) {
		if (slp_wants(s, sizes[i]))
			ok = measure(s, sizes[i]);
	}
	return ok;
}
