#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "log.h"
#include "peer_message.h"
#include "routerd_int.h"
#include "zip.h"

/* Maximum number of daemons that are notified of one release. */
#define OWNERS_MAX 64

/*
 * Logs a failure. No retry is needed, as the table watch brings the rows too.
 */
static void on_answer(void *arg, const struct httpmsg *m)
{
	(void)arg;
	if (!m)
		log_emit(LOG_PLAN_NOT_SENT, "status=0");
}

static const struct peermsg_sender sender = { on_answer, NULL };

/* Maximum size of a decompressed message in bytes, as that of a row's value. */
#define TEXT_MAX (64U << 20)

/* Sends rows of the plan to a member. */
static void send_to(struct memb *m, const struct buf *text)
{
	if (m->pool &&
	    !peermsg_send_bytes(m->pool, ROUTERD_PLAN_TARGET, buf_data(text),
				buf_len(text), &sender))
		log_emit(LOG_NO_DESCRIPTOR, "to=%s", m->peer_address);
}

/* Appends a list of rows to a message, compressed, and frees the list. */
static void add_packed(json_t *list, struct buf *out)
{
	size_t packed_len = 0;
	char *text = json_dumps(list, JSON_COMPACT);
	char *packed =
		text ? zip_compress(text, strlen(text), &packed_len) : NULL;

	json_decref(list);
	if (packed)
		buf_add(out, packed, packed_len);
	free(packed);
	free(text);
}

/*
 * Formats the rows of the plan as a compressed message. The leader sends it to
 * every daemon, so its size determines how many daemons its link can serve.
 */
static void format_rows(const struct tbl_change *rows, size_t count,
			uint64_t version, struct buf *out)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++) {
		if (rows[i].value && strcmp(rows[i].table, PLANVIEW_TABLE) == 0)
			json_array_append_new(list,
					      json_pack("[s,I,s]", rows[i].key,
							(json_int_t)version,
							rows[i].value));
	}
	add_packed(list, out);
}

/* Sends the maps of an earlier era, once in an era to each leader. */
void routerd_send_earlier_maps(struct routerd *r, uint64_t era)
{
	uint64_t leader = planview_leader(r->view)->version;
	struct planview_row *rows;
	struct buf text = { 0 };
	json_t *list;
	size_t count;

	if (r->sent_era == era && r->sent_leader == leader)
		return;
	r->sent_era = era;
	r->sent_leader = leader;
	rows = planview_list_earlier(r->view, era, &count);
	if (!rows)
		return;
	list = json_array();
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list,
				      json_pack("[s,I,s]", rows[i].key,
						(json_int_t)rows[i].version,
						rows[i].value));
	add_packed(list, &text);
	routerd_send_to_leader(r, ROUTERD_PLAN_TARGET, buf_data(&text),
			       buf_len(&text), &r->leader_sender);
	buf_free(&text);
	planview_free_rows(rows, count);
}

/* Sends to all other daemons. */
static void send_to_all(struct routerd *r, const struct buf *text)
{
	struct membs *members = planview_members(r->view);

	for (size_t i = 0; i < membs_count(members); i++) {
		struct memb *m = membs_at(members, i);

		if (strcmp(m->incarnation.node, r->settings.instance) != 0)
			send_to(m, text);
	}
}

/*
 * Sends to the daemons of the owners whose ranges had a former holder in the
 * map before and have none in the map after. Both maps have the same ranges, as
 * a release merges none.
 */
static void send_to_owners(struct routerd *r, const struct keymap *before,
			   const struct keymap *after, const struct buf *text)
{
	struct memb *sent[OWNERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < keymap_range_count(after) && count < OWNERS_MAX;
	     i++) {
		const struct keymap_range *x = keymap_range_at(after, i);
		const struct keymap_range *old = keymap_find(before, x->first);
		struct memb *m = membs_find_incarnation(
			planview_members(r->view),
			keymap_incarnation(after, x->owner));
		size_t seen = 0;

		if (old->former == KEYMAP_NO_INCARNATION ||
		    x->former != KEYMAP_NO_INCARNATION || !m ||
		    strcmp(m->incarnation.node, r->settings.instance) == 0)
			continue;
		while (seen < count && sent[seen] != m)
			seen++;
		if (seen < count)
			continue;
		sent[count++] = m;
		send_to(m, text);
	}
}

/* Applies a map with a release and notifies the new owners. */
static void apply_release(struct routerd *r, const struct tbl_change *row,
			  uint64_t version)
{
	const char *service = row->key + strlen(PLANVIEW_KEYS_PREFIX);
	uint64_t known_version;
	const struct keymap *known =
		planview_map(r->view, service, &known_version);
	struct keymap *before = known ? keymap_copy(known) : NULL;
	struct buf text = { 0 };

	format_rows(row, 1, version, &text);
	planview_apply_row(r->view, row->key, row->value, strlen(row->value),
			   version);
	known = planview_map(r->view, service, &known_version);
	if (before && known)
		send_to_owners(r, before, known, &text);
	keymap_destroy(before);
	buf_free(&text);
}

/* A single map is a release, any other write is one of the leader. */
void routerd_publish_rows(void *arg, const struct tbl_change *rows,
			  size_t count, uint64_t version)
{
	struct routerd *r = arg;
	struct buf text = { 0 };

	if (count == 1 && strncmp(rows->key, PLANVIEW_KEYS_PREFIX,
				  strlen(PLANVIEW_KEYS_PREFIX)) == 0) {
		apply_release(r, rows, version);
		routerd_plan_changed(r);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		if (rows[i].value && strcmp(rows[i].table, PLANVIEW_TABLE) == 0)
			planview_apply_row(r->view, rows[i].key, rows[i].value,
					   strlen(rows[i].value), version);
	}
	format_rows(rows, count, version, &text);
	send_to_all(r, &text);
	buf_free(&text);
	routerd_plan_changed(r);
}

/* Applies the rows of a message; rows older than the known ones are ignored. */
bool routerd_apply_rows_message(struct routerd *r, const struct buf *body)
{
	size_t len = 0;
	char *text = buf_len(body) ?
			     zip_decompress(buf_data(body), buf_len(body),
					    TEXT_MAX, &len) :
			     NULL;
	json_t *list = text ? json_loadb(text, len, 0, NULL) : NULL;
	json_t *item;
	size_t i;

	free(text);
	if (!json_is_array(list)) {
		json_decref(list);
		return false;
	}
	json_array_foreach(list, i, item) {
		const char *key, *value;
		json_int_t version;

		if (json_unpack(item, "[s,I,s!]", &key, &version, &value) == 0)
			planview_apply_row(r->view, key, value, strlen(value),
					   (uint64_t)version);
	}
	json_decref(list);
	routerd_plan_changed(r);
	return true;
}
