#include "nod.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adn.h"
#include "bal.h"
#include "ctr.h"
#include "exe.h"
#include "ing.h"
#include "log.h"
#include "mem.h"
#include "own.h"
#include "pin.h"
#include "prb.h"
#include "pub.h"
#include "syn.h"
#include "upd.h"
#include "wrt.h"

#define STOP_CHECK_US (50 * US_PER_MS)
#define LEAVE_CHECK_US (50 * US_PER_MS)
/* How long partitions are moved by rows before they are released to peers. */
#define MOVE_TIME_US (3 * US_PER_S)
/*
 * How long idle connections of callers are kept after the last move. A caller
 * that sends its next request meanwhile gets its answer with "connection:
 * close"; on a connection that is closed first the request would be lost.
 */
#define LINGER_US (2 * US_PER_S)
/* Answers that are queued leave in this time after the last request. */
#define FLUSH_US (200 * US_PER_MS)
/* Longest times for callers and for peers to acknowledge the last responses. */
#define CALLER_FLUSH_US (15 * US_PER_S)
#define PEER_FLUSH_US (1 * US_PER_S)

static void on_lease(void *arg, const struct peer_lease *m)
{
	struct nod *n = arg;

	own_lease(n->own, m);
}

static void on_digest(void *arg, const struct peer_digest *m)
{
	struct nod *n = arg;

	syn_digest(n->syn, m);
}

static void on_strike(void *arg, const struct peer_strike *m)
{
	struct nod *n = arg;

	quarantine_merge(exe_quarantine(n->exec), m->fingerprint, m->strikes,
			 m->label, clk_wall_ms(n->clk));
}

/* A peer asks which process answers here. */
static void answer_hello(struct nod *n, struct peerrpc_question *q)
{
	struct peer_answer a = { .status = PEER_OK,
				 .self = nod_to_peer(&n->self) };

	peerrpc_reply(n->peers, q, &a);
}

static void on_call(void *arg, struct peerrpc_question *q, uint32_t procedure,
		    const void *args)
{
	struct nod *n = arg;

	switch (procedure) {
	case PEER_OPEN:
		pin_open(n->peer_in, q, args);
		break;
	case PEER_DATA:
		pin_data(n->peer_in, q, args);
		break;
	case PEER_READ:
		pin_read(n->peer_in, q, args);
		break;
	case PEER_CANCEL:
		pin_cancel(n->peer_in, q, args);
		break;
	case PEER_SYNC:
		syn_answer(n->syn, q, args);
		break;
	case PEER_FETCH:
		pub_answer(n->pub, q, args);
		break;
	case PEER_HANDOVER:
		own_handover(n->own, q, args);
		break;
	default:
		answer_hello(n, q);
		break;
	}
}

static void on_gone(void *arg, struct peerrpc_question *q)
{
	struct nod *n = arg;

	pin_gone(n->peer_in, q);
}

static const struct peerrpc_events peer_events = {
	.lease = on_lease,
	.digest = on_digest,
	.strike = on_strike,
	.call = on_call,
	.gone = on_gone,
};

/* True when nothing is left that a caller or a peer waits for. */
static bool is_idle(const struct nod *n)
{
	return own_acting_count(n->own) == 0 && exe_count(n->exec) == 0 &&
	       ing_count(n->ingress) == 0 && pin_count(n->peer_in) == 0;
}

/*
 * True when callers, operators and peers have acknowledged what was sent to
 * them, or had the time to. Peers go on calling, so that they have less of it.
 */
static bool is_flushed(const struct nod *n, uint64_t idle_us)
{
	size_t callers = ing_unacked(n->ingress) + adn_unacked(n->admin);

	return (callers == 0 || idle_us > CALLER_FLUSH_US) &&
	       (peerrpc_unacked(n->peers) == 0 || idle_us > PEER_FLUSH_US);
}

/*
 * The upstream leaves while no row can be written: its partitions pass to
 * their successors by release. With the platform up, rows move them.
 */
static void leave_due(void *arg, uint64_t now_us)
{
	struct nod *n = arg;

	(void)now_us;
	if (mem_state(n->member) == MEMBER_DRAINING && !syn_platform_up(n->syn))
		own_release_all(n->own);
}

struct stop {
	struct nod *n;
	uint64_t begun_us;
	uint64_t empty_since_us; /* when the last partition had gone */
	uint64_t idle_since_us; /* when the last request had ended */
};

/* Moves partitions by rows, then by release, and ends the loop when idle. */
static void stop_due(void *arg, uint64_t now_us)
{
	struct stop *s = arg;
	struct nod *n = s->n;
	uint64_t waited = now_us - s->begun_us;

	if (waited > n->set.drain_timeout_ms * US_PER_MS) {
		log_emit(LOG_DRAIN_TIMEOUT, "running=%zu callers=%zu",
			 exe_count(n->exec), ing_count(n->ingress));
		lwsloop_stop(n->loop);
		return;
	}
	if (own_acting_count(n->own) &&
	    (waited > MOVE_TIME_US || !syn_platform_up(n->syn)))
		own_release_all(n->own);
	if (own_acting_count(n->own) == 0 && !s->empty_since_us)
		s->empty_since_us = now_us;
	if (!is_idle(n)) {
		s->idle_since_us = 0;
		return;
	}
	if (!s->idle_since_us)
		s->idle_since_us = now_us;
	if (now_us - s->idle_since_us > FLUSH_US &&
	    is_flushed(n, now_us - s->idle_since_us) &&
	    (now_us - s->empty_since_us > LINGER_US ||
	     ing_connections(n->ingress) == 0))
		lwsloop_stop(n->loop);
}

/* SIGTERM or SIGINT: the daemon leaves without cutting a request. */
static void on_signal(void *arg, int signo)
{
	static struct stop stop;
	struct nod *n = arg;

	if (n->stopping)
		return;
	n->stopping = true;
	log_emit(LOG_DRAIN_BEGUN, "signal=%d", signo);
	stop.n = n;
	stop.begun_us = nod_now_us(n);
	stop.empty_since_us = 0;
	stop.idle_since_us = 0;
	upd_drain(n->upstream, true);
	mem_set_upstream(n->member, mem_service(n->member), 0, MEMBER_DRAINING);
	ing_stop(n->ingress);
	tmr_every(n->timers, stop.begun_us, STOP_CHECK_US, stop_due, &stop);
}

/* Makes what has no sockets of its own, in the order of use. */
static bool create_modules(struct nod *n, struct err *err)
{
	n->pub = pub_create(n, err);
	if (!n->pub)
		return false;
	n->syn = syn_create(n);
	n->writer = wrt_create(n);
	n->member = mem_create(n);
	n->exec = exe_create(n);
	n->balance = bal_create(n);
	n->peer_in = pin_create(n);
	if (!n->syn || !n->writer || !n->member || !n->exec || !n->balance ||
	    !n->peer_in)
		return err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
	n->upstream = upd_create(n, err);
	n->own = n->upstream ? own_create(n, err) : NULL;
	n->probes = n->own ? prb_create(n, err) : NULL;
	return n->probes != NULL;
}

/* Opens the ports, the one for callers last. */
static bool create_sockets(struct nod *n, struct err *err)
{
	struct peerrpc_address bind = { .port = n->set.peer_port };

	snprintf(bind.ip, sizeof(bind.ip), "%s", n->set.address);
	n->platform = platapi_http_create(n->loop, n->set.platform.address,
					  n->set.platform.port, err);
	if (!n->platform)
		return err_wrap(err, ERR_DAEMON, NOD_NO_SOCKET, "platform");
	n->peers = peerrpc_lws_create(n->loop, &bind, &peer_events, n, err);
	if (!n->peers)
		return err_wrap(err, ERR_DAEMON, NOD_NO_SOCKET, "peer port");
	n->admin = adn_create(n, err);
	if (!n->admin)
		return false;
	n->ingress = ing_create(n, err);
	return n->ingress != NULL;
}

/* Makes a node that has drawn its incarnation. */
struct nod *nod_create(const struct settings *set, const struct clk *clk,
		       struct err *err)
{
	struct nod *n = calloc(1, sizeof(*n));

	if (!n) {
		err_set(err, ERR_DAEMON, NOD_NO_MEMORY, "out of memory");
		return NULL;
	}
	n->set = *set;
	n->clk = clk;
	n->self.instance = set->instance;
	n->self.incarnation = clk_random(clk) | 1;
	n->loop = lwsloop_create(clk, 0, err);
	n->replica = replica_create();
	n->traces = tracer_create(set->trace_file[0] ? set->trace_file : NULL,
				  set->name, set->trace_sample_per_million, clk,
				  err);
	if (n->loop)
		n->timers = lwsloop_timers(n->loop);
	if (!n->loop || !n->replica || !n->traces || !create_modules(n, err) ||
	    !create_sockets(n, err) ||
	    !lwsloop_on_signal(n->loop, on_signal, n, err)) {
		nod_destroy(n);
		return NULL;
	}
	tmr_every(n->timers, nod_now_us(n) + LEAVE_CHECK_US, LEAVE_CHECK_US,
		  leave_due, n);
	return n;
}

/* Frees a node; what still runs is cut. */
void nod_destroy(struct nod *n)
{
	if (!n)
		return;
	ing_destroy(n->ingress);
	adn_destroy(n->admin);
	pin_destroy(n->peer_in);
	exe_destroy(n->exec);
	if (n->peers)
		peerrpc_destroy(n->peers);
	if (n->platform)
		platapi_destroy(n->platform);
	upd_destroy(n->upstream);
	prb_destroy(n->probes);
	own_destroy(n->own);
	bal_destroy(n->balance);
	mem_destroy(n->member);
	wrt_destroy(n->writer);
	syn_destroy(n->syn);
	pub_destroy(n->pub);
	tracer_destroy(n->traces);
	replica_destroy(n->replica);
	lwsloop_destroy(n->loop);
	free(n);
}

/* Runs the loop. */
void nod_run(struct nod *n)
{
	log_emit(LOG_DAEMON_STARTED,
		 "name=%s instance=%u incarnation=%016" PRIx64
		 " http=%u peer=%u admin=%u",
		 n->set.name, n->self.instance, n->self.incarnation,
		 n->set.http_port, n->set.peer_port, n->set.admin_port);
	lwsloop_run(n->loop);
	log_emit(LOG_DAEMON_STOPPED, "name=%s", n->set.name);
}

/* Reads the clock. */
uint64_t nod_now_us(const struct nod *n)
{
	return clk_mono_us(n->clk);
}

/* Copies address and port. */
void nod_peer_address(const struct member *m, struct peerrpc_address *out)
{
	memset(out, 0, sizeof(*out));
	memcpy(out->ip, m->address, sizeof(out->ip));
	out->port = m->peer_port;
}

/* Turns a process into the form of messages. */
peer_proc nod_to_peer(const struct proc *p)
{
	peer_proc out = { .instance = p->instance,
			  .incarnation = p->incarnation };

	return out;
}

/* Turns a process from the form of messages. */
struct proc nod_from_peer(const peer_proc *p)
{
	struct proc out = { .instance = p->instance,
			    .incarnation = p->incarnation };

	return out;
}

/* Loads a chart from the folder in the settings. */
struct statechart *nod_load_chart(const struct nod *n, const char *name,
				  const char *const *states,
				  const char *const *events,
				  const struct statechart_action *actions,
				  size_t count, struct err *err)
{
	char path[SETTINGS_PATH_MAX + 64];
	struct statechart *c;

	snprintf(path, sizeof(path), "%s/%s.yaml", n->set.chart_dir, name);
	c = statechart_load(path, states, events, actions, count, err);
	if (!c)
		err_wrap(err, ERR_DAEMON, NOD_BAD_CHART, "state chart %s",
			 name);
	return c;
}
