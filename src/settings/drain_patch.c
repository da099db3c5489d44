#include "settings/drain_patch.h"

#include <cjson/cJSON.h>
#include <glib.h>
#include <string.h>

#define DRAINED_DOMAINS "drained_domains"

/* Returns the index of the domain in the list, or -1. */
static int
find_domain(const cJSON *list, const char *domain)
{
	const cJSON *item;
	int i = 0;

	cJSON_ArrayForEach (item, list) {
		if (g_strcmp0(cJSON_GetStringValue(item), domain) == 0)
			return i;
		i++;
	}
	return -1;
}

static void
set_addition(cJSON *operation, const cJSON *list, const char *domain)
{
	cJSON *value = cJSON_CreateString(domain);
	cJSON *names;

	cJSON_AddStringToObject(operation, "op", "add");
	if (list != NULL) {
		cJSON_AddStringToObject(
		    operation, "path", "/" DRAINED_DOMAINS "/-");
	} else {
		cJSON_AddStringToObject(operation, "path", "/" DRAINED_DOMAINS);
		names = cJSON_CreateArray();
		cJSON_AddItemToArray(names, value);
		value = names;
	}
	cJSON_AddItemToObject(operation, "value", value);
}

static void
set_removal(cJSON *operation, int index)
{
	char *path = g_strdup_printf("/" DRAINED_DOMAINS "/%d", index);

	cJSON_AddStringToObject(operation, "op", "remove");
	cJSON_AddStringToObject(operation, "path", path);
	g_free(path);
}

char *
drain_patch_new(const char *document, const char *domain, bool drained)
{
	cJSON *json = cJSON_Parse(document);
	const cJSON *list =
	    cJSON_GetObjectItemCaseSensitive(json, DRAINED_DOMAINS);
	int index = find_domain(list, domain);
	cJSON *operations = NULL, *operation;
	char *text, *patch = NULL;

	if (drained != (index >= 0)) {
		operations = cJSON_CreateArray();
		operation = cJSON_CreateObject();
		cJSON_AddItemToArray(operations, operation);
		if (drained)
			set_addition(operation, list, domain);
		else
			set_removal(operation, index);
		text = cJSON_PrintUnformatted(operations);
		patch = g_strdup(text);
		cJSON_free(text);
	}
	cJSON_Delete(operations);
	cJSON_Delete(json);
	return patch;
}
