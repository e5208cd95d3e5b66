#ifndef ADN_VIEW_H
#define ADN_VIEW_H

/* What operators can read, as JSON values that the caller frees. */

#include <jansson.h>

#include "nod.h"

json_t *adn_view_status(const struct nod *n);
json_t *adn_view_members(const struct nod *n);
json_t *adn_view_owners(const struct nod *n);
json_t *adn_view_hot(const struct nod *n);
json_t *adn_view_quarantine(const struct nod *n);

/* Where a key goes and why; NULL if there is no such service. */
json_t *adn_view_explain(const struct nod *n, const char *service,
			 const char *key);

#endif
