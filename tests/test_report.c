/*
 * Reports of workers, as the platform's runners send them. A report with a
 * fault names no worker: it is refused, with the kind of the fault.
 */

#include <glib.h>
#include <string.h>

#include "platform.h"

#define PATH "/v1/instances/i-7f3a"

/* All fields but the first two, each of which a test may replace. */
#define FIELDS                                                                 \
	"\"address\":\"10.128.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","   \
	"\"slots\":8,\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"  \
	"\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113"
#define COUNTED "\"coldRemainingMs\":0,\"seq\":4,\"born\":1700000000123," FIELDS
#define READY   "\"service\":\"huvo\",\"state\":\"ready\","

static bool
parse_report(struct mst_worker_report *out, struct input_fault *fault,
    const char *method, const char *path, struct mst_bytes body)
{
	const struct mst_http_request request = {
	    .method = mst_bytes_from_str(method),
	    .path = mst_bytes_from_str(path),
	    .body = body};
	void *driver_data;
	bool ok =
	    platform_worker.read_report(out, &driver_data, fault, &request);

	platform_worker.release_report(driver_data);
	return ok;
}

static bool
parse_put(struct mst_worker_report *out, const char *body)
{
	struct input_fault fault;

	return parse_report(out, &fault, "PUT", PATH, mst_bytes_from_str(body));
}

/* Checks that the body of a report is refused for a fault. */
static void
assert_refused(const char *body, enum input_fault_kind expected)
{
	struct mst_worker_report out;
	struct input_fault fault = {0};

	if (parse_report(&out, &fault, "PUT", PATH, mst_bytes_from_str(body)) ||
	    fault.kind != expected)
		g_error("%s: fault %s of %s", body,
		    input_fault_kind_name(fault.kind), fault.field);
}

static void
report__is_parsed(void)
{
	struct mst_worker_report out;

	g_assert_true(parse_put(
	    &out, "{\"service\":\"huvo\",\"state\":\"draining\"," COUNTED "}"));
	g_assert_cmpuint(out.cold_ms, ==, 0);
	g_assert_true(out.draining);
	g_assert_false(out.shutting_down);
	g_assert_cmpuint(out.capacity.millicores, ==, 16000);
	g_assert_cmpuint(out.capacity.memory_mb, ==, 32768);
	g_assert_cmpuint(out.incarnation, ==, 1700000000123);
	g_assert_cmpuint(out.seq, ==, 4);
	g_assert_cmpuint(out.id.len, ==, 6);
}

static void
report__time_until_usual_speed(void)
{
	struct mst_worker_report out;

	g_assert_true(parse_put(&out,
	    "{" READY "\"coldRemainingMs\":1500.5,\"seq\":4," FIELDS "}"));
	g_assert_cmpuint(out.cold_ms, ==, 1500);
	g_assert_true(parse_put(
	    &out, "{" READY "\"coldRemainingMs\":-7,\"seq\":4," FIELDS "}"));
	g_assert_cmpuint(out.cold_ms, ==, 0);
	g_assert_true(parse_put(
	    &out, "{" READY "\"coldRemainingMs\":-0,\"seq\":4," FIELDS "}"));
	g_assert_true(parse_put(&out,
	    "{" READY "\"coldRemainingMs\":1e-400,\"seq\":4," FIELDS "}"));
	g_assert_cmpuint(out.cold_ms, ==, 0);
}

static void
report__paths_and_methods(void)
{
	static const char valid[] = "{" READY COUNTED "}";
	struct mst_worker_report out;
	struct input_fault fault;
	char *long_path = g_strnfill(300, 'i');
	char *path = g_strconcat("/v1/instances/", long_path, NULL);
	const struct mst_bytes body = mst_bytes_from_str(valid);
	const struct mst_bytes none = {0};

	g_assert_true(parse_report(&out, &fault, "DELETE", PATH, none));
	g_assert_true(out.shutting_down);
	g_assert_false(parse_report(&out, &fault, "PATCHY", PATH, body));
	g_assert_cmpint(fault.kind, ==, INPUT_FAULT_METHOD);
	g_assert_false(
	    parse_report(&out, &fault, "PUT", "/v1/instances/", body));
	g_assert_false(parse_report(&out, &fault, "PUT", "/elsewhere", body));
	g_assert_cmpint(fault.kind, ==, INPUT_FAULT_MISSING);
	/* The id is sent back in a header, and kept in the store. */
	g_assert_false(
	    parse_report(&out, &fault, "PUT", "/v1/instances/i\r\nX: 1", body));
	g_assert_cmpint(fault.kind, ==, INPUT_FAULT_NAME);
	g_assert_false(
	    parse_report(&out, &fault, "DELETE", "/v1/instances/\xff", none));
	g_assert_false(
	    parse_report(&out, &fault, "PUT", "/v1/instances/a/b", body));
	g_assert_false(parse_report(&out, &fault, "PUT", path, body));
	g_free(path);
	g_free(long_path);
}

/* Guards against an odd report that ends the process or is taken for that of a
 * worker. */
static void
report__unreadable_bodies(void)
{
	struct mst_worker_report out;
	struct input_fault fault;
	char *oversized = g_strnfill(5 << 20, ' ');
	char *nested = g_strnfill(100000, '[');
	static const char with_nul[] = "{" READY COUNTED "}\0{}";

	assert_refused("", INPUT_FAULT_SYNTAX);
	assert_refused("\xff", INPUT_FAULT_ENCODING);
	assert_refused("{" READY COUNTED "}{}", INPUT_FAULT_SYNTAX);
	assert_refused("{" READY COUNTED ",", INPUT_FAULT_SYNTAX);
	assert_refused(nested, INPUT_FAULT_SYNTAX);
	assert_refused(oversized, INPUT_FAULT_LENGTH);
	g_assert_false(parse_report(&out, &fault, "PUT", PATH,
	    (struct mst_bytes){with_nul, sizeof(with_nul) - 1}));
	assert_refused("[]", INPUT_FAULT_MISSING);
	assert_refused("{}", INPUT_FAULT_MISSING);
	assert_refused(
	    "{\"zone\":\"\xff\"," READY COUNTED "}", INPUT_FAULT_ENCODING);
	g_free(nested);
	g_free(oversized);
}

static void
report__missing_fields(void)
{
	assert_refused(
	    "{\"service\":\"huvo\"," COUNTED "}", INPUT_FAULT_MISSING);
	assert_refused(
	    "{\"state\":\"ready\"," COUNTED "}", INPUT_FAULT_MISSING);
	assert_refused("{" READY "\"seq\":4," FIELDS "}", INPUT_FAULT_MISSING);
	assert_refused(
	    "{" READY "\"coldRemainingMs\":4," FIELDS "}", INPUT_FAULT_MISSING);
	assert_refused("{" READY "\"coldRemainingMs\":0,\"seq\":4,"
		       "\"address\":\"10.0.0.1:80\"}",
	    INPUT_FAULT_MISSING);
}

static void
report__other_types(void)
{
	static const char *const bodies[] = {
	    "{\"service\":7,\"state\":\"ready\"," COUNTED "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":\"4\"," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":null," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":false,\"seq\":4," FIELDS "}",
	    "{" READY "\"born\":\"1700000000123\"," COUNTED "}",
	    "{" READY "\"capacity\":{\"cpu\":\"9\"}," COUNTED "}",
	    "{" READY "\"capacity\":{\"cpu\":1,\"gpu\":[]}," COUNTED "}",
	    "{" READY "\"labels\":{\"a\":\"b\"}," COUNTED "}",
	    "{" READY "\"labels\":[7]," COUNTED "}",
	    "{" READY "\"address\":8080," COUNTED "}",
	    "{" READY "\"zone\":[]," COUNTED "}",
	    "{" READY "\"version\":1," COUNTED "}",
	    "{" READY "\"slots\":\"8\"," COUNTED "}",
	    "{" READY "\"clockMs\":{}," COUNTED "}"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		assert_refused(bodies[i], INPUT_FAULT_TYPE);
	assert_refused(
	    "{" READY "\"capacity\":9," COUNTED "}", INPUT_FAULT_MISSING);
}

/* Guards against a number whose conversion is undefined, and differs between
 * machines. */
static void
report__numbers_out_of_range(void)
{
	static const char *const bodies[] = {
	    "{" READY "\"born\":18446744073709551615," COUNTED "}",
	    "{" READY "\"born\":0," COUNTED "}",
	    "{" READY "\"born\":-5," COUNTED "}",
	    "{" READY "\"born\":1.5," COUNTED "}",
	    "{" READY "\"born\":1e400," COUNTED "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":-1," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":4.5," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":1e19," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":0,\"seq\":-1e400," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":1e300,\"seq\":4," FIELDS "}",
	    "{" READY "\"coldRemainingMs\":-1e300,\"seq\":4," FIELDS "}",
	    "{" READY "\"capacity\":{\"cpu\":0}," COUNTED "}",
	    "{" READY "\"capacity\":{\"cpu\":1e12}," COUNTED "}",
	    "{" READY "\"capacity\":{\"cpu\":1,\"memMb\":-1}," COUNTED "}",
	    "{" READY "\"capacity\":{\"cpu\":1,\"gpu\":1e30}," COUNTED "}",
	    "{" READY "\"slots\":1e400," COUNTED "}",
	    "{" READY "\"clockMs\":1e300," COUNTED "}"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		assert_refused(bodies[i], INPUT_FAULT_RANGE);
}

static void
report__malformed_texts(void)
{
	GString *many = g_string_new("{" READY "\"labels\":[\"a\"");
	char *service = g_strnfill(300, 's');
	char *long_service = g_strdup_printf(
	    "{\"service\":\"%s\",\"state\":\"ready\",%s}", service, COUNTED);
	int i;

	for (i = 0; i < 100; i++)
		g_string_append(many, ",\"a\"");
	g_string_append(many, "]," COUNTED "}");
	assert_refused(many->str, INPUT_FAULT_LENGTH);
	assert_refused(long_service, INPUT_FAULT_LENGTH);
	assert_refused("{\"service\":\"\",\"state\":\"ready\"," COUNTED "}",
	    INPUT_FAULT_LENGTH);
	assert_refused("{\"service\":\"a\\n\",\"state\":\"ready\"," COUNTED "}",
	    INPUT_FAULT_ENCODING);
	assert_refused("{\"service\":\"huvo\",\"state\":\"asleep\"," COUNTED
		       "}",
	    INPUT_FAULT_NAME);
	/* Labels are passed on as a comma-separated list. */
	assert_refused(
	    "{" READY "\"labels\":[\"a,b\"]," COUNTED "}", INPUT_FAULT_NAME);
	g_free(long_service);
	g_free(service);
	g_string_free(many, TRUE);
}

static void
report__malformed_addresses(void)
{
	static const char *const addresses[] = {"10.0.0.1:65536", "10.0.0.1:0",
	    "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "10.0.0.1",
	    "10.0.0.1:", "localhost:80", "10.0.0.256:80", "[::1]:80",
	    "10.0.0.1:8o", "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:080"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		char *body = g_strdup_printf(
		    "{\"address\":\"%s\",%s}", addresses[i], READY COUNTED);

		assert_refused(body, INPUT_FAULT_ADDRESS);
		g_free(body);
	}
	assert_refused(
	    "{\"address\":\"\"," READY COUNTED "}", INPUT_FAULT_LENGTH);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/report/is-parsed", report__is_parsed);
	g_test_add_func(
	    "/report/time-until-usual-speed", report__time_until_usual_speed);
	g_test_add_func("/report/paths-and-methods", report__paths_and_methods);
	g_test_add_func("/report/unreadable-bodies", report__unreadable_bodies);
	g_test_add_func("/report/missing-fields", report__missing_fields);
	g_test_add_func("/report/other-types", report__other_types);
	g_test_add_func(
	    "/report/numbers-out-of-range", report__numbers_out_of_range);
	g_test_add_func("/report/malformed-texts", report__malformed_texts);
	g_test_add_func(
	    "/report/malformed-addresses", report__malformed_addresses);
	return g_test_run();
}
