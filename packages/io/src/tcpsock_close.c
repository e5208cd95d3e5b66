#include "tcpsock_int.h"

#include <sys/socket.h>

#include <utlist.h>

#include "ctr.h"

/* Sockets released by their users, in the order of their release. */
static size_t closing_count;
static struct tcpsock *closing_list;

/* Closes the socket if it need not linger any more; else checks again later. */
static void check_linger(void *arg, uint64_t now_us)
{
	struct tcpsock *s = arg;

	s->linger_timer = 0;
	if (s->peer_closed ||
	    tcplinger_is_over(&s->linger, tcplinger_unacked(s->fd), now_us)) {
		tcpsock_close(s);
		return;
	}
	s->linger_timer = tmr_at(evloop_timers(s->loop),
				 tcplinger_next_check_us(&s->linger, now_us),
				 check_linger, s);
	if (!s->linger_timer)
		tcpsock_close(s);
}

/* All output has been passed to the kernel: begins the second stage. */
void tcpsock_begin_linger(struct tcpsock *s)
{
	uint64_t now = evloop_now_us(s->loop);

	tcpsock_set_resets(s, false);
	shutdown(s->fd, SHUT_WR);
	ev_io_stop(evloop_libev(s->loop), &s->write_watcher);
	buf_free(&s->in);
	buf_free(&s->out);
	s->lingering = true;
	tcplinger_begin(&s->linger, s->more_input, now);
	check_linger(s, now);
}

/* Discards input of a socket that is closing. */
void tcpsock_discard_input(struct tcpsock *s)
{
	buf_consume(&s->in, buf_len(&s->in));
	s->more_input = true;
	if (s->lingering)
		tcplinger_record_input(&s->linger, evloop_now_us(s->loop));
}

/*
 * The peer of a socket that is closing has closed its side, and may still read.
 * If it does not, sending fails.
 */
void tcpsock_end_input(struct tcpsock *s)
{
	s->peer_closed = true;
	ev_io_stop(evloop_libev(s->loop), &s->read_watcher);
	if (s->lingering)
		tcpsock_close(s);
}

/* Counts a response that may be lost: the peer has not acknowledged it. */
void tcpsock_end_closing(struct tcpsock *s)
{
	if (!s->peer_closed && tcpsock_has_unacked(s))
		ctr_add(CTR_CLOSES_UNACKNOWLEDGED, 1);
	closing_count--;
	DL_DELETE(closing_list, s);
	tmr_cancel(evloop_timers(s->loop), s->linger_timer);
}

/* Releases the socket, which closes in stages. */
void tcpsock_close_after_output(struct tcpsock *s, bool more_input)
{
	if (s->send_error != 0) {
		tcpsock_close(s);
		return;
	}
	s->closing = true;
	s->more_input = more_input;
	s->sent_us = evloop_now_us(s->loop);
	closing_count++;
	DL_APPEND(closing_list, s);
	tcpsock_pause_input(s, false);
	if (buf_len(&s->out) == 0)
		tcpsock_begin_linger(s);
}

/* Returns the number of sockets that are closing after their output. */
size_t tcpsock_closing_count(void)
{
	return closing_count;
}

/* Returns when the peer of a closing socket last took some of its output. */
static uint64_t last_progress_us(const struct tcpsock *s)
{
	return s->lingering ? s->linger.progress_us : s->sent_us;
}

/*
 * Closes those sockets whose peers have taken none of their output for this
 * time. Returns their number. The kernel goes on with what it has taken from a
 * socket that lingers.
 */
size_t tcpsock_drop_stalled(uint64_t stalled_us)
{
	struct tcpsock *s, *next;
	size_t count = 0;

	DL_FOREACH_SAFE(closing_list, s, next)
	{
		if (s->in_callback ||
		    clk_elapsed(evloop_now_us(s->loop), last_progress_us(s)) <
			    stalled_us)
			continue;
		if (!s->lingering)
			tcpsock_reset_on_close(s);
		tcpsock_close(s);
		count++;
	}
	return count;
}

/* The list is in the order of the calls of tcpsock_close_after_output(). */
void tcpsock_drop_lingering(size_t most)
{
	struct tcpsock *s, *next;

	DL_FOREACH_SAFE(closing_list, s, next)
	{
		if (most == 0)
			return;
		if (s->in_callback || !s->lingering)
			continue;
		tcpsock_close(s);
		most--;
	}
}

/* Their timers and watchers are of the event loop. */
void tcpsock_close_all_closing(const struct evloop *l)
{
	struct tcpsock *s, *next;

	DL_FOREACH_SAFE(closing_list, s, next)
	{
		if (s->loop == l)
			tcpsock_close(s);
	}
}

bool tcpsock_has_unacked(const struct tcpsock *s)
{
	return buf_len(&s->out) > 0 || tcplinger_unacked(s->fd) > 0;
}
