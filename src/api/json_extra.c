#include "api/json_extra.h"

#include <glib.h>

void
json_extra_copy(cJSON *to, const cJSON *from, const char *const *known)
{
	const cJSON *member;

	cJSON_ArrayForEach (member, from) {
		if (!g_strv_contains(known, member->string))
			cJSON_AddItemToObject(
			    to, member->string, cJSON_Duplicate(member, 1));
	}
}
