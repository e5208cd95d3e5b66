#include "lgs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clk.h"

/* Begins to measure; the gap of a range counts from here. */
void lgs_start(struct lgs *s, uint64_t keys, uint64_t now_us)
{
	memset(s, 0, sizeof(*s));
	s->keys = keys;
	s->start_us = now_us;
	for (size_t i = 0; i < LGS_RANGES; i++)
		s->last_good_us[i] = now_us;
}

/* Counts an outcome by its name; names over the limit count as the last. */
static void count_outcome(struct lgs *s, const char *name)
{
	size_t i = 0;

	while (i + 1 < LGS_OUTCOMES && s->outcomes[i].count &&
	       strcmp(s->outcomes[i].name, name) != 0)
		i++;
	if (!s->outcomes[i].count)
		snprintf(s->outcomes[i].name, LGS_NAME_MAX, "%s", name);
	s->outcomes[i].count++;
}

/* Ends the gap of a range. */
static void end_gap(struct lgs *s, size_t range, uint64_t now_us)
{
	uint64_t gap_us = now_us - s->last_good_us[range];

	if (gap_us > s->gap_us[range])
		s->gap_us[range] = gap_us;
	s->last_good_us[range] = now_us;
}

/* The latency and the gaps are those of good answers. */
void lgs_add(struct lgs *s, uint64_t key, const char *outcome, bool good,
	     uint64_t latency_us, uint64_t now_us)
{
	s->requests++;
	count_outcome(s, outcome);
	if (!good)
		return;
	s->good++;
	histogram_add(&s->latency, latency_us);
	end_gap(s, (size_t)(key * LGS_RANGES / s->keys), now_us);
}

/* Prints the report as one line of JSON. */
static void print_json(const struct lgs *s, double seconds, uint64_t seed)
{
	json_t *outcomes = json_object();
	json_t *gaps = json_array();
	json_t *json;

	for (size_t i = 0; i < LGS_OUTCOMES && s->outcomes[i].count; i++)
		json_object_set_new(
			outcomes, s->outcomes[i].name,
			json_integer((json_int_t)s->outcomes[i].count));
	for (size_t i = 0; i < LGS_RANGES; i++)
		json_array_append_new(
			gaps,
			json_integer((json_int_t)(s->gap_us[i] / US_PER_MS)));
	json = json_pack(
		"{s:I,s:f,s:I,s:I,s:f,s:I,s:I,s:I,s:I,s:o,s:o}", "seed",
		(json_int_t)seed, "seconds", seconds, "requests",
		(json_int_t)s->requests, "good", (json_int_t)s->good,
		"good_per_s", (double)s->good / seconds, "p50_us",
		(json_int_t)histogram_quantile(&s->latency, 0.5), "p90_us",
		(json_int_t)histogram_quantile(&s->latency, 0.9), "p99_us",
		(json_int_t)histogram_quantile(&s->latency, 0.99), "max_us",
		(json_int_t)s->latency.max_us, "outcomes", outcomes,
		"longest_gap_ms", gaps);
	json_dumpf(json, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(json);
}

/* Prints the report as text. */
static void print_text(const struct lgs *s, double seconds, uint64_t seed)
{
	printf("seed %llu, %.1f s, %llu requests, %.0f good answers/s\n",
	       (unsigned long long)seed, seconds,
	       (unsigned long long)s->requests, (double)s->good / seconds);
	printf("latency us: p50 %llu, p90 %llu, p99 %llu, max %llu\n",
	       (unsigned long long)histogram_quantile(&s->latency, 0.5),
	       (unsigned long long)histogram_quantile(&s->latency, 0.9),
	       (unsigned long long)histogram_quantile(&s->latency, 0.99),
	       (unsigned long long)s->latency.max_us);
	for (size_t i = 0; i < LGS_OUTCOMES && s->outcomes[i].count; i++)
		printf("%s: %llu\n", s->outcomes[i].name,
		       (unsigned long long)s->outcomes[i].count);
	printf("longest time without a good answer for each key range, ms:");
	for (size_t i = 0; i < LGS_RANGES; i++)
		printf(" %llu", (unsigned long long)(s->gap_us[i] / US_PER_MS));
	printf("\n");
}

/* A gap that is still open at the end counts too. */
void lgs_print(struct lgs *s, uint64_t now_us, uint64_t seed, bool as_json)
{
	double seconds = (double)(now_us - s->start_us) / (double)US_PER_S;

	for (size_t i = 0; i < LGS_RANGES; i++)
		end_gap(s, i, now_us);
	if (seconds <= 0)
		seconds = 1e-6;
	if (as_json)
		print_json(s, seconds, seed);
	else
		print_text(s, seconds, seed);
}
