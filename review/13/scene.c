/*
 * A daemon that is stopped closes a connection while the kernel still holds most
 * of its last response. A further request of the client, sent ahead, then makes
 * the kernel reset the connection and drop the rest of that response.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "casebed.h"

#define CLIENTS 5
#define DEADLINE_MS 5000
#define EXECUTION_MS 300
/* Length of a response, that of a usual download. */
#define BODY_BYTES 90000
/* Time of the signal, of the second request and of the first read. */
#define STOP_MS 100
#define AHEAD_MS 500
#define READ_MS 550
#define READ_EVERY_MS 20
#define READ_BYTES 4096
#define END_MS 3500
/* Receive buffer of a client. */
#define WINDOW_BYTES 8192

struct client {
	int fd;
	uint32_t first; /* number of the first request */
	char *bytes;
	size_t len;
	bool ended;
	int error;
};

static struct testbed bed;
static struct client clients[CLIENTS];

static void send_request(struct client *c, bool large)
{
	uint32_t number = bed.request_count++;
	char text[256];
	int n;

	bed.requests[number].idempotent = true;
	if (large)
		c->first = number;
	n = snprintf(text, sizeof(text),
		     "GET /free/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: q%u\r\n"
		     "Deadline-Ms: %d\r\n\r\n",
		     large ? "large" : "x", number, DEADLINE_MS);
	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		casebed_record("client %zu: request q%u could not be sent",
			       (size_t)(c - clients), number);
}

static bool connect_client(struct client *c)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	int window = WINDOW_BYTES;

	a.sin_port = htons((uint16_t)(bed.port + 1 + TESTBED_CALLERS));
	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	c->bytes = calloc(1, 2 * BODY_BYTES);
	if (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) < 0)
		return false;
	return fcntl(c->fd, F_SETFL, O_NONBLOCK) == 0;
}

static void read_some(struct client *c)
{
	ssize_t n;

	if (c->ended)
		return;
	n = recv(c->fd, c->bytes + c->len, READ_BYTES, 0);
	if (n > 0) {
		c->len += (size_t)n;
	} else if (n == 0 || errno != EAGAIN) {
		c->ended = true;
		c->error = n < 0 ? errno : 0;
	}
	if (c->len > 2 * BODY_BYTES - READ_BYTES)
		c->ended = true;
}

/* Returns the bytes of the first body that have come; -1 without a 200. */
static long first_body(const struct client *c)
{
	const char *end = memmem(c->bytes, c->len, "\r\n\r\n", 4);
	size_t len;

	if (!end || strncmp(c->bytes, "HTTP/1.1 200", 12) != 0)
		return -1;
	len = c->len - (size_t)(end + 4 - c->bytes);
	return len < BODY_BYTES ? (long)len : BODY_BYTES;
}

int main(int argc, char **argv)
{
	size_t lost = 0;
	char why[160];

	casebed_create(&bed, argc, argv, 1, 0);
	bed.timeout_ms = DEADLINE_MS;
	bed.large_bytes = BODY_BYTES;
	/* The bound of the small deployments. */
	casebed_change_settings(&bed, 0, "grace_s: \"4\"", "grace_s: \"6\"");
	testbed_publish_config(&bed, 1);
	testbed_start_daemon(&bed, 0);
	testbed_run(&bed, 500);
	testbed_start_upstream(&bed, 0);
	testbed_run(&bed, 3000);
	testbed_warm_up(&bed, 20);
	if (bed.done == 0)
		return casebed_finish(&bed, CASEBED_NOT_RUN,
				      "the deployment did not answer");
	bed.nodes[0].upstream.execution_ms = EXECUTION_MS;
	for (size_t i = 0; i < CLIENTS; i++) {
		if (!connect_client(&clients[i]))
			return casebed_finish(&bed, CASEBED_NOT_RUN,
					      "no connection");
		send_request(&clients[i], true);
	}
	casebed_record("%d clients have sent a request each", CLIENTS);
	testbed_run(&bed, STOP_MS);
	if (casebed_has_trouble()) {
		testbed_signal_daemon(&bed, 0, SIGTERM);
		casebed_record("SIGTERM");
	}
	testbed_run(&bed, AHEAD_MS - STOP_MS);
	for (size_t i = 0; i < CLIENTS; i++)
		send_request(&clients[i], false);
	casebed_record("the clients have sent a further safe request each");
	testbed_run(&bed, READ_MS - AHEAD_MS);
	casebed_record("the clients read, %d bytes each %d ms", READ_BYTES,
		       READ_EVERY_MS);
	for (uint32_t t = 0; t < END_MS; t += READ_EVERY_MS) {
		testbed_run(&bed, READ_EVERY_MS);
		for (size_t i = 0; i < CLIENTS; i++)
			read_some(&clients[i]);
	}
	for (size_t i = 0; i < CLIENTS; i++) {
		const struct client *c = &clients[i];
		long got = first_body(c);
		uint16_t runs = bed.requests[c->first].executions;

		casebed_record("client %zu: q%u ran %u times, %ld of %d bytes "
			       "of its answer came, then %s",
			       i, c->first, runs, got, BODY_BYTES,
			       !c->ended	     ? "nothing" :
			       c->error == ECONNRESET ? "a reset" :
							"a close");
		lost += runs > 0 && got < BODY_BYTES;
		close(c->fd);
	}
	testbed_run(&bed, 3000);
	testbed_reap(&bed);
	snprintf(why, sizeof(why),
		 "LOST: %zu of %d answers to requests that had run broke off",
		 lost, CLIENTS);
	return casebed_finish(&bed, lost > 0 ? CASEBED_BROKEN : CASEBED_HELD,
			      why);
}
