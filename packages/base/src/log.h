#ifndef LOG_H
#define LOG_H

/*
 * Structured log of numbered events. log_events.def defines the number, name,
 * level and text of each event; docs/EVENTS.md is generated from it. A line
 * holds time, level, number, name, text and key=value pairs. Request bodies
 * and credentials must not be logged.
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
	LOG_EVENT_COUNT
};

/* Lines per event and second; further ones are only counted. */
#define LOG_EVENT_LINES_PER_S 20

/* Sets the minimum level to write; the default is info. */
void log_set_level(enum log_level level);

/* Sets the file descriptor to write to; the default is standard error. */
void log_set_fd(int fd);

/*
 * Logs an event. fmt formats the key=value pairs, separated by spaces, and is
 * "" for an event without any. Write errors are ignored.
 */
void log_emit(enum log_event event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the number of an event in log_events.def. */
int log_event_number(enum log_event event);

#endif
