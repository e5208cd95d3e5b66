#ifndef HTTPPOOL_INT_H
#define HTTPPOOL_INT_H

/* Private types of the HTTP client: its connections and their calls. */

#include "headcodec.h"
#include "httpend.h"
#include "httppool.h"
#include "tcpsock.h"

/* A call and the connection that it uses; idle if ops is NULL. */
struct httpcall {
	struct httpcall *prev, *next;
	struct httppool *pool;
	struct tcpsock *socket;
	struct httpparse *parser;
	struct headcodec *codec; /* NULL if the pool has plain heads */
	bool compact; /* both ends have agreed on compressed heads */
	const struct httpcall_ops *ops;
	void *arg;
	const struct httpcall_counters *counters;
	size_t uncounted_head; /* bytes of the request not yet counted */
	size_t uncounted_body;
	size_t body_received; /* bytes of the body in the input being parsed */
	uint64_t body_total; /* bytes of the body of this response */
	uint64_t idle_since_us;
	uint64_t idle_limit_us;
	bool used; /* has carried a call before */
	bool parsing; /* inside httpparse_feed(); must not be freed */
	bool reported_head;
	bool skip_response; /* the current response answers another request */
	bool close_after;
	bool invalid;
	bool no_body;
	const char *body; /* rest of a long body, in the user's memory */
	size_t body_len;
	bool body_stays; /* the user's memory is valid until the call ends */
	/* Body that waits for an interim response 100; NULL if none. */
	const void *held_body;
	size_t held_len;
	bool (*is_abandoned)(void *arg);
	bool continued; /* the server has asked for the body */
	bool refusal; /* the response counts as a refusal */
};

struct httppool {
	struct evloop *loop;
	struct sockaddr_in address;
	uint64_t idle_us;
	bool compact; /* offers compressed heads */
	struct httpcall *all;
	uint64_t opened;
	uint32_t open;
	uint32_t sweep_timer;
};

/* Counts the bytes of the request that the kernel has accepted. */
void httpcall_count_sent(struct httpcall *x);

/* Counts and logs how the response ended. */
void httpcall_record_end(const struct httpcall *x, enum httpend how);

/* Counts bytes of the response that have been parsed. */
void httpcall_count_received(struct httpcall *x, size_t len);

/*
 * Parses the input; *consumed is 0 if more of it is needed. Notes in the call
 * that the server asks for the body.
 */
enum httpparse_state httpcall_feed(struct httpcall *x, size_t *consumed);

/*
 * Appends head and body in one frame to the output and returns its length, 0 if
 * they have to be sent one after the other.
 */
size_t httpcall_write_packed(struct httpcall *x,
			     const struct httpcall_request *r);

/* Appends the head of the request to the output and returns its length there. */
size_t httpcall_write_head(struct httpcall *x, const struct buf *head);

#endif
