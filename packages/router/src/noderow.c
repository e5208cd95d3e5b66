#include "noderow.h"
#include "tbl.h"
#include "txt.h"

#include <string.h>

#include <jansson.h>

/* Returns the row as JSON, which the caller frees. */
char *noderow_format(const struct noderow *n)
{
	json_t *root = json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:b,s:s,s:I,s:I,s:s,s:I,s:b,s:b,s:I}",
		"node", n->node, "dc", n->data_centre, "peer", n->peer_address,
		"process", (json_int_t)n->process, "until",
		(json_int_t)n->lease_until_ms, "expired", n->expired, "id",
		n->incarnation.id, "born",
		(json_int_t)n->incarnation.start_unix_ms, "attached",
		(json_int_t)n->incarnation.attached, "service", n->service,
		"slots", (json_int_t)n->slots, "takes_work", n->takes_work,
		"left", n->left, "era", (json_int_t)n->era);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/* Parses a row; n is cleared first. */
bool noderow_parse(const char *json, size_t len, uint64_t version,
		   struct noderow *n)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *node, *dc, *peer, *id, *service;
	json_int_t process, until, born, attached, slots;
	json_int_t era = (json_int_t)tbl_era(version);
	int expired, takes_work;
	int left = 0;
	bool ok;

	memset(n, 0, sizeof(*n));
	ok = root &&
	     json_unpack(
		     root,
		     "{s:s,s:s,s:s,s:I,s:I,s:b,s:s,s:I,s:I,s:s,s:I,s:b,s?b,s?I}",
		     "node", &node, "dc", &dc, "peer", &peer, "process",
		     &process, "until", &until, "expired", &expired, "id", &id,
		     "born", &born, "attached", &attached, "service", &service,
		     "slots", &slots, "takes_work", &takes_work, "left", &left,
		     "era", &era) == 0 &&
	     until >= 0 && era >= 0 && slots >= 0 &&
	     slots <= NODEROW_SLOTS_MAX &&
	     txt_copy(n->node, sizeof(n->node), node) &&
	     txt_copy(n->incarnation.node, sizeof(n->incarnation.node), node) &&
	     txt_copy(n->data_centre, sizeof(n->data_centre), dc) &&
	     txt_copy(n->peer_address, sizeof(n->peer_address), peer) &&
	     txt_copy(n->incarnation.id, sizeof(n->incarnation.id), id) &&
	     txt_copy(n->service, sizeof(n->service), service);
	if (ok) {
		n->process = (uint64_t)process;
		n->lease_until_ms = (uint64_t)until;
		n->era = (uint64_t)era;
		n->expired = expired != 0;
		n->incarnation.start_unix_ms = born;
		n->incarnation.attached = attached;
		n->slots = (uint32_t)slots;
		n->takes_work = takes_work != 0;
		/* Rows of earlier versions lack it. */
		n->left = left != 0;
	}
	json_decref(root);
	return ok;
}
