#ifndef RSE_H
#define RSE_H

/*
 * Settings of a daemon that routes by key ranges, from a YAML file. All
 * settings are validated before a socket is opened.
 */

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "log.h"

#define RSE_NAME_MAX 64
#define RSE_ADDRESS_MAX 64
#define RSE_NUMBER_MAX 16

struct rse {
	char instance[RSE_NAME_MAX]; /* unique among all daemons */
	char data_centre[RSE_NAME_MAX];
	char service[RSE_NAME_MAX]; /* of the local upstream; may be "" */
	char caller_address[RSE_ADDRESS_MAX]; /* all addresses: IPV4:PORT */
	char peer_address[RSE_ADDRESS_MAX];
	char ready_address[RSE_ADDRESS_MAX];
	char announce_address[RSE_ADDRESS_MAX];
	char metrics_address[RSE_ADDRESS_MAX]; /* "" for none */
	char upstream_address[RSE_ADDRESS_MAX];
	char platform_address[RSE_ADDRESS_MAX];
	uint32_t announce_ms; /* interval of the upstream's announcements */
	uint32_t hold_max_ms; /* longest hold of keys at an upstream */
	uint32_t drain_ms; /* from an acknowledged leave to the last request */
	char grace_s[RSE_NUMBER_MAX]; /* text from the file */
	uint32_t grace_ms; /* from SIGTERM to SIGKILL, from grace_s */
	uint32_t memory_mb; /* memory limit of the process, 0 for none */
	char link_mbit_s[RSE_NUMBER_MAX]; /* text from the file */
	uint64_t link_bytes_s; /* rate of this machine's link, 0 if unknown */
	enum log_level log_level;
};

bool rse_load(const char *path, struct rse *s, struct err *err);
bool rse_parse(const char *name, const char *text, size_t len, struct rse *s,
	       struct err *err);

#endif
