#ifndef LOG_H
#define LOG_H

/*
 * Logger of numbered events. Each event has a number, a name, a level and a
 * text in log_events.def, from which docs/EVENTS.md is checked. A line holds
 * the time, the level, the number, the name, the text and key=value pairs.
 * Bodies of requests and credentials are never logged.
 */

#include <stdbool.h>

#include "clk.h"

enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR
};

enum log_event {
#define EVENT(number, name, level, text, action) LOG_##name,
#include "log_events.def"
#undef EVENT
	LOG_EVENTS
};

/* Largest number of lines of one event in one second; more are counted. */
#define LOG_EVENT_RATE 20

/* Sets the lowest level that is written; the default is info. */
void log_set_level(enum log_level level);

/* Sets the file descriptor that lines go to; the default is 2. */
void log_set_fd(int fd);

/*
 * Writes one line. fmt gives the key=value pairs, separated by spaces; it may
 * be "" for an event without any.
 */
void log_emit(enum log_event event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the number of an event as it stands in the catalogue. */
int log_event_number(enum log_event event);

#endif
