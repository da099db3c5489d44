/* Fuzzes the reading of the requests of callers. */

#include <masticstall.h>

#include "driver.h"
#include "platform.h"

static const char document[] =
    "{\"queues\":[{\"name\":\"push\",\"host\":\"a.example\","
    "\"prefix\":\"/p/\",\"service\":\"s\",\"attempts\":2}]}";

/* Reads each byte of a job. */
static size_t
sum_tasks(const struct mst_job_spec *spec)
{
	size_t sum = 0;
	uint32_t i, k;

	for (i = 0; i < spec->count; i++)
		sum += spec->tasks[i].path.len + spec->tasks[i].declared_us;
	for (k = 0; k < spec->step_count; k++)
		sum += spec->steps[k].first + spec->steps[k].rack.len;
	return sum;
}

static void
read_request(const struct mst_config *config, const char *method,
    struct mst_bytes path, struct mst_bytes body)
{
	static volatile size_t sum;
	const struct mst_http_request http = {
	    .method = mst_bytes_from_str(method),
	    .host = mst_bytes_from_str("a.example"),
	    .path = path,
	    .body = body};
	struct frontend_request request;

	platform_frontend.read(&request, &http, config);
	if (request.kind == FRONTEND_REQ_SUBMIT)
		sum += sum_tasks(&request.spec);
	platform_frontend.release(&request);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static struct mst_config *config;
	const struct mst_bytes bytes = {(const char *)data, len};
	const struct mst_bytes path = mst_bytes_from_str("/p/5c0e7a21d94b36f8");

	if (config == NULL)
		mst_config_parse(&config, document, 1, NULL);
	read_request(config, "POST", path, bytes);
	read_request(config, "GET", bytes, bytes);
	platform_parse_deadline_ms(bytes);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	return fuzz_run_corpus("front");
}

#endif
