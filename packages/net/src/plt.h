#ifndef PLT_H
#define PLT_H

/*
 * Client of the platform's table and object store, behind a table of functions.
 * Calls are asynchronous: the callback runs exactly once per call, and never
 * inside the function that started the call.
 */

#include <stddef.h>
#include <stdint.h>

#include "lop.h"
#include "replica.h"

enum plt_result {
	PLT_OK,
	PLT_CONFLICT, /* the condition did not hold; nothing was written */
	PLT_NOT_FOUND,
	PLT_UNAVAILABLE, /* refused or not sent; nothing was written */
	PLT_UNKNOWN /* no response: a write may have taken effect */
};

/* row, valid during the callback, is NULL unless PLT_OK or PLT_CONFLICT. */
typedef void (*plt_row_fn)(void *arg, enum plt_result result,
			   const struct replica_entry *row);

/* rows are in ascending order of seq and complete up to seq == complete. */
typedef void (*plt_rows_fn)(void *arg, enum plt_result result,
			    const struct replica_entry *rows, size_t count,
			    uint64_t complete);

typedef void (*plt_body_fn)(void *arg, enum plt_result result, const void *body,
			    size_t len);

#define PLT_ANY_VERSION UINT64_MAX

struct plt;

struct plt_ops {
	void (*get)(struct plt *p, const char *key, plt_row_fn fn, void *arg);
	/*
	 * Writes the row if its version equals expect; 0 requires that the row
	 * does not exist, PLT_ANY_VERSION writes unconditionally.
	 */
	void (*put)(struct plt *p, const char *key, uint64_t expect,
		    const char *value, plt_row_fn fn, void *arg);
	/* Reads up to max rows written after seq. */
	void (*since)(struct plt *p, uint64_t seq, size_t max, plt_rows_fn fn,
		      void *arg);
	void (*put_object)(struct plt *p, const char *name, const void *body,
			   size_t len, plt_body_fn fn, void *arg);
	void (*get_object)(struct plt *p, const char *name, plt_body_fn fn,
			   void *arg);
	void (*destroy)(struct plt *p);
};

/* First member of each implementation. */
struct plt {
	const struct plt_ops *ops;
};

/* Timeout of a call, in milliseconds. */
#define PLT_TIMEOUT_MS 2000

struct plt *plt_http_create(struct lop *l, const char *address, uint16_t port,
			    struct err *err);

/* Wrappers of the functions in struct plt_ops. */
void plt_get(struct plt *p, const char *key, plt_row_fn fn, void *arg);
void plt_put(struct plt *p, const char *key, uint64_t expect, const char *value,
	     plt_row_fn fn, void *arg);
void plt_since(struct plt *p, uint64_t seq, size_t max, plt_rows_fn fn,
	       void *arg);
void plt_put_object(struct plt *p, const char *name, const void *body,
		    size_t len, plt_body_fn fn, void *arg);
void plt_get_object(struct plt *p, const char *name, plt_body_fn fn, void *arg);
void plt_destroy(struct plt *p);

#endif
