#include "websrv_int.h"

#include <stdlib.h>
#include <string.h>

/* Supported methods; any other is refused with 501. */
static const char *const methods[] = { "GET",  "POST",	"PUT",	  "DELETE",
				       "HEAD", "PATCH", "OPTIONS" };

#define METHOD_COUNT (sizeof(methods) / sizeof(methods[0]))

/*
 * Splits the target at the question mark. Path and query are not normalised, as
 * a key could otherwise map to another partition here than at the upstream.
 * Returns 0 or the status to refuse the request with.
 */
static int read_target(struct websrv_req *r, const struct httpmsg *m)
{
	struct span target = httpmsg_target(m);
	const char *mark = memchr(target.text, '?', target.len);
	size_t len = mark ? (size_t)(mark - target.text) : target.len;

	if (len > WEBSRV_PATH_MAX)
		return 414;
	if (len == 0 || target.text[0] != '/' ||
	    memchr(target.text, '#', target.len))
		return 400;
	r->path = strndup(target.text, len);
	r->query = mark ? strndup(mark + 1, target.len - len - 1) : strdup("");
	return r->path && r->query ? 0 : 500;
}

/*
 * Determines the body length. The parser refuses a request with both a length
 * and a transfer coding. Returns 0 or the status to refuse the request with.
 */
static int read_length(struct websrv_req *r, const struct httpmsg *m)
{
	r->content_length = m->length < 0 ? WEBSRV_LENGTH_UNKNOWN : m->length;
	return m->other_coding ? 501 : 0;
}

/*
 * Reads the method, the target and the body length. Returns 0 or the status to
 * refuse the request with.
 */
int websrv_head_read(struct websrv_req *r, const struct httpmsg *m)
{
	int status;

	r->method = "";
	for (size_t i = 0; i < METHOD_COUNT; i++) {
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

/* Frees the path, the query and the header copies. */
void websrv_head_free(struct websrv_req *r)
{
	while (r->copies) {
		struct websrv_header_copy *copy = r->copies;

		r->copies = copy->next;
		free(copy->value);
		free(copy);
	}
	free(r->path);
	free(r->query);
}

/*
 * Returns the value of a request header, valid until closed(), or NULL if it is
 * absent or memory is exhausted. The name must be in lower case. The value is
 * copied on the first lookup.
 */
const char *websrv_header(const struct websrv_req *r, const char *name)
{
	struct websrv_req *req = (struct websrv_req *)r;
	size_t size = strlen(name) + 1;
	struct websrv_header_copy *copy;
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

/* Returns the method in upper case. */
const char *websrv_method(const struct websrv_req *r)
{
	return r->method;
}

/* Returns the path as received, without decoding. */
const char *websrv_path(const struct websrv_req *r)
{
	return r->path;
}

/* Returns the query as received, without decoding; "" if there is none. */
const char *websrv_query(const struct websrv_req *r)
{
	return r->query;
}

/* Returns the IP address of the caller. */
const char *websrv_peer(const struct websrv_req *r)
{
	return r->conn->peer;
}

/*
 * Returns the Content-Length in bytes, 0 if there is no body, or
 * WEBSRV_LENGTH_UNKNOWN if the body is chunked.
 */
long long websrv_content_length(const struct websrv_req *r)
{
	return r->content_length;
}
