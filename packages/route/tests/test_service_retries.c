/*
 * Guards against requests to one service that pay for repetitions at another.
 */

#include <stdio.h>
#include <string.h>

#include "clk.h"
#include "route_test.h"
#include "service_retries.h"

#define SERVICES 300
#define REQUESTS 100
#define BURST 1

static uint32_t count_allowed(struct svcretry *s, uint32_t service)
{
	struct retry_request q = { .idempotent = true,
				   .attempts = 1,
				   .body_replayable = true,
				   .deadline_us = UINT64_MAX };
	uint32_t n = 0;

	while (n < REQUESTS && svcretry_allow(s, service, &q, RETRY_UNKNOWN, 0))
		n++;
	return n;
}

PLAIN(services_have_budgets_of_their_own)
{
	struct tmr *timers = tmr_create();
	struct svcretry *s = svcretry_create(timers, 0, BURST, 0);
	uint32_t sound = svcretry_find_service(s, "sound");
	uint32_t failing = svcretry_find_service(s, "failing");

	assert_int_not_equal(sound, failing);
	assert_int_equal(svcretry_find_service(s, "sound"), sound);
	for (int i = 0; i < REQUESTS; i++)
		svcretry_count_arrival(s, sound, 1);
	assert_int_equal(count_allowed(s, failing), 0);
	assert_int_equal(count_allowed(s, sound), BURST);
	svcretry_destroy(s);
	tmr_destroy(timers);
}

/* Guards against repetitions that make room for more of them. */
PLAIN(repetitions_add_nothing_to_the_budget)
{
	struct tmr *timers = tmr_create();
	struct svcretry *s = svcretry_create(timers, 0, BURST, 0);
	uint32_t service = svcretry_find_service(s, "s");

	for (int i = 0; i < REQUESTS; i++)
		svcretry_count_arrival(s, service, 2);
	assert_int_equal(count_allowed(s, service), 0);
	svcretry_destroy(s);
	tmr_destroy(timers);
}

/*
 * Guards against services that share a budget since there are many, so that the
 * requests to one pay for repetitions at another.
 */
PLAIN(each_of_many_services_has_a_budget)
{
	struct tmr *timers = tmr_create();
	struct svcretry *s = svcretry_create(timers, 0, BURST, 0);
	uint32_t handles[SERVICES];
	char name[16];

	for (uint32_t i = 0; i < SERVICES; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		handles[i] = svcretry_find_service(s, name);
		for (uint32_t n = 0; n < i; n++)
			assert_int_not_equal(handles[n], handles[i]);
		for (int n = 0; n < REQUESTS && i % 2 == 0; n++)
			svcretry_count_arrival(s, handles[i], 1);
	}
	for (uint32_t i = 0; i < SERVICES; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		assert_int_equal(svcretry_find_service(s, name), handles[i]);
		assert_int_equal(count_allowed(s, handles[i]),
				 i % 2 == 0 ? BURST : 0);
	}
	svcretry_destroy(s);
	tmr_destroy(timers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(services_have_budgets_of_their_own),
		cmocka_unit_test(repetitions_add_nothing_to_the_budget),
		cmocka_unit_test(each_of_many_services_has_a_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
