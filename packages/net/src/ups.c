#include "ups.h"

/* What callers may rely on; headers of one connection are left out. */
const char *const ups_response_headers[] = { "content-type",
					     "content-encoding",
					     "content-language",
					     "etag",
					     "last-modified",
					     "location",
					     "cache-control",
					     "expires",
					     "vary",
					     "retry-after",
					     "accept-ranges",
					     "content-range",
					     "www-authenticate",
					     "geranium-refused",
					     "geranium-outcome",
					     NULL };

/* Starts a request. */
uint32_t ups_start(struct ups *u, const struct ups_request *req,
		   const struct ups_events *events, void *arg)
{
	return u->ops->start(u, req, events, arg);
}

/* Queues more of the request body. */
bool ups_write(struct ups *u, uint32_t call, const void *data, size_t len,
	       bool end)
{
	return u->ops->write(u, call, data, len, end);
}

/* Stops and resumes the response body. */
void ups_pause(struct ups *u, uint32_t call, bool paused)
{
	u->ops->pause(u, call, paused);
}

/* Ends a request without a further event. */
void ups_cancel(struct ups *u, uint32_t call)
{
	u->ops->cancel(u, call);
}

/* Closes all connections; requests in progress end without an event. */
void ups_destroy(struct ups *u)
{
	u->ops->destroy(u);
}
