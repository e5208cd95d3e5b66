#include "fdwatch.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Events per call of epoll_wait(). */
#define EVENTS_PER_WAIT 64

struct fdwatch {
	struct lws_vhost *vhost;
	struct lws *wsi; /* of epoll_fd; NULL if it is not polled */
	int epoll_fd;
	fdwatch_fn fn;
};

/* Handles the events of the sockets. */
static int watch_callback(struct lws *wsi, enum lws_callback_reasons reason,
			  void *user, void *in, size_t len)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	const struct fdwatch *w;
	int count;

	(void)user;
	(void)in;
	(void)len;
	if (reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	w = lws_get_opaque_user_data(wsi);
	if (!w)
		return 0;
	count = epoll_wait(w->epoll_fd, events, EVENTS_PER_WAIT, 0);
	for (int i = 0; i < count; i++)
		w->fn(events[i].data.ptr, events[i].events);
	return 0;
}

static const struct lws_protocols protocols[] = {
	{ "fdwatch", watch_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

struct fdwatch *fdwatch_create(struct lwsloop *l, fdwatch_fn fn)
{
	struct fdwatch *w = calloc(1, sizeof(*w));
	lws_sock_file_fd_type desc;

	if (!w)
		return NULL;
	w->fn = fn;
	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->vhost = lwsloop_vhost(l, "fdwatch", protocols, NULL);
	desc.filefd = w->epoll_fd;
	if (w->vhost && w->epoll_fd >= 0)
		w->wsi = lws_adopt_descriptor_vhost(w->vhost,
						    LWS_ADOPT_RAW_FILE_DESC,
						    desc, "fdwatch", NULL);
	if (!w->wsi) {
		fdwatch_destroy(w);
		return NULL;
	}
	lws_set_opaque_user_data(w->wsi, w);
	return w;
}

void fdwatch_destroy(struct fdwatch *w)
{
	if (!w)
		return;
	if (w->wsi) {
		lws_set_opaque_user_data(w->wsi, NULL);
		lws_set_timeout(w->wsi, PENDING_TIMEOUT_CLOSE_SEND,
				LWS_TO_KILL_SYNC);
	} else if (w->epoll_fd >= 0) {
		close(w->epoll_fd);
	}
	if (w->vhost)
		lws_vhost_destroy(w->vhost);
	free(w);
}

bool fdwatch_add(struct fdwatch *w, int fd, void *entry)
{
	struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP |
					       EPOLLET };

	event.data.ptr = entry;
	return epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}
