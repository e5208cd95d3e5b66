#ifndef PIN_H
#define PIN_H

/* Requests that peers forward to this daemon: OPEN, DATA, READ, CANCEL. */

#include "nod.h"

struct pin *pin_create(struct nod *n);
void pin_destroy(struct pin *p);

/* Number of streams whose response has not been fetched whole. */
size_t pin_count(const struct pin *p);

void pin_open(struct pin *p, struct peerrpc_question *q,
	      const struct peer_open *args);
void pin_data(struct pin *p, struct peerrpc_question *q,
	      const struct peer_data *args);
void pin_read(struct pin *p, struct peerrpc_question *q,
	      const struct peer_read *args);
void pin_cancel(struct pin *p, struct peerrpc_question *q,
		const struct peer_cancel *args);

/* The connection of a question has closed. */
void pin_gone(struct pin *p, struct peerrpc_question *q);

#endif
