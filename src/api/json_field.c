#include "api/json_field.h"

#include <glib.h>
#include <math.h>
#include <string.h>

static bool
is_space(const char *text)
{
	return text[strspn(text, " \t\r\n")] == '\0';
}

cJSON *
json_parse(struct input_fault *fault, const char *text, size_t len)
{
	const char *end = NULL;
	char *copy;
	cJSON *json;

	/* A text with a NUL is not valid either. */
	if (len > 0 && !g_utf8_validate(text, (gssize)len, NULL)) {
		*fault = (struct input_fault){.kind = INPUT_FAULT_ENCODING};
		return NULL;
	}
	/* cJSON may look at the byte behind a text that ends early. */
	copy = g_strndup(text, len);
	json = cJSON_ParseWithOpts(copy, &end, false);
	if (json == NULL || !is_space(end)) {
		cJSON_Delete(json);
		json = NULL;
		*fault = (struct input_fault){.kind = INPUT_FAULT_SYNTAX};
	}
	g_free(copy);
	return json;
}

void
json_reader_set_fault(
    struct json_reader *reader, enum input_fault_kind kind, const char *field)
{
	if (reader->fault.kind == 0)
		reader->fault =
		    (struct input_fault){.kind = kind, .field = field};
}

static const cJSON *
find_field(const struct json_reader *reader, const char *name)
{
	return cJSON_GetObjectItemCaseSensitive(reader->json, name);
}

const cJSON *
json_read_field(struct json_reader *reader, const char *name)
{
	const cJSON *item = find_field(reader, name);

	if (item == NULL)
		json_reader_set_fault(reader, INPUT_FAULT_MISSING, name);
	return item;
}

static double
check_number(struct json_reader *reader, const cJSON *item, const char *name,
    double min, double max)
{
	if (item == NULL)
		return 0;
	if (!cJSON_IsNumber(item)) {
		json_reader_set_fault(reader, INPUT_FAULT_TYPE, name);
		return 0;
	}
	/* False for a NaN as well. */
	if (!(item->valuedouble >= min && item->valuedouble <= max)) {
		json_reader_set_fault(reader, INPUT_FAULT_RANGE, name);
		return 0;
	}
	return item->valuedouble;
}

static uint64_t
check_integer(struct json_reader *reader, const cJSON *item, const char *name,
    uint64_t min, uint64_t max)
{
	double number =
	    check_number(reader, item, name, (double)min, (double)max);

	if (number == floor(number))
		return (uint64_t)number;
	json_reader_set_fault(reader, INPUT_FAULT_RANGE, name);
	return 0;
}

static bool
is_text(const char *text)
{
	const char *c;

	for (c = text; *c != '\0'; c++) {
		if (g_ascii_iscntrl(*c))
			return false;
	}
	return g_utf8_validate(text, -1, NULL);
}

static const char *
check_text(struct json_reader *reader, const cJSON *item, const char *name,
    size_t min, size_t max)
{
	size_t len;

	if (item == NULL)
		return NULL;
	if (!cJSON_IsString(item)) {
		json_reader_set_fault(reader, INPUT_FAULT_TYPE, name);
		return NULL;
	}
	len = strlen(item->valuestring);
	if (len < min || len > max) {
		json_reader_set_fault(reader, INPUT_FAULT_LENGTH, name);
		return NULL;
	}
	if (!is_text(item->valuestring)) {
		json_reader_set_fault(reader, INPUT_FAULT_ENCODING, name);
		return NULL;
	}
	return item->valuestring;
}

uint64_t
json_read_integer(
    struct json_reader *reader, const char *name, uint64_t min, uint64_t max)
{
	return check_integer(
	    reader, json_read_field(reader, name), name, min, max);
}

double
json_read_number(
    struct json_reader *reader, const char *name, double min, double max)
{
	return check_number(
	    reader, json_read_field(reader, name), name, min, max);
}

const char *
json_read_text(
    struct json_reader *reader, const char *name, size_t min, size_t max)
{
	return check_text(
	    reader, json_read_field(reader, name), name, min, max);
}

const char *
json_read_string(struct json_reader *reader, const char *name)
{
	const cJSON *item = json_read_field(reader, name);

	if (item == NULL || cJSON_IsString(item))
		return cJSON_GetStringValue(item);
	json_reader_set_fault(reader, INPUT_FAULT_TYPE, name);
	return NULL;
}

bool
json_read_flag(struct json_reader *reader, const char *name)
{
	const cJSON *item = find_field(reader, name);

	if (item != NULL && !cJSON_IsBool(item))
		json_reader_set_fault(reader, INPUT_FAULT_TYPE, name);
	return cJSON_IsTrue(item);
}

const cJSON *
json_read_list(struct json_reader *reader, const char *name)
{
	const cJSON *item = find_field(reader, name);

	if (item == NULL || cJSON_IsArray(item))
		return item;
	json_reader_set_fault(reader, INPUT_FAULT_TYPE, name);
	return NULL;
}

uint64_t
json_read_optional_integer(struct json_reader *reader, const char *name,
    uint64_t min, uint64_t max, uint64_t absent)
{
	const cJSON *item = find_field(reader, name);

	return item != NULL ? check_integer(reader, item, name, min, max)
			    : absent;
}

double
json_read_optional_number(struct json_reader *reader, const char *name,
    double min, double max, double absent)
{
	const cJSON *item = find_field(reader, name);

	return item != NULL ? check_number(reader, item, name, min, max)
			    : absent;
}

const char *
json_read_optional_text(struct json_reader *reader, const char *name,
    size_t min, size_t max, const char *absent)
{
	const cJSON *item = find_field(reader, name);

	return item != NULL ? check_text(reader, item, name, min, max) : absent;
}

/* Returns an item of an array, or NULL and a fault if there are fewer. */
static const cJSON *
read_item(struct json_reader *reader, int index, const char *name)
{
	const cJSON *item = cJSON_IsArray(reader->json)
	    ? cJSON_GetArrayItem(reader->json, index)
	    : NULL;

	if (item == NULL)
		json_reader_set_fault(reader, INPUT_FAULT_MISSING, name);
	return item;
}

uint64_t
json_read_item_integer(struct json_reader *reader, int index, const char *name,
    uint64_t min, uint64_t max)
{
	return check_integer(
	    reader, read_item(reader, index, name), name, min, max);
}

const char *
json_read_item_text(struct json_reader *reader, int index, const char *name,
    size_t min, size_t max)
{
	return check_text(
	    reader, read_item(reader, index, name), name, min, max);
}
