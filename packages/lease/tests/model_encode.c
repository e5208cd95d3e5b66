#include "model.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define LEASE_ENCODING_MAX 8192

static uint64_t age(const struct model_state *s, const struct lease_msg *m)
{
	uint64_t a = s->now - m->seq;
	uint64_t term = s->left.promise - 1;

	if (m->type == LEASE_SEAL || m->type == LEASE_SEALED)
		return 0;
	return a < term ? a : term;
}

/* Every field is below 256 in the model, so that one byte holds it. */
static void encode_msg(const struct model_state *s, const struct model_msg *m,
		       uint8_t out[16])
{
	const struct lease_msg *q = &m->msg;

	memset(out, 0, 16);
	out[0] = (uint8_t)m->from;
	out[1] = (uint8_t)m->to;
	out[2] = (uint8_t)m->sender.incarnation;
	out[3] = (uint8_t)q->type;
	out[4] = (uint8_t)q->version;
	out[5] = (uint8_t)age(s, q);
	out[6] = (uint8_t)(q->active | q->claimed << 1);
	out[7] = (uint8_t)q->sealed_below;
	out[8] = (uint8_t)q->promised_to.instance;
	out[9] = (uint8_t)q->promised_to.incarnation;
	out[10] = (uint8_t)q->promise_left_us;
}

static int compare_encoded(const void *a, const void *b)
{
	return memcmp(a, b, 16);
}

/*
 * Encodes the messages in sorted order, as their order in the array depends on
 * the path to the state.
 */
static size_t encode_net(const struct model_state *s, uint8_t *out)
{
	for (size_t i = 0; i < s->net_count; i++)
		encode_msg(s, &s->net[i], out + 16 * i);
	qsort(out, s->net_count, 16, compare_encoded);
	return 16 * s->net_count;
}

static size_t encode_row(const struct row *row, uint8_t *out)
{
	size_t n = 0;

	for (uint32_t i = 0; i <= row->prev_count; i++) {
		const struct row_set *set = i ? &row->prev[i - 1] : &row->set;

		out[n++] = (uint8_t)set->version;
		out[n++] = (uint8_t)(set->owner.instance |
				     set->owner.incarnation << 4);
		for (size_t j = 0; j < ROW_WITNESSES; j++)
			out[n++] = (uint8_t)(set->witness[j].instance |
					     set->witness[j].incarnation << 4);
	}
	return n;
}

/* States with the same time share processes, so the hash is cached by time. */
static void hash_node(struct model_node *n, uint64_t now)
{
	static uint8_t buf[LEASE_ENCODING_MAX];
	size_t len;
	XXH128_hash_t h;

	if (n->hashed_at == now)
		return;
	len = lease_encode(n->mgr, now, buf, sizeof(buf));
	if (len > sizeof(buf))
		abort();
	h = XXH3_128bits(buf, len);
	n->hashed_at = now;
	n->hash[0] = h.low64;
	n->hash[1] = h.high64;
}

/* Encodes the fixed fields, the network, the row and the processes in turn. */
size_t model_encode(const struct model_state *s,
		    uint8_t out[MODEL_ENCODING_MAX])
{
	const struct model_bounds *b = &s->left;
	const uint8_t head[] = {
		(uint8_t)s->fence,    (uint8_t)s->net_count,
		(uint8_t)b->time,     (uint8_t)b->copies,
		(uint8_t)b->pauses,   (uint8_t)b->restarts,
		(uint8_t)b->cuts,     (uint8_t)b->rewrites,
		(uint8_t)b->releases, (uint8_t)s->row.prev_count,
	};
	size_t n = sizeof(head);

	memcpy(out, head, n);
	memcpy(out + n, s->cut, sizeof(s->cut));
	n += sizeof(s->cut);
	n += encode_net(s, out + n);
	n += encode_row(&s->row, out + n);
	for (int i = 0; i < MODEL_NODES; i++) {
		struct model_node *node = s->nodes[i];

		hash_node(node, s->now);
		out[n++] = node->paused;
		out[n++] = (uint8_t)node->known;
		memcpy(out + n, node->hash, sizeof(node->hash));
		n += sizeof(node->hash);
	}
	return n;
}
