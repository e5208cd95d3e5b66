#include "adn_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exe.h"
#include "log.h"
#include "pub.h"
#include "upd.h"
#include "wrt.h"

/* The publication has ended. */
static void published(void *arg, enum pub_result result, uint64_t version,
		      const struct err *err)
{
	static const struct {
		int status;
		const char *word;
	} words[] = {
		[PUB_DONE] = { 200, "done" },
		[PUB_REFUSED] = { 400, "refused" },
		[PUB_CONFLICT] = { 409, "conflict" },
		[PUB_UNREACHABLE] = { 503, "unreachable" },
		[PUB_UNKNOWN] = { 504, "unknown" },
		[PUB_BUSY] = { 503, "unreachable" },
	};
	struct ask *a = arg;
	json_t *json = json_pack("{s:s,s:I,s:s}", "result", words[result].word,
				 "version", (json_int_t)version, "reason",
				 err ? err->text : "");

	a->pending = false;
	adn_json(a, words[result].status, json);
	if (!a->req) {
		adn_body_free(a);
		free(a);
	}
}

/* Publishes the manifest in the body. */
void adn_post_manifest(struct ask *a)
{
	char text[NAME_MAX_BYTES];
	char publication[NAME_MAX_BYTES];
	uint64_t expect = PUB_ANY_VERSION;

	if (adn_query(a, "expect", text, sizeof(text)))
		expect = strtoull(text, NULL, 10);
	if (!adn_query(a, "publication", publication, sizeof(publication)))
		snprintf(publication, sizeof(publication), "%016" PRIx64,
			 clk_random(a->adn->n->clk));
	a->pending = true;
	pub_publish(a->adn->n->pub, a->body ? a->body : "", a->len, expect,
		    publication, published, a);
}

/* Lets the upstream take no new work. */
void adn_post_drain(struct ask *a)
{
	upd_drain(a->adn->n->upstream, true);
	adn_result(a, 200, "done", "the upstream takes no new work");
}

/* Ends a drain. */
void adn_post_undrain(struct ask *a)
{
	upd_drain(a->adn->n->upstream, false);
	adn_result(a, 200, "done", "the upstream may take new work");
}

/* A write of the table for an operator has ended. */
static void written(void *arg, enum platapi_result result)
{
	struct ask *a = arg;

	a->pending = false;
	if (result == PLATAPI_OK)
		adn_result(a, 200, "done", "");
	else if (result == PLATAPI_CONFLICT)
		adn_result(a, 409, "conflict", "the row has changed");
	else if (result == PLATAPI_UNAVAILABLE)
		adn_result(a, 503, "unreachable",
			   "the platform does not answer");
	else
		adn_result(a, 504, "unknown", "it may have taken effect");
	if (!a->req) {
		adn_body_free(a);
		free(a);
	}
}

/* Lifts a quarantine on all daemons. */
void adn_post_lift(struct ask *a)
{
	char key[ROW_KEY_MAX];
	uint64_t fingerprint;

	if (!adn_query_number(a, "fingerprint", 16, &fingerprint)) {
		adn_result(a, 400, "refused",
			   "the field fingerprint is needed, in hex");
		return;
	}
	quarantine_lift(exe_quarantine(a->adn->n->exec), fingerprint);
	snprintf(key, sizeof(key), "quarantine/%016" PRIx64, fingerprint);
	a->pending = true;
	wrt_value(a->adn->n->writer, key, "{\"strikes\":0,\"label\":\"\"}",
		  written, a);
}

/* An operator says that a process has ended. */
void adn_post_ended(struct ask *a)
{
	char key[ROW_KEY_MAX];
	uint64_t instance;
	uint64_t incarnation;

	if (!adn_query_number(a, "instance", 10, &instance) ||
	    !adn_query_number(a, "incarnation", 16, &incarnation)) {
		adn_result(a, 400, "refused",
			   "the fields instance, a number, and incarnation, in "
			   "hex, are needed");
		return;
	}
	snprintf(key, sizeof(key), "ended/%" PRIu64 "/%016" PRIx64, instance,
		 incarnation);
	log_emit(LOG_OPERATOR_ENDED,
		 "instance=%" PRIu64 " incarnation=%016" PRIx64, instance,
		 incarnation);
	a->pending = true;
	wrt_value(a->adn->n->writer, key, "{}", written, a);
}
