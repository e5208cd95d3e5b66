#ifndef PLT_H
#define PLT_H

/*
 * The platform's table and object store, behind a table of functions. Calls
 * are asynchronous; each ends with exactly one call of its function, never
 * from inside the call that started it.
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
	PLT_UNKNOWN /* no answer: a write may have taken effect */
};

/* The row is valid during the call; NULL unless PLT_OK or PLT_CONFLICT. */
typedef void (*plt_row_fn)(void *arg, enum plt_result result,
			   const struct replica_entry *row);

/* Rows in ascending order of seq; complete is the number they reach to. */
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
	 * Writes if the version of the row is expect; 0 means that there is no
	 * row, PLT_ANY_VERSION writes always.
	 */
	void (*put)(struct plt *p, const char *key, uint64_t expect,
		    const char *value, plt_row_fn fn, void *arg);
	/* Rows written after seq, at most max. */
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

/* How long one call may take, in milliseconds. */
#define PLT_TIMEOUT_MS 2000

/* The implementation over HTTP and JSON. Errors: layer platform. */
struct plt *plt_http_create(struct lop *l, const char *address, uint16_t port,
			    struct err *err);

/* Short forms of the calls through the table. */
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
