#include "api/json_field.h"

bool
json_get_number(double *out, const cJSON *json, const char *name, double max)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (!cJSON_IsNumber(item) || item->valuedouble < 0 ||
	    item->valuedouble > max)
		return false;
	*out = item->valuedouble;
	return true;
}
