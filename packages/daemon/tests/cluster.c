#include "cluster_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READY_LIMIT_MS 60000
#define ARGS_MAX 40
#define CONNECTIONS 64

const struct cluster_params cluster_association = { .bookings = 8,
						    .documents = 3,
						    .service_ms = 1,
						    .fences = true };

const struct cluster_params cluster_small = { .bookings = 4,
					      .documents = 3,
					      .service_ms = 1,
					      .fences = true };

/* Ends the test program when the harness itself fails. */
void cluster_check(bool ok, const char *what)
{
	if (ok)
		return;
	fprintf(stderr, "harness: %s: %s\n", what, strerror(errno));
	exit(99);
}

/* Milliseconds of the monotonic clock. */
uint64_t cluster_now_ms(void)
{
	return clk_mono_us(clk_system()) / US_PER_MS;
}

/* Makes an address in 127.0.0.0/8 from the id of the process. */
const char *cluster_address(void)
{
	static char address[16];
	unsigned int pid = (unsigned int)getpid();

	if (!address[0])
		snprintf(address, sizeof(address), "127.%u.%u.%u",
			 16 + (pid / 62500) % 200, 1 + (pid / 250) % 250,
			 1 + pid % 250);
	return address;
}

/* Starts a program with its output in a file of the folder. */
static pid_t spawn(struct cluster *c, const char *log, char *const *args)
{
	const char *bin = c->bin;
	char path[256];
	char file[128];
	pid_t pid;

	if (c->params.daemon_bin && strcmp(args[0], "geraniumspoked") == 0)
		bin = c->params.daemon_bin;
	snprintf(path, sizeof(path), "%s/%s", bin, args[0]);
	snprintf(file, sizeof(file), "%s/%s.log", c->dir, log);
	pid = fork();
	cluster_check(pid >= 0, "fork");
	if (pid == 0) {
		int fd;

		/* The processes end with the test, however it ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(file, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(path, args);
		_exit(127);
	}
	return pid;
}

static void start_platform(struct cluster *c)
{
	char port[8];
	char *args[] = {
		"standin_platform", "--address", (char *)cluster_address(),
		"--port",	    port,	 NULL
	};

	snprintf(port, sizeof(port), "%u", c->platform_port);
	c->platform = spawn(c, "platform", args);
}

/* Data centres are given in turn, so that each service is in all three. */
static void write_settings(struct cluster *c, size_t i)
{
	const struct node *n = &c->nodes[i];
	char path[128];
	FILE *f;

	snprintf(path, sizeof(path), "%s/node%zu.yaml", c->dir, i);
	f = fopen(path, "w");
	cluster_check(f != NULL, path);
	fprintf(f,
		"instance: %u\nname: node%zu\ndata_centre: dc%zu\n"
		"region: kingston\naddress: %s\nhttp_port: %u\n"
		"peer_port: %u\nadmin_port: %u\n"
		"platform: { address: %s, port: %u }\n"
		"chart_dir: charts\nseeds:\n"
		"  - { address: %s, port: %u }\n",
		n->instance, i, i % 3 + 1, cluster_address(), n->http_port,
		n->peer_port, n->admin_port, cluster_address(),
		c->platform_port, cluster_address(),
		c->nodes[(i + 1) % c->count].peer_port);
	if (c->params.settings)
		fputs(c->params.settings, f);
	fclose(f);
}

/* Starts the daemon of a node. */
void cluster_restart_daemon(struct cluster *c, size_t node)
{
	char settings[128];
	char log[32];
	char *args[] = { "geraniumspoked", "--settings", settings, NULL };

	snprintf(settings, sizeof(settings), "%s/node%zu.yaml", c->dir, node);
	snprintf(log, sizeof(log), "node%zu", node);
	c->nodes[node].daemon = spawn(c, log, args);
}

/* Starts the upstream of a node. */
void cluster_restart_upstream(struct cluster *c, size_t node)
{
	struct node *n = &c->nodes[node];
	const char *service = n->is_booking ? "bookings" : "documents";
	bool fences = n->is_booking && c->params.fences;
	char port[8], name[32], daemon[32], ms[16], journal[128], fence[128];
	char *args[] = { "standin_upstream",
			 "--address",
			 (char *)cluster_address(),
			 "--port",
			 port,
			 "--service",
			 (char *)service,
			 "--instance",
			 name,
			 "--slots",
			 "6",
			 "--connections",
			 "120",
			 "--daemon",
			 daemon,
			 "--checks-fences",
			 fences ? "on" : "off",
			 "--fence-file",
			 fence,
			 "--service-ms",
			 ms,
			 "--journal",
			 journal,
			 NULL };
	char log[32];

	snprintf(port, sizeof(port), "%u", n->upstream_port);
	snprintf(name, sizeof(name), "node%zu", node);
	snprintf(daemon, sizeof(daemon), "%s:%u", cluster_address(),
		 n->admin_port);
	snprintf(ms, sizeof(ms), "%u", c->params.service_ms);
	snprintf(journal, sizeof(journal), "%s/%s.journal", c->dir, service);
	snprintf(fence, sizeof(fence), "%s/%s.fences", c->dir, service);
	snprintf(log, sizeof(log), "upstream%zu", node);
	n->upstream = spawn(c, log, args);
}

static void open_pools(struct cluster *c)
{
	struct err err = { 0 };

	c->loop = lwsloop_create(clk_system(), 0, &err);
	cluster_check(c->loop != NULL, err.text);
	c->platform_pool =
		upclient_pool_create(c->loop, cluster_address(),
				     c->platform_port, CONNECTIONS, &err);
	for (size_t i = 0; i < c->count; i++) {
		struct node *n = &c->nodes[i];

		n->http = upclient_pool_create(c->loop, cluster_address(),
					       n->http_port, CONNECTIONS, &err);
		n->admin =
			upclient_pool_create(c->loop, cluster_address(),
					     n->admin_port, CONNECTIONS, &err);
		c->upstream_pools[i] = upclient_pool_create(
			c->loop, cluster_address(), n->upstream_port,
			CONNECTIONS, &err);
	}
}

/* Reads a file of the repository; freed by the caller. */
static char *read_text(const char *path)
{
	char *text = calloc(1, 65536);
	FILE *f = fopen(path, "r");

	cluster_check(text && f && fread(text, 1, 65535, f) > 0, path);
	fclose(f);
	return text;
}

/* Writes PREFIX=IP:PORT,... of the upstreams of a service. */
static void write_route(const struct cluster *c, const char *prefix,
			bool bookings, char *out, size_t size)
{
	size_t len = (size_t)snprintf(out, size, "%s", prefix);
	char separator = '=';

	for (size_t i = 0; i < c->count; i++) {
		if (c->nodes[i].is_booking != bookings)
			continue;
		len += (size_t)snprintf(out + len, size - len, "%c%s:%u",
					separator, cluster_address(),
					c->nodes[i].upstream_port);
		separator = ',';
	}
}

/* Starts a naive router. */
void cluster_start_naive(struct cluster *c)
{
	char port[8];
	char bookings[2048];
	char documents[2048];
	char *args[] = { "naive_router",
			 "--address",
			 (char *)cluster_address(),
			 "--port",
			 port,
			 "--route",
			 bookings,
			 "--route",
			 documents,
			 NULL };
	uint16_t number = cluster_free_port();
	struct err err = { 0 };

	snprintf(port, sizeof(port), "%u", number);
	write_route(c, "/bookings", true, bookings, sizeof(bookings));
	write_route(c, "/documents", false, documents, sizeof(documents));
	c->naive = spawn(c, "naive", args);
	c->naive_pool = upclient_pool_create(c->loop, cluster_address(), number,
					     CONNECTIONS, &err);
	cluster_check(c->naive_pool != NULL, err.text);
	cluster_sleep(c, 500);
}

/* Starts geraniumspokectl with the operators' port of a node. */
pid_t cluster_start_ctl(struct cluster *c, size_t node, const char *command,
			const char *argument)
{
	char daemon[32];
	char *args[] = { "geraniumspokectl", "--daemon",       daemon,
			 (char *)command,    (char *)argument, NULL };

	snprintf(daemon, sizeof(daemon), "%s:%u", cluster_address(),
		 c->nodes[node].admin_port);
	return spawn(c, "ctl", args);
}

/* Publishes the manifest by geraniumspokectl. */
static void publish_with_ctl(struct cluster *c)
{
	uint64_t limit = cluster_now_ms() + READY_LIMIT_MS;
	int status = -1;

	while (status != 0 && cluster_now_ms() < limit) {
		pid_t pid = cluster_start_ctl(c, 0, "publish",
					      "manifests/loopback.yaml");

		cluster_check(waitpid(pid, &status, 0) == pid, "waitpid");
		if (status != 0)
			cluster_sleep(c, 100);
	}
	cluster_check(status == 0,
		      "geraniumspokectl does not publish the manifest");
}

/* Publishes the manifest for loopback through the first daemon. */
static void publish(struct cluster *c)
{
	char *text = read_text("manifests/loopback.yaml");
	uint64_t limit = cluster_now_ms() + READY_LIMIT_MS;
	struct reply r = { 0 };

	while (r.status != 200 && cluster_now_ms() < limit) {
		cluster_send(c, c->nodes[0].admin, "POST", "/-/manifest", NULL,
			     text, 2000, &r);
		if (r.status != 200)
			cluster_sleep(c, 100);
	}
	free(text);
	cluster_check(r.status == 200, "the manifest is not accepted");
}

/* Number of partitions that are held, over all daemons. */
json_int_t cluster_held(struct cluster *c)
{
	json_int_t held = 0;

	for (size_t i = 0; i < c->count; i++) {
		json_t *status;

		if (c->nodes[i].daemon <= 0)
			continue;
		status = cluster_ask(c, i, "GET", "/-/status");
		held += json_integer_value(
			json_object_get(status, "partitions"));
		json_decref(status);
	}
	return held;
}

static void wait_ready(struct cluster *c)
{
	json_int_t wanted =
		(c->params.bookings ? 64 : 0) + (c->params.documents ? 24 : 0);
	uint64_t limit = cluster_now_ms() + READY_LIMIT_MS;

	while (cluster_held(c) != wanted) {
		if (cluster_now_ms() > limit) {
			fprintf(stderr, "harness: logs in %s\n", c->dir);
			cluster_check(false, "not all partitions are held");
		}
		cluster_sleep(c, 100);
	}
}

/* Starts platform, daemons and upstreams, and waits until all is served. */
struct cluster *cluster_start(const struct cluster_params *params)
{
	struct cluster *c = calloc(1, sizeof(*c));

	cluster_check(c != NULL, "memory");
	signal(SIGPIPE, SIG_IGN);
	c->params = *params;
	c->bin = getenv("GERANIUMSPOKE_BIN");
	if (!c->bin)
		c->bin = "build/san/bin";
	strcpy(c->dir, "/tmp/geraniumspoke_XXXXXX");
	cluster_check(mkdtemp(c->dir) != NULL, "temporary folder");
	cluster_choose_ports(c);
	open_pools(c);
	start_platform(c);
	cluster_sleep(c, 200);
	if (params->platform_control)
		cluster_control_platform(c, params->platform_control);
	for (size_t i = 0; i < c->count; i++) {
		write_settings(c, i);
		cluster_restart_daemon(c, i);
	}
	if (c->params.publish_with_ctl)
		publish_with_ctl(c);
	else
		publish(c);
	for (size_t i = 0; i < c->count; i++)
		cluster_restart_upstream(c, i);
	wait_ready(c);
	return c;
}

static void end_process(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

/* Removes the folder unless it is to be kept for a look at the logs. */
static void remove_files(const struct cluster *c)
{
	char command[128];

	if (getenv("KEEP_LOGS")) {
		fprintf(stderr, "logs in %s\n", c->dir);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf %s", c->dir);
	if (system(command) != 0)
		fprintf(stderr, "harness: %s stays\n", c->dir);
}

/* Ends all processes. */
void cluster_stop(struct cluster *c)
{
	for (size_t i = 0; i < c->count; i++) {
		end_process(&c->nodes[i].daemon);
		end_process(&c->nodes[i].upstream);
		upclient_destroy(c->nodes[i].http);
		upclient_destroy(c->nodes[i].admin);
		upclient_destroy(c->upstream_pools[i]);
	}
	end_process(&c->platform);
	end_process(&c->naive);
	if (c->naive_pool)
		upclient_destroy(c->naive_pool);
	upclient_destroy(c->platform_pool);
	lwsloop_destroy(c->loop);
	remove_files(c);
	free(c);
}

/* Signals the daemon; a killed one is waited for. */
void cluster_signal_daemon(struct cluster *c, size_t node, int signo)
{
	if (signo == SIGKILL)
		end_process(&c->nodes[node].daemon);
	else
		kill(c->nodes[node].daemon, signo);
}

/* Signals the upstream; a killed one is waited for. */
void cluster_signal_upstream(struct cluster *c, size_t node, int signo)
{
	if (signo == SIGKILL)
		end_process(&c->nodes[node].upstream);
	else
		kill(c->nodes[node].upstream, signo);
}

/* Waits for the daemon to end by itself; -1 if it does not. */
int cluster_wait_daemon(struct cluster *c, size_t node, unsigned int limit_ms)
{
	uint64_t limit = cluster_now_ms() + limit_ms;
	int status = 0;

	while (waitpid(c->nodes[node].daemon, &status, WNOHANG) == 0) {
		if (cluster_now_ms() > limit)
			return -1;
		cluster_sleep(c, 20);
	}
	c->nodes[node].daemon = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

/* Takes note of an upstream that has ended by itself. */
bool cluster_upstream_ended(struct cluster *c, size_t node)
{
	pid_t *pid = &c->nodes[node].upstream;

	if (*pid > 0 && waitpid(*pid, NULL, WNOHANG) == *pid)
		*pid = 0;
	return *pid <= 0;
}

/* Takes note of a daemon that has ended by itself. */
bool cluster_daemon_ended(struct cluster *c, size_t node)
{
	pid_t *pid = &c->nodes[node].daemon;

	if (*pid > 0 && waitpid(*pid, NULL, WNOHANG) == *pid)
		*pid = 0;
	return *pid <= 0;
}
