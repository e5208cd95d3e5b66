#ifndef PLATAPI_H
#define PLATAPI_H

/*
 * Client of the platform's table and object store, behind a table of functions.
 * Calls are asynchronous: the callback runs exactly once per call, and never
 * inside the function that started the call.
 */

#include <stddef.h>
#include <stdint.h>

#include "lwsloop.h"
#include "replica.h"

enum platapi_result {
	PLATAPI_OK,
	PLATAPI_CONFLICT, /* the condition did not hold; nothing was written */
	PLATAPI_NOT_FOUND,
	PLATAPI_UNAVAILABLE, /* refused or not sent; nothing was written */
	PLATAPI_UNKNOWN /* no response: a write may have taken effect */
};

/*
 * row, valid during the callback, is NULL unless PLATAPI_OK or
 * PLATAPI_CONFLICT.
 */
typedef void (*platapi_row_fn)(void *arg, enum platapi_result result,
			       const struct replica_entry *row);

/* rows are in ascending order of seq and complete up to seq == complete. */
typedef void (*platapi_rows_fn)(void *arg, enum platapi_result result,
				const struct replica_entry *rows, size_t count,
				uint64_t complete);

typedef void (*platapi_body_fn)(void *arg, enum platapi_result result,
				const void *body, size_t len);

#define PLATAPI_ANY_VERSION UINT64_MAX

struct platapi;

struct platapi_ops {
	void (*get)(struct platapi *p, const char *key, platapi_row_fn fn,
		    void *arg);
	/*
	 * Writes the row if its version equals expect; 0 requires that the row
	 * does not exist, PLATAPI_ANY_VERSION writes unconditionally.
	 */
	void (*put)(struct platapi *p, const char *key, uint64_t expect,
		    const char *value, platapi_row_fn fn, void *arg);
	/* Reads up to max rows written after seq. */
	void (*since)(struct platapi *p, uint64_t seq, size_t max,
		      platapi_rows_fn fn, void *arg);
	void (*put_object)(struct platapi *p, const char *name,
			   const void *body, size_t len, platapi_body_fn fn,
			   void *arg);
	void (*get_object)(struct platapi *p, const char *name,
			   platapi_body_fn fn, void *arg);
	void (*destroy)(struct platapi *p);
};

/* First member of each implementation. */
struct platapi {
	const struct platapi_ops *ops;
};

/* Timeout of a call, in milliseconds. */
#define PLATAPI_TIMEOUT_MS 2000

struct platapi *platapi_http_create(struct lwsloop *l, const char *address,
				    uint16_t port, struct err *err);

/* Wrappers of the functions in struct platapi_ops. */
void platapi_get(struct platapi *p, const char *key, platapi_row_fn fn,
		 void *arg);
void platapi_put(struct platapi *p, const char *key, uint64_t expect,
		 const char *value, platapi_row_fn fn, void *arg);
void platapi_get_since(struct platapi *p, uint64_t seq, size_t max,
		       platapi_rows_fn fn, void *arg);
void platapi_put_object(struct platapi *p, const char *name, const void *body,
			size_t len, platapi_body_fn fn, void *arg);
void platapi_get_object(struct platapi *p, const char *name, platapi_body_fn fn,
			void *arg);
void platapi_destroy(struct platapi *p);

#endif
