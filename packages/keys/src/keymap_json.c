#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "keymap_int.h"
#include "txt.h"

/*
 * {"next":FENCE,"era":ERA,"lives":[["ID","NODE",BORN,ATTACHED],...],
 *  "ranges":[[FIRST,LAST,FENCE,OWNER,FORMER,"HANDOVER"],...]}
 * BORN is the start time of an incarnation in ms, ATTACHED its random id. OWNER
 * and FORMER are indices in lives, the array of incarnations; -1 for none.
 */

/*
 * Appends the incarnations that the ranges refer to and sets their indices in
 * the JSON form, -1 for the others. Returns the number of incarnations
 * appended.
 */
static int add_used_incarnations(const struct keymap *map, int *indices,
				 json_t *incarnations)
{
	int count = 0;

	for (size_t i = 0; i < map->incarnation_count; i++)
		indices[i] = -1;
	for (size_t i = 0; i < map->count; i++) {
		const uint16_t used[] = { map->ranges[i].owner,
					  map->ranges[i].former };

		for (size_t n = 0; n < 2; n++) {
			const struct incarnation *incarnation =
				keymap_incarnation(map, used[n]);

			if (!incarnation || indices[used[n]] >= 0)
				continue;
			indices[used[n]] = count++;
			json_array_append_new(
				incarnations,
				json_pack(
					"[s,s,I,I]", incarnation->id,
					incarnation->node,
					(json_int_t)incarnation->start_unix_ms,
					(json_int_t)incarnation->attached));
		}
	}
	return count;
}

/* Returns the JSON form without the incarnations that no range refers to. */
char *keymap_encode(const struct keymap *map)
{
	json_t *incarnations = json_array();
	json_t *ranges = json_array();
	int indices[KEYMAP_INCARNATIONS_MAX];
	json_t *root;
	char *text;

	add_used_incarnations(map, indices, incarnations);
	for (size_t i = 0; i < map->count; i++) {
		const struct keymap_range *range = &map->ranges[i];

		json_array_append_new(
			ranges,
			json_pack("[I,I,I,i,i,s]", (json_int_t)range->first,
				  (json_int_t)range->last,
				  (json_int_t)range->fence,
				  range->owner == KEYMAP_NO_INCARNATION ?
					  -1 :
					  indices[range->owner],
				  range->former == KEYMAP_NO_INCARNATION ?
					  -1 :
					  indices[range->former],
				  range->handover));
	}
	root = json_pack("{s:I,s:o,s:o}", "next", (json_int_t)map->next_fence,
			 "lives", incarnations, "ranges", ranges);
	if (map->era != KEYMAP_NO_ERA)
		json_object_set_new(root, "era",
				    json_integer((json_int_t)map->era));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static bool read_incarnation(const json_t *item,
			     struct incarnation *incarnation)
{
	const char *id, *node;
	json_int_t born, attached;

	if (json_unpack((json_t *)item, "[s,s,I,I!]", &id, &node, &born,
			&attached) < 0 ||
	    strlen(id) >= sizeof(incarnation->id) ||
	    strlen(node) >= sizeof(incarnation->node))
		return false;
	txt_copy(incarnation->id, sizeof(incarnation->id), id);
	txt_copy(incarnation->node, sizeof(incarnation->node), node);
	incarnation->start_unix_ms = born;
	incarnation->attached = attached;
	return true;
}

/* Reads an index of an incarnation; a negative one stands for none. */
static bool read_index(const struct keymap *map, int index, uint16_t *out)
{
	*out = index < 0 ? KEYMAP_NO_INCARNATION : (uint16_t)index;
	return index < (int)map->incarnation_count;
}

/* Reads one range, which must begin at the key first to leave no gap. */
static bool read_range(struct keymap *map, const json_t *item, uint32_t first)
{
	struct keymap_range *range = &map->ranges[map->count];
	json_int_t from, to, fence;
	const char *handover;
	int owner, former;

	if (json_unpack((json_t *)item, "[I,I,I,i,i,s!]", &from, &to, &fence,
			&owner, &former, &handover) < 0 ||
	    from != first || to < from || to >= KEYMAP_KEYS || fence < 0 ||
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
static bool read_map(struct keymap *map, json_t *root, struct err *err)
{
	json_t *incarnations, *ranges, *item;
	json_int_t next;
	json_int_t era = -1;
	uint32_t first = 0;
	size_t i;

	if (json_unpack(root, "{s:I,s:o,s:o,s?I}", "next", &next, "lives",
			&incarnations, "ranges", &ranges, "era", &era) < 0 ||
	    next < 1 ||
	    json_array_size(incarnations) > KEYMAP_INCARNATIONS_MAX ||
	    json_array_size(ranges) > KEYMAP_RANGES_MAX)
		return err_set(
			err, ERR_ROWS, KEYMAP_BAD_VALUE,
			"key range map: a field is missing or out of range");
	map->next_fence = (uint64_t)next;
	map->era = era < 0 ? KEYMAP_NO_ERA : (uint64_t)era;
	map->count = 0;
	json_array_foreach(incarnations, i, item) {
		if (!read_incarnation(
			    item, &map->incarnations[map->incarnation_count++]))
			return err_set(
				err, ERR_ROWS, KEYMAP_BAD_VALUE,
				"key range map: incarnation %zu is invalid", i);
	}
	json_array_foreach(ranges, i, item) {
		if (!read_range(map, item, first))
			return err_set(err, ERR_ROWS, KEYMAP_BAD_VALUE,
				       "key range map: range %zu is invalid",
				       i);
		first = map->ranges[i].last + 1;
	}
	if (first != KEYMAP_KEYS)
		return err_set(err, ERR_ROWS, KEYMAP_GAP,
			       "key range map: ranges end before key %u",
			       first);
	return true;
}

/* Parses and checks the JSON form; NULL on errors. */
struct keymap *keymap_parse(const char *json, size_t len, struct err *err)
{
	json_error_t error;
	json_t *root = json_loadb(json, len, 0, &error);
	struct keymap *map;

	if (!root) {
		err_set(err, ERR_ROWS, KEYMAP_SYNTAX,
			"key range map is not valid JSON: %s", error.text);
		return NULL;
	}
	map = keymap_create();
	if (map && !read_map(map, root, err)) {
		keymap_destroy(map);
		map = NULL;
	}
	json_decref(root);
	return map;
}
