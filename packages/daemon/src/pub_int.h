#ifndef PUB_INT_H
#define PUB_INT_H

/* What the files of the module pub share. */

#include "pub.h"

#define MANIFEST_KEY "manifest"
#define OBJECT_NAME_MAX 64
#define PUBLICATION_MAX 64
#define RETRY_US (500 * US_PER_MS)

/* The row "manifest" of the table. */
struct pointer {
	uint64_t version; /* of the manifest */
	uint64_t row_version;
	char object[OBJECT_NAME_MAX];
	char publication[PUBLICATION_MAX];
};

enum phase {
	PHASE_IDLE,
	PHASE_READING,
	PHASE_STORING,
	PHASE_WRITING,
	PHASE_SETTLING
};

enum event {
	EVENT_BEGIN,
	EVENT_OK,
	EVENT_CONFLICT,
	EVENT_FAILED,
	EVENT_LOST
};

struct subscriber {
	pub_change_fn fn;
	void *arg;
};

/* A publication that waits for the one in progress. */
struct waiting {
	char *text;
	size_t len;
	uint64_t expect;
	char publication[PUBLICATION_MAX];
	pub_done_fn done;
	void *done_arg;
	struct waiting *next;
};

struct pub {
	struct nod *n;
	struct statechart *chart;
	struct manifest *man;
	char *text;
	size_t len;
	struct subscriber subscribers[PUB_SUBSCRIBERS_MAX];
	size_t subscriber_count;
	struct pointer wanted; /* newest pointer that is known */
	bool fetching;
	bool fetch_failed; /* the peer that told of it did not have the body */

	/* the publication in progress */
	int phase;
	char *new_text;
	size_t new_len;
	uint64_t expect;
	struct pointer new_pointer;
	struct pointer found; /* what the table held */
	struct err refusal;
	pub_done_fn done;
	void *done_arg;
	int settle_attempts;
	int store_attempts;
	struct waiting *waiting; /* in the order of arrival */
};

bool pub_decode_pointer(const struct replica_entry *row, struct pointer *out);
void pub_name_object(const void *text, size_t len, char *out);
void pub_free_waiting(struct pub *p);

#endif
