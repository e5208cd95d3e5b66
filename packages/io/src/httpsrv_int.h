#ifndef HTTPSRV_INT_H
#define HTTPSRV_INT_H

/* Private types of the HTTP server: its connections and their requests. */

#include "headcodec.h"
#include "httpguard.h"
#include "httpsrv.h"
#include "pipeline.h"
#include "tcplisten.h"
#include "tcpsock.h"

enum httpconn_phase {
	HTTPCONN_RECEIVING, /* the request is incomplete */
	HTTPCONN_WAITING, /* for earlier requests on its connection */
	HTTPCONN_RUNNING, /* with the user */
	HTTPCONN_ENDED /* the user has ended the response */
};

/* A request of a client and its response. */
struct httpconn {
	struct httpconn *prev, *next; /* on its connection, by arrival */
	struct httpclient *client;
	struct httpparse *parser;
	struct buf body;
	void *request; /* context of the user */
	enum httpconn_phase phase;
	uint32_t place; /* handle in the pipeline, 0 while receiving */
	uint64_t start_us; /* arrival of the first byte */
	uint16_t error; /* status to reject the request with, or 0 */
	bool discards_body; /* the user does not need it */
	uint64_t discarded; /* its bytes so far */
	bool expects_continue; /* 100 (Continue) has not been sent */
	uint16_t refusal; /* status to refuse it with before its body, or 0 */
	struct buf refusal_fields;
	bool close_after;
	/* Response. */
	bool begun; /* the user has begun it */
	bool open; /* its turn has come: its head has been written */
	bool chunked;
	bool head_only; /* the request was HEAD */
	bool no_body; /* its status allows no body */
	bool urgent; /* priority among long responses */
	bool expendable; /* its response may be lost */
	int64_t length; /* of the body in bytes, -1 if unknown */
	int64_t sent; /* body bytes written so far */
	struct buf head; /* of a response that waits for its turn */
	struct buf held; /* its body so far */
	struct buf id; /* name of the request in log lines, or empty */
	uint64_t ended_us; /* when it was complete */
};

/* Agreement with a client on compressed heads. */
enum httpclient_heads {
	HTTPCLIENT_PLAIN,
	HTTPCLIENT_OFFERED, /* by the client; the response accepts */
	HTTPCLIENT_COMPACT
};

/* A connection of a client. */
struct httpclient {
	struct httpclient *prev, *next;
	struct httpsrv *server;
	struct tcpsock *socket;
	struct pipeline *order;
	struct httpconn *requests; /* unanswered ones, the first one first */
	struct httpconn *spare; /* reused for the next request, or NULL */
	struct headcodec *codec; /* NULL if heads are plain */
	enum httpclient_heads heads;
	struct pacer_response paced; /* a long response being sent */
	uint64_t idle_since_us;
	uint64_t moved_bytes; /* of the socket, when last looked at */
	uint64_t recent_bytes; /* moved before; halved in each period */
	uint32_t free_timer; /* runs once the connection has been closed */
	bool running; /* inside httpclient_run(), which must not recurse */
	bool run_again; /* something changed meanwhile */
	bool drained; /* the user of the first request is to be told */
	bool input_paused;
	bool expendable; /* its last response may be lost */
	bool closed; /* the user may still reference its requests */
};

/* Memory of a connection and its spare request, apart from buffers. */
#define HTTPCLIENT_BYTES (sizeof(struct httpclient) + 4096)

struct httpsrv {
	struct evloop *loop;
	struct tcplisten *listener;
	struct pacer *link; /* NULL if responses are not paced */
	const struct httpsrv_ops *ops;
	void *arg;
	httpsrv_overlap_fn overlaps; /* NULL if no requests overlap */
	httpsrv_expect_fn expect; /* NULL if all bodies are received */
	httpsrv_body_fn needs_body; /* NULL if all bodies are needed */
	httpsrv_refusal_fn write_refusal; /* NULL for no fields */
	struct httpguard *guard; /* NULL if there is none */
	struct httpsrv *guard_next;
	bool guards_descriptors;
	struct pipeline_budget budget;
	struct httpsrv_limits limits;
	struct httpclient *clients;
	size_t buffered;
	uint32_t sweep_timer;
	bool draining;
	bool compact; /* accepts compressed heads */
};

void httpclient_create(struct httpsrv *s, int fd);

/* Reads, starts and answers requests until nothing changes. */
void httpclient_run(struct httpclient *k);

/* Closes the connection; its requests end soon after. */
void httpclient_close(struct httpclient *k, bool after_output);

/* Closes the connection and frees it; ends its requests now. */
void httpclient_destroy(struct httpclient *k);

/* Gives up a request that has not been received completely. */
void httpclient_drop_incomplete(struct httpclient *k);

/*
 * Parses input of a request, compressed heads included. A frame that cannot be
 * decoded closes the connection.
 */
enum httpparse_state httpclient_feed(struct httpclient *k, struct httpconn *c);

/* Notes the offer of a client to compress heads. */
void httpclient_read_offer(struct httpclient *k, const struct httpmsg *m);

/* Sends an interim response 100 (Continue). */
void httpclient_send_continue(struct httpclient *k);

/* Completes the head of a response by its empty line and sends it. */
void httpclient_send_head(struct httpclient *k, struct buf *head);

/* Returns the last request that was received completely, or NULL. */
struct httpconn *httpclient_last_request(const struct httpclient *k);

/* Sends the response as far as it is known; true if all has been passed on. */
bool httpconn_send_held(struct httpconn *c);

/* Responds with an error and closes the connection behind it. */
void httpconn_reject(struct httpconn *c, uint16_t status);

#endif
