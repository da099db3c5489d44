/*
 * Tests of the platform's frontend driver and of its translation of operators'
 * configuration: parsing of recorded input, and responses to callers. Malformed
 * input must be rejected with a description of the fault and must not crash.
 */

#include <glib.h>
#include <string.h>

#include "api/record_json.h"
#include "platform.h"

static const char config_document[] =
    "{\"queues\":["
    "{\"name\":\"push\",\"host\":\"a.example\",\"prefix\":\"/p/\","
    "\"service\":\"s\",\"priority\":1,\"attempts\":2,\"timeout_ms\":1500,"
    "\"stretch\":1.6,\"target_ms\":60},"
    "{\"name\":\"deep\",\"host\":\"a.example\",\"prefix\":\"/p/q/\","
    "\"service\":\"s\"}]}";

static struct mst_config *
config_new(void)
{
	struct mst_config *config;
	GError *error = NULL;

	mst_config_parse(&config, config_document, 7, &error);
	g_assert_no_error(error);
	return config;
}

/*
 * Parses a request to the host of the queues. Its case and port differ from the
 * configured name and must not matter.
 */
static void
parse_request(struct frontend_request *out, const struct mst_config *config,
    const char *method, const char *path, const char *body)
{
	const struct mst_http_request request = {
	    .method = mst_bytes_from_str(method),
	    .host = mst_bytes_from_str("A.example:8161"),
	    .path = mst_bytes_from_str(path),
	    .body = mst_bytes_from_str(body)};

	platform_frontend.read(out, &request, config);
}

static uint32_t
parse_deadline(const char *text)
{
	return platform_parse_deadline_ms(mst_bytes_from_str(text));
}

/* Values that no caller can mean must not become a deadline in the past or an
 * arbitrary one. */
static void
frontend__parses_deadline(void)
{
	g_assert_cmpuint(parse_deadline("900"), ==, 900);
	g_assert_cmpuint(parse_deadline("11000"), ==, 11000);
	g_assert_cmpuint(parse_deadline(""), ==, 0);
	g_assert_cmpuint(parse_deadline("-5"), ==, 0);
	g_assert_cmpuint(parse_deadline("soon"), ==, 0);
	g_assert_cmpuint(
	    parse_deadline("99999999999999999999"), ==, G_MAXUINT32);
}

static void
frontend__parses_job(void)
{
	struct mst_config *config = config_new();
	struct frontend_request job;

	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8",
	    "{\"spec\":\"text\",\"bestEffort\":true,\"steps\":[{\"count\":3,"
	    "\"cpu\":1600,\"memMb\":64,\"estimateMs\":60}]}");
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_SUBMIT);
	g_assert_false(job.unsupported);
	g_assert_false(job.spec.stored);
	g_assert_cmpstr(job.key, ==, "5c0e7a21d94b36f8");
	g_assert_cmpstr(job.spec.team, ==, "push");
	g_assert_cmpstr(job.spec.service, ==, "s");
	g_assert_cmpuint(job.spec.count, ==, 3);
	g_assert_cmpuint(job.spec.timeout_ms, ==, 1500);
	g_assert_cmpuint(job.spec.attempts, ==, 2);
	g_assert_cmpuint(job.spec.tasks[2].needs.millicores, ==, 1600);
	g_assert_cmpuint(job.spec.tasks[2].declared_us, ==, 60000);
	g_assert_cmpint(
	    strncmp(job.spec.tasks[2].path.data, "5c0e7a21d94b36f8.0.0.2", 22),
	    ==, 0);
	platform_frontend.release(&job);
	mst_config_free(config);
}

static void
frontend__parses_steps(void)
{
	struct mst_config *config = config_new();
	const struct mst_step_spec *steps;
	struct frontend_request job;

	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8",
	    "{\"spec\":\"text\",\"bestEffort\":true,\"steps\":["
	    "{\"count\":2,\"cpu\":500,\"affinity\":\"r1-3\"},"
	    "{\"count\":1,\"cpu\":700,\"requires\":\"b\"},"
	    "{\"count\":3,\"after\":[0,1],\"antiAffinity\":2}]}");
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_SUBMIT);
	g_assert_false(job.unsupported);
	g_assert_cmpuint(job.spec.count, ==, 6);
	g_assert_cmpuint(job.spec.step_count, ==, 3);
	steps = job.spec.steps;
	g_assert_true(mst_bytes_equal_str(steps[0].rack, "r1-3"));
	g_assert_cmpuint(steps[0].dependencies, ==, 0);
	g_assert_true(mst_bytes_equal_str(steps[1].required_label, "b"));
	g_assert_cmpuint(steps[1].first, ==, 2);
	g_assert_cmpuint(steps[2].dependencies, ==, 3);
	g_assert_cmpuint(steps[2].per_member_max, ==, 2);
	g_assert_cmpuint(job.spec.tasks[2].needs.millicores, ==, 700);
	g_assert_true(mst_bytes_equal_str(
	    job.spec.tasks[5].path, "5c0e7a21d94b36f8.0.2.2"));
	platform_frontend.release(&job);
	mst_config_free(config);
}

/* A job that is reloaded from the store must equal the submitted one. */
static void
frontend__reloads_stored_job(void)
{
	static const char body[] =
	    "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500},"
	    "{\"count\":1,\"after\":[0]}]}";
	struct mst_config *config = config_new();
	struct mst_queue_config queue;
	struct frontend_request job, reloaded;
	struct input_fault fault;
	const char *stored;
	cJSON *json;
	char *stored_json;

	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8", body);
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_SUBMIT);
	g_assert_true(job.spec.stored);
	g_assert_true(mst_bytes_equal_str(job.body, body));
	stored_json = stored_job_json_write(
	    mst_config_queue_by_name(config, job.spec.team), job.body);
	json = stored_job_json_read(&queue, &stored, &fault, stored_json);
	platform_frontend.read_stored(&reloaded, job.key, stored, &queue);
	g_assert_cmpint(reloaded.kind, ==, FRONTEND_REQ_SUBMIT);
	g_assert_true(reloaded.spec.stored);
	g_assert_cmpstr(reloaded.spec.key, ==, job.spec.key);
	g_assert_cmpstr(reloaded.spec.team, ==, "push");
	g_assert_cmpstr(reloaded.spec.service, ==, "s");
	g_assert_cmpuint(reloaded.spec.attempts, ==, 2);
	g_assert_cmpuint(reloaded.spec.count, ==, 3);
	g_assert_cmpuint(reloaded.spec.steps[1].dependencies, ==, 1);
	platform_frontend.release(&reloaded);
	cJSON_Delete(json);
	cJSON_free(stored_json);
	platform_frontend.release(&job);
	platform_frontend.read_stored(&reloaded, "k", "no job", &queue);
	g_assert_cmpint(reloaded.kind, ==, FRONTEND_REQ_MALFORMED);
	platform_frontend.release(&reloaded);
	mst_config_free(config);
}

/* Guards against numbers of a job that differ between machines: those out of
 * range are the nearest ones in range. */
static void
frontend__numbers_out_of_range(void)
{
	static const char body[] =
	    "{\"steps\":[{\"count\":1.5,\"cpu\":1e300,\"memMb\":-5,"
	    "\"gpu\":1e400,\"estimateMs\":1e300,\"antiAffinity\":4294967296},"
	    "{\"count\":1,\"cpu\":-1e300,\"memMb\":1e-400,\"gpu\":0.5,"
	    "\"estimateMs\":-1,\"antiAffinity\":-1}]}";
	struct mst_config *config = config_new();
	struct frontend_request job;

	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8", body);
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_SUBMIT);
	g_assert_cmpuint(job.spec.count, ==, 2);
	g_assert_cmpuint(job.spec.tasks[0].needs.millicores, ==, UINT32_MAX);
	g_assert_cmpuint(job.spec.tasks[0].needs.memory_mb, ==, 0);
	g_assert_cmpuint(job.spec.tasks[0].needs.accelerators, ==, UINT32_MAX);
	g_assert_cmpuint(job.spec.tasks[0].declared_us, ==, UINT32_MAX);
	g_assert_cmpuint(job.spec.steps[0].per_member_max, ==, UINT32_MAX);
	g_assert_cmpuint(job.spec.tasks[1].needs.millicores, ==, 0);
	g_assert_cmpuint(job.spec.tasks[1].needs.memory_mb, ==, 0);
	g_assert_cmpuint(job.spec.tasks[1].needs.accelerators, ==, 0);
	g_assert_cmpuint(job.spec.tasks[1].declared_us, ==, 0);
	g_assert_cmpuint(job.spec.steps[1].per_member_max, ==, 0);
	platform_frontend.release(&job);
	mst_config_free(config);
}

/* Guards against a specification that no worker can read, and against the loss
 * of a job that an earlier build has accepted with one. */
static void
frontend__encodings(void)
{
	static const char body[] =
	    "{\"spec\":\"\xff\",\"steps\":[{\"count\":1}]}";
	struct mst_config *config = config_new();
	char *nested = g_strnfill(100000, '[');
	struct frontend_request job;

	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8", body);
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_MALFORMED);
	platform_frontend.release(&job);
	platform_frontend.read_stored(&job, "5c0e7a21d94b36f8", body,
	    mst_config_queue_by_name(config, "push"));
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_SUBMIT);
	platform_frontend.release(&job);
	parse_request(&job, config, "POST", "/p/5c0e7a21d94b36f8", nested);
	g_assert_cmpint(job.kind, ==, FRONTEND_REQ_MALFORMED);
	platform_frontend.release(&job);
	g_free(nested);
	mst_config_free(config);
}

static void
frontend__classifies_requests(void)
{
	static const struct {
		const char *method;
		const char *path;
		const char *body;
		enum frontend_request_kind kind;
		bool unsupported;
	} cases[] = {{"GET", "/v1/readiness", "", FRONTEND_REQ_READY, false},
	    {"GET", "/p/5c0e7a21d94b36f8", "", FRONTEND_REQ_STATE, false},
	    {"DELETE", "/p/5c0e7a21d94b36f8", "", FRONTEND_REQ_CANCEL, false},
	    {"GET", "/p/", "", FRONTEND_REQ_QUEUE_LENGTH, false},
	    {"POST", "/x/5c0e7a21d94b36f8", "{}", FRONTEND_REQ_NO_QUEUE, false},
	    {"POST", "/p/5c0e7a21d94b36f", "{}", FRONTEND_REQ_MALFORMED, false},
	    {"POST", "/p/5c0e7a21d94b36fZ", "{}", FRONTEND_REQ_MALFORMED,
		false},
	    {"POST", "/p/5c0e7a21d94b36f8", "", FRONTEND_REQ_MALFORMED, false},
	    {"POST", "/p/5c0e7a21d94b36f8", "\xff\xfe{", FRONTEND_REQ_MALFORMED,
		false},
	    {"POST", "/p/5c0e7a21d94b36f8", "{\"steps\":7}",
		FRONTEND_REQ_MALFORMED, false},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"steps\":[{\"count\":\"many\"}]}", FRONTEND_REQ_MALFORMED,
		false},
	    {"POST", "/p/5c0e7a21d94b36f8", "{\"steps\":[{\"count\":1e9}]}",
		FRONTEND_REQ_MALFORMED, false},
	    {"POST", "/p/5c0e7a21d94b36f8", "{\"steps\":[{\"count\":1}]}",
		FRONTEND_REQ_SUBMIT, false},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"steps\":[{\"count\":1,"
		"\"gang\":true}]}",
		FRONTEND_REQ_SUBMIT, true},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"longRunning\":true,"
		"\"steps\":[{\"count\":1}]}",
		FRONTEND_REQ_SUBMIT, true},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"times\":3,"
		"\"steps\":[{\"count\":1}]}",
		FRONTEND_REQ_SUBMIT, true},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"steps\":[{\"count\":1},"
		"{\"count\":1,\"after\":[0]}]}",
		FRONTEND_REQ_SUBMIT, false},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"steps\":[{\"count\":1},"
		"{\"count\":1,\"after\":[1]}]}",
		FRONTEND_REQ_MALFORMED, false},
	    {"POST", "/p/5c0e7a21d94b36f8",
		"{\"bestEffort\":true,\"steps\":[{\"count\":1},"
		"{\"count\":4096}]}",
		FRONTEND_REQ_MALFORMED, false}};
	struct mst_config *config = config_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct frontend_request request;

		parse_request(&request, config, cases[i].method, cases[i].path,
		    cases[i].body);
		g_assert_cmpint(request.kind, ==, cases[i].kind);
		g_assert_cmpint(request.unsupported, ==, cases[i].unsupported);
		if (request.kind == FRONTEND_REQ_MALFORMED)
			g_assert_nonnull(request.fault);
		platform_frontend.release(&request);
	}
	mst_config_free(config);
}

static void
frontend__matches_longest_prefix(void)
{
	struct mst_config *config = config_new();
	struct frontend_request request;

	parse_request(&request, config, "POST", "/p/q/5c0e7a21d94b36f8",
	    "{\"bestEffort\":true,\"steps\":[{\"count\":1}]}");
	g_assert_cmpstr(request.spec.team, ==, "deep");
	platform_frontend.release(&request);
	parse_request(&request, NULL, "POST", "/p/q/5c0e7a21d94b36f8", "{}");
	g_assert_cmpint(request.kind, ==, FRONTEND_REQ_NO_QUEUE);
	platform_frontend.release(&request);
	mst_config_free(config);
}

static void
frontend__formats_responses(void)
{
	static const struct {
		enum frontend_outcome outcome;
		int status;
		const char *body;
	} cases[] = {{FRONTEND_IS_READY, 200, ""},
	    {FRONTEND_IS_NOT_READY, 503, ""},
	    {FRONTEND_COMPLETED, 200, "{\"state\":\"completed\"}"},
	    {FRONTEND_FAILED, 200, "{\"state\":\"failed\"}"},
	    {FRONTEND_NOT_RUN, 503, ""}, {FRONTEND_MAY_HAVE_RUN, 504, ""},
	    {FRONTEND_UNKNOWN_QUEUE, 404, ""}, {FRONTEND_UNKNOWN_JOB, 410, ""},
	    {FRONTEND_QUEUE_LENGTH, 200, "{\"pending\":0}"},
	    {FRONTEND_BAD_REQUEST, 400, ""}};
	struct frontend_result result = {0};
	struct frontend_response response;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		result.outcome = cases[i].outcome;
		platform_frontend.write(&response, &result);
		g_assert_cmpint(response.status, ==, cases[i].status);
		g_assert_cmpstr(response.body, ==, cases[i].body);
	}
	result = (struct frontend_result){
	    .outcome = FRONTEND_NOT_RUN, .retry_after_ms = 1200, .close = true};
	platform_frontend.write(&response, &result);
	g_assert_cmpuint(response.header_count, ==, 3);
	g_assert_cmpstr(response.headers[1].name, ==, "retry-after");
	g_assert_cmpstr(response.retry_after, ==, "2");
}

static void
config__translates_routes_to_queues(void)
{
	static const char routes_json[] =
	    "{\"version\":9,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"prefix\":\"/x/\",\"service\":\"s\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":60,\"priority\":2,\"attempts\":3,"
	    "\"stretch\":1.6}],\"services\":[],\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":1e400}}";
	static const char *const malformed[] = {"{}", "[]", "{\"version\":9}",
	    "{\"version\":\"x\",\"routes\":[]}",
	    "{\"version\":9,\"routes\":{}}",
	    "{\"version\":1e400,\"routes\":[]}",
	    "{\"version\":18446744073709551616,\"routes\":[]}",
	    "{\"version\":-9,\"routes\":[]}",
	    "{\"version\":9.5,\"routes\":[]}"};
	const struct mst_queue_config *queue;
	struct mst_config *config;
	struct input_fault fault;
	uint64_t version;
	cJSON *json = cJSON_Parse(routes_json);
	char *translated = platform_config_translate(&version, &fault, json);
	size_t i;

	g_assert_cmpuint(version, ==, 9);
	g_assert_cmpint(
	    mst_config_parse(&config, translated, version, NULL), ==, 0);
	queue = mst_config_queue_by_name(config, "r");
	g_assert_nonnull(queue);
	g_assert_cmpuint(queue->timeout_ms, ==, 1500);
	g_assert_cmpuint(queue->target_ms, ==, 60);
	g_assert_cmpuint(queue->attempts, ==, 3);
	g_assert_cmpuint(config->clients.body_bytes, ==, 262144);
	g_assert_cmpuint(config->clients.header_ms, ==, 3000);
	g_assert_cmpuint(config->clients.idle_ms, ==, MST_CLIENT_TIME_MAX_MS);
	mst_config_free(config);
	cJSON_free(translated);
	cJSON_Delete(json);
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		json = cJSON_Parse(malformed[i]);
		fault.kind = 0;
		g_assert_null(
		    platform_config_translate(&version, &fault, json));
		g_assert_cmpint(fault.kind, !=, 0);
		cJSON_Delete(json);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/frontend/stored", frontend__reloads_stored_job);
	g_test_add_func("/frontend/steps", frontend__parses_steps);
	g_test_add_func("/frontend/job", frontend__parses_job);
	g_test_add_func("/frontend/deadline", frontend__parses_deadline);
	g_test_add_func("/frontend/numbers", frontend__numbers_out_of_range);
	g_test_add_func("/frontend/encodings", frontend__encodings);
	g_test_add_func("/frontend/kinds", frontend__classifies_requests);
	g_test_add_func("/frontend/prefix", frontend__matches_longest_prefix);
	g_test_add_func("/frontend/responses", frontend__formats_responses);
	g_test_add_func("/config/routes", config__translates_routes_to_queues);
	return g_test_run();
}
