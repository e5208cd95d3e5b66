#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * Settings of one daemon, read from a YAML file. Command-line flags override
 * the file. All settings are validated before any socket is opened.
 */

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "log.h"

#define SETTINGS_NAME_MAX 32
#define SETTINGS_ADDRESS_MAX 46
#define SETTINGS_PATH_MAX 256
#define SETTINGS_SEEDS_MAX 16

enum settings_error {
	SETTINGS_UNREADABLE = 1, /* the file cannot be read */
	SETTINGS_SYNTAX, /* not YAML */
	SETTINGS_UNKNOWN_FIELD,
	SETTINGS_MISSING_FIELD,
	SETTINGS_BAD_VALUE /* wrong type or out of range */
};

struct settings_endpoint {
	char address[SETTINGS_ADDRESS_MAX]; /* an IP address */
	uint16_t port; /* 1 to 65535 */
};

struct settings {
	uint32_t instance; /* 1 to 2^32-1, unique among all daemons */
	char name[SETTINGS_NAME_MAX];
	char data_centre[SETTINGS_NAME_MAX];
	char region[SETTINGS_NAME_MAX];
	char address[SETTINGS_ADDRESS_MAX]; /* used for all ports below */
	uint16_t http_port;
	uint16_t peer_port;
	uint16_t admin_port;
	struct settings_endpoint platform;
	/* Peer ports, optional. */
	struct settings_endpoint seeds[SETTINGS_SEEDS_MAX];
	uint32_t seed_count;
	char chart_dir[SETTINGS_PATH_MAX]; /* default "charts" */
	char trace_file[SETTINGS_PATH_MAX]; /* default "": no trace */
	uint32_t trace_sample_per_million; /* 0 to 1000000, default 0 */
	enum log_level log_level; /* default info */
	uint32_t max_callers; /* connections, 1 to 60000, default 10000 */
	uint32_t idle_timeout_ms; /* 100 to 3600000, default 60000 */
	uint32_t header_timeout_ms; /* 100 to 60000, default 5000 */
	uint32_t max_body_bytes; /* 1 to 2^31, default 128 MiB */
	uint32_t drain_timeout_ms; /* 100 to 3600000, default 60000 */
};

/*
 * Reads settings from a file. Returns false on error, with layer ERR_SETTINGS,
 * a code of enum settings_error and the text
 * "FILE:LINE: FIELD: reason (allowed: RANGE)"; *set is then unchanged.
 */
bool settings_load(const char *path, struct settings *set, struct err *err);

/* Same as settings_load() for a string; name is the file name for messages. */
bool settings_parse(const char *name, const char *text, size_t len,
		    struct settings *set, struct err *err);

/*
 * Sets one field from a command-line assignment "field=value". The value is
 * YAML, as in the file; a dot separates nested fields, as in
 * "platform.port=7000". Errors as for settings_load().
 */
bool settings_override(struct settings *set, const char *assignment,
		       struct err *err);

/*
 * Checks constraints between fields: all ports differ, and the platform is not
 * this daemon. Returns false with code SETTINGS_BAD_VALUE otherwise.
 */
bool settings_check(const struct settings *set, const char *name,
		    struct err *err);

#endif
