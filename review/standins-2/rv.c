#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tcpsock.h"

#define PORTS (1 + RV_NODES_MAX * TESTBED_PORTS)
#define PORT_FIRST 21000
#define PORT_TRIES 60
#define PORT_STEP 100
#define CLIENT_IDLE_US (2 * US_PER_S)
#define STOP_MS 500

uint64_t rv_now(struct rv *v)
{
	return evloop_now_us(v->loop);
}

uint64_t rv_ms(const struct rv *v, uint64_t at_us)
{
	return at_us > v->began_us ? (at_us - v->began_us) / US_PER_MS : 0;
}

void rv_note(struct rv *v, const char *fmt, ...)
{
	va_list args;

	fprintf(v->record, "%8llu ms  ",
		(unsigned long long)rv_ms(v, rv_now(v)));
	va_start(args, fmt);
	vfprintf(v->record, fmt, args);
	va_end(args);
	fputc('\n', v->record);
}

/* Xorshift. */
uint32_t rv_random(struct rv *v, uint32_t bound)
{
	v->random ^= v->random << 13;
	v->random ^= v->random >> 7;
	v->random ^= v->random << 17;
	return (uint32_t)(v->random >> 16) % bound;
}

void rv_run(struct rv *v, uint32_t ms)
{
	uint64_t end = rv_now(v) + (uint64_t)ms * US_PER_MS;

	while (rv_now(v) < end)
		evloop_run_once(v->loop, end - rv_now(v));
}

/* The node's port follows that of the store. */
static unsigned int port_of(const struct rv *v, size_t node,
			    enum testbed_port port)
{
	return (unsigned int)(v->port + 1 + node * TESTBED_PORTS + port);
}

void rv_address(const struct rv *v, size_t node, enum testbed_port port,
		char out[32])
{
	snprintf(out, 32, "127.0.0.1:%u", port_of(v, node, port));
}

/* True if all ports from this one on can be bound. */
static bool ports_are_free(uint16_t first)
{
	for (unsigned int i = 0; i < PORTS; i++) {
		struct sockaddr_in a = { .sin_family = AF_INET,
					 .sin_port = htons(
						 (uint16_t)(first + i)) };
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int on = 1;
		bool ok;

		inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
		     listen(fd, 1) == 0;
		close(fd);
		if (!ok)
			return false;
	}
	return true;
}

static uint16_t find_ports(void)
{
	for (unsigned int i = 0; i < PORT_TRIES; i++) {
		uint16_t first =
			(uint16_t)(PORT_FIRST +
				   ((unsigned int)getpid() + i) % PORT_TRIES *
					   PORT_STEP);

		if (ports_are_free(first))
			return first;
	}
	fprintf(stderr, "no free ports\n");
	exit(RV_NOT_RUN);
}

void rv_create(struct rv *v, size_t nodes, uint32_t beat_ms)
{
	const char *folder = getenv("CASE_FOLDER");
	const char *record = getenv("CASE_RECORD");
	const char *trouble = getenv("TROUBLE");
	struct err err = { 0 };

	memset(v, 0, sizeof(*v));
	if (!folder || !record) {
		fprintf(stderr, "CASE_FOLDER and CASE_RECORD are needed\n");
		exit(RV_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	snprintf(v->folder, sizeof(v->folder), "%s", folder);
	v->record = fopen(record, "w");
	v->calls = calloc(RV_CALLS_MAX, sizeof(*v->calls));
	v->loop = evloop_create(clk_system(), &err);
	if (!v->record || !v->calls || !v->loop) {
		fprintf(stderr, "cannot write %s\n", record);
		exit(RV_NOT_RUN);
	}
	setvbuf(v->record, NULL, _IOLBF, 0);
	v->trouble = !trouble || strcmp(trouble, "0") != 0;
	v->nodes = nodes;
	v->beat_ms = beat_ms;
	v->deadline_ms = 1000;
	v->random = (uint64_t)getpid() * 2654435761U + 1;
	v->port = find_ports();
	v->store.loop = v->loop;
	v->store.port = v->port;
	v->store.suffix = "";
	testbed_store_create(&v->store);
	v->began_us = rv_now(v);
	for (size_t i = 0; i < nodes; i++) {
		struct sockaddr_in a;
		char address[32];

		rv_address(v, i, TESTBED_CALLERS, address);
		tcpsock_parse_address(address, &a);
		v->clients[i] = httppool_create(v->loop, &a, CLIENT_IDLE_US);
	}
	rv_note(v, "%zu machines, ports from %u, trouble=%d", nodes, v->port,
		v->trouble);
}

/* Ends what was started, by its process id. */
void rv_destroy(struct rv *v)
{
	for (size_t i = 0; i < v->nodes; i++) {
		if (v->collectors[i] > 0)
			kill(v->collectors[i], SIGCONT);
		if (v->daemons[i] > 0) {
			kill(v->daemons[i], SIGKILL);
			waitpid(v->daemons[i], NULL, 0);
		}
		if (v->collectors[i] > 0) {
			kill(v->collectors[i], SIGKILL);
			waitpid(v->collectors[i], NULL, 0);
		}
		rv_stop_backend(v, i);
		httppool_destroy(v->clients[i]);
	}
	testbed_store_destroy(&v->store);
	evloop_destroy(v->loop);
	fclose(v->record);
	free(v->calls);
}

/* Writes what platform/settings.yaml.in gives for a small deployment. */
static void write_settings(const struct rv *v, size_t node,
			   const char *service, const char *path)
{
	static const char *const names[TESTBED_PORTS] = {
		"caller_address",   "peer_address",    "ready_address",
		"announce_address", "metrics_address", "upstream_address"
	};
	char address[32];
	FILE *f = fopen(path, "w");

	if (!f)
		exit(RV_NOT_RUN);
	fprintf(f, "regions: { \"z0\": \"r\", \"z1\": \"r\", \"z2\": \"r\" }\n"
		   "instance: \"machine-%zu\"\ndata_centre: \"z%zu\"\n"
		   "service: \"%s\"\n",
		node, node % 3, service);
	for (int p = 0; p < TESTBED_PORTS; p++) {
		rv_address(v, node, (enum testbed_port)p, address);
		fprintf(f, "%s: \"%s\"\n", names[p], address);
	}
	fprintf(f,
		"platform_address: \"127.0.0.1:%u\"\nannounce_ms: %u\n"
		"hold_max_ms: 10000\ndrain_ms: %u\ngrace_s: \"%u\"\n"
		"memory_mb: 260\nmax_fds: 4100\nlink_mbit_s: \"1000.0\"\n",
		v->port, v->beat_ms, RV_DRAIN_MS, RV_GRACE_S);
	fclose(f);
}

/* Copies log lines from a pipe to a file, until the pipe ends. */
static void collect(int from, const char *path)
{
	char bytes[4096];
	FILE *f = fopen(path, "a");
	ssize_t n;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	while (f && (n = read(from, bytes, sizeof(bytes))) > 0) {
		fwrite(bytes, 1, (size_t)n, f);
		fflush(f);
	}
	_exit(0);
}

static void close_all_from(int first)
{
	for (int fd = first; fd < 1024; fd++)
		close(fd);
}

void rv_start_daemon(struct rv *v, size_t node, const char *service,
		     bool collector)
{
	char settings[RV_TEXT_MAX + 32], log[RV_TEXT_MAX + 32];
	int ends[2] = { -1, -1 };
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/machine-%zu.yaml", v->folder,
		 node);
	snprintf(log, sizeof(log), "%s/machine-%zu.log", v->folder, node);
	write_settings(v, node, service, settings);
	if (collector && pipe(ends) < 0)
		exit(RV_NOT_RUN);
	if (collector) {
		v->collectors[node] = fork();
		if (v->collectors[node] == 0) {
			dup2(ends[0], 0);
			close_all_from(3);
			collect(0, log);
		}
	}
	pid = fork();
	if (pid < 0)
		exit(RV_NOT_RUN);
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (collector) {
			dup2(ends[1], 1);
			dup2(ends[1], 2);
		} else if (!freopen(log, "a", stdout) ||
			   !freopen(log, "a", stderr)) {
			_exit(127);
		}
		close_all_from(3);
		execl("target/bin/geraniumspoked",
		      "target/bin/geraniumspoked", "--ranges", "-s", settings,
		      (char *)NULL);
		_exit(127);
	}
	if (collector) {
		close(ends[0]);
		close(ends[1]);
	}
	v->daemons[node] = pid;
	rv_note(v, "machine-%zu: daemon started, service %s", node, service);
}

void rv_kill(struct rv *v, size_t node, int signo)
{
	if (v->daemons[node] > 0)
		kill(v->daemons[node], signo);
	rv_note(v, "machine-%zu: signal %d to the daemon", node, signo);
}

bool rv_wait_end(struct rv *v, size_t node, uint32_t ms)
{
	uint64_t end = rv_now(v) + (uint64_t)ms * US_PER_MS;
	int status;

	while (waitpid(v->daemons[node], &status, WNOHANG) == 0) {
		if (rv_now(v) >= end)
			return false;
		rv_run(v, 10);
	}
	v->daemons[node] = 0;
	rv_note(v, "machine-%zu: daemon has ended, wait status %d", node,
		status);
	return true;
}

/* Two services: bookings is divided by key, documents is not. */
void rv_publish(struct rv *v, uint32_t timeout_ms)
{
	static const char *const routes[][4] = {
		{ "lookup", "safe", "bookings", "2" },
		{ "confirm", "unsafe", "bookings", "1" },
		{ "archive", "safe", "documents", "2" },
		{ "stamp", "unsafe", "documents", "2" },
	};
	struct buf text = { 0 };

	buf_add_text(&text, "{\"version\":\"r7\",\"resources\":[");
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		buf_printf(&text,
			   "{\"type\":\"routes\",\"metadata\":{\"name\":"
			   "\"%s\"},\"spec\":{\"host\":\"valet.example\","
			   "\"prefix\":\"/%s/\",\"kind\":\"%s\","
			   "\"timeout_ms\":%u,\"target_latency_ms\":250,"
			   "\"priority\":%s,\"service\":\"%s\","
			   "\"max_attempts\":2}},",
			   routes[i][0], routes[i][0], routes[i][1], timeout_ms,
			   routes[i][3], routes[i][2]);
	buf_add_text(
		&text,
		"{\"type\":\"services\",\"metadata\":{\"name\":\"bookings\"},"
		"\"spec\":{\"health_path\":\"/health\",\"max_connections\":120,"
		"\"sharded\":true,\"warmup_s\":5.0,\"grants\":\"heartbeat\"}},"
		"{\"type\":\"services\",\"metadata\":{\"name\":\"documents\"},"
		"\"spec\":{\"health_path\":\"/health\","
		"\"max_connections\":120}},"
		"{\"type\":\"limits\",\"metadata\":{},\"spec\":"
		"{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}");
	buf_add(&text, "", 1);
	testbed_publish_text(buf_data(&text));
	buf_free(&text);
	rv_note(v, "configuration r7 is in the store, timeout_ms %u",
		timeout_ms);
}

static void on_head(void *arg, const struct httpmsg *m)
{
	struct rv_call *c = arg;

	c->status = m->status;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct rv_call *c = arg;

	buf_add(&c->body, bytes, len);
}

static void end_call(struct rv_call *c, const char *how)
{
	c->ended_us = rv_now(c->rv);
	rv_note(c->rv, "q%u: %s %u after %llu ms", c->number, how, c->status,
		(unsigned long long)((c->ended_us - c->sent_us) / US_PER_MS));
	buf_free(&c->body);
}

static void on_done(void *arg)
{
	end_call(arg, "answer");
}

static void on_failed(void *arg, enum httpcall_failure failure)
{
	struct rv_call *c = arg;

	(void)failure;
	c->status = 0;
	end_call(c, "connection closed,");
}

static const struct httpcall_ops call_ops = { NULL, on_head, on_body, on_done,
					      on_failed };

struct rv_call *rv_send(struct rv *v, size_t node, const char *path,
			bool unsafe, uint32_t key)
{
	char own[RV_TEXT_MAX];

	snprintf(own, sizeof(own), "%s%u", path, v->call_count);
	return rv_send_path(v, node, own, unsafe, key);
}

struct rv_call *rv_send_path(struct rv *v, size_t node, const char *path,
			     bool unsafe, uint32_t key)
{
	struct rv_call *c = &v->calls[v->call_count];
	struct buf head = { 0 };
	struct httpcall_request r = { .head = &head, .reuse_us = US_PER_S };

	if (v->call_count == RV_CALLS_MAX)
		exit(RV_NOT_RUN);
	c->rv = v;
	c->number = v->call_count++;
	c->node = node;
	c->unsafe = unsafe;
	c->key = key;
	c->sent_us = rv_now(v);
	buf_printf(&head,
		   "%s %s HTTP/1.1\r\nHost: valet.example\r\n"
		   "Request-Id: q%u\r\nDeadline-Ms: %u\r\n",
		   unsafe ? "POST" : "GET", path, c->number, v->deadline_ms);
	if (key != UINT32_MAX)
		buf_printf(&head, "Shard-Key: %u\r\n", key);
	buf_add_text(&head,
		     unsafe ? "Content-Length: 3\r\n\r\nabc" : "\r\n");
	rv_note(v, "q%u: %s to machine-%zu, key %d", c->number, path, node,
		key == UINT32_MAX ? -1 : (int)key);
	if (!httpcall_start(v->clients[node], &r, &call_ops, c))
		exit(RV_NOT_RUN);
	buf_free(&head);
	return c;
}

bool rv_wait_served(struct rv *v, const char *path, uint32_t key, uint32_t ms)
{
	uint64_t end = rv_now(v) + (uint64_t)ms * US_PER_MS;

	for (size_t n = 0; n < v->nodes; n++) {
		if (!v->daemons[n])
			continue;
		for (;;) {
			struct rv_call *c = rv_send(v, n, path, false, key);

			while (!c->ended_us)
				rv_run(v, 10);
			if (c->status == 200)
				break;
			if (rv_now(v) > end)
				return false;
			rv_run(v, 100);
		}
	}
	return true;
}
