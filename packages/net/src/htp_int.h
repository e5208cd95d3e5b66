#ifndef HTP_INT_H
#define HTP_INT_H

/* What the source files of the HTTP server share. */

#include "htp.h"

/* Largest piece of the output queue, in bytes. */
#define HTP_PIECE_MAX 65536

/* Decoder of the chunked transfer coding; all zero at the start of a body. */
enum chk_state {
	CHK_SIZE, /* in the chunk size */
	CHK_EXTENSION, /* after the size, until the end of the line */
	CHK_DATA,
	CHK_DATA_END, /* in the line end after the data */
	CHK_TRAILER, /* at the start of a trailer line */
	CHK_TRAILER_LINE,
	CHK_DONE,
	CHK_BAD
};

struct chk {
	enum chk_state state;
	unsigned int digits; /* of the size read so far */
	size_t overhead; /* bytes of extensions and trailers */
	uint64_t left; /* data bytes left in this chunk */
};

/*
 * Takes bytes from the wire. Returns how many were used; *data and *data_len
 * are the body bytes among them, at most one piece for each call.
 */
size_t chk_feed(struct chk *k, const char *in, size_t len, const char **data,
		size_t *data_len);

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
	struct lws *wsi;
	struct htp_conn *next;
	struct htp_conn *prev;
	struct htp_req *req; /* NULL between requests */
	uint64_t progress_us; /* when the caller last sent or took bytes */
	uint32_t flow_timer;
	bool held_back; /* libwebsockets does not read */
	bool in_event; /* a callback of libwebsockets runs */
	bool used; /* a request has arrived on it */
	bool close_after; /* no further request can follow this one */
	bool lingering; /* answered; the rest of the request is discarded */
	bool finishing; /* the response has left; its request is to be ended */
	bool aborted;
	bool hung_up; /* the caller has closed its sending side */
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
	struct chk chunks;
	bool hidden; /* refused before the user was told of it */
	unsigned int body_ends; /* reports of the end of the body */
	bool body_done; /* the whole body has arrived */
	bool paused;
	char *early; /* body bytes that arrived while it was paused */
	size_t early_len;
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
	struct lws_vhost *vhost;
	struct lws_vhost *fd_vhost; /* of the next two */
	struct lws *listener;
	struct lws *hangups;
	int listen_fd;
	int hangup_fd; /* an epoll instance, see htp_watch.c */
	uint16_t port;
	struct htp_params params;
	const struct htp_ops *ops;
	void *arg;
	struct htp_conn *conns;
	size_t conn_count;
	size_t req_count;
	uint32_t sweep; /* timer */
};

/* Copies a header; name is in lower case with the colon. NULL if absent. */
char *htp_copy_header(struct lws *wsi, const char *name, int len);

/* Reads method, target and length; returns 0 or the status to refuse with. */
int htp_head_read(struct htp_req *r);
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

/* Ends an answered request; returns -1 when the connection is to be closed. */
int htp_out_finish(struct htp_conn *c);

/* The protocols of the server's vhost. */
extern const struct lws_protocols htp_protocols[];

struct htp_conn *htp_conn_add(struct htp *h, const char *peer);
void htp_conn_free(struct htp_conn *c);

/* Closes a connection in the next step of the loop. */
void htp_conn_kill(struct htp_conn *c);

/* Lets the connection read only while body bytes are wanted. */
void htp_conn_flow(struct htp_conn *c);

/* Watches the listening socket and the connections for hang-ups. */
bool htp_watch_open(struct htp *h);
bool htp_watch_add(struct htp_conn *c, int fd);
void htp_watch_close(struct htp *h);

/* Accepts the connections that wait. */
void htp_accept(struct htp *h);

/* Ends the request of a connection and tells the user. */
void htp_req_close(struct htp_conn *c, bool complete);

#endif
