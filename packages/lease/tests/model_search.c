#include "model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define SLOT_BITS 23
#define SLOTS (1U << SLOT_BITS)
#define NO_INDEX UINT32_MAX

/* A visited state, of which only the 128-bit hash is kept. */
struct visited {
	XXH128_hash_t hash;
	uint32_t parent;
	struct model_step step;
};

struct search {
	struct visited *visited; /* by index */
	uint32_t count;
	uint32_t *slots; /* index + 1 by hash, open addressing; 0 if empty */
	struct model_state *first; /* queue of states to explore */
	struct model_state *last;
	struct model_result result;
};

static void *alloc_zeroed(size_t count, size_t size)
{
	void *p = calloc(count, size);

	if (!p)
		abort();
	return p;
}

/* Returns the index of a new state, NO_INDEX for one visited before. */
static uint32_t add_visited(struct search *s, const struct model_state *state,
			    uint32_t parent, struct model_step step)
{
	static uint8_t buf[MODEL_ENCODING_MAX];
	XXH128_hash_t h = XXH3_128bits(buf, model_encode(state, buf));
	uint32_t i = (uint32_t)h.low64 & (SLOTS - 1);

	while (s->slots[i]) {
		if (XXH128_isEqual(s->visited[s->slots[i] - 1].hash, h))
			return NO_INDEX;
		i = (i + 1) & (SLOTS - 1);
	}
	if (s->count == SLOTS / 2) {
		fprintf(stderr,
			"search aborted: the table of visited states is full\n");
		abort();
	}
	s->visited[s->count] = (struct visited){ h, parent, step };
	s->slots[i] = ++s->count;
	return s->count - 1;
}

static void print_path(const struct search *s, uint32_t index)
{
	const struct visited *f = &s->visited[index];

	if (f->parent == NO_INDEX)
		return;
	print_path(s, f->parent);
	printf(" %s:%u", model_kind_name(f->step.kind), f->step.arg);
}

static void explore_step(struct search *s, const struct model_state *from,
			 struct model_step step)
{
	struct model_state *to = model_apply(from, step);
	const char *violation;

	if (!to)
		return;
	s->result.steps++;
	violation = model_check(to);
	to->index = add_visited(s, to, from->index, step);
	if (violation && to->index != NO_INDEX) {
		s->result.violation = violation;
		printf("  %s after", violation);
		print_path(s, to->index);
		printf("\n");
	}
	if (to->index == NO_INDEX) {
		model_destroy(to);
		return;
	}
	to->next = NULL;
	if (s->last)
		s->last->next = to;
	else
		s->first = to;
	s->last = to;
}

static void explore_state(struct search *s, const struct model_state *from)
{
	for (unsigned int kind = 0; kind < MODEL_KINDS; kind++) {
		unsigned int args = model_args(from, kind);

		for (unsigned int arg = 0; arg < args; arg++) {
			struct model_step step = { (uint8_t)kind,
						   (uint8_t)arg };

			explore_step(s, from, step);
			if (s->result.violation)
				return;
		}
	}
}

static struct model_state *pop(struct search *s)
{
	struct model_state *state = s->first;

	if (state) {
		s->first = state->next;
		if (!s->first)
			s->last = NULL;
	}
	return state;
}

/*
 * Searches breadth first, so that the printed path to a violation is a shortest
 * one.
 */
struct model_result model_search(const struct model_bounds *bounds,
				 const struct statechart *chart,
				 enum lease_fault fault)
{
	struct search s = { 0 };
	struct model_state *state = model_create(bounds, chart, fault);
	const struct model_step none = { 0 };

	s.visited = alloc_zeroed(SLOTS / 2, sizeof(*s.visited));
	s.slots = alloc_zeroed(SLOTS, sizeof(*s.slots));
	state->index = add_visited(&s, state, NO_INDEX, none);
	s.first = state;
	s.last = state;
	while (!s.result.violation && (state = pop(&s))) {
		explore_state(&s, state);
		model_destroy(state);
	}
	while ((state = pop(&s)))
		model_destroy(state);
	s.result.states = s.count;
	free(s.visited);
	free(s.slots);
	return s.result;
}
