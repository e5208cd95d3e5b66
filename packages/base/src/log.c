#include "log.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

struct event_info {
	const char *name;
	const char *text;
	int number;
	enum log_level level;
};

static const struct event_info events[LOG_EVENT_COUNT] = {
#define EVENT(number, name, level, text, action) \
	{ #name, text, number, LOG_LEVEL_##level },
#include "log_events.def"
#undef EVENT
};

struct event_rate {
	uint64_t second;
	unsigned int lines;
	unsigned int suppressed;
};

static struct event_rate rates[LOG_EVENT_COUNT];
static enum log_level min_level = LOG_LEVEL_INFO;
static int out_fd = STDERR_FILENO;

static const char *const level_names[] = { "debug", "info", "warn", "error" };

/* Sets the minimum level to write. */
void log_set_level(enum log_level level)
{
	min_level = level;
}

/* Sets the file descriptor to write to; it is not closed. */
void log_set_fd(int fd)
{
	out_fd = fd;
}

/* Returns the number of an event in log_events.def. */
int log_event_number(enum log_event event)
{
	return events[event].number;
}

/* Formats the time and the fixed fields of a line; returns their length. */
static size_t format_prefix(char *line, size_t size, enum log_event event,
			    uint64_t now_ms)
{
	const struct event_info *info = &events[event];
	time_t seconds = (time_t)(now_ms / MS_PER_S);
	struct tm tm;
	size_t n;

	gmtime_r(&seconds, &tm);
	n = strftime(line, size, "%Y-%m-%dT%H:%M:%S", &tm);
	n += (size_t)snprintf(line + n, size - n, ".%03uZ %s %d %s \"%s\"",
			      (unsigned int)(now_ms % MS_PER_S),
			      level_names[info->level], info->number,
			      info->name, info->text);
	return n;
}

/* Terminates the line and writes it with a single call; ignores errors. */
static void write_line(char *line, size_t n, size_t size)
{
	ssize_t written;

	if (n > size - 2)
		n = size - 2;
	line[n++] = '\n';
	written = write(out_fd, line, n);
	(void)written;
}

/* Logs how many lines of an event the rate limit suppressed. */
static void report_suppressed(enum log_event event, unsigned int count,
			      uint64_t now_ms)
{
	char line[LINE_MAX_BYTES];
	size_t n = format_prefix(line, sizeof(line), LOG_EVENTS_SUPPRESSED,
				 now_ms);

	n += (size_t)snprintf(line + n, sizeof(line) - n, " event=%d count=%u",
			      events[event].number, count);
	write_line(line, n, sizeof(line));
}

/* Counts a line against LOG_EVENT_LINES_PER_S; returns false to suppress it. */
static bool rate_limit_allows(enum log_event event, uint64_t now_ms)
{
	struct event_rate *r = &rates[event];
	uint64_t second = now_ms / MS_PER_S;

	if (r->second != second) {
		if (r->suppressed)
			report_suppressed(event, r->suppressed, now_ms);
		r->second = second;
		r->lines = 0;
		r->suppressed = 0;
	}
	if (r->lines >= LOG_EVENT_LINES_PER_S) {
		r->suppressed++;
		return false;
	}
	r->lines++;
	return true;
}

/* Replaces control characters, so that a value cannot inject a log line. */
static void replace_control_chars(char *s)
{
	for (; *s; s++) {
		if ((unsigned char)*s < ' ' || *s == '\x7f')
			*s = '?';
	}
}

/* Logs an event; a line over LINE_MAX_BYTES is truncated. */
void log_emit(enum log_event event, const char *fmt, ...)
{
	uint64_t now_ms = clk_wall_ms(clk_system());
	char line[LINE_MAX_BYTES];
	va_list args;
	size_t n;
	int added;

	if (events[event].level < min_level ||
	    !rate_limit_allows(event, now_ms))
		return;
	n = format_prefix(line, sizeof(line), event, now_ms);
	if (fmt[0]) {
		line[n++] = ' ';
		va_start(args, fmt);
		added = vsnprintf(line + n, sizeof(line) - n, fmt, args);
		va_end(args);
		replace_control_chars(line + n);
		n += added > 0 ? strlen(line + n) : 0;
	}
	write_line(line, n, sizeof(line));
}
