#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "peer_message.h"
#include "routerd_int.h"
#include "zip.h"

/*
 * Maximum number of concurrent messages with a configuration. Four of about
 * 50 kB each, for 1,300 routes, fill a link of 13 Mbit/s for 1/8 s.
 */
#define SENDING_MAX 4
/* Minimum interval between messages to one daemon: two of its reports. */
#define SEND_AGAIN_US (1 * US_PER_S)
/* Maximum size of a configuration in bytes, far above that of usual ones. */
#define TEXT_MAX (16U << 20)

/*
 * Stores the compressed configuration for messages to other daemons. Only the
 * leader sends them, so the others save the processor time.
 */
static void store_compressed(struct routerd *r, const char *text, size_t len)
{
	size_t packed_len = 0;
	char *packed;

	r->config_text.start = r->config_text.end = 0;
	if (!planner_is_leader(r->leader))
		return;
	packed = zip_compress(text, len, &packed_len);
	if (packed)
		buf_add(&r->config_text, packed, packed_len);
	free(packed);
}

/* Applies a configuration if it is valid and newer than the one in effect. */
static void apply_config(struct routerd *r, const char *text, size_t len,
			 const char *from)
{
	struct rconfig config = { 0 };
	struct err err = { 0 };

	if (!r->platform.ops->read_config(text, len, &config, &err)) {
		log_emit(LOG_CONFIG_REFUSED, "in_force=%llu reason=\"%s\"",
			 (unsigned long long)r->config.version, err.text);
		return;
	}
	if (config.version <= r->config.version) {
		rconfig_free(&config);
		return;
	}
	rconfig_free(&r->config);
	r->config = config;
	log_emit(LOG_CONFIG_IN_FORCE,
		 "version=%llu routes=%zu services=%zu from=%s",
		 (unsigned long long)config.version, config.route_count,
		 config.service_count, from);
	cfglag_add(&r->config_lag, config.version, evloop_now_us(r->loop));
	store_compressed(r, text, len);
	routerd_set_limits(r);
	planner_request_read(r->leader);
}

/* Handles a row of the configuration table. */
void routerd_apply_config_row(struct routerd *r, const struct tbl_row *row)
{
	if (!row->removed && strcmp(row->key, r->platform.ops->config_key) == 0)
		apply_config(r, row->value, row->len, "table");
}

/* Applies the configuration of a message; false if decompression fails. */
bool routerd_apply_config_message(struct routerd *r, const struct buf *body)
{
	size_t len;
	char *text = buf_len(body) ?
			     zip_decompress(buf_data(body), buf_len(body),
					    TEXT_MAX, &len) :
			     NULL;

	if (!text)
		return false;
	apply_config(r, text, len, "leader");
	free(text);
	return true;
}

/* Counts a message that arrived or was lost; the next report shows which. */
static void on_sent(void *arg, uint16_t status)
{
	struct routerd *r = arg;

	(void)status;
	r->config_sending--;
}

/*
 * Sends the configuration to a daemon whose report shows that it lags behind.
 */
void routerd_send_config(struct routerd *r, const struct noderpt *report)
{
	struct memb *m =
		membs_find(planview_members(r->view), report->incarnation.node);
	uint64_t now = evloop_now_us(r->loop);

	if (!m || !m->pool || buf_len(&r->config_text) == 0 ||
	    r->config_sending >= SENDING_MAX || now < m->config_next_us ||
	    !cfglag_is_late(&r->config_lag, report->config_version, now))
		return;
	r->config_sender = (struct peermsg_sender){ on_sent, r };
	if (!peermsg_send_bytes(m->pool, ROUTERD_CONFIG_TARGET,
				buf_data(&r->config_text),
				buf_len(&r->config_text), &r->config_sender)) {
		log_emit(LOG_NO_DESCRIPTOR, "to=%s", m->peer_address);
		return;
	}
	r->config_sending++;
	m->config_next_us = now + SEND_AGAIN_US;
	log_emit(LOG_CONFIG_SENT,
		 "to=%s its_version=%" PRIu64 " version=%" PRIu64,
		 m->incarnation.node, report->config_version,
		 r->config.version);
}
