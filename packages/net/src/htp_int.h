#ifndef HTP_INT_H
#define HTP_INT_H

/* Internal interface of the HTTP server's source files. */

#include "httpmsg.h"
#include "htp.h"

/* Largest buffer of the output queue, in bytes. */
#define HTP_OUTBUF_MAX 65536

/* Buffer of the output queue. */
struct htp_outbuf {
	struct htp_outbuf *next;
	size_t sent;
	size_t len;
	size_t size;
	unsigned char bytes[];
};

/* Copy of a request header that the handler has looked up. */
struct htp_header_copy {
	struct htp_header_copy *next;
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
	struct buf in; /* pipelined bytes after the current request */
	uint64_t progress_us; /* when the caller last sent or received bytes */
	uint32_t schedule_timer; /* timer of htp_conn_schedule() */
	bool readable; /* the socket may have more bytes */
	bool used; /* a request has been received on it */
	bool close_after; /* close after the current response */
	bool broken; /* input is malformed or belongs to a refused request */
	bool lingering; /* answered; the rest of the request is discarded */
	bool finishing; /* the response is queued; the request ends next */
	bool aborted;
	char peer[46];
};

struct htp_req {
	struct htp_conn *conn;
	void *user;
	const char *method;
	char *path;
	char *query;
	struct htp_header_copy *copies;
	long long content_length;
	bool unreported; /* refused before head() was called */
	int refuse_status; /* status of a request that was refused this way */
	bool body_done; /* the whole body has been received */
	bool paused;
	struct buf paused_body; /* body data received while paused */
	bool paused_body_end; /* the body ends with this data */
	bool responded;
	bool blocked; /* htp_write() has returned false */
	bool ended; /* the last byte of the response is queued */
	bool chunked_out;
	bool no_body_out; /* HEAD, 204 and 304 */
	long long body_left; /* bytes of the declared length not written yet */
	struct htp_outbuf *first;
	struct htp_outbuf *last;
	size_t queued_bytes;
};

struct htp {
	struct lop *loop;
	struct lws_vhost *fd_vhost; /* of listener and events */
	struct lws *listener;
	struct lws *events;
	int listen_fd;
	int events_fd; /* epoll instance of the connections */
	uint16_t port;
	struct htp_params params;
	const struct htp_ops *ops;
	void *arg;
	struct htp_conn *conns;
	size_t conn_count;
	size_t req_count;
	uint32_t timeout_timer;
};

int htp_head_read(struct htp_req *r, const struct httpmsg *m);
void htp_head_free(struct htp_req *r);

bool htp_out_queue(struct htp_req *r, const void *data, size_t len);
void htp_out_free(struct htp_req *r);

void htp_refuse(struct htp_req *r, int status);

void htp_out_flush(struct htp_conn *c);

void htp_out_writable(struct htp_conn *c);

void htp_out_finish(struct htp_conn *c);

struct htp_conn *htp_conn_add(struct htp *h, int fd, const char *peer);
void htp_conn_free(struct htp_conn *c);

void htp_conn_abort(struct htp_conn *c);

void htp_conn_schedule(struct htp_conn *c);

void htp_conn_read(struct htp_conn *c);

bool htp_watch_open(struct htp *h);
bool htp_watch_add(struct htp_conn *c);
void htp_watch_close(struct htp *h);

void htp_accept(struct htp *h);

void htp_req_close(struct htp_conn *c, bool complete);

#endif
