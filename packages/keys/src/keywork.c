#include "keywork.h"

#include <stdbool.h>
#include <stdlib.h>

#include "keyplan.h"

struct keywork {
	double below[KEYMAP_KEYS + 1]; /* work of all keys below this one */
	uint32_t load_end[KEYMAP_KEYS];
};

/* True if the load names keys that there are. */
static bool is_valid(const struct keyplan_load *load)
{
	return load->first <= load->last && load->last < KEYMAP_KEYS;
}

/*
 * Sums up the work, and the even work of a key. Until the sum has passed a key,
 * its place holds by how much the work of a key changes there.
 */
static void sum_loads(struct keywork *w, const struct keyplan_load *loads,
		      size_t count, double even)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++) {
		const struct keyplan_load *load = &loads[i];
		double each;

		if (!is_valid(load))
			continue;
		each = load->work / (double)(load->last - load->first + 1);
		w->below[load->first] += each;
		w->below[load->last + 1] -= each;
	}
	for (uint32_t key = 0; key <= KEYMAP_KEYS; key++) {
		even += w->below[key];
		w->below[key] = sum;
		sum += even;
	}
}

/* Finds where loads end, from the last key down. */
static void find_ends(struct keywork *w, const struct keyplan_load *loads,
		      size_t count)
{
	uint32_t end = KEYMAP_KEYS - 1;

	for (size_t i = 0; i < count; i++) {
		if (is_valid(&loads[i]))
			w->load_end[loads[i].last] = 1;
	}
	for (uint32_t key = KEYMAP_KEYS; key-- > 0;) {
		if (w->load_end[key])
			end = key;
		w->load_end[key] = end;
	}
}

/* Sums up the loads; invalid ones are left out. */
struct keywork *keywork_create(const struct keyplan_load *loads, size_t count,
			       double even_work)
{
	struct keywork *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	sum_loads(w, loads, count, even_work / KEYMAP_KEYS);
	find_ends(w, loads, count);
	return w;
}

/* Frees the sums. */
void keywork_destroy(struct keywork *w)
{
	free(w);
}

/* Returns the work of a range, in seconds of standard work a second. */
double keywork_sum(const struct keywork *w, uint32_t first, uint32_t last)
{
	return w->below[last + 1] - w->below[first];
}

/* Returns where the next load ends. */
uint32_t keywork_load_end(const struct keywork *w, uint32_t key)
{
	return w->load_end[key];
}
