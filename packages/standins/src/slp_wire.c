#include "slp_run.h"

#include <stdlib.h>
#include <string.h>

#include "peer.h"
#include "rpc.h"

#define IP_UDP_BYTES 28 /* headers of IPv4 and UDP of a datagram */
#define HEADERS 4

static uint8_t buf[RPC_MESSAGE_MAX];

/* One message and how it is encoded; decoded is zero between decodings. */
struct message {
	uint32_t procedure; /* 0: a reply */
	xdrproc_t codec;
	void *value;
	union {
		struct peer_lease lease;
		struct peer_digest digest;
		struct peer_open open;
		struct peer_opened opened;
		struct peer_rows rows;
	} decoded;
	size_t len;
	bool failed;
};

static void encode(void *arg)
{
	struct message *m = arg;

	if (m->procedure)
		m->len = rpc_encode_call(buf, sizeof(buf), 1, m->procedure,
					 m->codec, m->value, NULL);
	else
		m->len = rpc_encode_reply(buf, sizeof(buf), 1, m->codec,
					  m->value, NULL);
	m->failed |= !m->len;
}

static void decode(void *arg)
{
	struct message *m = arg;
	struct rpc_header head;

	memset(&m->decoded, 0, sizeof(m->decoded));
	if (!rpc_decode_header(buf, m->len, &head, NULL) ||
	    !rpc_decode_body(buf, m->len, head.pos, m->codec, &m->decoded,
			     NULL)) {
		m->failed = true;
		return;
	}
	xdr_free(m->codec, &m->decoded);
}

/* Adds the lines of a message; extra is what the transport puts before it. */
static bool measure(struct slp *s, const char *name, uint32_t size,
		    struct message *m, size_t extra)
{
	char label[SLP_NAME_MAX];
	double ns = slp_time(s, encode, m);

	snprintf(label, sizeof(label), "rpc encode %s", name);
	slp_add(s, label, size, ns, (double)(m->len + extra));
	snprintf(label, sizeof(label), "rpc decode %s", name);
	slp_add(s, label, size, slp_time(s, decode, m),
		(double)(m->len + extra));
	return !m->failed;
}

static bool measure_lease(struct slp *s, uint32_t size)
{
	struct peer_lease_msg msgs[PEER_LEASE_MAX];
	struct peer_lease lease = { { 1, slp_random(s) },
				    { 2, slp_random(s) },
				    { size, msgs } };
	struct message m = { .procedure = PEER_LEASE,
			     .codec = (xdrproc_t)xdr_peer_lease,
			     .value = &lease };

	memset(msgs, 0, sizeof(msgs));
	return measure(s, "LEASE, messages", size, &m, IP_UDP_BYTES);
}

static bool measure_digest(struct slp *s)
{
	struct peer_digest digest = { { 1, slp_random(s) }, 1, 1, 500, true };
	struct message m = { .procedure = PEER_DIGEST,
			     .codec = (xdrproc_t)xdr_peer_digest,
			     .value = &digest };

	return measure(s, "DIGEST", 1, &m, IP_UDP_BYTES);
}

static void fill_headers(struct peer_header *headers)
{
	for (int i = 0; i < HEADERS; i++)
		headers[i] = (struct peer_header){ "content-type",
						   "application/json" };
}

static bool measure_open(struct slp *s, uint32_t body)
{
	static char bytes[PEER_FIRST_MAX];
	struct peer_header headers[HEADERS];
	struct peer_open open = {
		.from = { 1, slp_random(s) },
		.to = { 2, slp_random(s) },
		.kind = "history",
		.method = "GET",
		.target = "/bookings/clients/client-0000000017/history",
		.key = "client-0000000017",
		.request_id = "",
		.traceparent =
			"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		.headers = { HEADERS, headers },
		.first = { body, bytes },
		.end = true
	};
	struct peer_opened opened = { .http_status = 200,
				      .headers = { HEADERS, headers },
				      .first = { body, bytes },
				      .end = true };
	struct message call = { .procedure = PEER_OPEN,
				.codec = (xdrproc_t)xdr_peer_open,
				.value = &open };
	struct message reply = { .procedure = 0,
				 .codec = (xdrproc_t)xdr_peer_opened,
				 .value = &opened };

	fill_headers(headers);
	return measure(s, "OPEN, body bytes", body, &call,
		       RPC_RECORD_MARK_BYTES) &&
	       measure(s, "OPEN reply, body bytes", body, &reply,
		       RPC_RECORD_MARK_BYTES);
}

static bool measure_rows(struct slp *s, uint32_t size)
{
	struct row row = slp_row(s, 65535, 6700, 1);
	char *value = row_encode(&row);
	char key[ROW_KEY_MAX];
	struct peer_row rows[PEER_ROWS_MAX];
	struct peer_rows answer = { PEER_OK, 1, { size, rows } };
	struct message m = { .procedure = 0,
			     .codec = (xdrproc_t)xdr_peer_rows,
			     .value = &answer };
	bool ok;

	row_key(row.part, key);
	for (uint32_t i = 0; i < size; i++)
		rows[i] = (struct peer_row){ key, 3, i, value };
	ok = value &&
	     measure(s, "SYNC reply, rows", size, &m, RPC_RECORD_MARK_BYTES);
	free(value);
	return ok;
}

static bool measure_sync(struct slp *s)
{
	struct peer_sync sync = { { 1, slp_random(s) }, 1 };
	struct message m = { .procedure = PEER_SYNC,
			     .codec = (xdrproc_t)xdr_peer_sync,
			     .value = &sync };

	encode(&m);
	slp_add(s, "rpc SYNC call", 1, slp_time(s, encode, &m),
		(double)(m.len + RPC_RECORD_MARK_BYTES));
	return !m.failed;
}

static bool measure_fetch(struct slp *s)
{
	struct peer_fetch fetch = {
		{ 1, slp_random(s) },
		"manifest-0123456789abcdef0123456789abcdef"
	};
	struct peer_body body = { PEER_OK, { 0, NULL } };
	struct message call = { .procedure = PEER_FETCH,
				.codec = (xdrproc_t)xdr_peer_fetch,
				.value = &fetch };
	struct message reply = { .procedure = 0,
				 .codec = (xdrproc_t)xdr_peer_body,
				 .value = &body };

	encode(&call);
	encode(&reply);
	slp_add(s, "rpc FETCH call", 1, SLP_NONE,
		(double)(call.len + RPC_RECORD_MARK_BYTES));
	slp_add(s, "rpc FETCH reply without body", 1, SLP_NONE,
		(double)(reply.len + RPC_RECORD_MARK_BYTES));
	return !call.failed && !reply.failed;
}

/* Messages with their bytes as sent: datagrams with headers, else the mark. */
bool slp_wire(struct slp *s)
{
	static const uint32_t messages[] = { 1, 2, 10, 20, PEER_LEASE_MAX };
	static const uint32_t bodies[] = { 0, 1024, PEER_FIRST_MAX };
	static const uint32_t rows[] = { 1, 16, 64, PEER_ROWS_MAX };
	bool ok = measure_digest(s) && measure_sync(s) && measure_fetch(s);

	for (int i = 0; ok && i < 5; i++)
		ok = measure_lease(s, messages[i]);
	for (int i = 0; ok && i < 3; i++)
		ok = measure_open(s, bodies[i]);
	for (int i = 0; ok && i < 4; i++)
		ok = measure_rows(s, rows[i]);
	return ok;
}
