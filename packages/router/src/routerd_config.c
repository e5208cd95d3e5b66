#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "log.h"
#include "peer_headers.h"
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
/* Interval of checks while the configuration is not confirmed. */
#define AGE_CHECK_US (200 * US_PER_MS)
/* Maximum size of a configuration in bytes, far above that of usual ones. */
#define TEXT_MAX (16U << 20)

/*
 * Stores the compressed configuration for messages to other daemons. Only the
 * leader sends them, so the others save the processor time and the memory; a
 * daemon that takes the lead reads the text again.
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

/*
 * Records a configuration that cannot be read. It is logged once, as the table
 * and the leader may send its text many times.
 */
static void refuse_config(struct routerd *r, uint64_t hash, uint64_t version,
			  const char *reason)
{
	if (r->config_refused && r->config_refused_hash == hash)
		return;
	r->config_refused = true;
	r->config_refused_hash = hash;
	r->config_refused_version = version;
	log_emit(LOG_CONFIG_REFUSED, "version=%llu in_force=%llu reason=\"%s\"",
		 (unsigned long long)version,
		 (unsigned long long)r->config.version, reason);
}

/*
 * Applies a configuration if it is valid and newer than the one in effect. The
 * text of the one in effect, which may come from the table and from the leader,
 * is not decoded again: that of thousands of routes takes a daemon with a tenth
 * of a core half a second.
 */
static void apply_config(struct routerd *r, const char *text, size_t len,
			 const char *from)
{
	uint64_t hash = XXH3_64bits(text, len);
	struct rconfig config = { 0 };
	struct err err = { 0 };

	if (r->config.version > 0 && hash == r->config_hash) {
		if (buf_len(&r->config_text) == 0)
			store_compressed(r, text, len);
		return;
	}
	if (!r->platform.ops->read_config(text, len, &r->config, &config,
					  &err)) {
		refuse_config(r, hash, config.version, err.text);
		return;
	}
	if (config.version <= r->config.version) {
		rconfig_free(&config);
		return;
	}
	rconfig_free(&r->config);
	r->config = config;
	r->config_hash = hash;
	if (config.version >= r->config_refused_version)
		r->config_refused = false;
	log_emit(LOG_CONFIG_IN_FORCE,
		 "version=%llu routes=%zu services=%zu from=%s",
		 (unsigned long long)config.version, config.route_count,
		 config.service_count, from);
	if (config.unread_count > 0)
		log_emit(LOG_CONFIG_ENTRY_UNREAD,
			 "version=%llu entries=%zu reason=\"%s\"",
			 (unsigned long long)config.version,
			 config.unread_count, config.unread_reason.text);
	cfglag_add(&r->config_lag, config.version, evloop_now_us(r->loop));
	store_compressed(r, text, len);
	routerd_set_limits(r);
	planner_request_read(r->leader);
}

/* Asks the table service if nothing has confirmed the configuration in time. */
static void check_age(void *arg, uint64_t now_us)
{
	struct routerd *r = arg;
	uint64_t due = cfgage_due_us(&r->config_age);

	if (now_us >= due) {
		tblwatch_set_wait(r->config_watch,
				  cfgage_poll_ms(&r->config_age,
						 planner_is_leader(r->leader),
						 now_us));
		tblwatch_restart(r->config_watch);
		due = now_us + AGE_CHECK_US;
	}
	r->config_timer = tmr_at(evloop_timers(r->loop), due, check_age, r);
}

/* Starts the checks. The watch has begun with a read. */
void routerd_start_config_checks(struct routerd *r)
{
	check_age(r, evloop_now_us(r->loop));
}

/* Stops the checks. */
void routerd_stop_config_checks(struct routerd *r)
{
	tmr_cancel(evloop_timers(r->loop), r->config_timer);
}

/* The rows of the answer are in effect; the next poll follows. */
void routerd_config_answered(struct routerd *r)
{
	uint64_t now = evloop_now_us(r->loop);

	cfgage_confirm(&r->config_age, tblwatch_answered_us(r->config_watch));
	tblwatch_set_wait(r->config_watch,
			  cfgage_poll_ms(&r->config_age,
					 planner_is_leader(r->leader), now));
}

/* Takes the leader's version as of the report's start, less the age of it. */
void routerd_confirm_config(struct routerd *r, const struct httpmsg *m,
			    uint64_t report_sent_us)
{
	uint64_t version, age_us;

	if (peerhdr_read_config(m, &version, &age_us))
		cfgage_confirm_by_leader(&r->config_age, r->config.version,
					 version,
					 clk_elapsed(report_sent_us, age_us),
					 evloop_now_us(r->loop));
}

/* Without an answer of the table service, the daemon can confirm nothing. */
void routerd_write_config_version(const struct routerd *r, struct buf *fields)
{
	if (r->config_age.confirmed_us > 0)
		peerhdr_write_config(fields, r->config.version,
				     clk_elapsed(evloop_now_us(r->loop),
						 r->config_age.confirmed_us));
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
static void on_sent(void *arg, const struct httpmsg *m)
{
	struct routerd *r = arg;

	(void)m;
	r->config_sending--;
}

/* Reads the text of the version in effect, unless a read is in progress. */
static void request_text(struct routerd *r)
{
	if (tblwatch_ticket(r->config_watch) >= r->config_read)
		r->config_read = tblwatch_request_read(r->config_watch);
}

/*
 * Sends the configuration to a daemon whose report shows that it lags behind. A
 * report of a newer version shows that this daemon does.
 */
void routerd_send_config(struct routerd *r, const struct noderpt *report)
{
	struct memb *m =
		membs_find(planview_members(r->view), report->incarnation.node);
	uint64_t now = evloop_now_us(r->loop);

	if (report->config_version > r->config.version)
		tblwatch_restart(r->config_watch);
	else if (buf_len(&r->config_text) == 0 && r->config.version > 0)
		request_text(r);
	if (!m || !m->pool || buf_len(&r->config_text) == 0 ||
	    r->config_sending >= SENDING_MAX || now < m->config_next_us ||
	    !cfglag_is_late(&r->config_lag, report->config_version, now))
		return;
	r->config_sender = (struct peermsg_sender){ on_sent, r };
	if (!peermsg_send_bytes(m->pool, ROUTERD_CONFIG_TARGET,
				buf_data(&r->config_text),
				buf_len(&r->config_text),
				routerd_traffic(r, TRAFFIC_MESSAGE, m),
				&r->config_sender)) {
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
