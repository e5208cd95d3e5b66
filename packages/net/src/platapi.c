#include "platapi.h"

/* Reads a row; fn gets the result. */
void platapi_get(struct platapi *p, const char *key, platapi_row_fn fn,
		 void *arg)
{
	p->ops->get(p, key, fn, arg);
}

/* Writes a row if its version equals expect, else reports PLATAPI_CONFLICT. */
void platapi_put(struct platapi *p, const char *key, uint64_t expect,
		 const char *value, platapi_row_fn fn, void *arg)
{
	p->ops->put(p, key, expect, value, fn, arg);
}

/* Reads up to max rows that were written after a sequence number. */
void platapi_get_since(struct platapi *p, uint64_t seq, size_t max,
		       platapi_rows_fn fn, void *arg)
{
	p->ops->since(p, seq, max, fn, arg);
}

/* Stores an object of len bytes. */
void platapi_put_object(struct platapi *p, const char *name, const void *body,
			size_t len, platapi_body_fn fn, void *arg)
{
	p->ops->put_object(p, name, body, len, fn, arg);
}

/* Reads an object; the body is valid during the callback. */
void platapi_get_object(struct platapi *p, const char *name, platapi_body_fn fn,
			void *arg)
{
	p->ops->get_object(p, name, fn, arg);
}

/* Closes the connections; calls in progress end without a callback. */
void platapi_destroy(struct platapi *p)
{
	p->ops->destroy(p);
}
