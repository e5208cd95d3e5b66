#ifndef SET_H
#define SET_H

/*
 * Settings of one daemon, from a YAML file; flags of the command line go
 * before the file. Everything is checked before any socket is opened.
 */

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "log.h"

#define SET_NAME_MAX 32
#define SET_ADDRESS_MAX 46
#define SET_PATH_MAX 256
#define SET_SEEDS_MAX 16

enum set_error {
	SET_UNREADABLE = 1, /* the file cannot be read */
	SET_SYNTAX, /* not YAML */
	SET_UNKNOWN_FIELD,
	SET_MISSING_FIELD,
	SET_BAD_VALUE /* wrong type or out of range */
};

struct set_endpoint {
	char address[SET_ADDRESS_MAX]; /* an IP address */
	uint16_t port; /* 1 to 65535 */
};

struct set {
	uint32_t instance; /* 1 to 2^32-1, unique among all daemons */
	char name[SET_NAME_MAX];
	char data_centre[SET_NAME_MAX];
	char region[SET_NAME_MAX];
	char address[SET_ADDRESS_MAX]; /* of all ports below */
	uint16_t http_port;
	uint16_t peer_port;
	uint16_t admin_port;
	struct set_endpoint platform;
	struct set_endpoint seeds[SET_SEEDS_MAX]; /* peer ports, optional */
	uint32_t seed_count;
	char chart_dir[SET_PATH_MAX]; /* default "charts" */
	char trace_file[SET_PATH_MAX]; /* default none */
	uint32_t trace_sample_per_million; /* 0 to 1000000, default 0 */
	enum log_level log_level; /* default info */
	uint32_t max_callers; /* connections, 1 to 60000, default 10000 */
	uint32_t idle_timeout_ms; /* 100 to 3600000, default 60000 */
	uint32_t header_timeout_ms; /* 100 to 60000, default 5000 */
	uint32_t max_body_bytes; /* 1 to 2^31, default 128 MiB */
	uint32_t drain_timeout_ms; /* 100 to 3600000, default 60000 */
};

/*
 * Reads a file. Errors: layer settings, a code of enum set_error and a text of
 * the form FILE:LINE: FIELD: reason (allowed: RANGE).
 */
bool set_load(const char *path, struct set *set, struct err *err);

/* The same for a text; name stands for the file in messages. */
bool set_parse(const char *name, const char *text, size_t len, struct set *set,
	       struct err *err);

/*
 * Sets one field from the command line, "field=value" as in the file; nested
 * fields are written with a dot, for example "platform.port=7000".
 */
bool set_override(struct set *set, const char *assignment, struct err *err);

/* Checks what depends on several fields, for example that ports differ. */
bool set_check(const struct set *set, const char *name, struct err *err);

#endif
