#include "httplines.h"

#include <string.h>

/* Status lines accepted: 'x' is any digit, 's' the first digit of a status. */
#define STATUS_LINE "HTTP/1.x sxx"
#define STATUS_LINE_LEN (sizeof(STATUS_LINE) - 1)

enum state {
	EMPTY_LINES, /* before the start line */
	START_LINE,
	LINE_START, /* of a field, or of the line that ends the head */
	NAME,
	VALUE,
	ENDED
};

/* Starts at the first line of a message. */
void httplines_begin(struct httplines *l, bool request)
{
	memset(l, 0, sizeof(*l));
	l->request = request;
	l->state = EMPTY_LINES;
}

/* Starts at the first line of a trailer section. */
void httplines_begin_trailers(struct httplines *l)
{
	memset(l, 0, sizeof(*l));
	l->state = LINE_START;
}

/* The bytes of a token (RFC 9110, 5.6.2). */
static const bool token_bytes[UINT8_MAX + 1] = {
	['!'] = true,	      ['#' ... '\''] = true, ['*'] = true,
	['+'] = true,	      ['-'] = true,	     ['.'] = true,
	['0' ... '9'] = true, ['A' ... 'Z'] = true,  ['^' ... 'z'] = true,
	['|'] = true,	      ['~'] = true,
};

/* The bytes of a value or of a reason phrase (RFC 9110, 5.5). */
static const bool text_bytes[UINT8_MAX + 1] = {
	['\t'] = true,
	[' ' ... '~'] = true,
	[0x80 ... UINT8_MAX] = true,
};

static bool is_token_byte(char byte)
{
	return token_bytes[(unsigned char)byte];
}

static bool is_text_byte(char byte)
{
	return text_bytes[(unsigned char)byte];
}

/* Checks a byte of a status line; what follows the status is optional. */
static bool check_status_line(struct httplines *l, char byte)
{
	uint32_t at = l->at;

	if (at > STATUS_LINE_LEN)
		return is_text_byte(byte);
	l->at++;
	if (at == STATUS_LINE_LEN)
		return byte == ' ';
	if (STATUS_LINE[at] == 'x')
		return byte >= '0' && byte <= '9';
	if (STATUS_LINE[at] == 's')
		return byte >= '1' && byte <= '5';
	return byte == STATUS_LINE[at];
}

/* Checks a byte of a start line; http_parser does more for a request. */
static bool check_start_line(struct httplines *l, char byte)
{
	l->state = START_LINE;
	if (l->request)
		return byte != '\t' && is_text_byte(byte);
	return check_status_line(l, byte);
}

/* Checks a byte that ends no line. */
static bool check_byte(struct httplines *l, char byte)
{
	switch (l->state) {
	case EMPTY_LINES:
	case START_LINE:
		return check_start_line(l, byte);
	case LINE_START:
		l->state = NAME;
		return is_token_byte(byte);
	case NAME:
		if (byte == ':')
			l->state = VALUE;
		return byte == ':' || is_token_byte(byte);
	case VALUE:
	default:
		return is_text_byte(byte);
	}
}

/* True if the line may end here. */
static bool may_end_line(const struct httplines *l)
{
	if (l->state == START_LINE)
		return l->request || l->at >= STATUS_LINE_LEN;
	return l->state != NAME;
}

/* Goes on to the next line. */
static void end_line(struct httplines *l)
{
	if (l->state == LINE_START)
		l->state = ENDED;
	else if (l->state != EMPTY_LINES)
		l->state = LINE_START;
}

/* Checks the next byte; a CR has to be part of a line end. */
static bool check_next(struct httplines *l, char byte)
{
	if (byte == '\n') {
		if (!may_end_line(l))
			return false;
		l->cr = false;
		end_line(l);
		return true;
	}
	if (l->cr)
		return false;
	l->cr = byte == '\r';
	return l->cr ? may_end_line(l) : check_byte(l, byte);
}

/* Returns the number of the next bytes that continue a name or a value. */
static size_t count_run(const struct httplines *l, const char *bytes,
			size_t len)
{
	const bool *allowed = l->state == NAME ? token_bytes : text_bytes;
	size_t i = 0;

	if (l->cr || (l->state != NAME && l->state != VALUE))
		return 0;
	while (i < len && allowed[(unsigned char)bytes[i]])
		i++;
	return i;
}

/* Checks bytes up to the end of the head. */
size_t httplines_check(struct httplines *l, const char *bytes, size_t len)
{
	size_t i = 0;

	while (i < len && l->state != ENDED) {
		i += count_run(l, bytes + i, len - i);
		if (i < len && !check_next(l, bytes[i++]))
			return 0;
	}
	return i;
}

bool httplines_ended(const struct httplines *l)
{
	return l->state == ENDED;
}
