/*
 * Platform client against a stub table server. Guards against a write that may
 * have taken effect but is reported as not written, and against keys that are
 * altered by the encoding.
 */

#include "net_test.h"

#include <stdlib.h>
#include <string.h>

#include "platapi.h"

struct stub_server {
	struct lwsloop *loop;
	struct websrv *server;
	const char *response;
	int status;
	bool abort;
	size_t heads;
	char method[16];
	char path[256];
	char query[256];
	char body[256];
	size_t len;
};

struct call_result {
	bool called;
	enum platapi_result result;
	char key[ROW_KEY_MAX];
	uint64_t version;
	char value[64];
	size_t count;
	uint64_t complete;
	size_t len;
};

static void stub_head(void *arg, struct websrv_req *r)
{
	struct stub_server *s = arg;

	s->heads++;
	s->len = 0;
	strcpy(s->method, websrv_method(r));
	strcpy(s->path, websrv_path(r));
	strcpy(s->query, websrv_query(r));
}

static void stub_body(void *arg, struct websrv_req *r, const void *data,
		      size_t len, bool end)
{
	struct stub_server *s = arg;

	if (s->len + len < sizeof(s->body) && len > 0)
		memcpy(s->body + s->len, data, len);
	s->len += len;
	if (end && s->abort)
		websrv_abort(r);
	else if (end)
		websrv_reply(r, s->status, NULL, 0, s->response,
			     strlen(s->response));
}

static void stub_writable(void *arg, struct websrv_req *r)
{
	(void)arg;
	(void)r;
}

static void stub_closed(void *arg, struct websrv_req *r, bool complete)
{
	(void)arg;
	(void)r;
	(void)complete;
}

static const struct websrv_ops stub_ops = { stub_head, stub_body, stub_writable,
					    stub_closed };

static void on_row(void *arg, enum platapi_result result,
		   const struct replica_entry *row)
{
	struct call_result *s = arg;

	assert_false(s->called);
	s->called = true;
	s->result = result;
	if (row) {
		strcpy(s->key, row->key);
		s->version = row->version;
		strncpy(s->value, row->value, sizeof(s->value) - 1);
	}
}

static void on_rows(void *arg, enum platapi_result result,
		    const struct replica_entry *rows, size_t count,
		    uint64_t complete)
{
	struct call_result *s = arg;

	(void)rows;
	s->called = true;
	s->result = result;
	s->count = count;
	s->complete = complete;
}

static void on_object(void *arg, enum platapi_result result, const void *body,
		      size_t len)
{
	struct call_result *s = arg;

	(void)body;
	s->called = true;
	s->result = result;
	s->len = len;
}

static void wait_for_result(struct stub_server *s,
			    struct call_result *call_result)
{
	assert_false(call_result->called);
	while (!call_result->called)
		lwsloop_run_once(s->loop);
}

static struct platapi *open_all(struct stub_server *s)
{
	struct websrv_params p = app_params();

	memset(s, 0, sizeof(*s));
	s->status = 200;
	s->loop = lwsloop_create(clk_system(), 0, NULL);
	s->server = websrv_create(s->loop, &p, &stub_ops, s, NULL);
	assert_non_null(s->server);
	return platapi_http_create(s->loop, "127.0.0.1", websrv_port(s->server),
				   NULL);
}

static void close_all(struct stub_server *s, struct platapi *p)
{
	platapi_destroy(p);
	websrv_destroy(s->server);
	lwsloop_destroy(s->loop);
}

static void rows_and_objects(void **state)
{
	struct stub_server s;
	struct platapi *p = open_all(&s);
	struct call_result a = { 0 };

	(void)state;
	s.response = "{\"key\":\"row/1/2\",\"version\":7,\"seq\":9,"
		     "\"value\":\"{\\\"a\\\":1}\"}";
	platapi_get(p, "row/1/2", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_OK);
	assert_string_equal(a.key, "row/1/2");
	assert_string_equal(a.value, "{\"a\":1}");
	assert_string_equal(s.path, "/table/row%2F1%2F2");
	memset(&a, 0, sizeof(a));
	platapi_put(p, "row/1/2", 7, "{\"a\":2}", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_OK);
	assert_string_equal(s.method, "PUT");
	assert_string_equal(s.query, "expect=7");
	assert_memory_equal(s.body, "{\"a\":2}", 7);
	memset(&a, 0, sizeof(a));
	s.status = 409;
	platapi_put(p, "row/1/2", 0, "{}", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_CONFLICT);
	assert_int_equal(a.version, 7);
	memset(&a, 0, sizeof(a));
	s.status = 404;
	platapi_get(p, "x", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_NOT_FOUND);
	memset(&a, 0, sizeof(a));
	s.status = 200;
	s.response = "{\"rows\":[{\"key\":\"a\",\"version\":1,\"seq\":4,"
		     "\"value\":\"1\"}],\"complete\":5}";
	platapi_get_since(p, 3, 10, on_rows, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_OK);
	assert_true(a.count == 1 && a.complete == 5);
	assert_string_equal(s.query, "since=3&limit=10");
	memset(&a, 0, sizeof(a));
	platapi_put_object(p, "n", "abc", 3, on_object, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_OK);
	memset(&a, 0, sizeof(a));
	platapi_get_object(p, "n", on_object, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.len, strlen(s.response));
	close_all(&s, p);
}

static void lost_responses(void **state)
{
	struct stub_server s;
	struct platapi *p = open_all(&s);
	struct call_result a = { 0 };

	(void)state;
	s.abort = true;
	platapi_put(p, "k", 1, "{}", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_UNKNOWN);
	assert_int_equal(s.heads, 1); /* a write is never retried */
	memset(&a, 0, sizeof(a));
	platapi_get(p, "k", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_UNKNOWN);
	assert_int_equal(s.heads, 3);
	websrv_stop_listening(s.server);
	memset(&a, 0, sizeof(a));
	platapi_put(p, "k", 1, "{}", on_row, &a);
	wait_for_result(&s, &a);
	assert_int_equal(a.result, PLATAPI_UNAVAILABLE);
	close_all(&s, p);
}

#define OVER_LIMIT_BYTES (17 << 20)

/* Guards against the start of an object that is taken for the whole one. */
static void an_object_over_the_limit_is_unavailable(void **state)
{
	char *body = malloc(OVER_LIMIT_BYTES + 1);
	struct call_result call_result;
	struct stub_server s;
	struct platapi *p;

	(void)state;
	memset(body, 'x', OVER_LIMIT_BYTES);
	body[OVER_LIMIT_BYTES] = '\0';
	p = open_all(&s);
	s.response = body;
	memset(&call_result, 0, sizeof(call_result));
	platapi_get_object(p, "long", on_object, &call_result);
	wait_for_result(&s, &call_result);
	assert_int_equal(call_result.result, PLATAPI_UNAVAILABLE);
	assert_int_equal(call_result.len, 0);
	platapi_destroy(p);
	websrv_destroy(s.server);
	lwsloop_destroy(s.loop);
	free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_object_over_the_limit_is_unavailable),
		cmocka_unit_test(rows_and_objects),
		cmocka_unit_test(lost_responses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
