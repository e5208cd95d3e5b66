#include "htp_int.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longest header name that can be asked for, with the colon and the NUL. */
#define NAME_MAX_LEN 64

static const struct method {
	const char *name;
	enum lws_token_indexes token;
	bool has_body; /* libwebsockets waits for a body without a length */
} methods[] = {
	{ "GET", WSI_TOKEN_GET_URI, false },
	{ "POST", WSI_TOKEN_POST_URI, true },
	{ "PUT", WSI_TOKEN_PUT_URI, true },
	{ "DELETE", WSI_TOKEN_DELETE_URI, false },
	{ "HEAD", WSI_TOKEN_HEAD_URI, false },
	{ "PATCH", WSI_TOKEN_PATCH_URI, true },
	{ "OPTIONS", WSI_TOKEN_OPTIONS_URI, false },
};

#define METHODS (sizeof(methods) / sizeof(methods[0]))

/* Copies a header that libwebsockets has a number for; NULL if absent. */
static char *copy_token(struct lws *wsi, enum lws_token_indexes token)
{
	int len = lws_hdr_total_length(wsi, token);
	char *value;

	if (len <= 0)
		return NULL;
	value = malloc((size_t)len + 1);
	if (value && lws_hdr_copy(wsi, value, len + 1, token) < 0) {
		free(value);
		return NULL;
	}
	return value;
}

/* Copies any other header; name ends with the colon. NULL if absent. */
static char *copy_custom(struct lws *wsi, const char *name, int name_len)
{
	int len = lws_hdr_custom_length(wsi, name, name_len);
	char *value;

	if (len < 0)
		return NULL;
	value = malloc((size_t)len + 1);
	if (value &&
	    lws_hdr_custom_copy(wsi, value, len + 1, name, name_len) < 0) {
		free(value);
		return NULL;
	}
	return value;
}

/* Finds a header by its lower-case name with the colon. */
char *htp_copy_header(struct lws *wsi, const char *name, int len)
{
	for (int t = 0; t < WSI_TOKEN_COUNT; t++) {
		const unsigned char *known =
			lws_token_to_string((enum lws_token_indexes)t);

		if (known && strcmp((const char *)known, name) == 0)
			return copy_token(wsi, (enum lws_token_indexes)t);
	}
	return copy_custom(wsi, name, len);
}

/* Tells whether a character stands for itself in a path or a query. */
static bool is_plain(unsigned char ch)
{
	return isalnum(ch) || (ch && strchr("-._~/:@!$'()*,;=", ch));
}

/* Appends text to out with percent-encoding and returns the new end. */
static char *encode(char *out, const char *text, size_t len)
{
	static const char digits[] = "0123456789ABCDEF";

	for (size_t i = 0; i < len; i++) {
		unsigned char ch = (unsigned char)text[i];

		if (is_plain(ch)) {
			*out++ = (char)ch;
		} else {
			*out++ = '%';
			*out++ = digits[ch >> 4];
			*out++ = digits[ch & 15];
		}
	}
	return out;
}

/* Encodes the path, which libwebsockets has decoded. */
static bool read_path(struct htp_req *r, enum lws_token_indexes token)
{
	char *text = copy_token(r->conn->wsi, token);
	size_t len = text ? strlen(text) : 0;

	r->path = malloc(len * 3 + 1);
	if (r->path)
		*encode(r->path, text ? text : "", len) = '\0';
	free(text);
	return r->path != NULL;
}

/* Encodes the parts of the query and puts them together again. */
static bool read_query(struct htp_req *r)
{
	struct lws *wsi = r->conn->wsi;
	int total = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_URI_ARGS);
	char part[HTP_PATH_MAX];
	char *end;
	int len;

	r->query = calloc(1, (size_t)(total > 0 ? total : 0) * 4 + 8);
	if (!r->query || total <= 0)
		return r->query != NULL;
	end = r->query;
	for (int i = 0; i < total + 1; i++) {
		len = lws_hdr_copy_fragment(wsi, part, sizeof(part),
					    WSI_TOKEN_HTTP_URI_ARGS, i);
		if (len < 0)
			break;
		if (i > 0)
			*end++ = '&';
		end = encode(end, part, (size_t)len);
	}
	*end = '\0';
	return true;
}

/* Reads a length of digits only; -1 for anything else. */
static long long parse_length(const char *text)
{
	char *end;
	long long value;

	if (!isdigit((unsigned char)text[0]))
		return -1;
	errno = 0;
	value = strtoll(text, &end, 10);
	return errno || *end ? -1 : value;
}

/*
 * Finds out how the body ends. A request with both a length and a transfer
 * coding is refused: hops that read it differently would take its body for
 * another request.
 */
static int read_length(struct htp_req *r, bool has_body)
{
	struct lws *wsi = r->conn->wsi;
	char *length = copy_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
	char *coding = copy_token(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
	int status = 0;

	if (length && coding) {
		status = 400;
	} else if (coding) {
		r->content_length = HTP_LENGTH_UNKNOWN;
		status = strcasecmp(coding, "chunked") == 0 ? 0 : 501;
	} else if (length) {
		r->content_length = parse_length(length);
		status = r->content_length < 0 ? 400 : 0;
	}
	/*
	 * libwebsockets 4.1 goes on reading a body after a chunked one and
	 * after a POST without a length, so that no request can follow.
	 */
	if (coding || (!length && has_body))
		r->conn->close_after = true;
	free(length);
	free(coding);
	return status;
}

/* Checks the protocol version and asks for the body where that is expected. */
static int read_version(struct htp_req *r)
{
	struct lws *wsi = r->conn->wsi;
	char version[16];

	if (lws_hdr_copy(wsi, version, sizeof(version), WSI_TOKEN_HTTP) < 0 ||
	    strcmp(version, "HTTP/1.1") != 0)
		return 505;
	return 0;
}

/* Reads what the server itself needs from the head. */
int htp_head_read(struct htp_req *r)
{
	const struct method *m = NULL;
	char *connection;
	int status;

	for (size_t i = 0; i < METHODS && !m; i++) {
		if (lws_hdr_total_length(r->conn->wsi, methods[i].token) > 0)
			m = &methods[i];
	}
	r->method = m ? m->name : "";
	if (!m)
		return 501;
	if (!read_path(r, m->token) || !read_query(r))
		return 500;
	connection = copy_token(r->conn->wsi, WSI_TOKEN_CONNECTION);
	if (connection && strcasestr(connection, "close"))
		r->conn->close_after = true;
	free(connection);
	status = read_version(r);
	if (!status)
		status = read_length(r, m->has_body);
	if (!status && strlen(r->path) > HTP_PATH_MAX)
		status = 414;
	return status;
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
	size_t len = strlen(name);
	struct htp_copy *copy;

	for (copy = r->copies; copy; copy = copy->next) {
		if (strncmp(copy->name, name, len) == 0 &&
		    strcmp(copy->name + len, ":") == 0)
			return copy->value;
	}
	if (len + 2 > NAME_MAX_LEN)
		return NULL;
	copy = malloc(sizeof(*copy) + len + 2);
	if (!copy)
		return NULL;
	memcpy(copy->name, name, len);
	memcpy(copy->name + len, ":", 2);
	copy->value = htp_copy_header(r->conn->wsi, copy->name, (int)len + 1);
	copy->next = req->copies;
	req->copies = copy;
	return copy->value;
}

/* Returns the method in capitals. */
const char *htp_method(const struct htp_req *r)
{
	return r->method;
}

/* Returns the path in its encoded form. */
const char *htp_path(const struct htp_req *r)
{
	return r->path;
}

/* Returns the query in its encoded form. */
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
