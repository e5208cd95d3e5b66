#ifndef ADN_H
#define ADN_H

/* The operators' endpoints and the announcements of the upstream. */

#include "nod.h"

struct adn *adn_create(struct nod *n, struct err *err);
void adn_destroy(struct adn *a);

/* Number of connections with output that was not acknowledged. */
size_t adn_unacked(const struct adn *a);

#endif
