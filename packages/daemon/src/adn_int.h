#ifndef ADN_INT_H
#define ADN_INT_H

/* What the files of the module adn share. */

#include <jansson.h>

#include "adn.h"
#include "websrv.h"

#define NAME_MAX_BYTES 64

struct ask;

typedef void (*handler_fn)(struct ask *a);

struct route {
	const char *method;
	const char *path;
	handler_fn fn;
};

/* One request of an operator, or an announcement of the upstream. */
struct ask {
	struct ask *prev, *next; /* in the list of bodies being received */
	struct adn *adn;
	struct websrv_req *req; /* NULL once the connection has closed */
	const struct route *route;
	char *body;
	size_t len;
	size_t capacity;
	bool receiving; /* in the list of bodies being received */
	bool pending; /* an answer of the platform is awaited */
	bool over; /* answered */
};

struct adn {
	struct nod *n;
	struct websrv *server;
	struct ask *receiving; /* bodies, in the order of their last piece */
	size_t body_bytes; /* of all buffers */
};

/* adn_body.c: the bodies of requests, which share a bound */
bool adn_body_add(struct ask *a, const void *data, size_t len);
void adn_body_end(struct ask *a);
void adn_body_free(struct ask *a);
bool adn_body_fits(long long len);

/* adn_answer.c: answers, and what the request asks for */
void adn_text(struct ask *a, int status, const char *type, const void *body,
	      size_t len);
void adn_json(struct ask *a, int status, json_t *json);
void adn_result(struct ask *a, int status, const char *result,
		const char *reason);
bool adn_query(const struct ask *a, const char *name, char *out, size_t size);
bool adn_query_number(const struct ask *a, const char *name, int base,
		      uint64_t *out);

/* adn_get.c: what operators read */
void adn_get_status(struct ask *a);
void adn_get_members(struct ask *a);
void adn_get_owners(struct ask *a);
void adn_get_hot(struct ask *a);
void adn_get_quarantine(struct ask *a);
void adn_get_explain(struct ask *a);
void adn_get_metrics(struct ask *a);
void adn_get_manifest(struct ask *a);

/* adn_post.c: publication and orders of operators */
void adn_post_manifest(struct ask *a);
void adn_post_drain(struct ask *a);
void adn_post_undrain(struct ask *a);
void adn_post_lift(struct ask *a);
void adn_post_ended(struct ask *a);

/* adn_announce.c: announcements of the upstream */
void adn_post_announce(struct ask *a);

#endif
