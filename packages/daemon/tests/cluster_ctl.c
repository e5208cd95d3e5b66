#include "cluster_ctl.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cluster_int.h"

#define ARGS_MAX 16
#define LIMIT_MS 30000

static void run_program(const struct cluster *c, const struct ctl_run *run,
			char *const *args)
{
	char path[256];
	int fd;

	snprintf(path, sizeof(path), "%s/geraniumspokectl", c->bin);
	/* The process ends with the test, however it ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(run->file, O_WRONLY | O_CREAT | O_TRUNC, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(path, args);
	_exit(127);
}

/* Starts the program. */
void ctl_begin(struct cluster *c, struct ctl_run *run, int node,
	       const char *const *args)
{
	static unsigned int number;
	char daemon[32];
	char *all[ARGS_MAX] = { "geraniumspokectl" };
	size_t count = 1;

	memset(run, 0, sizeof(*run));
	run->status = -1;
	snprintf(run->file, sizeof(run->file), "%s/ctl%u.log", c->dir,
		 ++number);
	if (node >= 0) {
		snprintf(daemon, sizeof(daemon), "%s:%u", cluster_address(),
			 c->nodes[node].admin_port);
		all[count++] = "--daemon";
		all[count++] = daemon;
	}
	for (size_t i = 0; args[i] && count < ARGS_MAX - 1; i++)
		all[count++] = (char *)args[i];
	run->pid = fork();
	if (run->pid == 0)
		run_program(c, run, all);
	if (run->pid < 0)
		exit(99);
}

static void read_output(struct ctl_run *run)
{
	FILE *f = fopen(run->file, "r");
	size_t len;

	if (!f)
		return;
	len = fread(run->output, 1, sizeof(run->output) - 1, f);
	run->output[len] = '\0';
	fclose(f);
}

/* Waits for the end of the program. */
void ctl_end(struct cluster *c, struct ctl_run *run)
{
	uint64_t limit = cluster_now_ms() + LIMIT_MS;
	int status = 0;

	while (waitpid(run->pid, &status, WNOHANG) == 0) {
		if (cluster_now_ms() > limit) {
			kill(run->pid, SIGKILL);
			waitpid(run->pid, &status, 0);
			break;
		}
		cluster_sleep(c, 10);
	}
	if (WIFEXITED(status))
		run->status = WEXITSTATUS(status);
	read_output(run);
}

/* Runs the program to its end. */
int ctl_do(struct cluster *c, struct ctl_run *run, int node,
	   const char *const *args)
{
	ctl_begin(c, run, node, args);
	ctl_end(c, run);
	return run->status;
}

/* Compares the answer with the journal. */
bool ctl_explains(struct cluster *c, const char *key, const char *encoded)
{
	const char *const args[] = { "--json", "explain", "bookings", key,
				     NULL };
	struct ctl_run *run = calloc(1, sizeof(*run));
	struct entry *entries;
	json_int_t told = -1;
	json_int_t ran = -1;
	struct reply r;
	char path[128];
	json_t *json;
	size_t count;

	if (!run)
		exit(99);
	ctl_do(c, run, 0, args);
	json = json_loads(run->output, 0, NULL);
	if (run->status == 0 && json)
		told = json_integer_value(json_object_get(json, "partition"));
	json_decref(json);
	free(run);
	snprintf(path, sizeof(path), "/bookings/clients/%s/history", encoded);
	cluster_request(c, 0, "GET", path, NULL, NULL, 2000, &r);
	count = cluster_journal(c, "bookings", &entries);
	if (r.status == 200 && count)
		ran = (json_int_t)entries[count - 1].partition;
	free(entries);
	printf("%s: explained %d, ran on %d\n", key, (int)told, (int)ran);
	return told >= 0 && told == ran;
}
