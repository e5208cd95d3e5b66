#include "bed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tcpsock.h"

#define DAEMON "target/bin/geraniumspoked"
#define CHECK_US (10 * US_PER_MS)
/* Delay after which the platform starts a process again. */
#define START_AGAIN_US (500 * US_PER_MS)
/* Two upstreams may hold the same keys for this long. */
#define OVERLAP_MAX_US (500 * US_PER_MS)

struct pending {
	struct bed *bed;
	uint32_t number;
	uint16_t status;
	bool is_signed;
	struct buf body;
	struct httpcall *exchange;
	uint32_t leave_timer; /* the caller leaves */
};

static FILE *record_file;
static uint64_t start_us;
static uint32_t check_timer;
static uint32_t guard_mb;

uint64_t bed_now_us(const struct bed *b)
{
	return evloop_now_us(b->loop);
}

/* Xorshift; the seed is that of the case's run. */
uint32_t bed_random(struct bed *b, uint32_t bound)
{
	b->random ^= b->random << 13;
	b->random ^= b->random >> 7;
	b->random ^= b->random << 17;
	return (uint32_t)(b->random >> 16) % bound;
}

bool bed_has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static void write_line(const char *fmt, va_list args)
{
	fprintf(record_file, "%9.3f  ",
		(double)(clk_mono_us(clk_system()) - start_us) / US_PER_S);
	vfprintf(record_file, fmt, args);
	fputc('\n', record_file);
}

void bed_record(struct bed *b, const char *fmt, ...)
{
	va_list args;

	(void)b;
	va_start(args, fmt);
	write_line(fmt, args);
	va_end(args);
}

void bed_break(struct bed *b, const char *fmt, ...)
{
	char text[sizeof(b->broken)];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	bed_record(b, "BROKEN %s", text);
	if (!b->broken[0])
		snprintf(b->broken, sizeof(b->broken), "%s", text);
}

static void end_daemons(struct bed *b)
{
	for (size_t n = 0; n < b->node_count; n++) {
		if (!b->nodes[n].pid)
			continue;
		kill(b->nodes[n].pid, SIGKILL);
		waitpid(b->nodes[n].pid, NULL, 0);
		b->nodes[n].pid = 0;
	}
}

void bed_not_run(struct bed *b, const char *reason)
{
	bed_record(b, "not run: %s", reason);
	fprintf(stderr, "not run: %s\n", reason);
	end_daemons(b);
	fclose(record_file);
	exit(BED_NOT_RUN);
}

void bed_address(const struct bed *b, size_t node, enum bed_port port,
		 char *out, size_t size)
{
	snprintf(out, size, "127.0.0.1:%u",
		 (unsigned int)(b->port + node * BED_PORTS + port));
}

/* True if a port can be bound. */
static bool is_free(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	bool ok;

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = fd >= 0 && bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	     listen(fd, 1) == 0;
	close(fd);
	return ok;
}

/* Chooses consecutive free ports below those of outgoing connections. */
static void choose_ports(struct bed *b)
{
	size_t count = b->node_count * BED_PORTS;

	for (uint32_t i = 0; i < 200; i++) {
		size_t n = 0;

		b->port = (uint16_t)(12000 + bed_random(b, 18000));
		while (n < count && is_free((uint16_t)(b->port + n)))
			n++;
		if (n == count)
			return;
	}
	bed_not_run(b, "no free ports");
}

/* Writes the settings of a node as the deploy file's template has them. */
static void write_settings(const struct bed *b, size_t node)
{
	static const char *const names[BED_PORTS] = {
		"caller_address",   "peer_address",    "ready_address",
		"announce_address", "metrics_address", "upstream_address",
		"platform_address"
	};
	char path[128], address[32];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.yaml", b->folder,
		 b->nodes[node].name);
	f = fopen(path, "w");
	if (!f)
		abort();
	fprintf(f, "instance: \"%s\"\ndata_centre: \"kgn-%c\"\n",
		b->nodes[node].name, "abc"[node % 3]);
	fprintf(f, "service: \"%s\"\n", b->nodes[node].service);
	for (int p = 0; p < BED_PORTS; p++) {
		bed_address(b, node, (enum bed_port)p, address,
			    sizeof(address));
		fprintf(f, "%s: \"%s\"\n", names[p], address);
	}
	fprintf(f,
		"announce_ms: %d\nhold_max_ms: %d\ndrain_ms: %d\n"
		"grace_s: \"%d\"\nmemory_mb: 260\nlink_mbit_s: \"1000.0\"\n",
		BED_BEAT_MS, BED_HOLD_MAX_MS, BED_DRAIN_MS, BED_GRACE_S);
	fclose(f);
}

/* True if two upstreams that are up hold a common key. */
static bool hold_same(const struct bed *b, const struct bed_upstream *x,
		      const struct bed_upstream *y, struct bed_range *common)
{
	uint64_t now = evloop_now_us(b->loop);

	if (!x->up || !y->up || now >= x->hold_until_us ||
	    now >= y->hold_until_us)
		return false;
	for (size_t i = 0; i < x->hold_count; i++) {
		for (size_t k = 0; k < y->hold_count; k++) {
			const struct bed_range *p = &x->holds[i];
			const struct bed_range *q = &y->holds[k];

			if (p->first > q->last || q->first > p->last)
				continue;
			common->first = p->first > q->first ? p->first :
							      q->first;
			common->last = p->last < q->last ? p->last : q->last;
			return true;
		}
	}
	return false;
}

/* OWNER: no two upstreams hold the same keys for over half a second. */
static void check_owners(void *arg, uint64_t now_us)
{
	struct bed *b = arg;
	struct bed_range common;

	for (size_t x = 0; x < b->node_count; x++) {
		for (size_t y = x + 1; y < b->node_count; y++) {
			uint64_t *since = &b->overlap_since_us[x][y];
			const char *p = b->nodes[x].upstream.id;
			const char *q = b->nodes[y].upstream.id;

			if (!hold_same(b, &b->nodes[x].upstream,
				       &b->nodes[y].upstream, &common)) {
				if (*since)
					bed_record(b,
						   "%s and %s no longer hold "
						   "the same keys, after %llu "
						   "ms",
						   p, q,
						   (unsigned long long)(now_us -
									*since) /
							   1000);
				*since = 0;
				continue;
			}
			if (!*since) {
				*since = now_us;
				b->overlap_us[x][y] = 0;
				memset(b->overlap_runs[x][y], 0,
				       sizeof(b->overlap_runs[x][y]));
				bed_record(b, "%s and %s both hold keys %u-%u",
					   p, q, common.first, common.last);
			}
			if (now_us - *since > b->overlap_max_us)
				b->overlap_max_us = now_us - *since;
			if (b->overlap_us[x][y] == 0 &&
			    now_us - *since > OVERLAP_MAX_US) {
				b->overlap_us[x][y] = now_us - *since;
				bed_break(b,
					  "OWNER: %s and %s have both held "
					  "keys %u-%u for over 500 ms",
					  p, q, common.first, common.last);
			}
			if (b->overlap_runs[x][y][0] > 0 &&
			    b->overlap_runs[x][y][1] > 0) {
				b->overlap_both_ran++;
				bed_break(b,
					  "OWNER: %s and %s have both begun "
					  "requests on keys that both hold",
					  p, q);
				memset(b->overlap_runs[x][y], 0,
				       sizeof(b->overlap_runs[x][y]));
			}
		}
	}
}

void bed_create(struct bed *b, const char *const *services, size_t count)
{
	const char *folder = getenv("CASE_FOLDER");
	const char *seed = getenv("CASE_SEED");
	struct err err = { 0 };
	struct sockaddr_in a;
	char text[256];

	memset(b, 0, sizeof(*b));
	snprintf(text, sizeof(text), "%s/record.txt", folder ? folder : ".");
	record_file = fopen(text, "w");
	if (!record_file) {
		fprintf(stderr, "not run: cannot write %s\n", text);
		exit(BED_NOT_RUN);
	}
	start_us = clk_mono_us(clk_system());
	b->random = (seed ? strtoull(seed, NULL, 10) : (uint64_t)getpid()) *
			    UINT64_C(2654435761) +
		    1;
	for (int i = 0; i < 20; i++)
		bed_random(b, 2);
	b->node_count = count;
	b->traffic_step_ms = 20;
	b->run_max_ms = 30;
	choose_ports(b);
	snprintf(b->folder, sizeof(b->folder), "/tmp/review-XXXXXX");
	if (!mkdtemp(b->folder))
		bed_not_run(b, "no temporary folder");
	b->loop = evloop_create(clk_system(), &err);
	for (size_t n = 0; n < count; n++) {
		struct bed_node *node = &b->nodes[n];

		node->bed = b;
		node->index = n;
		snprintf(node->name, sizeof(node->name), "sidecar-kgn-%c-%zu",
			 "abc"[n % 3], n + 1);
		snprintf(node->service, sizeof(node->service), "%s",
			 services[n]);
		write_settings(b, n);
		bed_address(b, n, BED_CALLERS, text, sizeof(text));
		tcpsock_parse_address(text, &a);
		node->outbound = httppool_create(b->loop, &a, 5 * US_PER_S);
	}
	bed_store_open(b);
	check_timer = tmr_every(evloop_timers(b->loop), evloop_now_us(b->loop),
				CHECK_US, check_owners, b);
	bed_record(b, "disruption: %s", bed_has_trouble() ? "yes" : "no");
}

void bed_start_daemon(struct bed *b, size_t node)
{
	char settings[128], log[128];
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/%s.yaml", b->folder,
		 b->nodes[node].name);
	snprintf(log, sizeof(log), "%s/%s.log", b->folder,
		 b->nodes[node].name);
	pid = fork();
	if (pid < 0)
		bed_not_run(b, "cannot start a process");
	if (pid == 0) {
		if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
			_exit(127);
		for (int fd = 3; fd < 1024; fd++)
			close(fd);
		execl(DAEMON, DAEMON, "--ranges", "-s", settings, (char *)NULL);
		_exit(127);
	}
	b->nodes[node].pid = pid;
	bed_record(b, "daemon %s starts, process %d", b->nodes[node].name,
		   (int)pid);
}

void bed_signal_daemon(struct bed *b, size_t node, int signo)
{
	if (!b->nodes[node].pid)
		return;
	bed_record(b, "signal %d to daemon %s", signo, b->nodes[node].name);
	kill(b->nodes[node].pid, signo);
}

/* A daemon that ends by itself has crashed, or its command is missing. */
static void reap(struct bed *b)
{
	for (size_t n = 0; n < b->node_count; n++) {
		int status;

		if (!b->nodes[n].pid ||
		    waitpid(b->nodes[n].pid, &status, WNOHANG) <= 0)
			continue;
		b->nodes[n].pid = 0;
		bed_record(b, "daemon %s has ended, wait status %d",
			   b->nodes[n].name, status);
		if (WIFEXITED(status) && WEXITSTATUS(status) == 127)
			bed_not_run(b, DAEMON " cannot be started");
	}
}

void bed_run(struct bed *b, uint32_t ms)
{
	uint64_t end = evloop_now_us(b->loop) + (uint64_t)ms * US_PER_MS;

	while (evloop_now_us(b->loop) < end)
		evloop_run_once(b->loop, end - evloop_now_us(b->loop));
	reap(b);
}

static void free_pending(struct pending *p)
{
	tmr_cancel(evloop_timers(p->bed->loop), p->leave_timer);
	buf_free(&p->body);
	free(p);
}

static void on_head(void *arg, const struct httpmsg *m)
{
	struct pending *p = arg;

	p->status = m->status;
	p->is_signed = httpmsg_find(m, "response-signature").text != NULL;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct pending *p = arg;

	buf_add(&p->body, bytes, len);
}

/* Checks the answer against what the upstreams have run. */
static void on_done(void *arg)
{
	struct pending *p = arg;
	struct bed *b = p->bed;
	struct bed_request *q = &b->requests[p->number];
	char expected[64];

	bed_record(b, "caller: q%u answered %u", p->number, p->status);
	q->status = p->status;
	snprintf(expected, sizeof(expected), "answer to q%u", p->number);
	if (p->status == 200) {
		b->answered_ok++;
		if (!p->is_signed || q->runs == 0 ||
		    buf_len(&p->body) != strlen(expected) ||
		    memcmp(buf_data(&p->body), expected, strlen(expected)) != 0)
			bed_break(b, "MIXED: q%u got a wrong answer",
				  p->number);
	} else if (p->status == 503 || p->status == 429 || p->status == 408 ||
		   p->status == 421) {
		b->answered_refused++;
		if (q->runs > 0 && !q->idempotent)
			bed_break(b, "REFUSED: q%u has run and was refused",
				  p->number);
	} else {
		b->answered_other++;
	}
	free_pending(p);
}

static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct pending *p = arg;

	struct bed_request *q = &p->bed->requests[p->number];

	bed_record(p->bed, "caller: q%u got no whole answer (%d)%s%s",
		   p->number, (int)failure, q->runs > 0 ? ", has run" : "",
		   q->kept ? ", on a kept connection" : "");
	if (q->runs > 0 && q->kept)
		p->bed->cut_after_run++;
	p->bed->answered_other++;
	free_pending(p);
}

static const struct httpcall_ops call_ops = { NULL, on_head, on_body, on_done,
					      on_failed };

/* The caller closes its connection before the answer. */
static void on_leave(void *arg, uint64_t now_us)
{
	struct pending *p = arg;

	(void)now_us;
	p->leave_timer = 0;
	bed_record(p->bed, "caller: leaves q%u", p->number);
	httpcall_cancel(p->exchange);
	free_pending(p);
}

/* Sends a request with a body and further header lines. */
static uint32_t send_request(struct bed *b, size_t node, uint32_t key,
			     bool idempotent, bool keyed, const char *fields,
			     const char *body, size_t body_len,
			     const char *path, uint32_t leave_ms)
{
	struct pending *p = calloc(1, sizeof(*p));
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head,
				      .body = body,
				      .body_len = body_len,
				      .reuse_us = 2 * US_PER_S };
	const char *prefix = !keyed ? "free" : idempotent ? "safe" : "once";
	uint32_t number = b->request_count++;
	struct httpcall *x;
	char name[32];

	if (number >= BED_REQUESTS_MAX)
		bed_not_run(b, "too many requests");
	b->requests[number].idempotent = idempotent;
	b->requests[number].key = key;
	p->bed = b;
	p->number = number;
	if (path)
		snprintf(name, sizeof(name), "%s", path);
	else
		snprintf(name, sizeof(name), "%x", number);
	buf_printf(&head,
		   "%s /%s/%s HTTP/1.1\r\nHost: h.example\r\n"
		   "Request-Id: q%u\r\nDeadline-Ms: %d\r\n",
		   idempotent ? "GET" : "POST", prefix, name, number,
		   BED_DEADLINE_MS);
	if (keyed)
		buf_printf(&head, "Shard-Key: %u\r\n", key);
	if (body_len > 0)
		buf_printf(&head, "Content-Length: %zu\r\n", body_len);
	buf_add_text(&head, fields);
	buf_add_text(&head, "\r\n");
	bed_record(b, "caller at %s: sends q%u to /%s/%s key=%d, %zu bytes",
		   b->nodes[node].name, number, prefix, name,
		   keyed ? (int)key : -1, body_len);
	x = httpcall_start(b->nodes[node].outbound, &r, &call_ops, p);
	if (x)
		b->requests[number].kept = httpcall_is_reused(x);
	else
		free(p);
	if (x)
		p->exchange = x;
	if (x && leave_ms > 0)
		p->leave_timer =
			tmr_at(evloop_timers(b->loop),
			       evloop_now_us(b->loop) + leave_ms * US_PER_MS,
			       on_leave, p);
	buf_free(&head);
	return number;
}

uint32_t bed_send(struct bed *b, size_t node, uint32_t key, bool idempotent,
		  bool keyed, const char *fields)
{
	return send_request(b, node, key, idempotent, keyed, fields, "abc",
			    idempotent ? 0 : 3, NULL, 0);
}

uint32_t bed_send_large(struct bed *b, size_t node, uint32_t key, size_t len)
{
	char *body = malloc(len);
	uint32_t number;

	memset(body, 'z', len);
	number = send_request(b, node, key, false, true, "", body, len,
			      NULL, 0);
	free(body);
	return number;
}

void bed_send_crashing(struct bed *b, size_t node, uint32_t key,
		       uint32_t leave_ms)
{
	send_request(b, node, key, true, true, "", "", 0, BED_CRASH_PATH,
		     leave_ms);
}

/* Returns the resident memory of a process. */
static uint64_t resident_kb(pid_t pid)
{
	char path[64];
	unsigned long long size, resident = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%llu %llu", &size, &resident) != 2)
		resident = 0;
	fclose(f);
	return resident * (uint64_t)sysconf(_SC_PAGESIZE) / 1024;
}

static void check_memory(void *arg, uint64_t now_us)
{
	struct bed *b = arg;

	for (size_t n = 0; n < b->node_count; n++) {
		struct bed_node *node = &b->nodes[n];
		uint64_t kb = node->pid ? resident_kb(node->pid) : 0;

		if (kb > b->memory_max_kb)
			b->memory_max_kb = kb;
		if (kb / 1024 > guard_mb) {
			bed_record(b,
				   "platform: %s has %llu MB, kills it",
				   node->name, (unsigned long long)kb / 1024);
			kill(node->pid, SIGKILL);
			waitpid(node->pid, NULL, 0);
			node->pid = 0;
			node->memory_ends++;
			node->start_again_us = now_us + START_AGAIN_US;
		}
		if (node->start_again_us && now_us >= node->start_again_us) {
			node->start_again_us = 0;
			bed_start_daemon(b, n);
		}
	}
}

void bed_guard_memory(struct bed *b, uint32_t memory_mb)
{
	guard_mb = memory_mb;
	tmr_every(evloop_timers(b->loop), evloop_now_us(b->loop), CHECK_US,
		  check_memory, b);
}

void bed_traffic(struct bed *b, uint32_t ms)
{
	uint64_t end = evloop_now_us(b->loop) + (uint64_t)ms * US_PER_MS;

	while (evloop_now_us(b->loop) < end) {
		bed_send(b, bed_random(b, (uint32_t)b->node_count),
			 bed_random(b, BED_KEYS), bed_random(b, 2) == 0, true,
			 "");
		bed_run(b, b->traffic_step_ms);
	}
}

bool bed_all_keys_held(const struct bed *b)
{
	uint64_t now = evloop_now_us(b->loop);
	uint32_t keys = 0;

	for (size_t n = 0; n < b->node_count; n++) {
		const struct bed_upstream *u = &b->nodes[n].upstream;

		for (size_t i = 0; u->up && now < u->hold_until_us &&
				   i < u->hold_count;
		     i++)
			keys += u->holds[i].last - u->holds[i].first + 1;
	}
	return keys >= BED_KEYS;
}

void bed_await_keys(struct bed *b, uint32_t ms)
{
	uint64_t end = evloop_now_us(b->loop) + (uint64_t)ms * US_PER_MS;

	while (!bed_all_keys_held(b)) {
		if (evloop_now_us(b->loop) >= end)
			bed_not_run(b, "the keys were not all granted");
		bed_run(b, 50);
	}
}

int bed_finish(struct bed *b)
{
	char path[128];

	bed_record(b, "answers: %u good, %u refused, %u others; longest time "
		      "of one key at two upstreams: %llu ms",
		   b->answered_ok, b->answered_refused, b->answered_other,
		   (unsigned long long)(b->overlap_max_us / 1000));
	bed_record(b, "verdict: %s", b->broken[0] ? b->broken : "held");
	printf("%s\n", b->broken[0] ? b->broken : "held");
	end_daemons(b);
	fclose(record_file);
	for (size_t n = 0; n < b->node_count && !getenv("CASE_KEEP"); n++) {
		snprintf(path, sizeof(path), "%s/%s.yaml", b->folder,
			 b->nodes[n].name);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%s.log", b->folder,
			 b->nodes[n].name);
		unlink(path);
	}
	if (getenv("CASE_KEEP"))
		printf("logs: %s\n", b->folder);
	else
		rmdir(b->folder);
	return b->broken[0] ? BED_BROKEN : BED_HELD;
}
