#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "planner_int.h"

/* Adds a change; without room it is dropped, and its daemon sends it again. */
void planner_crashes_add(struct planner_crashes *c, uint64_t fingerprint,
			 uint64_t ended)
{
	if (c->count == PLANNER_CRASHES_MAX)
		return;
	c->changes[c->count].fingerprint = fingerprint;
	c->changes[c->count++].ended = ended;
}

/*
 * Applies the changes to the list of crashes. Returns the text of its row if
 * that has to be written, NULL otherwise; the caller frees it. Changes that are
 * not written, as another write was faster, are sent again by their daemons.
 */
char *planner_crashes_plan(struct planner_crashes *c,
			   const struct planview *view, uint64_t now_ms)
{
	struct crashes list = *planview_crashes(view);
	char *text;

	if (list.count == 0 && c->count == 0)
		return NULL;
	crashes_expire(&list, now_ms);
	for (size_t i = 0; i < c->count; i++) {
		if (c->changes[i].ended == 0)
			crashes_remove(&list, c->changes[i].fingerprint);
		else
			crashes_add(&list, c->changes[i].fingerprint,
				    c->changes[i].ended, now_ms);
	}
	c->count = 0;
	text = crashes_format(&list);
	if (strcmp(planview_crashes_text(view), text) == 0) {
		free(text);
		return NULL;
	}
	log_emit(LOG_CRASHES_PLANNED, "requests=%zu", list.count);
	return text;
}
