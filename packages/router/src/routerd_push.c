#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "log.h"
#include "peer_message.h"
#include "pushtree.h"
#include "routerd_int.h"
#include "zip.h"

/* Maximum number of daemons that are notified of one release. */
#define OWNERS_MAX 64
#define STATUS_OK 200

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
static void send_to(const struct routerd *r, struct memb *m,
		    const struct buf *text)
{
	if (m->pool &&
	    !peermsg_send_bytes(m->pool, ROUTERD_PLAN_TARGET, buf_data(text),
				buf_len(text),
				routerd_traffic(r, TRAFFIC_PLAN, m), &sender))
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
	for (size_t i = 0; i < count; i++) {
		log_emit(LOG_EARLIER_MAP_SENT,
			 "key=%s version=%llu era=%llu leader=%s "
			 "leader_version=%llu",
			 rows[i].key, (unsigned long long)rows[i].version,
			 (unsigned long long)era,
			 planview_leader(r->view)->node,
			 (unsigned long long)leader);
		json_array_append_new(list,
				      json_pack("[s,I,s]", rows[i].key,
						(json_int_t)rows[i].version,
						rows[i].value));
	}
	add_packed(list, &text);
	routerd_send_to_leader(r, TRAFFIC_PLAN, ROUTERD_PLAN_TARGET,
			       buf_data(&text), buf_len(&text),
			       &r->leader_sender);
	buf_free(&text);
	planview_free_rows(rows, count);
}

/* Sends the rows of a push to a group directly and forgets the push. */
static void send_directly(struct routerd_push *p)
{
	const char *name = buf_data(&p->names);
	const char *end = name + buf_len(&p->names);

	for (; name < end; name += strlen(name) + 1) {
		struct memb *m =
			membs_find(planview_members(p->owner->view), name);

		if (m)
			send_to(p->owner, m, &p->rows);
	}
}

/* A daemon of an earlier version, or one that is gone, passes nothing on. */
static void on_relay_answer(void *arg, const struct httpmsg *m)
{
	struct routerd_push *p = arg;

	if (!p->active)
		return;
	p->active = false;
	if (!m || m->status != STATUS_OK) {
		log_emit(LOG_PLAN_NOT_SENT, "status=%u", m ? m->status : 0);
		send_directly(p);
	}
	buf_free(&p->names);
	buf_free(&p->rows);
}

/* Sends to a group by way of its first daemon that was reachable lately. */
static void send_to_group(struct routerd *r, struct memb **group, size_t count,
			  const struct buf *rows)
{
	struct routerd_push *p =
		&r->pushes[r->next_push++ % ROUTERD_PUSHES_MAX];
	uint64_t now = evloop_now_us(r->loop);
	struct buf message = { 0 };
	size_t relay = 0;

	while (relay + 1 < count && now < group[relay]->avoid_until_us)
		relay++;
	buf_free(&p->names);
	buf_free(&p->rows);
	p->owner = r;
	p->sender = (struct peermsg_sender){ on_relay_answer, p };
	p->active = true;
	for (size_t i = 0; i < count; i++) {
		const char *name = group[i]->incarnation.node;

		buf_add(&p->names, name, strlen(name) + 1);
		if (i == relay)
			continue;
		buf_add_text(&message, name);
		buf_add_text(&message, "\n");
	}
	/* An empty line ends the names. */
	buf_add_text(&message, "\n");
	buf_add(&message, buf_data(rows), buf_len(rows));
	buf_add(&p->rows, buf_data(rows), buf_len(rows));
	if (!peermsg_send_bytes(group[relay]->pool, ROUTERD_RELAY_TARGET,
				buf_data(&message), buf_len(&message),
				routerd_traffic(r, TRAFFIC_PLAN, group[relay]),
				&p->sender))
		on_relay_answer(p, NULL);
	buf_free(&message);
}

/*
 * Sends to all other daemons, to many of them by way of others. The groups
 * change each time, so that one daemon that does not pass rows on keeps nobody
 * uninformed for long.
 */
static void send_to_all(struct routerd *r, const struct buf *text)
{
	struct membs *members = planview_members(r->view);
	size_t count = membs_count(members);
	struct memb **list = calloc(count + 1, sizeof(struct memb *));
	size_t receivers = 0, groups;
	size_t start =
		clk_random_below(evloop_clock(r->loop), (uint32_t)count + 1);

	for (size_t i = 0; list && i < count; i++) {
		struct memb *m = membs_at(members, (start + i) % count);

		if (m->pool &&
		    strcmp(m->incarnation.node, r->settings.instance) != 0)
			list[receivers++] = m;
	}
	groups = pushtree_group_count(receivers);
	for (size_t i = 0; i < groups; i++) {
		struct pushtree_group g = pushtree_group(receivers, groups, i);

		send_to_group(r, list + g.first, g.count, text);
	}
	for (size_t i = 0; groups == 0 && i < receivers; i++)
		send_to(r, list[i], text);
	free(list);
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
		send_to(r, m, text);
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

/* Applies the rows of a message and passes them on to the daemons it names. */
bool routerd_relay_rows_message(struct routerd *r, const struct buf *body)
{
	struct buf rows = { 0 };
	struct buf names = { 0 };
	const char *end = buf_len(body) ? memmem(buf_data(body), buf_len(body),
						 "\n\n", 2) :
					  NULL;
	char *name, *rest = NULL;
	bool ok;

	/* A group of one daemon has no names. */
	if (buf_len(body) > 0 && buf_data(body)[0] == '\n')
		end = buf_data(body) - 1;
	if (!end)
		return false;
	buf_add(&names, buf_data(body), (size_t)(end + 1 - buf_data(body)));
	buf_add(&names, "", 1);
	buf_add(&rows, end + 2,
		buf_len(body) - (size_t)(end + 2 - buf_data(body)));
	/* The rows may list daemons that were not known before. */
	ok = routerd_apply_rows_message(r, &rows);
	for (name = strtok_r((char *)buf_data(&names), "\n", &rest); ok && name;
	     name = strtok_r(NULL, "\n", &rest)) {
		struct memb *m = membs_find(planview_members(r->view), name);

		if (m)
			send_to(r, m, &rows);
	}
	buf_free(&rows);
	buf_free(&names);
	return ok;
}

void routerd_free_pushes(struct routerd *r)
{
	for (size_t i = 0; i < ROUTERD_PUSHES_MAX; i++) {
		r->pushes[i].active = false;
		buf_free(&r->pushes[i].names);
		buf_free(&r->pushes[i].rows);
	}
}
