#ifndef HTP_INT_H
#define HTP_INT_H

/* What the source files of the HTTP server share. */

#include "httpmsg.h"
#include "htp.h"

/* Largest piece of the output queue, in bytes. */
#define HTP_PIECE_MAX 65536

/* Bytes that wait to be sent. */
struct htp_piece {
	struct htp_piece *next;
	size_t sent;
	size_t len;
	size_t size;
	unsigned char bytes[];
};

/* A copy of a header that the user asked for. */
struct htp_copy {
	struct htp_copy *next;
	char *value; /* NULL if the request has no such header */
	char name[];
};

struct htp_conn {
	struct htp *server;
	int fd;
	struct httpparse *parser;
	struct htp_conn *next;
	struct htp_conn *prev;
	struct htp_req *req; /* NULL between requests */
	struct buf in; /* bytes behind the request that goes on */
	uint64_t progress_us; /* when the caller last sent or took bytes */
	uint32_t due; /* timer of htp_conn_wake() */
	bool readable; /* the socket may have more bytes */
	bool used; /* a request has arrived on it */
	bool close_after; /* no further request can follow this one */
	bool broken; /* the input is no HTTP, or of a refused request */
	bool lingering; /* answered; the rest of the request is discarded */
	bool finishing; /* the response is complete; its request ends next */
	bool aborted;
	char peer[46];
};

struct htp_req {
	struct htp_conn *conn;
	void *user;
	const char *method;
	char *path;
	char *query;
	struct htp_copy *copies;
	long long content_length;
	bool hidden; /* refused before the user was told of it */
	int refused; /* status of a hidden request */
	bool body_done; /* the whole body has arrived */
	bool paused;
	struct buf early; /* body bytes that arrived while it was paused */
	bool early_end; /* the body ends with them */
	bool responded;
	bool blocked; /* htp_write() has returned false */
	bool ended; /* the last byte of the response is queued */
	bool chunked_out;
	bool no_body_out; /* HEAD, 204 and 304 */
	long long left_out; /* bytes of the declared length still to write */
	struct htp_piece *first;
	struct htp_piece *last;
	size_t queued;
};

struct htp {
	struct lop *loop;
	struct lws_vhost *fd_vhost; /* of the next two */
	struct lws *listener;
	struct lws *events;
	int listen_fd;
	int events_fd; /* an epoll instance, see htp_watch.c */
	uint16_t port;
	struct htp_params params;
	const struct htp_ops *ops;
	void *arg;
	struct htp_conn *conns;
	size_t conn_count;
	size_t req_count;
	uint32_t sweep; /* timer */
};

/* Reads method, target and length; returns 0 or the status to refuse with. */
int htp_head_read(struct htp_req *r, const struct httpmsg *m);
void htp_head_free(struct htp_req *r);

/* Queues bytes as they are; false when memory is exhausted. */
bool htp_out_queue(struct htp_req *r, const void *data, size_t len);
void htp_out_free(struct htp_req *r);

/* Refuses a request in the server's own name and closes the connection. */
void htp_refuse(struct htp_req *r, int status);

/* Sends what the socket takes. */
void htp_out_flush(struct htp_conn *c);

/* The socket takes bytes again. */
void htp_out_writable(struct htp_conn *c);

/* Ends an answered request, or closes its connection. */
void htp_out_finish(struct htp_conn *c);

struct htp_conn *htp_conn_add(struct htp *h, int fd, const char *peer);
void htp_conn_free(struct htp_conn *c);

/* Closes a connection in the next step of the loop. */
void htp_conn_kill(struct htp_conn *c);

/* Goes on with a connection in the next step, if there is something to do. */
void htp_conn_wake(struct htp_conn *c);

/* Takes the input of a connection that is wanted now. */
void htp_conn_read(struct htp_conn *c);

/* Watches the listening socket and the connections. */
bool htp_watch_open(struct htp *h);
bool htp_watch_add(struct htp_conn *c);
void htp_watch_close(struct htp *h);

/* Accepts the connections that wait. */
void htp_accept(struct htp *h);

/* Ends the request of a connection and tells the user. */
void htp_req_close(struct htp_conn *c, bool complete);

#endif
