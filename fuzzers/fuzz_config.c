/* Fuzzes the reading of the platform's configuration. */

#include <masticstall.h>

#include "driver.h"
#include "platform.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct input_fault fault;
	struct mst_config *config = NULL;
	uint64_t version;
	char *unknown = NULL;
	char *document;
	cJSON *json = json_parse(&fault, (const char *)data, len);

	if (json == NULL)
		return 0;
	document = platform_config_translate(&version, &fault, json);
	if (document != NULL &&
	    mst_config_parse_known(
		&config, &unknown, document, version, NULL) == 0)
		mst_config_free(config);
	g_free(unknown);
	cJSON_free(document);
	cJSON_Delete(json);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	return fuzz_run_corpus("config");
}

#endif
