#ifndef CLUSTER_INT_H
#define CLUSTER_INT_H

/* What the files of the harness share. */

#include "cluster.h"
#include "lwsloop.h"
#include "upclient.h"

struct node {
	uint32_t instance;
	bool is_booking;
	uint16_t http_port;
	uint16_t peer_port;
	uint16_t admin_port;
	uint16_t upstream_port;
	pid_t daemon;
	pid_t upstream;
	struct upclient *http;
	struct upclient *admin;
};

struct cluster {
	struct cluster_params params;
	char dir[64];
	const char *bin;
	struct lwsloop *loop;
	uint16_t platform_port;
	pid_t platform;
	struct upclient *platform_pool;
	pid_t naive; /* 0 if none was started */
	struct upclient *naive_pool;
	struct upclient *upstream_pools[CLUSTER_NODES_MAX];
	struct node nodes[CLUSTER_NODES_MAX];
	size_t count;
	void (*pump)(void *arg); /* called by cluster_sleep(), or NULL */
	void *pump_arg;
};

/* Number of partitions that are held, over all daemons that run. */
json_int_t cluster_held(struct cluster *c);

/* A request in progress. */
struct exchange {
	struct reply *reply;
	bool over;
	void (*ended)(void *arg); /* may be NULL */
	void *arg;
};

/* Starts a request; false, and over, if no connection was free. */
bool cluster_begin(struct upclient *pool, const char *method, const char *path,
		   const char *id, const char *body, unsigned int timeout_ms,
		   struct exchange *x);

/* Sends a request over a pool and waits for its end. */
void cluster_send(struct cluster *c, struct upclient *pool, const char *method,
		  const char *path, const char *id, const char *body,
		  unsigned int timeout_ms, struct reply *r);

/* Ends the test program when the harness itself fails. */
void cluster_check(bool ok, const char *what);

uint16_t cluster_free_port(void);
void cluster_choose_ports(struct cluster *c);

#endif
