#ifndef ROUTER_SETTINGS_H
#define ROUTER_SETTINGS_H

/*
 * Settings of a daemon that routes by key ranges, from a YAML file. All
 * settings are validated before a socket is opened.
 */

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "log.h"
#include "name.h"

#define RSETTINGS_ADDRESS_MAX 64
#define RSETTINGS_NUMBER_MAX 16

/* The region of a data centre; both are identifiers. */
struct rsettings_region {
	char data_centre[NAME_SIZE];
	char region[NAME_SIZE];
};

struct rsettings {
	/* Identifiers of names, see name.h. */
	char instance[NAME_SIZE]; /* unique among all daemons */
	char data_centre[NAME_SIZE];
	char service[NAME_SIZE]; /* of the local upstream; may be "" */
	char *service_name; /* as in the file; freed by rsettings_free() */
	/* All addresses: IPV4:PORT. */
	char caller_address[RSETTINGS_ADDRESS_MAX];
	char peer_address[RSETTINGS_ADDRESS_MAX];
	char ready_address[RSETTINGS_ADDRESS_MAX];
	char announce_address[RSETTINGS_ADDRESS_MAX];
	char metrics_address[RSETTINGS_ADDRESS_MAX]; /* "" for none */
	char upstream_address[RSETTINGS_ADDRESS_MAX];
	char platform_address[RSETTINGS_ADDRESS_MAX];
	uint32_t announce_ms; /* interval of the upstream's announcements */
	uint32_t hold_max_ms; /* longest hold of keys at an upstream */
	uint32_t drain_ms; /* from an acknowledged leave to the last request */
	char grace_s[RSETTINGS_NUMBER_MAX]; /* text from the file */
	uint32_t grace_ms; /* from SIGTERM to SIGKILL, from grace_s */
	/* Texts from the file, "" if not set. */
	char cold_over[RSETTINGS_NUMBER_MAX];
	char cold_slack[RSETTINGS_NUMBER_MAX];
	/*
	 * A cold upstream receives in one second at most its cold rate times
	 * cold_factor, and cold_extra requests.
	 */
	double cold_factor, cold_extra;
	/* From an evacuation of a data centre to the last request there. */
	uint32_t evacuate_ms;
	uint32_t memory_mb; /* memory limit of the process, 0 for none */
	uint32_t
		max_fds; /* descriptors of the process, 0: the system's limit */
	char link_mbit_s[RSETTINGS_NUMBER_MAX]; /* text from the file */
	uint64_t link_bytes_s; /* rate of this machine's link, 0 if unknown */
	enum log_level log_level;
	struct rsettings_region *regions; /* freed by rsettings_free() */
	size_t region_count;
};

bool rsettings_load(const char *path, struct rsettings *s, struct err *err);
bool rsettings_parse(const char *name, const char *text, size_t len,
		     struct rsettings *s, struct err *err);
void rsettings_free(struct rsettings *s);

/* Returns the region of a data centre, "" if it is not in the settings. */
const char *rsettings_region(const struct rsettings *s,
			     const char *data_centre);

#endif
