#include "lgk.h"

#include <math.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "com.h"

/* A prime far from the usual numbers of keys, so that epochs do not overlap. */
#define EPOCH_STEP 7368787ULL

struct lgk {
	uint64_t state;
	uint64_t keys;
	double *cumulative; /* share of the ranks up to and with this one */
};

/* Copies the next field up to a comma; NULL at the end of the text. */
static const char *take_field(const char *at, char *out, size_t size)
{
	size_t len;

	if (!at)
		return NULL;
	len = strcspn(at, ",");
	if (len >= size)
		return NULL;
	memcpy(out, at, len);
	out[len] = '\0';
	return at + len + (at[len] == ',' ? 1 : 0);
}

/* Reads the fields one by one. */
bool lgk_parse(const char *text, struct lgk_kind *out)
{
	char field[32] = "";
	uint64_t number;
	const char *at;

	memset(out, 0, sizeof(*out));
	at = take_field(text, out->method, sizeof(out->method));
	at = take_field(at, out->path, sizeof(out->path));
	at = take_field(at, field, sizeof(field));
	if (!at || out->path[0] != '/' || !com_number(field, &number))
		return false;
	out->weight = (unsigned int)number;
	at = take_field(at, field, sizeof(field));
	out->once = strcmp(field, "once") == 0;
	if (!at || (!out->once && strcmp(field, "idempotent") != 0))
		return false;
	if (!*at)
		return true;
	if (!com_number(at, &number) || number > 64 * 1024 * 1024)
		return false;
	out->body_bytes = number;
	return true;
}

/* Computes the distribution once; a draw is then a binary search. */
struct lgk *lgk_create(uint64_t keys, double skew, uint64_t seed)
{
	struct lgk *g = calloc(1, sizeof(*g));
	double sum = 0;

	if (!g)
		return NULL;
	g->keys = keys;
	g->state = seed;
	g->cumulative = malloc(keys * sizeof(*g->cumulative));
	if (!g->cumulative) {
		free(g);
		return NULL;
	}
	for (uint64_t i = 0; i < keys; i++) {
		sum += 1.0 / pow((double)(i + 1), skew);
		g->cumulative[i] = sum;
	}
	for (uint64_t i = 0; i < keys; i++)
		g->cumulative[i] /= sum;
	return g;
}

/* Frees the generator. */
void lgk_destroy(struct lgk *g)
{
	free(g->cumulative);
	free(g);
}

/* The SplitMix64 generator: a run can be repeated from its seed. */
uint64_t lgk_random(struct lgk *g)
{
	uint64_t z = (g->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Searches the rank of a random share and moves it by the epoch. */
uint64_t lgk_key(struct lgk *g, uint64_t epoch)
{
	double share = (double)(lgk_random(g) >> 11) * 0x1.0p-53;
	uint64_t low = 0;
	uint64_t high = g->keys - 1;

	while (low < high) {
		uint64_t middle = low + (high - low) / 2;

		if (g->cumulative[middle] < share)
			low = middle + 1;
		else
			high = middle;
	}
	return (low + epoch * EPOCH_STEP) % g->keys;
}

/* Walks the weights up to a random one. */
const struct lgk_kind *lgk_draw(struct lgk *g, const struct lgk_kind *kinds,
				size_t count)
{
	uint64_t total = 0;
	uint64_t at;

	for (size_t i = 0; i < count; i++)
		total += kinds[i].weight;
	at = total ? lgk_random(g) % total : 0;
	for (size_t i = 0; i + 1 < count; i++) {
		if (at < kinds[i].weight)
			return &kinds[i];
		at -= kinds[i].weight;
	}
	return &kinds[count - 1];
}
