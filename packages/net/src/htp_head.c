#include "htp_int.h"

#include <stdlib.h>
#include <string.h>

/* Method names that are served; any other gets 501. */
static const char *const methods[] = { "GET",  "POST",	"PUT",	  "DELETE",
				       "HEAD", "PATCH", "OPTIONS" };

#define METHODS (sizeof(methods) / sizeof(methods[0]))

/*
 * Cuts the target at its question mark. Path and query stay octet for octet, as
 * a key could otherwise name another partition here than at the upstream.
 */
static int read_target(struct htp_req *r, const struct httpmsg *m)
{
	struct span target = httpmsg_target(m);
	const char *mark = memchr(target.text, '?', target.len);
	size_t len = mark ? (size_t)(mark - target.text) : target.len;

	if (len > HTP_PATH_MAX)
		return 414;
	if (len == 0 || target.text[0] != '/' ||
	    memchr(target.text, '#', target.len))
		return 400;
	r->path = strndup(target.text, len);
	r->query = mark ? strndup(mark + 1, target.len - len - 1) : strdup("");
	return r->path && r->query ? 0 : 500;
}

/* Finds out how the body ends; the parser refuses a length with a coding. */
static int read_length(struct htp_req *r, const struct httpmsg *m)
{
	struct span coding = httpmsg_find(m, "transfer-encoding");

	r->content_length = m->length;
	if (!coding.text)
		return 0;
	r->content_length = HTP_LENGTH_UNKNOWN;
	return span_is_nocase(coding, "chunked") ? 0 : 501;
}

/* Reads what the server itself needs from the head. */
int htp_head_read(struct htp_req *r, const struct httpmsg *m)
{
	int status;

	r->method = "";
	for (size_t i = 0; i < METHODS; i++) {
		if (strcmp(m->method, methods[i]) == 0)
			r->method = methods[i];
	}
	if (!m->keep_alive)
		r->conn->close_after = true;
	if (!r->method[0])
		return 501;
	if (m->minor != 1)
		return 505;
	status = read_target(r, m);
	return status ? status : read_length(r, m);
}

/* Frees what was copied from the head. */
void htp_head_free(struct htp_req *r)
{
	while (r->copies) {
		struct htp_copy *copy = r->copies;

		r->copies = copy->next;
		free(copy->value);
		free(copy);
	}
	free(r->path);
	free(r->query);
}

/* Copies the header when it is first asked for. */
const char *htp_header(const struct htp_req *r, const char *name)
{
	struct htp_req *req = (struct htp_req *)r;
	size_t size = strlen(name) + 1;
	struct htp_copy *copy;
	struct span value;

	for (copy = r->copies; copy; copy = copy->next) {
		if (strcmp(copy->name, name) == 0)
			return copy->value;
	}
	copy = malloc(sizeof(*copy) + size);
	if (!copy)
		return NULL;
	memcpy(copy->name, name, size);
	value = httpmsg_find(httpparse_message(r->conn->parser), name);
	copy->value = value.text ? strndup(value.text, value.len) : NULL;
	copy->next = req->copies;
	req->copies = copy;
	return copy->value;
}

/* Returns the method in capitals. */
const char *htp_method(const struct htp_req *r)
{
	return r->method;
}

/* Returns the path as it was sent. */
const char *htp_path(const struct htp_req *r)
{
	return r->path;
}

/* Returns the query as it was sent. */
const char *htp_query(const struct htp_req *r)
{
	return r->query;
}

/* Returns the address of the caller. */
const char *htp_peer(const struct htp_req *r)
{
	return r->conn->peer;
}

/* Returns the length of the body as declared. */
long long htp_content_length(const struct htp_req *r)
{
	return r->content_length;
}
