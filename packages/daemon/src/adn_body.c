#include "adn_int.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

/*
 * Bodies at the operators' port. All of them together are bounded, whatever the
 * number of connections. When a body needs room, the ones that have received
 * nothing for the longest time are refused, so that an operator's manifest is
 * taken although others have stopped halfway.
 */

/* A manifest and its terminator; no other body is longer. */
#define BODY_MAX (MANIFEST_BYTES_MAX + 1)
/* Operators send one manifest at a time, and announcements are below 1 KiB. */
#define BODIES_BYTES_MAX (16 * BODY_MAX)
#define BODY_START_BYTES 4096

/* The body is whole, or given up; it stays until the request ends. */
void adn_body_end(struct ask *a)
{
	/* The analyzer does not follow the list of utlist. */
	if (a->receiving)
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		DL_DELETE(a->adn->receiving, a);
	a->receiving = false;
}

/* Frees the body. */
void adn_body_free(struct ask *a)
{
	adn_body_end(a);
	a->adn->body_bytes -= a->capacity;
	free(a->body);
	a->body = NULL;
	a->len = a->capacity = 0;
}

/* Refuses other bodies until there is room for this many bytes more. */
static void make_room(struct ask *a, size_t bytes)
{
	struct adn *adn = a->adn;

	while (adn->body_bytes + bytes > BODIES_BYTES_MAX && adn->receiving &&
	       adn->receiving != a) {
		struct ask *idle = adn->receiving;

		adn_body_free(idle);
		adn_result(idle, 503, "refused",
			   "too many bodies at this port");
	}
}

/* Grows the buffer to hold len bytes; false if that is not possible. */
static bool grow(struct ask *a, size_t len)
{
	size_t capacity = a->capacity ? a->capacity : BODY_START_BYTES;
	char *body;

	if (len <= a->capacity)
		return true;
	while (capacity < len)
		capacity *= 2;
	if (capacity > BODY_MAX)
		capacity = BODY_MAX;
	make_room(a, capacity - a->capacity);
	if (a->adn->body_bytes + capacity - a->capacity > BODIES_BYTES_MAX)
		return false;
	body = realloc(a->body, capacity);
	if (!body)
		return false;
	a->adn->body_bytes += capacity - a->capacity;
	a->body = body;
	a->capacity = capacity;
	return true;
}

/* Appends a piece of the body; false if the request was refused. */
bool adn_body_add(struct ask *a, const void *data, size_t len)
{
	if (len == 0)
		return true;
	if (a->len + len > BODY_MAX) {
		adn_body_free(a);
		adn_result(a, 413, "refused", "the body is too long");
		return false;
	}
	/* The list is in the order of the last piece. */
	adn_body_end(a);
	DL_APPEND(a->adn->receiving, a);
	a->receiving = true;
	if (!grow(a, a->len + len)) {
		adn_body_free(a);
		adn_result(a, 503, "refused", "no memory for the body");
		return false;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
	return true;
}

/* Returns whether a body of this length is accepted, by its length alone. */
bool adn_body_fits(long long len)
{
	return len <= (long long)BODY_MAX;
}
