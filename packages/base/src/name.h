#ifndef NAME_H
#define NAME_H

/*
 * Identifiers of a fixed size for names of any length. Operators choose the
 * names of services, instances, data centres and upstreams; their length has no
 * limit. Tables, rows and messages of the daemons hold identifiers instead,
 * which keeps their size bounded. Most names are their own identifier.
 */

#include <stdbool.h>
#include <stddef.h>

/* Size in bytes of the identifier of a name, with its NUL. */
#define NAME_SIZE 64

/*
 * Writes the identifier of a name of len bytes to out, a buffer of size bytes,
 * at least NAME_SIZE. The name itself is the identifier if it fits and is valid
 * UTF-8 without spaces, control characters and NULs. Otherwise the identifier
 * is the start of the name and a hash of 128 bits. The identifier of an
 * identifier is that identifier; "" is that of an empty name.
 */
void name_identify(char *out, size_t size, const char *name, size_t len);

/* Same for a name that ends with a NUL, with an identifier of NAME_SIZE. */
void name_identify_text(char *out, const char *name);

/* True if the identifier has the form that holds a hash. */
bool name_is_hashed(const char *identifier);

#endif
