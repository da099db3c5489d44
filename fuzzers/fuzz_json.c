/*
 * Fuzzes the parsers of texts from callers and operators: jobs, configurations,
 * JSON Patch documents and tickets.
 */

#include <cjson/cJSON.h>
#include <masticstall.h>
#include <string.h>

#include "api/job_json.h"
#include "driver.h"
#include "settings/json_patch.h"

static void
apply_patch(const char *text)
{
	cJSON *document = cJSON_Parse("{\"a\":{\"b\":[1,2]},\"c\":3}");
	cJSON *patch = cJSON_Parse(text);

	json_patch_apply(&document, patch, NULL);
	cJSON_Delete(document);
	cJSON_Delete(patch);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct mst_bytes bytes = {.data = (const char *)data, .len = len};
	struct mst_job_request *request;
	struct mst_config *config;
	struct mst_ticket ticket;
	char *text = mst_bytes_to_str(bytes);

	if (mst_job_request_parse(&request, bytes, NULL) == 0)
		mst_job_request_free(request);
	if (mst_config_parse(&config, text, 1, NULL) == 0)
		mst_config_free(config);
	mst_ticket_parse(&ticket, bytes);
	apply_patch(text);
	g_free(text);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	static const char *const texts[] = {
	    "{\"team\":\"t\",\"timeout_ms\":9,\"tasks\":[{\"path\":\"/a\","
	    "\"method\":\"PUT\",\"body\":\"x\",\"declared_ms\":1.5,"
	    "\"idempotent\":true,\"needs\":{\"cores\":1}}]}",
	    "{\"team\":\"t\",\"tasks\":[{\"path\":\"/\","
	    "\"body_base64\":\"AAEC\"}]}",
	    "{\"policy\":{\"placement\":\"random\",\"retry_budget\":0.1},"
	    "\"teams\":{\"a\":{\"weight\":2}}} // comment",
	    "[{\"op\":\"add\",\"path\":\"/a/b/1\",\"value\":7},"
	    "{\"op\":\"move\",\"from\":\"/c\",\"path\":\"/a/d\"},"
	    "{\"op\":\"test\",\"path\":\"/a/d\",\"value\":3}]",
	    "j-0123456789abcdef-0000000000000001-fedcba9876543210"};
	GBytes *samples[G_N_ELEMENTS(texts)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		samples[i] = g_bytes_new_static(texts[i], strlen(texts[i]));
	return fuzz_run(samples, G_N_ELEMENTS(texts));
}

#endif
