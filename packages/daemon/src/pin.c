#include "pin.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "ctr.h"
#include "exe.h"
#include "own.h"

/* Bytes of a response that wait for READ; the upstream is paused over it. */
#define BUFFER_MAX (2 * PEER_CHUNK_MAX)
#define IDLE_MAX_US (10 * US_PER_S) /* without a question of the peer */
#define IDLE_CHECK_US US_PER_S

/* Names a stream: the process that opened it and its number there. */
struct stream_key {
	uint64_t incarnation;
	uint64_t number;
};

struct stream {
	struct stream_key key;
	struct pin *pin;
	uint64_t part;
	struct exe_run *run; /* NULL once it has ended */
	struct peerrpc_question *open; /* waits for the head */
	struct peerrpc_question *read; /* waits for bytes */
	struct peerrpc_question *data; /* waits for room at the upstream */
	uint32_t timer;
	uint64_t asked_us; /* last question of the peer */
	char *buf;
	size_t len;
	size_t capacity;
	bool paused;
	bool head_seen;
	bool opened; /* OPEN was answered */
	bool ended;
	bool broken;
	struct peer_opened head; /* headers point into head_block */
	struct peer_header headers[PEER_HEADERS_MAX];
	char *head_block;
	UT_hash_handle hh;
};

struct pin {
	struct nod *n;
	struct stream *streams;
};

static struct stream *find(struct pin *p, const peer_proc *from,
			   uint64_t number)
{
	struct stream_key key;
	struct stream *s;

	memset(&key, 0, sizeof(key));
	key.incarnation = from->incarnation;
	key.number = number;
	HASH_FIND(hh, p->streams, &key, sizeof(key), s);
	return s;
}

static void forget_question(struct peerrpc_question **q)
{
	if (*q)
		peerrpc_question_set_user(*q, NULL);
	*q = NULL;
}

/* Frees a stream and cancels what still runs for it. */
static void destroy(struct stream *s)
{
	if (s->run)
		exe_cancel(s->run);
	forget_question(&s->open);
	forget_question(&s->read);
	forget_question(&s->data);
	tmr_cancel(s->pin->n->timers, s->timer);
	HASH_DEL(s->pin->streams, s);
	free(s->head_block);
	free(s->buf);
	free(s);
}

/* Answers a question with a status alone. */
static void answer(struct pin *p, struct peerrpc_question *q,
		   enum peer_status status)
{
	struct peer_answer a = { .status = status,
				 .self = nod_to_peer(&p->n->self) };

	peerrpc_reply(p->n->peers, q, &a);
}

/* Takes up to max bytes from the start of the buffer once they were sent. */
static void consume(struct stream *s, size_t len)
{
	s->len -= len;
	if (s->len)
		memmove(s->buf, s->buf + len, s->len);
	if (s->paused && s->len < BUFFER_MAX / 2 && s->run) {
		s->paused = false;
		exe_pause(s->run, false);
	}
}

/* A stream that has told all is freed. */
static bool is_finished(const struct stream *s)
{
	return s->opened && (s->ended || s->broken) && s->len == 0;
}

/* Answers OPEN with the head and the bytes that are there. */
static void reply_open(struct stream *s)
{
	struct peerrpc_question *q = s->open;
	size_t len = s->len < PEER_FIRST_MAX ? s->len : PEER_FIRST_MAX;

	s->head.first.first_val = s->buf;
	s->head.first.first_len = (u_int)len;
	s->head.end = s->ended && len == s->len;
	forget_question(&s->open);
	s->opened = true;
	peerrpc_reply(s->pin->n->peers, q, &s->head);
	consume(s, len);
}

/* Answers READ if there is something to tell. */
static void reply_read(struct stream *s)
{
	struct peer_chunk chunk = { .status = PEER_OK };
	struct peerrpc_question *q = s->read;
	size_t len = s->len < PEER_CHUNK_MAX ? s->len : PEER_CHUNK_MAX;

	if (!q || (!len && !s->ended && !s->broken))
		return;
	if (!len && s->broken)
		chunk.status = PEER_UNKNOWN;
	chunk.bytes.bytes_val = s->buf;
	chunk.bytes.bytes_len = (u_int)len;
	chunk.end = s->ended && len == s->len;
	forget_question(&s->read);
	peerrpc_reply(s->pin->n->peers, q, &chunk);
	consume(s, len);
	s->asked_us = nod_now_us(s->pin->n);
}

/* Answers what can be answered at the end of a step of the loop. */
static void answer_due(void *arg, uint64_t now_us)
{
	struct stream *s = arg;

	(void)now_us;
	s->timer = 0;
	if (s->open && s->head_seen)
		reply_open(s);
	reply_read(s);
	if (is_finished(s))
		destroy(s);
}

/*
 * Head, bytes and end of a short response come in one step of the loop, so
 * that answering after the step needs one exchange only.
 */
static void answer_soon(struct stream *s)
{
	struct nod *n = s->pin->n;

	if (!s->timer)
		s->timer = tmr_at(n->timers, nod_now_us(n), answer_due, s);
}

/* The request did not run, or its effect is not known. */
static void on_refused(void *arg, const struct exe_refusal *refusal)
{
	struct stream *s = arg;
	struct nod *n = s->pin->n;
	const struct dedup_response *stored = refusal->stored;
	struct peer_header type = { .name = "content-type" };
	struct peer_opened o = { .status = refusal->status,
				 .retry_after_ms = refusal->retry_after_ms,
				 .content_length = -1,
				 .end = true };
	struct proc actor = own_actor(n->own, s->part);
	const struct row *row = replica_row(n->replica, s->part);
	struct peerrpc_question *q = s->open;

	s->run = NULL;
	o.actor = nod_to_peer(&actor);
	o.row_version = row ? row->set.version : 0;
	if (stored) {
		o.http_status = stored->status;
		o.first.first_val = (char *)stored->body;
		o.first.first_len = stored->body_len;
		type.value = (char *)stored->content_type;
		o.headers.headers_len = stored->content_type[0] != '\0';
		o.headers.headers_val = &type;
	}
	forget_question(&s->open);
	if (q)
		peerrpc_reply(n->peers, q, &o);
	if (s->data) {
		q = s->data;
		forget_question(&s->data);
		answer(s->pin, q, PEER_CLOSED);
	}
	destroy(s);
}

static size_t headers_size(const struct upclient_response *response)
{
	size_t size = 0;

	for (size_t i = 0; i < response->header_count; i++)
		size += strlen(response->headers[i].name) +
			strlen(response->headers[i].value) + 2;
	return size;
}

static char *put(char **at, const char *text)
{
	char *copy = *at;
	size_t len = strlen(text) + 1;

	memcpy(copy, text, len);
	*at += len;
	return copy;
}

/* Copies the head, which is valid only during the call. */
static void on_head(void *arg, const struct upclient_response *response)
{
	struct stream *s = arg;
	char *at = malloc(headers_size(response) + 1);
	u_int count = 0;

	s->head_block = at;
	for (size_t i = 0; at && i < response->header_count; i++) {
		if (count == PEER_HEADERS_MAX)
			break;
		s->headers[count].name = put(&at, response->headers[i].name);
		s->headers[count].value = put(&at, response->headers[i].value);
		count++;
	}
	s->head.status = PEER_OK;
	s->head.http_status = response->status;
	s->head.content_length = response->content_length;
	s->head.headers.headers_len = count;
	s->head.headers.headers_val = s->headers;
	s->head_seen = true;
	answer_soon(s);
}

/* Makes room for len more bytes. */
static bool reserve(struct stream *s, size_t len)
{
	size_t capacity = s->capacity ? s->capacity : 1024;
	char *buf;

	while (capacity < s->len + len)
		capacity *= 2;
	if (capacity == s->capacity)
		return true;
	buf = realloc(s->buf, capacity);
	if (!buf)
		return false;
	s->buf = buf;
	s->capacity = capacity;
	return true;
}

static void on_broken(void *arg)
{
	struct stream *s = arg;

	s->run = NULL;
	s->broken = true;
	answer_soon(s);
}

static void on_body(void *arg, const void *data, size_t len)
{
	struct stream *s = arg;

	if (!reserve(s, len)) {
		s->broken = true;
		return;
	}
	memcpy(s->buf + s->len, data, len);
	s->len += len;
	if (s->len >= BUFFER_MAX / 2 && !s->paused) {
		s->paused = true;
		exe_pause(s->run, true);
	}
	answer_soon(s);
}

static void on_end(void *arg)
{
	struct stream *s = arg;

	s->run = NULL;
	s->ended = !s->broken;
	answer_soon(s);
}

/* The upstream has room for more of the request body. */
static void on_writable(void *arg)
{
	struct stream *s = arg;
	struct peerrpc_question *q = s->data;

	forget_question(&s->data);
	if (q)
		answer(s->pin, q, PEER_OK);
}

static const struct exe_events run_events = {
	.refused = on_refused,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.broken = on_broken,
	.writable = on_writable,
};

/* A peer that has stopped asking has given the stream up. */
static void idle_due(void *arg, uint64_t now_us)
{
	struct pin *p = arg;
	struct stream *s;
	struct stream *next;

	HASH_ITER(hh, p->streams, s, next) {
		if (s->opened && !s->read && !s->data &&
		    now_us - s->asked_us > IDLE_MAX_US)
			destroy(s);
	}
}

/* Makes the module without streams. */
struct pin *pin_create(struct nod *n)
{
	struct pin *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->n = n;
	tmr_every(n->timers, nod_now_us(n) + IDLE_CHECK_US, IDLE_CHECK_US,
		  idle_due, p);
	return p;
}

/* Frees the module and cancels what runs for peers. */
void pin_destroy(struct pin *p)
{
	struct stream *s;
	struct stream *next;

	if (!p)
		return;
	HASH_ITER(hh, p->streams, s, next) {
		destroy(s);
	}
	free(p);
}

/* Counts the streams. */
size_t pin_count(const struct pin *p)
{
	return HASH_COUNT(p->streams);
}

/* Refuses an OPEN before anything is started for it. */
static void refuse_open(struct pin *p, struct peerrpc_question *q,
			enum peer_status status)
{
	struct peer_opened o = { .status = status,
				 .content_length = -1,
				 .actor = nod_to_peer(&p->n->self),
				 .end = true };

	peerrpc_reply(p->n->peers, q, &o);
}

/* Starts the run of a stream from the arguments of OPEN. */
static bool start_run(struct stream *s, const struct peer_open *a)
{
	struct websrv_header headers[PEER_HEADERS_MAX];
	struct exe_request req = { .part = a->part,
				   .row_version = a->row_version,
				   .kind = a->kind,
				   .method = a->method,
				   .target = a->target,
				   .key = a->key,
				   .request_id = a->request_id,
				   .traceparent = a->traceparent,
				   .headers = headers,
				   .content_length = a->content_length,
				   .first = a->first.first_val,
				   .first_len = a->first.first_len,
				   .end = a->end };
	struct nod *n = s->pin->n;

	for (u_int i = 0; i < a->headers.headers_len; i++) {
		headers[i].name = a->headers.headers_val[i].name;
		headers[i].value = a->headers.headers_val[i].value;
	}
	req.header_count = a->headers.headers_len;
	req.deadline_us = nod_now_us(n) + a->deadline_left_ms * US_PER_MS;
	s->run = exe_start(n->exec, &req, &run_events, s);
	return s->run != NULL;
}

/* A peer forwards a request to this process. */
void pin_open(struct pin *p, struct peerrpc_question *q,
	      const struct peer_open *args)
{
	struct proc to = nod_from_peer(&args->to);
	struct stream *s;

	if (!proc_equal(&to, &p->n->self)) {
		refuse_open(p, q, PEER_WRONG_PROCESS);
		return;
	}
	if (find(p, &args->from, args->stream)) {
		refuse_open(p, q, PEER_INVALID);
		return;
	}
	s = calloc(1, sizeof(*s));
	if (!s) {
		refuse_open(p, q, PEER_NOT_RUN);
		return;
	}
	s->pin = p;
	s->key.incarnation = args->from.incarnation;
	s->key.number = args->stream;
	s->asked_us = nod_now_us(p->n);
	s->part = args->part;
	HASH_ADD(hh, p->streams, key, sizeof(s->key), s);
	if (!start_run(s, args)) {
		destroy(s);
		refuse_open(p, q, PEER_NOT_RUN);
		return;
	}
	s->open = q;
	peerrpc_question_set_user(q, s);
}

/* More of a request body; it is answered when there is room for the next. */
void pin_data(struct pin *p, struct peerrpc_question *q,
	      const struct peer_data *args)
{
	struct stream *s = find(p, &args->from, args->stream);

	if (!s || !s->run || s->data) {
		answer(p, q, PEER_CLOSED);
		return;
	}
	s->asked_us = nod_now_us(p->n);
	if (exe_write(s->run, args->bytes.bytes_val, args->bytes.bytes_len,
		      args->end)) {
		answer(p, q, PEER_OK);
		return;
	}
	s->data = q;
	peerrpc_question_set_user(q, s);
}

/* The peer has room for more of the response. */
void pin_read(struct pin *p, struct peerrpc_question *q,
	      const struct peer_read *args)
{
	struct stream *s = find(p, &args->from, args->stream);
	struct peer_chunk closed = { .status = PEER_CLOSED };

	if (!s || s->read) {
		peerrpc_reply(p->n->peers, q, &closed);
		return;
	}
	s->asked_us = nod_now_us(p->n);
	s->read = q;
	peerrpc_question_set_user(q, s);
	reply_read(s);
	if (is_finished(s))
		destroy(s);
}

/* The caller of the peer has gone. */
void pin_cancel(struct pin *p, struct peerrpc_question *q,
		const struct peer_cancel *args)
{
	struct stream *s = find(p, &args->from, args->stream);

	if (s)
		destroy(s);
	answer(p, q, PEER_OK);
}

/* The connection of a peer has closed while it waited for an answer. */
void pin_gone(struct pin *p, struct peerrpc_question *q)
{
	struct stream *s = peerrpc_question_user(q);

	(void)p;
	if (!s)
		return;
	if (s->open == q)
		s->open = NULL;
	if (s->read == q)
		s->read = NULL;
	if (s->data == q)
		s->data = NULL;
	destroy(s);
}
