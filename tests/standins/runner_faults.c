#include "runner_faults.h"

/* Sets a share or rate if the JSON has it. */
static void
read_number(double *value, const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (cJSON_IsNumber(item))
		*value = item->valuedouble;
}

static void
read_flag(bool *flag, const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (cJSON_IsBool(item))
		*flag = cJSON_IsTrue(item);
}

void
runner_faults_set(struct runner_faults *faults, const cJSON *json)
{
	read_number(&faults->late_share, json, "late_share");
	read_number(&faults->lost_share, json, "lost_share");
	read_number(&faults->fail_share, json, "fail_share");
	read_flag(&faults->unhealthy, json, "unhealthy");
	read_flag(&faults->hangs, json, "hangs");
	read_flag(&faults->refuses, json, "refuses");
	read_flag(&faults->new_id, json, "new_id");
	read_number(&faults->wall_offset_ms, json, "wall_offset_ms");
}
