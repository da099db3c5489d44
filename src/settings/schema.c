#include "settings/schema.h"

#include <math.h>
#include <string.h>

#define SCHEMA_FAULTS_MAX 32

void
schema_add_error(
    struct schema_errors *faults, const char *pointer, const char *format, ...)
{
	va_list args;

	if (++faults->count > SCHEMA_FAULTS_MAX)
		return;
	g_string_append_printf(faults->text, "%s: ", *pointer ? pointer : "/");
	va_start(args, format);
	g_string_append_vprintf(faults->text, format, args);
	va_end(args);
	g_string_append_c(faults->text, '\n');
}

char *
schema_pointer_append(const char *pointer, const char *name)
{
	GString *out = g_string_new(pointer);

	g_string_append_c(out, '/');
	for (; *name != '\0'; name++) {
		if (*name == '~')
			g_string_append(out, "~0");
		else if (*name == '/')
			g_string_append(out, "~1");
		else
			g_string_append_c(out, *name);
	}
	return g_string_free(out, FALSE);
}

static void
read_number(void *at, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *faults)
{
	double number = value->valuedouble;

	if (!cJSON_IsNumber(value)) {
		schema_add_error(faults, pointer, "is not a number");
		return;
	}
	if (!(number >= field->min && number <= field->max)) {
		schema_add_error(faults, pointer, "%g is not in %g to %g",
		    number, field->min, field->max);
		return;
	}
	if (field->kind == SCHEMA_NUMBER)
		*(double *)at = number;
	else if (number != floor(number))
		schema_add_error(faults, pointer, "%g is not whole", number);
	else
		*(uint32_t *)at = (uint32_t)number;
}

static void
read_string(const char **at, const struct schema_field *field,
    const cJSON *value, const char *pointer, struct schema_errors *faults)
{
	size_t len;

	if (!cJSON_IsString(value)) {
		schema_add_error(faults, pointer, "is not a string");
		return;
	}
	len = strlen(value->valuestring);
	if (len < field->min || len > field->max)
		schema_add_error(faults, pointer,
		    "length %zu is not in %g to %g", len, field->min,
		    field->max);
	else
		*at = value->valuestring;
}

static void
read_strings(GPtrArray **at, const struct schema_field *field,
    const cJSON *value, const char *pointer, struct schema_errors *faults)
{
	const cJSON *item;
	const char *text;

	if (!cJSON_IsArray(value)) {
		schema_add_error(faults, pointer, "is not an array");
		return;
	}
	if (*at == NULL)
		*at = g_ptr_array_new();
	cJSON_ArrayForEach (item, value) {
		text = NULL;
		read_string(&text, field, item, pointer, faults);
		if (text != NULL)
			g_ptr_array_add(*at, (gpointer)text);
	}
}

static void
read_enum(int *at, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *faults)
{
	int i;

	for (i = 0; cJSON_IsString(value) && field->names[i] != NULL; i++) {
		if (strcmp(field->names[i], value->valuestring) == 0) {
			*at = i;
			return;
		}
	}
	schema_add_error(faults, pointer, "is not one of the known names");
}

static void
read_bool(bool *at, const cJSON *value, const char *pointer,
    struct schema_errors *faults)
{
	if (cJSON_IsBool(value))
		*at = cJSON_IsTrue(value);
	else
		schema_add_error(faults, pointer, "is not true or false");
}

static void
read_field(void *out, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *faults)
{
	void *at = (char *)out + field->offset;

	switch (field->kind) {
	case SCHEMA_UINT:
	case SCHEMA_NUMBER:
		read_number(at, field, value, pointer, faults);
		break;
	case SCHEMA_BOOL:
		read_bool(at, value, pointer, faults);
		break;
	case SCHEMA_STRING:
		read_string(at, field, value, pointer, faults);
		break;
	case SCHEMA_STRINGS:
		read_strings(at, field, value, pointer, faults);
		break;
	case SCHEMA_ENUM:
		read_enum(at, field, value, pointer, faults);
		break;
	case SCHEMA_OBJECT:
		schema_read_object(at, value, field->fields, pointer, faults);
		break;
	case SCHEMA_CUSTOM:
		field->custom(at, value, pointer, faults);
		break;
	}
}

static const struct schema_field *
field_find(const struct schema_field *fields, const char *name)
{
	for (; fields->name != NULL; fields++) {
		if (strcmp(fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

void
schema_read_object(void *out, const cJSON *object,
    const struct schema_field *fields, const char *pointer,
    struct schema_errors *faults)
{
	const struct schema_field *field;
	const cJSON *value;
	char *at;

	if (!cJSON_IsObject(object)) {
		schema_add_error(faults, pointer, "is not an object");
		return;
	}
	cJSON_ArrayForEach (value, object) {
		field = field_find(fields, value->string);
		at = schema_pointer_append(pointer, value->string);
		if (field == NULL)
			schema_add_error(faults, at, "is not a known name");
		else
			read_field(out, field, value, at, faults);
		g_free(at);
	}
	for (field = fields; field->name != NULL; field++) {
		if (!field->required ||
		    cJSON_GetObjectItemCaseSensitive(object, field->name))
			continue;
		at = schema_pointer_append(pointer, field->name);
		schema_add_error(faults, at, "is missing");
		g_free(at);
	}
}

cJSON *
schema_parse_json(const char *text, struct schema_errors *faults)
{
	char *copy = g_strdup(text);
	cJSON *json;

	if (!g_utf8_validate(text, -1, NULL)) {
		schema_add_error(faults, "", "is not valid UTF-8");
		g_free(copy);
		return NULL;
	}
	cJSON_Minify(copy);
	json = cJSON_ParseWithOpts(copy, NULL, 1);
	if (json == NULL)
		schema_add_error(faults, "", "is not valid JSON");
	g_free(copy);
	return json;
}
