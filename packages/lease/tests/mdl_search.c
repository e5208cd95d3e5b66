#include "mdl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define SLOT_BITS 23
#define SLOTS (1U << SLOT_BITS)
#define NO_NUMBER UINT32_MAX

/* A state that was found; only its hash of 128 bits is kept. */
struct found {
	XXH128_hash_t hash;
	uint32_t parent;
	struct mdl_step step;
};

struct search {
	struct found *found; /* by number */
	uint32_t count;
	uint32_t *slots; /* number + 1 by hash, open addressing */
	struct mdl_state *first; /* queue of states to look at */
	struct mdl_state *last;
	struct mdl_result result;
};

static void *get_memory(size_t count, size_t size)
{
	void *p = calloc(count, size);

	if (!p)
		abort();
	return p;
}

/* Returns the number of a new state, NO_NUMBER for one that was found. */
static uint32_t add_found(struct search *s, const struct mdl_state *state,
			  uint32_t parent, struct mdl_step step)
{
	static uint8_t text[MDL_TEXT_MAX];
	XXH128_hash_t h = XXH3_128bits(text, mdl_encode(state, text));
	uint32_t i = (uint32_t)h.low64 & (SLOTS - 1);

	while (s->slots[i]) {
		if (XXH128_isEqual(s->found[s->slots[i] - 1].hash, h))
			return NO_NUMBER;
		i = (i + 1) & (SLOTS - 1);
	}
	if (s->count == SLOTS / 2) {
		fprintf(stderr, "the search has no room for more states\n");
		abort();
	}
	s->found[s->count] = (struct found){ h, parent, step };
	s->slots[i] = ++s->count;
	return s->count - 1;
}

static void print_path(const struct search *s, uint32_t number)
{
	const struct found *f = &s->found[number];

	if (f->parent == NO_NUMBER)
		return;
	print_path(s, f->parent);
	printf(" %s:%u", mdl_kind_name(f->step.kind), f->step.arg);
}

static void take_step(struct search *s, const struct mdl_state *from,
		      struct mdl_step step)
{
	struct mdl_state *to = mdl_apply(from, step);
	const char *violation;

	if (!to)
		return;
	s->result.steps++;
	violation = mdl_check(to);
	to->number = add_found(s, to, from->number, step);
	if (violation && to->number != NO_NUMBER) {
		s->result.violation = violation;
		printf("  %s after", violation);
		print_path(s, to->number);
		printf("\n");
	}
	if (to->number == NO_NUMBER) {
		mdl_destroy(to);
		return;
	}
	to->next = NULL;
	if (s->last)
		s->last->next = to;
	else
		s->first = to;
	s->last = to;
}

static void take_steps(struct search *s, const struct mdl_state *from)
{
	for (unsigned int kind = 0; kind < MDL_KINDS; kind++) {
		unsigned int args = mdl_args(from, kind);

		for (unsigned int arg = 0; arg < args; arg++) {
			struct mdl_step step = { (uint8_t)kind, (uint8_t)arg };

			take_step(s, from, step);
			if (s->result.violation)
				return;
		}
	}
}

static struct mdl_state *pop(struct search *s)
{
	struct mdl_state *state = s->first;

	if (state) {
		s->first = state->next;
		if (!s->first)
			s->last = NULL;
	}
	return state;
}

/* Searches breadth first, so that the path to a violation is a shortest one. */
struct mdl_result mdl_search(const struct mdl_bounds *bounds,
			     const struct cht *chart, enum lse_fault fault)
{
	struct search s = { 0 };
	struct mdl_state *state = mdl_create(bounds, chart, fault);
	const struct mdl_step none = { 0 };

	s.found = get_memory(SLOTS / 2, sizeof(*s.found));
	s.slots = get_memory(SLOTS, sizeof(*s.slots));
	state->number = add_found(&s, state, NO_NUMBER, none);
	s.first = state;
	s.last = state;
	while (!s.result.violation && (state = pop(&s))) {
		take_steps(&s, state);
		mdl_destroy(state);
	}
	while ((state = pop(&s)))
		mdl_destroy(state);
	s.result.states = s.count;
	free(s.found);
	free(s.slots);
	return s.result;
}
