#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "krm_int.h"
#include "txt.h"

/*
 * {"next":FENCE,"lives":[["ID","NODE",BORN,ATTACHED],...],
 *  "ranges":[[FIRST,LAST,FENCE,OWNER,FORMER,"HANDOVER"],...]}
 * BORN is the start time of a session in ms, ATTACHED its random id. OWNER and
 * FORMER are indices in lives, the array of sessions; -1 for none.
 */

/*
 * Appends the sessions that the ranges refer to and sets their indices in the
 * JSON form, -1 for the others. Returns the number of sessions appended.
 */
static int add_used_sessions(const struct krm *map, int *indices,
			     json_t *sessions)
{
	int count = 0;

	for (size_t i = 0; i < map->session_count; i++)
		indices[i] = -1;
	for (size_t i = 0; i < map->count; i++) {
		const uint16_t used[] = { map->ranges[i].owner,
					  map->ranges[i].former };

		for (size_t n = 0; n < 2; n++) {
			const struct life *life = krm_life(map, used[n]);

			if (!life || indices[used[n]] >= 0)
				continue;
			indices[used[n]] = count++;
			json_array_append_new(
				sessions,
				json_pack("[s,s,I,I]", life->id, life->node,
					  (json_int_t)life->born_ms,
					  (json_int_t)life->attached));
		}
	}
	return count;
}

/* Returns the JSON form without the sessions that no range refers to. */
char *krm_write(const struct krm *map)
{
	json_t *sessions = json_array();
	json_t *ranges = json_array();
	int indices[KRM_LIVES_MAX];
	json_t *root;
	char *text;

	add_used_sessions(map, indices, sessions);
	for (size_t i = 0; i < map->count; i++) {
		const struct krm_range *range = &map->ranges[i];

		json_array_append_new(ranges,
				      json_pack("[I,I,I,i,i,s]",
						(json_int_t)range->first,
						(json_int_t)range->last,
						(json_int_t)range->fence,
						range->owner == KRM_NONE ?
							-1 :
							indices[range->owner],
						range->former == KRM_NONE ?
							-1 :
							indices[range->former],
						range->handover));
	}
	root = json_pack("{s:I,s:o,s:o}", "next", (json_int_t)map->next_fence,
			 "lives", sessions, "ranges", ranges);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static bool read_session(const json_t *item, struct life *life)
{
	const char *id, *node;
	json_int_t born, attached;

	if (json_unpack((json_t *)item, "[s,s,I,I!]", &id, &node, &born,
			&attached) < 0 ||
	    strlen(id) >= sizeof(life->id) ||
	    strlen(node) >= sizeof(life->node))
		return false;
	txt_copy(life->id, sizeof(life->id), id);
	txt_copy(life->node, sizeof(life->node), node);
	life->born_ms = born;
	life->attached = attached;
	return true;
}

/* Reads an index of a session; a negative one stands for none. */
static bool read_index(const struct krm *map, int index, uint16_t *out)
{
	*out = index < 0 ? KRM_NONE : (uint16_t)index;
	return index < (int)map->session_count;
}

/* Reads one range, which must begin at the key first to leave no gap. */
static bool read_range(struct krm *map, const json_t *item, uint32_t first)
{
	struct krm_range *range = &map->ranges[map->count];
	json_int_t from, to, fence;
	const char *handover;
	int owner, former;

	if (json_unpack((json_t *)item, "[I,I,I,i,i,s!]", &from, &to, &fence,
			&owner, &former, &handover) < 0 ||
	    from != first || to < from || to >= KRM_KEYS || fence < 0 ||
	    strlen(handover) >= sizeof(range->handover) ||
	    !read_index(map, owner, &range->owner) ||
	    !read_index(map, former, &range->former))
		return false;
	range->first = (uint32_t)from;
	range->last = (uint32_t)to;
	range->fence = (uint64_t)fence;
	txt_copy(range->handover, sizeof(range->handover), handover);
	map->count++;
	return true;
}

/* Fills a map from its JSON form. */
static bool read_map(struct krm *map, json_t *root, struct err *err)
{
	json_t *sessions, *ranges, *item;
	json_int_t next;
	uint32_t first = 0;
	size_t i;

	if (json_unpack(root, "{s:I,s:o,s:o}", "next", &next, "lives",
			&sessions, "ranges", &ranges) < 0 ||
	    next < 1 || json_array_size(sessions) > KRM_LIVES_MAX ||
	    json_array_size(ranges) > KRM_RANGES_MAX)
		return err_set(
			err, ERR_ROWS, KRM_BAD_VALUE,
			"key range map: a field is missing or out of range");
	map->next_fence = (uint64_t)next;
	map->count = 0;
	json_array_foreach(sessions, i, item) {
		if (!read_session(item, &map->sessions[map->session_count++]))
			return err_set(err, ERR_ROWS, KRM_BAD_VALUE,
				       "key range map: session %zu is invalid",
				       i);
	}
	json_array_foreach(ranges, i, item) {
		if (!read_range(map, item, first))
			return err_set(err, ERR_ROWS, KRM_BAD_VALUE,
				       "key range map: range %zu is invalid",
				       i);
		first = map->ranges[i].last + 1;
	}
	if (first != KRM_KEYS)
		return err_set(err, ERR_ROWS, KRM_GAP,
			       "key range map: ranges end before key %u",
			       first);
	return true;
}

/* Parses and checks the JSON form; NULL on errors. */
struct krm *krm_parse(const char *json, size_t len, struct err *err)
{
	json_error_t error;
	json_t *root = json_loadb(json, len, 0, &error);
	struct krm *map;

	if (!root) {
		err_set(err, ERR_ROWS, KRM_SYNTAX,
			"key range map is not valid JSON: %s", error.text);
		return NULL;
	}
	map = krm_create();
	if (map && !read_map(map, root, err)) {
		krm_destroy(map);
		map = NULL;
	}
	json_decref(root);
	return map;
}
