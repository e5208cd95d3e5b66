/*
 * Guards against the end of a daemon by a HANDOVER call whose window is empty.
 */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "attempts.h"
#include "cluster.h"
#include "rpc.h"
#include "stranger.h"

#define TIMEOUT_MS 2000

static void an_empty_window_ends_no_daemon(void **state)
{
	struct cluster *c = cluster_start(&cluster_small);
	peer_proc to = stranger_ask(c, 0);
	uint8_t data[512];
	size_t len =
		stranger_handover(data + RPC_RECORD_MARK_BYTES, 500, &to, "");
	int fd = raw_connect(cluster_peer_port(c, 0));
	struct reply r;
	bool ended;

	(void)state;
	rpc_write_record_mark(data, len);
	assert_true(send(fd, data, len + RPC_RECORD_MARK_BYTES, MSG_NOSIGNAL) >
		    0);
	cluster_sleep(c, 500);
	close(fd);
	ended = cluster_daemon_ended(c, 0);
	cluster_request(c, 0, "GET", "/bookings/clients/b/history", NULL, NULL,
			TIMEOUT_MS, &r);
	cluster_stop(c);
	assert_false(ended);
	assert_int_equal(r.status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_empty_window_ends_no_daemon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
