/* Faults of input: what is counted and logged of them, and the checked reads
 * that find them. */

#include <glib.h>
#include <string.h>

#include "api/json_field.h"
#include "base/address.h"
#include "base/log.h"
#include "runtime/metrics.h"

/* Guards against a row that stays odd and fills the log whenever it is read. */
static void
input_fault__is_logged_once(void)
{
	static const struct input_fault fault = {
	    .kind = INPUT_FAULT_RANGE, .field = "ver"};
	uint64_t lines = mst_log_counters()->lines;
	int i;

	for (i = 0; i < 1000; i++)
		input_fault_report(INPUT_RECORD, "key", &fault);
	g_assert_cmpuint(
	    input_fault_count(INPUT_RECORD, INPUT_FAULT_RANGE), ==, 1000);
	g_assert_cmpuint(mst_log_counters()->lines, ==, lines + 1);
	input_fault_report(INPUT_RECORD, "other key", &fault);
	g_assert_cmpuint(mst_log_counters()->lines, ==, lines + 2);
	input_fault_report(INPUT_OWNER, "key", &fault);
	g_assert_cmpuint(mst_log_counters()->lines, ==, lines + 3);
}

/* Guards against thousands of odd rows that fill log or memory. */
static void
input_fault__lines_are_bounded(void)
{
	static const struct input_fault fault = {
	    .kind = INPUT_FAULT_NAME, .field = "key"};
	uint64_t lines = mst_log_counters()->lines;
	char name[16];
	int i;

	for (i = 0; i < 5000; i++) {
		g_snprintf(name, sizeof(name), "row %d", i);
		input_fault_report(INPUT_CANCEL, name, &fault);
	}
	g_assert_cmpuint(
	    input_fault_count(INPUT_CANCEL, INPUT_FAULT_NAME), ==, 5000);
	g_assert_cmpuint(mst_log_counters()->lines, <=, lines + 1024);
}

static void
input_fault__metric_by_kind(void)
{
	static const struct input_fault fault = {
	    .kind = INPUT_FAULT_ADDRESS, .field = "key"};
	const struct mst_histogram lag = {0};
	GString *text = g_string_new(NULL);

	input_fault_report(INPUT_ENTRY_ADDRESS, "10.0.0.1:0", &fault);
	metrics_add_process(text, &lag);
	g_assert_nonnull(strstr(text->str,
	    "masticstall_inputs_refused_total"
	    "{input=\"entry-address\",fault=\"address\"} 1\n"));
	g_string_free(text, TRUE);
}

static void
address__is_numeric(void)
{
	static const char *const addresses[] = {"", ":", ":80", "10.0.0.1",
	    "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1",
	    "10.0.0.1:+1", "10.0.0.1: 1", "10.0.0.1:1 ", "10.0.0.1:01",
	    "10.0.0.1:1e3", "10.0.0.1:18446744073709551617", "10.0.0:80",
	    "10.0.0.1.2:80", "010.0.0.1:80", "localhost:80", "*:80", "[::1]:80",
	    "::1:80", "255.255.255.2555:80"};
	struct sockaddr_in address;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(addresses); i++)
		g_assert_false(address_parse(&address, addresses[i]));
	g_assert_true(address_parse(&address, "255.255.255.255:65535"));
	g_assert_cmpuint(ntohs(address.sin_port), ==, 65535);
	g_assert_true(address_parse(&address, "127.0.0.1:1"));
	g_assert_cmpuint(ntohl(address.sin_addr.s_addr), ==, 0x7f000001);
}

/* The same on every machine: conversions of what is out of range are not. */
static void
json__integers(void)
{
	static const struct {
		const char *text;
		uint64_t value;
		enum input_fault_kind fault;
	} cases[] = {{"0", 0, 0}, {"-0", 0, 0}, {"4.0", 4, 0},
	    {"9007199254740992", JSON_INTEGER_MAX, 0},
	    {"9007199254740994", 0, INPUT_FAULT_RANGE},
	    {"18446744073709551615", 0, INPUT_FAULT_RANGE},
	    {"1e400", 0, INPUT_FAULT_RANGE}, {"-1e400", 0, INPUT_FAULT_RANGE},
	    {"1e-400", 0, 0}, {"0.5", 0, INPUT_FAULT_RANGE},
	    {"-1", 0, INPUT_FAULT_RANGE}, {"\"4\"", 0, INPUT_FAULT_TYPE},
	    {"null", 0, INPUT_FAULT_TYPE}, {"true", 0, INPUT_FAULT_TYPE},
	    {"[4]", 0, INPUT_FAULT_TYPE}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf("{\"n\":%s}", cases[i].text);
		struct input_fault fault = {0};
		cJSON *json = json_parse(&fault, text, strlen(text));
		struct json_reader reader = {.json = json};

		g_assert_nonnull(json);
		g_assert_cmpuint(
		    json_read_integer(&reader, "n", 0, JSON_INTEGER_MAX), ==,
		    cases[i].value);
		g_assert_cmpint(reader.fault.kind, ==, cases[i].fault);
		cJSON_Delete(json);
		g_free(text);
	}
}

static void
json__first_fault_is_kept(void)
{
	struct input_fault fault;
	cJSON *json = json_parse(&fault, "{\"a\":\"x\"}", 9);
	struct json_reader reader = {.json = json};

	json_read_integer(&reader, "b", 0, 1);
	json_read_integer(&reader, "a", 0, 1);
	g_assert_cmpint(reader.fault.kind, ==, INPUT_FAULT_MISSING);
	g_assert_cmpstr(reader.fault.field, ==, "b");
	cJSON_Delete(json);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	mst_log_open("test", MST_LOG_INFO);
	g_test_add_func(
	    "/input-fault/is-logged-once", input_fault__is_logged_once);
	g_test_add_func("/input-fault/metric", input_fault__metric_by_kind);
	g_test_add_func(
	    "/input-fault/lines-are-bounded", input_fault__lines_are_bounded);
	g_test_add_func("/address/is-numeric", address__is_numeric);
	g_test_add_func("/json/integers", json__integers);
	g_test_add_func("/json/first-fault", json__first_fault_is_kept);
	return g_test_run();
}
