#ifndef COM_H
#define COM_H

/* What the stand-ins share: buffers, queries, JSON replies, start and stop. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "websrv.h"
#include "lwsloop.h"

/* Exit status of a stand-in that cannot start. */
#define COM_EXIT_START 2

struct com_buf {
	char *data; /* ended by NUL when not empty */
	size_t len;
	size_t capacity;
};

/* Appends; false when memory is exhausted or more than max bytes are held. */
bool com_append(struct com_buf *b, const void *data, size_t len, size_t max);
void com_free(struct com_buf *b);

/* Decodes %XX of a path; false if it is malformed or too long for out. */
bool com_decode(const char *text, char *out, size_t size);

/* Copies the decoded value of a query parameter; false if it is absent. */
bool com_query(const struct websrv_req *r, const char *name, char *out,
	       size_t size);

/* Reads a decimal number that fills the whole text. */
bool com_number(const char *text, uint64_t *out);

/* Value of a request header as a number, or the default if there is none. */
uint64_t com_header_number(const struct websrv_req *r, const char *name,
			   uint64_t otherwise);

/* Answers with JSON and frees it; {"error":TEXT} for the second. */
void com_reply_json(struct websrv_req *r, int status, json_t *json);
void com_reply_error(struct websrv_req *r, int status, const char *text);

/* Makes the loop, stopped by SIGTERM; ends the process on an error. */
struct lwsloop *com_start_loop(void);

/* Listens; ends the process on an error. */
struct websrv *com_listen(struct lwsloop *l, const char *address, uint16_t port,
			  const struct websrv_ops *ops, void *arg);

/* Splits ADDRESS:PORT; address has room for an IP address. */
bool com_split_address(const char *text, char address[46], uint16_t *port);

#endif
