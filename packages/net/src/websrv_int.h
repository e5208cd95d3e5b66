#ifndef WEBSRV_INT_H
#define WEBSRV_INT_H

/* Internal interface of the HTTP server's source files. */

#include "fdwatch.h"
#include "httpmsg.h"
#include "tcplinger.h"
#include "websrv.h"

/* Largest buffer of the output queue, in bytes. */
#define WEBSRV_OUTBUF_MAX 65536

/* Buffer of the output queue. */
struct websrv_outbuf {
	struct websrv_outbuf *next;
	size_t sent;
	size_t len;
	size_t size;
	unsigned char bytes[];
};

/* Copy of a request header that the handler has looked up. */
struct websrv_header_copy {
	struct websrv_header_copy *next;
	char *value; /* NULL if the request has no such header */
	char name[];
};

struct websrv_conn {
	struct websrv *server;
	int fd;
	struct httpparse *parser;
	struct websrv_conn *next;
	struct websrv_conn *prev;
	struct websrv_req *req; /* NULL between requests */
	struct buf in; /* pipelined bytes after the current request */
	uint64_t progress_us; /* when the caller last sent or received bytes */
	uint32_t schedule_timer; /* timer of websrv_conn_schedule() */
	bool readable; /* the socket may have more bytes */
	bool used; /* a request has been received on it */
	bool close_after; /* close after the current response */
	bool broken; /* input is malformed or belongs to a refused request */
	bool lingering; /* answered and shut down; input is discarded */
	struct tcplinger linger;
	uint32_t linger_timer;
	bool finishing; /* the response is queued; the request ends next */
	bool aborted;
	char peer[46];
};

struct websrv_req {
	struct websrv_conn *conn;
	void *user;
	const char *method;
	char *path;
	char *query;
	struct websrv_header_copy *copies;
	long long content_length;
	bool unreported; /* refused before head() was called */
	int refuse_status; /* status of a request that was refused this way */
	bool body_done; /* the whole body has been received */
	bool paused;
	struct buf paused_body; /* body data received while paused */
	bool paused_body_end; /* the body ends with this data */
	bool responded;
	bool blocked; /* websrv_write() has returned false */
	bool ended; /* the last byte of the response is queued */
	bool chunked_out;
	bool no_body_out; /* HEAD, 204 and 304 */
	long long body_left; /* bytes of the declared length not written yet */
	struct websrv_outbuf *first;
	struct websrv_outbuf *last;
	size_t queued_bytes;
};

struct websrv {
	struct lwsloop *loop;
	struct lws_vhost *listen_vhost;
	struct lws *listener;
	struct fdwatch *watch; /* of the connections */
	int listen_fd;
	uint16_t port;
	struct websrv_params params;
	const struct websrv_ops *ops;
	void *arg;
	struct websrv_conn *conns;
	size_t conn_count;
	size_t req_count;
	uint32_t timeout_timer;
};

int websrv_head_read(struct websrv_req *r, const struct httpmsg *m);
void websrv_head_free(struct websrv_req *r);

bool websrv_out_queue(struct websrv_req *r, const void *data, size_t len);
void websrv_out_free(struct websrv_req *r);

void websrv_refuse(struct websrv_req *r, int status);

void websrv_out_flush(struct websrv_conn *c);

void websrv_out_writable(struct websrv_conn *c);

void websrv_out_finish(struct websrv_conn *c);

struct websrv_conn *websrv_conn_add(struct websrv *h, int fd, const char *peer);
void websrv_conn_free(struct websrv_conn *c);

void websrv_conn_abort(struct websrv_conn *c);

void websrv_conn_linger(struct websrv_conn *c, bool more_input);

void websrv_conn_schedule(struct websrv_conn *c);

void websrv_conn_read(struct websrv_conn *c);

bool websrv_watch_open(struct websrv *h);
void websrv_watch_close(struct websrv *h);

void websrv_accept(struct websrv *h);

void websrv_req_close(struct websrv_conn *c, bool complete);

#endif
