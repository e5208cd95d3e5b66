#include "array.h"

#include <stdlib.h>
#include <string.h>

/* Entries of an array that is not empty. */
#define CAPACITY_MIN 8

/* Doubles the capacity if it is used up. */
void *array_extend(void *array, size_t count, size_t *capacity, size_t size)
{
	size_t more = *capacity ? *capacity * 2 : CAPACITY_MIN;

	if (count == *capacity) {
		void *moved = reallocarray(array, more, size);

		if (!moved)
			return NULL;
		array = moved;
		*capacity = more;
	}
	memset((char *)array + count * size, 0, size);
	return array;
}
