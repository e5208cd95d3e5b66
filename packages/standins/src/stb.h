#ifndef STB_H
#define STB_H

/* The rows and objects of the platform's stand-in, in memory. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct stb;

struct stb_row {
	const char *key;
	const char *value;
	uint64_t version;
	uint64_t seq; /* number of its last write */
};

struct stb_object {
	const void *body;
	size_t len;
};

/* The condition of a write that is always met. */
#define STB_ANY_VERSION UINT64_MAX

enum stb_result {
	STB_WRITTEN,
	STB_CONFLICT,
	STB_NO_MEMORY
};

struct stb *stb_create(void);
void stb_destroy(struct stb *t);

/* Returns NULL if there is no row; valid until the next write. */
const struct stb_row *stb_get(const struct stb *t, const char *key);

/* Writes if the version is expect; 0 means that there is no row. */
enum stb_result stb_put(struct stb *t, const char *key, uint64_t expect,
			const char *value);

/* Rows after seq in ascending order, one by one; NULL starts, NULL ends. */
const struct stb_row *stb_next(const struct stb *t, uint64_t seq,
			       const struct stb_row *previous);

uint64_t stb_seq(const struct stb *t);
size_t stb_rows(const struct stb *t);

/* Takes over the body, which was made by malloc(). */
bool stb_put_object(struct stb *t, const char *name, void *body, size_t len);
bool stb_get_object(const struct stb *t, const char *name,
		    struct stb_object *out);

#endif
