#include "plt.h"

/* Reads a row; fn gets the result. */
void plt_get(struct plt *p, const char *key, plt_row_fn fn, void *arg)
{
	p->ops->get(p, key, fn, arg);
}

/* Writes a row if its version equals expect, else reports PLT_CONFLICT. */
void plt_put(struct plt *p, const char *key, uint64_t expect, const char *value,
	     plt_row_fn fn, void *arg)
{
	p->ops->put(p, key, expect, value, fn, arg);
}

/* Reads up to max rows that were written after a sequence number. */
void plt_since(struct plt *p, uint64_t seq, size_t max, plt_rows_fn fn,
	       void *arg)
{
	p->ops->since(p, seq, max, fn, arg);
}

/* Stores an object of len bytes. */
void plt_put_object(struct plt *p, const char *name, const void *body,
		    size_t len, plt_body_fn fn, void *arg)
{
	p->ops->put_object(p, name, body, len, fn, arg);
}

/* Reads an object; the body is valid during the callback. */
void plt_get_object(struct plt *p, const char *name, plt_body_fn fn, void *arg)
{
	p->ops->get_object(p, name, fn, arg);
}

/* Closes the connections; calls in progress end without a callback. */
void plt_destroy(struct plt *p)
{
	p->ops->destroy(p);
}
