/*
 * Guards against bytes that are no response and are passed on as one, and
 * against a connection that is used again after them.
 */

#include "raw_server.h"

#include <stdio.h>

#define REST "Content-Length: 2\r\n\r\nok"
#define TEXT_MAX 256

static const char *const bad_lines[] = {
	"HTTP/1.1 000 None", "HTTP/1.1 0 None",	  "HTTP/1.1 20 OK",
	"HTTP/1.1 2000 OK",  "HTTP/1.1 0200 OK",  "HTTP/1.1 099 Low",
	"HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 abc OK",
	"HTTP/1.1 2xx OK",   "HTTP/1.1 +20 OK",	  "HTTP/1.1 -20 OK",
	"HTTP/1.1 +200 OK",  "HTTP/1.1 2 0 OK",	  "HTTP/1.1 200OK",
	"HTTP/1.1 OK",	     "HTTP/2.0 200 OK",	  "HTTP/0.9 200 OK",
	"HTTP/1.10 200 OK",  "nothing of HTTP",
};

static void bad_status_lines_are_no_responses(void **state)
{
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(bad_lines) / sizeof(bad_lines[0]); i++)
		wrong += !raw_server_line_is_lost(bad_lines[i]);
	assert_int_equal(wrong, 0);
}

static void statuses_from_200_to_599_are_accepted(void **state)
{
	static const int statuses[] = { 200, 299, 302, 421, 499, 503, 599 };
	char text[TEXT_MAX];
	struct raw_server s;
	struct raw_result r;
	struct upclient *u;
	struct app a;

	(void)state;
	app_open(&a, NULL);
	raw_server_open(&s);
	for (size_t i = 0; i < 2 * sizeof(statuses) / sizeof(statuses[0]);
	     i++) {
		int status = statuses[i / 2];

		u = upclient_pool_create(a.loop, "127.0.0.1", s.port, 4, NULL);
		snprintf(text, sizeof(text), "HTTP/1.1 %d%s\r\n" REST, status,
			 i % 2 ? "" : " Some Words");
		s.text = text;
		raw_server_call(&a, u, &s, &r);
		assert_true(r.ended);
		assert_int_equal(r.status, status);
		upclient_destroy(u);
	}
	raw_server_close(&s);
	app_close(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bad_status_lines_are_no_responses),
		cmocka_unit_test(statuses_from_200_to_599_are_accepted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
