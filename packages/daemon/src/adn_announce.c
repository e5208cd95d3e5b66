#include "adn_int.h"

#include <stdio.h>
#include <string.h>

#include "upd.h"

static bool read_number(const json_t *json, const char *name, json_int_t low,
			json_int_t high, uint16_t *out)
{
	const json_t *value = json_object_get(json, name);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < low || number > high)
		return false;
	*out = (uint16_t)number;
	return true;
}

static bool read_name(const json_t *json, const char *name, char *out,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text && *text && strlen(text) < size &&
	       snprintf(out, size, "%s", text) > 0;
}

/* Reads an announcement; everything but load and health is needed. */
static bool read_announcement(const struct ask *a, struct upd_announcement *out)
{
	json_t *json = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	const json_t *load = json_object_get(json, "load");
	char state[16] = "";
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = read_name(json, "service", out->service, sizeof(out->service)) &&
	     read_name(json, "address", out->address, sizeof(out->address)) &&
	     read_name(json, "state", state, sizeof(state)) &&
	     read_number(json, "port", 1, 65535, &out->port) &&
	     read_number(json, "slots", 1, 1000, &out->slots) &&
	     read_number(json, "connections", 1, 10000, &out->connections) &&
	     (strcmp(state, "up") == 0 || strcmp(state, "draining") == 0);
	out->draining = strcmp(state, "draining") == 0;
	out->load = json_number_value(load);
	out->healthy = !json_is_false(json_object_get(json, "healthy"));
	json_decref(json);
	return ok;
}

/* Takes an announcement of the upstream beside this daemon. */
void adn_post_announce(struct ask *a)
{
	struct upd_announcement announcement;
	struct err err = { 0 };

	if (!read_announcement(a, &announcement))
		adn_result(a, 400, "refused",
			   "service, address, port, slots, connections and "
			   "state are needed");
	else if (!upd_announce(a->adn->n->upstream, &announcement, &err))
		adn_result(a, 503, "refused", err.text);
	else
		adn_result(a, 200, "done", "");
}
