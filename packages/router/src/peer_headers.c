#include "peer_headers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_MAX_BYTES 512
/* Minimum number of numbers in the request field. */
#define REQUEST_VALUES_MIN 6
/* Stands for a caller whose daemon has no service. */
#define NO_SERVICE "-"
/* Longest time accepted from another daemon, so that sums do not overflow. */
#define TIME_MAX_US (3600 * US_PER_S)

/* Compares the start of the name without regard to case. */
bool peerhdr_is_field(struct span name)
{
	size_t len = strlen(PEERHDR_PREFIX);

	return name.len >= len &&
	       span_is_nocase((struct span){ name.text, len }, PEERHDR_PREFIX);
}

/*
 * Writes the header fields of a forwarded request. The caller's service stands
 * between spaces, where only an identifier is sure to fit; "-" stands for none.
 */
void peerhdr_write_request(struct buf *out, const struct peerhdr_request *r)
{
	struct span caller = r->caller_service;
	char identifier[NAME_SIZE] = NO_SERVICE;

	if (caller.len > 0)
		name_identify(identifier, sizeof(identifier), caller.text,
			      caller.len);
	buf_printf(out, "%s: %s %s %llu %llu %u %u %d %d %d %llu %llu %d\r\n",
		   PEERHDR_REQUEST_FIELD, r->upstream_id, identifier,
		   (unsigned long long)r->left_us,
		   (unsigned long long)r->objective_left_us, r->rank, r->kind,
		   r->idempotent, r->keyed, r->sender_stopping,
		   (unsigned long long)r->sent.latest_ms,
		   (unsigned long long)r->sent.era, r->others_left);
	if (caller.len == 0 || span_is(caller, identifier))
		return;
	buf_add_text(out, PEERHDR_CALLER_FIELD ": ");
	buf_add(out, caller.text, caller.len);
	buf_add_text(out, "\r\n");
}

/* Removes the first word of a line that spaces separate, and returns it. */
static struct span take_word(struct span *line)
{
	const char *space = memchr(line->text, ' ', line->len);
	struct span word = *line;

	if (space)
		word.len = (size_t)(space - line->text);
	line->text += word.len + (space ? 1 : 0);
	line->len -= word.len + (space ? 1 : 0);
	return word;
}

/*
 * Reads the service of the caller: its identifier, or the name with this
 * identifier. Another name was sent by the caller itself, through a daemon of an
 * earlier version.
 */
static struct span read_caller(const struct httpmsg *m, struct span identifier)
{
	struct span name = httpmsg_find(m, PEERHDR_CALLER_FIELD);
	char own[NAME_SIZE];

	if (span_is(identifier, NO_SERVICE))
		identifier.len = 0;
	if (!name.text)
		return identifier;
	name_identify(own, sizeof(own), name.text, name.len);
	return span_is(identifier, own) ? name : identifier;
}

/* Reads the fields of a forwarded request. False if missing or invalid. */
bool peerhdr_read_request(const struct httpmsg *m, struct peerhdr_request *r)
{
	struct span field = httpmsg_find(m, PEERHDR_REQUEST_FIELD);
	char line[LINE_MAX_BYTES];
	unsigned long long left, objective;
	unsigned long long sent_ms = 0, sent_era = 0;
	int idempotent, keyed;
	int sender_stopping = 0, others_left = 0;
	int n;

	memset(r, 0, sizeof(*r));
	if (!field.text ||
	    !span_copy(take_word(&field), r->upstream_id,
		       sizeof(r->upstream_id)) ||
	    r->upstream_id[0] == '\0')
		return false;
	r->caller_service = read_caller(m, take_word(&field));
	if (!span_copy(field, line, sizeof(line)))
		return false;
	/* Earlier versions do not send the last values. */
	n = sscanf(line, "%llu %llu %u %u %d %d %d %llu %llu %d", &left,
		   &objective, &r->rank, &r->kind, &idempotent, &keyed,
		   &sender_stopping, &sent_ms, &sent_era, &others_left);
	if (n < REQUEST_VALUES_MIN || left > TIME_MAX_US ||
	    objective > TIME_MAX_US)
		return false;
	r->left_us = left;
	r->objective_left_us = objective;
	r->idempotent = idempotent != 0;
	r->keyed = keyed != 0;
	r->sender_stopping = sender_stopping != 0;
	r->others_left = others_left != 0;
	r->sent = (struct tblclock_stamp){ sent_ms, sent_era };
	return true;
}

/* Writes why a request was rejected and its retry delay, in microseconds. */
void peerhdr_write_rejection(struct buf *out, enum reqrun_rejection why,
			     uint64_t wait_us)
{
	buf_printf(out, "%s: %d %llu\r\n", PEERHDR_REJECTED_FIELD, (int)why,
		   (unsigned long long)wait_us);
}

/*
 * Reads why a request was rejected and its retry delay, in microseconds. False
 * if the field is missing or invalid.
 */
bool peerhdr_read_rejection(const struct httpmsg *m, enum reqrun_rejection *why,
			    uint64_t *wait_us)
{
	char line[LINE_MAX_BYTES];
	unsigned long long wait;
	int value;

	if (!span_copy(httpmsg_find(m, PEERHDR_REJECTED_FIELD), line,
		       sizeof(line)) ||
	    sscanf(line, "%d %llu", &value, &wait) != 2 ||
	    value < REQRUN_BUSY || value > REQRUN_SHED || wait > TIME_MAX_US)
		return false;
	*why = (enum reqrun_rejection)value;
	*wait_us = wait;
	return true;
}

/*
 * Writes the load of the upstream, in requests running and queued. The time to
 * send the pending responses counts as the requests that could run in it.
 */
void peerhdr_write_load(struct buf *out, const struct reqrun_load *load)
{
	uint64_t on_link =
		load->mean_us > 0 ? load->link_us / load->mean_us : 0;
	uint32_t requests = load->running + load->waiting + load->unusable +
			    (uint32_t)on_link;

	/* One that may not start a request is as good as full. */
	if (load->limited)
		requests += load->slots;
	buf_printf(out, "%s: %u\r\n", PEERHDR_LOAD_FIELD, requests);
	if (load->slowdown_pct > 0)
		buf_printf(out, "%s: %llu %u\r\n", PEERHDR_SPEED_FIELD,
			   (unsigned long long)load->mean_us,
			   load->slowdown_pct);
}

/* Reads the speed of the upstream. False if the field is missing or invalid. */
bool peerhdr_read_speed(const struct httpmsg *m, uint64_t *run_us,
			uint32_t *slowdown_pct)
{
	char line[LINE_MAX_BYTES];
	unsigned long long run;
	unsigned int slowdown;

	if (!span_copy(httpmsg_find(m, PEERHDR_SPEED_FIELD), line,
		       sizeof(line)) ||
	    sscanf(line, "%llu %u", &run, &slowdown) != 2 || run > TIME_MAX_US)
		return false;
	*run_us = run;
	*slowdown_pct = slowdown;
	return true;
}

/* Reads the load of the upstream. False if the field is missing or invalid. */
bool peerhdr_read_load(const struct httpmsg *m, uint32_t *requests)
{
	uint64_t n;

	if (!span_number(httpmsg_find(m, PEERHDR_LOAD_FIELD), UINT32_MAX, &n))
		return false;
	*requests = (uint32_t)n;
	return true;
}

/* Writes the queueing and run times of a request, in microseconds. */
void peerhdr_write_times(struct buf *out, const struct reqrun_times *t)
{
	buf_printf(out, "%s: %llu %llu\r\n", PEERHDR_TIMES_FIELD,
		   (unsigned long long)t->queue_us,
		   (unsigned long long)t->run_us);
}

/*
 * Reads the queueing and run times of a request, in microseconds. False if the
 * field is missing or invalid.
 */
bool peerhdr_read_times(const struct httpmsg *m, struct reqrun_times *t)
{
	char line[LINE_MAX_BYTES];
	unsigned long long queue, run;

	if (!span_copy(httpmsg_find(m, PEERHDR_TIMES_FIELD), line,
		       sizeof(line)) ||
	    sscanf(line, "%llu %llu", &queue, &run) != 2 ||
	    queue > TIME_MAX_US || run > TIME_MAX_US)
		return false;
	t->queue_us = queue;
	t->run_us = run;
	return true;
}

/* Writes the version of the configuration and its age, in microseconds. */
void peerhdr_write_config(struct buf *out, uint64_t version, uint64_t age_us)
{
	buf_printf(out, "%s: %llu %llu\r\n", PEERHDR_CONFIG_FIELD,
		   (unsigned long long)version, (unsigned long long)age_us);
}

/*
 * Reads the version of the configuration and its age, in microseconds. False if
 * the field is missing or invalid; earlier versions do not send it.
 */
bool peerhdr_read_config(const struct httpmsg *m, uint64_t *version,
			 uint64_t *age_us)
{
	char line[LINE_MAX_BYTES];
	unsigned long long number, age;

	if (!span_copy(httpmsg_find(m, PEERHDR_CONFIG_FIELD), line,
		       sizeof(line)) ||
	    sscanf(line, "%llu %llu", &number, &age) != 2 || age > TIME_MAX_US)
		return false;
	*version = number;
	*age_us = age;
	return true;
}

/* Writes the versions of the row before and after, and the table's clock. */
void peerhdr_write_lease(struct buf *out, const struct leasecoll_result *r)
{
	buf_printf(out, "%s: %llu %llu %llu\r\n", PEERHDR_LEASE_FIELD,
		   (unsigned long long)r->expected,
		   (unsigned long long)r->version,
		   (unsigned long long)r->now_ms);
}

/* Reads a renewal; false if the field is missing or invalid. */
bool peerhdr_read_lease(const struct httpmsg *m, struct leasecoll_result *r)
{
	char line[LINE_MAX_BYTES];
	unsigned long long expected, version, now_ms;

	if (!span_copy(httpmsg_find(m, PEERHDR_LEASE_FIELD), line,
		       sizeof(line)) ||
	    sscanf(line, "%llu %llu %llu", &expected, &version, &now_ms) != 3)
		return false;
	*r = (struct leasecoll_result){ expected, version, now_ms };
	return true;
}

/* Writes the digest of the plan. */
void peerhdr_write_plan(struct buf *out, uint64_t digest)
{
	buf_printf(out, "%s: %llu\r\n", PEERHDR_PLAN_FIELD,
		   (unsigned long long)digest);
}

/* Reads the digest of the plan; false if the field is missing or invalid. */
bool peerhdr_read_plan(const struct httpmsg *m, uint64_t *digest)
{
	return span_number(httpmsg_find(m, PEERHDR_PLAN_FIELD), UINT64_MAX,
			   digest);
}

/* Writes the version and the identifiers, which have no spaces. */
void peerhdr_write_evacuated(struct buf *out, const struct evac_set *s)
{
	if (s->version == 0)
		return;
	buf_printf(out, "%s: %llu", PEERHDR_EVACUATED_FIELD,
		   (unsigned long long)s->version);
	for (size_t i = 0; i < s->count; i++) {
		buf_add_text(out, " ");
		buf_add_text(out, s->names[i]);
	}
	buf_add_text(out, "\r\n");
}

/*
 * Reads a whole set; false if the field is missing or invalid. A set that is
 * too large is invalid as a whole: a part of it would return data centres to
 * service.
 */
bool peerhdr_read_evacuated(const struct httpmsg *m, struct evac_set *s)
{
	struct span line = httpmsg_find(m, PEERHDR_EVACUATED_FIELD);

	s->version = 0;
	s->count = 0;
	if (!line.text ||
	    !span_number(take_word(&line), UINT64_MAX, &s->version) ||
	    s->version == 0)
		return false;
	while (line.len > 0) {
		char name[NAME_SIZE];

		if (!span_copy(take_word(&line), name, sizeof(name)) ||
		    name[0] == '\0' || s->count == EVAC_MAX)
			return false;
		if (!evac_set_has(s, name))
			memcpy(s->names[s->count++], name, sizeof(name));
	}
	return true;
}
