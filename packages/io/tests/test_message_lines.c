/*
 * Guards against bytes that are no HTTP message by RFC 9110 and RFC 9112 and
 * are passed on as one, or that give a message another body than its sender's.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "httpmsg.h"

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define REQUEST_LINE "POST /x HTTP/1.1\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define LAST_CHUNK "2\r\nok\r\n0\r\n"
#define REST "Content-Length: 2\r\n\r\nok"
#define TEXT_MAX 512

/* Bytes that may contain a NUL. */
struct text {
	const char *bytes;
	size_t len;
};

/* clang-format off */
#define T(s) { s, sizeof(s) - 1 }
/* clang-format on */

static const struct text bad_fields[] = {
	T("Content-Length : 3"),
	T("Transfer-Encoding : chunked"),
	T("X Y: 1"),
	T("X\t: 1"),
	T(" X: 1"),
	T("\tX: 1"),
	T(" folded"),
	T(" "),
	T("X: 1\r\n folded"),
	T("X: 1\r\n\tfolded"),
	T("X\001Y: 1"),
	T("X\177Y: 1"),
	T("X\200Y: 1"),
	T("X\000Y: 1"),
	T("X(Y): 1"),
	T("X\"Y: 1"),
	T("X/Y: 1"),
	T("X@Y: 1"),
	T("X[Y]: 1"),
	T("X{Y}: 1"),
	T("X\\Y: 1"),
	T("X;Y: 1"),
	T("X,Y: 1"),
	T("X=Y: 1"),
	T("X?Y: 1"),
	T(": 1"),
	T("X"),
	T("X Y"),
	T("X=1"),
	T("X: a\001b"),
	T("X: \001b"),
	T("X:\001"),
	T("X: a\001"),
	T("X: a\177"),
	T("X: \177"),
	T("X: a\000b"),
	T("X: \000"),
	T("X: a\013b"),
	T("X: a\033b"),
	T("X: a\rb"),
	T("X: a\r"),
	T("X:\ra"),
	T("X:\r\ra"),
	T("\rX: 1"),
	T("X\r: 1"),
};

static const struct text good_fields[] = {
	T("X:1"),
	T("X: 1"),
	T("X:  1  "),
	T("X:\t1\t"),
	T("X:"),
	T("X: "),
	T("X: a\tb"),
	T("X: \200\377"),
	T("X: a:b"),
	T("X: \"(),/:;<=>?@[\\]{}"),
	T("!#$%&'*+-.^_`|~09azAZ: 1"),
	T("X: 1\nY: 2"),
};

static const struct text bad_status_lines[] = {
	T("HTTP/1.1 200 O\001K"), T("HTTP/1.1 200 \001"),
	T("HTTP/1.1 200 O\177K"), T("HTTP/1.1 200 O\000K"),
	T("HTTP/1.1 200 O\rK"),	  T("HTTP/1.1 200 OK\r"),
	T("HTTP/1.1 200\rOK"),	  T("\rHTTP/1.1 200 OK"),
	T(" HTTP/1.1 200 OK"),	  T("\r\r\nHTTP/1.1 200 OK"),
	T("HTTP/1.1 200\001"),
};

static const struct text bad_request_lines[] = {
	T("GET /\001 HTTP/1.1"),    T("GET /\tx HTTP/1.1"),
	T("GET /\177x HTTP/1.1"),   T("GET /\000x HTTP/1.1"),
	T("GET /\014x HTTP/1.1"),   T("GET /x HTTP/1.1\r"),
	T("GET /x HTTP/1.1\001"),   T("GET\t/x HTTP/1.1"),
	T(" GET /x HTTP/1.1"),	    T("\rGET /x HTTP/1.1"),
	T("GET /x HTTP/1.1\rX: 1"),
};

/* What a parser reported. */
struct seen {
	uint32_t heads;
	uint16_t status;
	char value[32]; /* of the field X */
	char body[TEXT_MAX];
	size_t body_len;
	size_t consumed;
};

static bool on_head(void *arg, struct httpmsg *m)
{
	struct seen *s = arg;

	s->heads++;
	s->status = m->status;
	span_copy(httpmsg_find(m, "x"), s->value, sizeof(s->value));
	return true;
}

static void on_body(void *arg, const char *bytes, size_t len)
{
	struct seen *s = arg;

	assert_true(s->body_len + len < sizeof(s->body));
	memcpy(s->body + s->body_len, bytes, len);
	s->body_len += len;
}

static const struct httpparse_ops ops = { on_head, on_body };

/* Parses one message in pieces of this size. */
static enum httpparse_state parse(bool request, const char *text, size_t len,
				  size_t piece, struct seen *s)
{
	struct httpparse *p = httpparse_create(request, &ops, s);
	enum httpparse_state state = HTTPPARSE_INCOMPLETE;

	memset(s, 0, sizeof(*s));
	while (s->consumed < len &&
	       (state == HTTPPARSE_INCOMPLETE || state == HTTPPARSE_INTERIM)) {
		size_t left = len - s->consumed;
		size_t consumed;

		state = httpparse_feed(p, text + s->consumed,
				       left < piece ? left : piece, &consumed);
		s->consumed += consumed;
	}
	httpparse_destroy(p);
	return state;
}

static const size_t pieces[] = { TEXT_MAX, 1, 7 };

/* Prints a text with its control bytes, and what became of it. */
static void report(const struct text *t, size_t piece,
		   enum httpparse_state state, const struct seen *s)
{
	char shown[4 * TEXT_MAX + 1];
	size_t n = 0;

	for (size_t i = 0; i < t->len && n + 5 < sizeof(shown); i++) {
		unsigned char byte = (unsigned char)t->bytes[i];

		if (byte > ' ' && byte < 127)
			shown[n++] = (char)byte;
		else
			n += (size_t)sprintf(shown + n, "\\%03o", byte);
	}
	shown[n] = '\0';
	print_error("%s in pieces of %zu: state %d, %u heads, body '%.*s'\n",
		    shown, piece, (int)state, s->heads, (int)s->body_len,
		    s->body);
}

/* Returns the number of ways in which a message is not an error. */
static size_t count_accepted(bool request, const struct text *t, uint32_t heads)
{
	size_t accepted = 0;
	struct seen s;

	for (size_t i = 0; i < sizeof(pieces) / sizeof(pieces[0]); i++) {
		enum httpparse_state state =
			parse(request, t->bytes, t->len, pieces[i], &s);

		if (state == HTTPPARSE_ERROR && s.heads <= heads)
			continue;
		report(t, pieces[i], state, &s);
		accepted++;
	}
	return accepted;
}

/* Returns the number of ways in which a message has not this body. */
static size_t count_refused(bool request, const struct text *t,
			    const char *body)
{
	size_t refused = 0;
	struct seen s;

	for (size_t i = 0; i < sizeof(pieces) / sizeof(pieces[0]); i++) {
		enum httpparse_state state =
			parse(request, t->bytes, t->len, pieces[i], &s);

		if (state == HTTPPARSE_DONE && s.heads == 1 &&
		    s.consumed == t->len && s.body_len == strlen(body) &&
		    memcmp(s.body, body, s.body_len) == 0)
			continue;
		report(t, pieces[i], state, &s);
		refused++;
	}
	return refused;
}

/* Joins three texts; the result is valid until the next call. */
static struct text join(const char *before, const struct text *line,
			const char *after)
{
	static char bytes[TEXT_MAX];
	size_t first = strlen(before);
	size_t last = strlen(after);

	assert_true(first + line->len + last <= sizeof(bytes));
	memcpy(bytes, before, first);
	memcpy(bytes + first, line->bytes, line->len);
	memcpy(bytes + first + line->len, after, last);
	return (struct text){ bytes, first + line->len + last };
}

/* Places of a field line in a message. */
static const struct {
	bool request;
	const char *before, *after;
	uint32_t heads; /* passed on before the line */
} places[] = {
	{ false, STATUS_LINE, "\r\n" REST, 0 },
	{ false, STATUS_LINE "A: 1\r\n", "\r\n" REST, 0 },
	{ false, STATUS_LINE "Content-Length: 2\r\n", "\r\n\r\nok", 0 },
	{ false, STATUS_LINE CHUNKED "\r\n" LAST_CHUNK, "\r\n\r\n", 1 },
	{ false, STATUS_LINE CHUNKED "\r\n" LAST_CHUNK "A: 1\r\n", "\r\n\r\n",
	  1 },
	{ false, "HTTP/1.1 100 Continue\r\n", "\r\n\r\n" STATUS_LINE REST, 0 },
	{ true, REQUEST_LINE, "\r\n" REST, 0 },
	{ true, REQUEST_LINE "A: 1\r\n", "\r\n" REST, 0 },
	{ true, REQUEST_LINE "Content-Length: 2\r\n", "\r\n\r\nok", 0 },
	{ true, REQUEST_LINE CHUNKED "\r\n" LAST_CHUNK, "\r\n\r\n", 1 },
};

static void invalid_field_lines_are_errors(void **state)
{
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(bad_fields) / sizeof(bad_fields[0]); i++)
		for (size_t k = 0; k < sizeof(places) / sizeof(places[0]);
		     k++) {
			struct text t = join(places[k].before, &bad_fields[i],
					     places[k].after);

			wrong += count_accepted(places[k].request, &t,
						places[k].heads);
		}
	assert_int_equal(wrong, 0);
}

static void valid_field_lines_are_accepted(void **state)
{
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(good_fields) / sizeof(good_fields[0]);
	     i++)
		for (size_t k = 0; k < sizeof(places) / sizeof(places[0]);
		     k++) {
			struct text t = join(places[k].before, &good_fields[i],
					     places[k].after);

			wrong += count_refused(places[k].request, &t, "ok");
		}
	assert_int_equal(wrong, 0);
}

static void invalid_start_lines_are_errors(void **state)
{
	size_t wrong = 0;
	struct text t;

	(void)state;
	for (size_t i = 0;
	     i < sizeof(bad_status_lines) / sizeof(bad_status_lines[0]); i++) {
		t = join("", &bad_status_lines[i], "\r\n" REST);
		wrong += count_accepted(false, &t, 0);
	}
	for (size_t i = 0;
	     i < sizeof(bad_request_lines) / sizeof(bad_request_lines[0]);
	     i++) {
		t = join("", &bad_request_lines[i], "\r\n" REST);
		wrong += count_accepted(true, &t, 0);
	}
	assert_int_equal(wrong, 0);
}

/* The line that ends a head or a trailer section. */
static void a_head_ends_with_an_empty_line(void **state)
{
	static const struct text bad[] = {
		T(STATUS_LINE "Content-Length: 2\r\n\rok"),
		T(STATUS_LINE "Content-Length: 2\r\n\r\rok"),
		T(STATUS_LINE "Content-Length: 2\r\n \r\nok"),
	};
	static const struct text bad_trailers[] = {
		T(STATUS_LINE CHUNKED "\r\n" LAST_CHUNK "\rX"),
		T(STATUS_LINE CHUNKED "\r\n" LAST_CHUNK "A: 1\r\n\rX"),
	};
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		wrong += count_accepted(false, &bad[i], 0);
	for (size_t i = 0; i < sizeof(bad_trailers) / sizeof(bad_trailers[0]);
	     i++)
		wrong += count_accepted(false, &bad_trailers[i], 1);
	assert_int_equal(wrong, 0);
}

/* Chunked bodies by RFC 9112, 7.1, behind a valid head. */
static const struct text bad_chunks[] = {
	T("2\r\nokXX0\r\n\r\n"),     T("2\r\nok\n0\r\n\r\n"),
	T("2\r\nok\rX0\r\n\r\n"),    T("2\r\nokX\n0\r\n\r\n"),
	T("2\r\nok\r\r\n0\r\n\r\n"), T("2\r\nok0\r\n\r\n"),
	T("1\r\nok\r\n0\r\n\r\n"),   T("3\r\nok\r\n0\r\n\r\n"),
	T("2\nok\r\n0\r\n\r\n"),     T("2\rXok\r\n0\r\n\r\n"),
	T("2\r\rok\r\n0\r\n\r\n"),   T("2;a\nok\r\n0\r\n\r\n"),
	T("2;a\rXok\r\n0\r\n\r\n"),  T("2;a\001\r\nok\r\n0\r\n\r\n"),
	T("2 2\r\nok\r\n0\r\n\r\n"), T(" 2\r\nok\r\n0\r\n\r\n"),
	T("+2\r\nok\r\n0\r\n\r\n"),  T("-2\r\nok\r\n0\r\n\r\n"),
	T("0x2\r\nok\r\n0\r\n\r\n"), T("2h\r\nok\r\n0\r\n\r\n"),
	T("g\r\nok\r\n0\r\n\r\n"),   T("\r\nok\r\n0\r\n\r\n"),
	T(";a\r\nok\r\n0\r\n\r\n"),  T("10000000000000002\r\nok\r\n0\r\n\r\n"),
	T("2\r\nok\r\n0\n\r\n"),     T("2\r\nok\r\n0\rX\r\n"),
};

static const struct text good_chunks[] = {
	T("2\r\nok\r\n0\r\n\r\n"),
	T("1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
	T("0002\r\nok\r\n000\r\n\r\n"),
	T("2;a=b\r\nok\r\n0;c\r\n\r\n"),
	T("2 ;a=\"b c\"\r\nok\r\n0\r\n\r\n"),
	T("2  \r\nok\r\n0\r\n\r\n"),
	T("2\r\nok\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"),
};

static void chunks_have_to_be_valid(void **state)
{
	static const char *const heads[] = { STATUS_LINE CHUNKED "\r\n",
					     REQUEST_LINE CHUNKED "\r\n" };
	size_t wrong = 0;

	(void)state;
	for (size_t k = 0; k < 2; k++) {
		for (size_t i = 0;
		     i < sizeof(bad_chunks) / sizeof(bad_chunks[0]); i++) {
			struct text t = join(heads[k], &bad_chunks[i], "");

			wrong += count_accepted(k == 1, &t, 1);
		}
		for (size_t i = 0;
		     i < sizeof(good_chunks) / sizeof(good_chunks[0]); i++) {
			struct text t = join(heads[k], &good_chunks[i], "");

			wrong += count_refused(k == 1, &t, "ok");
		}
	}
	assert_int_equal(wrong, 0);
}

/* Responses whose body has no length that is certain. */
static const struct text unclear_bodies[] = {
	T(STATUS_LINE "Transfer-Encoding: gzip\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding: identity\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding: xchunked\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding:\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding: chunked;a=b\r\n\r\n" LAST_CHUNK
		      "\r\n"),
	T(STATUS_LINE "Transfer-Encoding: gzip, chunked\r\n\r\n" LAST_CHUNK
		      "\r\n"),
	T(STATUS_LINE "Transfer-Encoding: gzip\r\n" CHUNKED "\r\n" LAST_CHUNK
		      "\r\n"),
	T(STATUS_LINE CHUNKED "Transfer-Encoding: gzip\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding: chunked, gzip\r\n\r\nok"),
	T(STATUS_LINE "Transfer-Encoding: chunked, chunked\r\n\r\n" LAST_CHUNK
		      "\r\n"),
	T(STATUS_LINE CHUNKED CHUNKED "\r\n" LAST_CHUNK "\r\n"),
	T("HTTP/1.0 200 OK\r\n" CHUNKED "\r\n" LAST_CHUNK "\r\n"),
	T(STATUS_LINE CHUNKED "Content-Length: 2\r\n\r\n" LAST_CHUNK "\r\n"),
	T(STATUS_LINE "Content-Length: 2\r\n" CHUNKED "\r\n" LAST_CHUNK "\r\n"),
	T(STATUS_LINE "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 3\r\nContent-Length: 2\r\n\r\nok"),
	T(STATUS_LINE "Content-Length:\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: +2\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: -2\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 2 2\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 2, 3\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 2a\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 0x2\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 2.0\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 9223372036854775808\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 18446744073709551615\r\n\r\nok"),
	T(STATUS_LINE "Content-Length: 18446744073709551618\r\n\r\nok"),
};

static void a_body_of_unclear_length_is_an_error(void **state)
{
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0;
	     i < sizeof(unclear_bodies) / sizeof(unclear_bodies[0]); i++)
		wrong += count_accepted(false, &unclear_bodies[i], 0);
	assert_int_equal(wrong, 0);
}

/* RFC 9112, 6.3: these end with their head, whatever it says. */
static const struct text bodiless[] = {
	T("HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n"),
	T("HTTP/1.1 204 No Content\r\n" CHUNKED "\r\n"),
	T("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"),
	T("HTTP/1.1 304 Not Modified\r\n" CHUNKED "\r\n"),
	T("HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n"
	  "HTTP/1.1 204 No Content\r\n\r\n"),
	T("HTTP/1.1 103 Early Hints\r\n" CHUNKED "\r\n"
	  "HTTP/1.1 204 No Content\r\n\r\n"),
};

static void responses_without_a_body_end_with_their_head(void **state)
{
	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(bodiless) / sizeof(bodiless[0]); i++)
		wrong += count_refused(false, &bodiless[i], "");
	assert_int_equal(wrong, 0);
}

/* RFC 9112, 5.1: nor are they passed on, or part of a coding's name. */
static void blanks_around_a_value_are_no_part_of_it(void **state)
{
	static const struct text texts[] = {
		T(STATUS_LINE "X:a\r\n" REST),
		T(STATUS_LINE "X: \ta \t \r\n" REST),
		T(STATUS_LINE "X: a \nContent-Length: 2 \r\n\r\nok"),
		T(STATUS_LINE
		  "X: a\r\nTransfer-Encoding: chunked \r\n\r\n" LAST_CHUNK
		  "\r\n"),
	};
	struct seen s;

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		assert_int_equal(count_refused(false, &texts[i], "ok"), 0);
		for (size_t k = 0; k < sizeof(pieces) / sizeof(pieces[0]);
		     k++) {
			parse(false, texts[i].bytes, texts[i].len, pieces[k],
			      &s);
			assert_string_equal(s.value, "a");
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(invalid_field_lines_are_errors),
		cmocka_unit_test(valid_field_lines_are_accepted),
		cmocka_unit_test(invalid_start_lines_are_errors),
		cmocka_unit_test(a_head_ends_with_an_empty_line),
		cmocka_unit_test(chunks_have_to_be_valid),
		cmocka_unit_test(a_body_of_unclear_length_is_an_error),
		cmocka_unit_test(responses_without_a_body_end_with_their_head),
		cmocka_unit_test(blanks_around_a_value_are_no_part_of_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
