#ifndef CLUSTER_INT_H
#define CLUSTER_INT_H

/* What the files of the harness share. */

#include "cluster.h"
#include "lop.h"
#include "ups.h"

struct node {
	uint32_t instance;
	bool is_booking;
	uint16_t http_port;
	uint16_t peer_port;
	uint16_t admin_port;
	uint16_t upstream_port;
	pid_t daemon;
	pid_t upstream;
	struct ups *http;
	struct ups *admin;
};

struct cluster {
	struct cluster_params params;
	char dir[64];
	const char *bin;
	struct lop *loop;
	uint16_t platform_port;
	pid_t platform;
	struct ups *platform_pool;
	struct ups *upstream_pools[CLUSTER_NODES_MAX];
	struct node nodes[CLUSTER_NODES_MAX];
	size_t count;
	void (*pump)(void *arg); /* called by cluster_sleep(), or NULL */
	void *pump_arg;
};

/* Sends a request over a pool and waits for its end. */
void cluster_send(struct cluster *c, struct ups *pool, const char *method,
		  const char *path, const char *id, const char *body,
		  unsigned int timeout_ms, struct reply *r);

#endif
