#include "adn_int.h"

#include <stdlib.h>
#include <string.h>

#include "adn_view.h"
#include "ctr.h"
#include "pub.h"

#define METRICS_BYTES 32768

/* Shows this daemon. */
void adn_get_status(struct ask *a)
{
	adn_json(a, 200, adn_view_status(a->adn->n));
}

/* Lists the members. */
void adn_get_members(struct ask *a)
{
	adn_json(a, 200, adn_view_members(a->adn->n));
}

/* Lists the assignment rows. */
void adn_get_owners(struct ask *a)
{
	adn_json(a, 200, adn_view_owners(a->adn->n));
}

/* Lists the hottest keys. */
void adn_get_hot(struct ask *a)
{
	adn_json(a, 200, adn_view_hot(a->adn->n));
}

/* Lists requests with strikes. */
void adn_get_quarantine(struct ask *a)
{
	adn_json(a, 200, adn_view_quarantine(a->adn->n));
}

/* Explains where a key goes. */
void adn_get_explain(struct ask *a)
{
	char service[NAME_MAX_BYTES];
	char key[MANIFEST_KEY_MAX];
	json_t *json;

	if (!adn_query(a, "service", service, sizeof(service)) ||
	    !adn_query(a, "key", key, sizeof(key))) {
		adn_result(a, 400, "refused",
			   "the fields service and key are needed");
		return;
	}
	json = adn_view_explain(a->adn->n, service, key);
	if (json)
		adn_json(a, 200, json);
	else
		adn_result(a, 404, "refused", "no such service in force");
}

/* Writes the counters. */
void adn_get_metrics(struct ask *a)
{
	char *text = malloc(METRICS_BYTES);
	size_t len;

	if (!text) {
		adn_text(a, 500, "text/plain", "out of memory\n", 14);
		return;
	}
	len = ctr_write(text, METRICS_BYTES);
	adn_text(a, 200, "text/plain; version=0.0.4", text,
		 len < METRICS_BYTES ? len : METRICS_BYTES - 1);
	free(text);
}

/* Sends the text of the manifest in force. */
void adn_get_manifest(struct ask *a)
{
	size_t len;
	const char *text = pub_text(a->adn->n->pub, &len);

	if (text)
		adn_text(a, 200, "application/yaml", text, len);
	else
		adn_result(a, 404, "refused", "no manifest is in force");
}
