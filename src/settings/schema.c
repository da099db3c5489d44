#include "settings/schema.h"

#include <math.h>
#include <string.h>

#define SCHEMA_ERRORS_MAX 32 /* further errors are only counted */
/* Edits by which a misspelt name may differ from the one that was meant. */
#define SCHEMA_TYPOS_MAX 2
#define SCHEMA_NAME_MAX  64 /* longer names are not compared, in bytes */

void
schema_add_error(
    struct schema_errors *errors, const char *pointer, const char *format, ...)
{
	va_list args;

	if (++errors->count > SCHEMA_ERRORS_MAX)
		return;
	g_string_append_printf(errors->text, "%s: ", *pointer ? pointer : "/");
	va_start(args, format);
	g_string_append_vprintf(errors->text, format, args);
	va_end(args);
	g_string_append_c(errors->text, '\n');
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
read_number(void *dest, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *errors)
{
	double number = value->valuedouble;

	if (!cJSON_IsNumber(value)) {
		schema_add_error(errors, pointer, "is not a number");
		return;
	}
	if (!(number >= field->min && number <= field->max)) {
		schema_add_error(errors, pointer, "%g is not in %g to %g",
		    number, field->min, field->max);
		return;
	}
	if (field->kind == SCHEMA_NUMBER)
		*(double *)dest = number;
	else if (number != floor(number))
		schema_add_error(errors, pointer, "%g is not whole", number);
	else
		*(uint32_t *)dest = (uint32_t)number;
}

static void
read_string(const char **dest, const struct schema_field *field,
    const cJSON *value, const char *pointer, struct schema_errors *errors)
{
	size_t len;

	if (!cJSON_IsString(value)) {
		schema_add_error(errors, pointer, "is not a string");
		return;
	}
	len = strlen(value->valuestring);
	if (len < field->min || len > field->max)
		schema_add_error(errors, pointer,
		    "length %zu is not in %g to %g", len, field->min,
		    field->max);
	else
		*dest = value->valuestring;
}

static void
read_strings(GPtrArray **dest, const struct schema_field *field,
    const cJSON *value, const char *pointer, struct schema_errors *errors)
{
	const cJSON *item;
	const char *text;

	if (!cJSON_IsArray(value)) {
		schema_add_error(errors, pointer, "is not an array");
		return;
	}
	if (*dest == NULL)
		*dest = g_ptr_array_new();
	cJSON_ArrayForEach (item, value) {
		text = NULL;
		read_string(&text, field, item, pointer, errors);
		if (text != NULL)
			g_ptr_array_add(*dest, (gpointer)text);
	}
}

static void
read_enum(int *dest, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *errors)
{
	int i;

	for (i = 0; cJSON_IsString(value) && field->names[i] != NULL; i++) {
		if (strcmp(field->names[i], value->valuestring) == 0) {
			*dest = i;
			return;
		}
	}
	schema_add_error(errors, pointer, "is not one of the known names");
}

static void
read_bool(bool *dest, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	if (cJSON_IsBool(value))
		*dest = cJSON_IsTrue(value);
	else
		schema_add_error(errors, pointer, "is not true or false");
}

static void
read_field(void *out, const struct schema_field *field, const cJSON *value,
    const char *pointer, struct schema_errors *errors)
{
	void *dest = (char *)out + field->offset;

	switch (field->kind) {
	case SCHEMA_UINT:
	case SCHEMA_NUMBER:
		read_number(dest, field, value, pointer, errors);
		break;
	case SCHEMA_BOOL:
		read_bool(dest, value, pointer, errors);
		break;
	case SCHEMA_STRING:
		read_string(dest, field, value, pointer, errors);
		break;
	case SCHEMA_STRINGS:
		read_strings(dest, field, value, pointer, errors);
		break;
	case SCHEMA_ENUM:
		read_enum(dest, field, value, pointer, errors);
		break;
	case SCHEMA_OBJECT:
		schema_read_object(dest, value, field->fields, pointer, errors);
		break;
	case SCHEMA_CUSTOM:
		field->custom(dest, value, pointer, errors);
		break;
	}
}

static const struct schema_field *
find_field(const struct schema_field *fields, const char *name)
{
	for (; fields->name != NULL; fields++) {
		if (strcmp(fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

/* Returns the number of characters to insert, delete or replace to turn one
 * text into the other (Levenshtein distance). */
static size_t
edit_distance(const char *from, const char *to)
{
	size_t to_len = strlen(to), i, j, diagonal, above;
	size_t *row = g_new(size_t, to_len + 1);

	for (j = 0; j <= to_len; j++)
		row[j] = j;
	for (i = 0; from[i] != '\0'; i++) {
		diagonal = row[0];
		row[0] = i + 1;
		for (j = 1; j <= to_len; j++) {
			above = row[j];
			row[j] = MIN(diagonal + (from[i] != to[j - 1]),
			    MIN(above, row[j - 1]) + 1);
			diagonal = above;
		}
	}
	diagonal = row[to_len];
	g_free(row);
	return diagonal;
}

/* Returns the field whose name is probably meant by a misspelt one, or NULL. */
static const struct schema_field *
find_similar_field(const struct schema_field *fields, const char *name)
{
	const struct schema_field *nearest = NULL;
	size_t least = SCHEMA_TYPOS_MAX + 1, distance;

	if (strlen(name) > SCHEMA_NAME_MAX)
		return NULL;
	for (; fields->name != NULL; fields++) {
		distance = edit_distance(name, fields->name);
		if (distance < least && distance < strlen(fields->name) / 2) {
			nearest = fields;
			least = distance;
		}
	}
	return nearest;
}

static void
add_unknown_name(struct schema_errors *errors,
    const struct schema_field *fields, const char *name, const char *pointer)
{
	const struct schema_field *similar;

	if (errors->unknown != NULL) {
		g_string_append_printf(errors->unknown, "%s%s",
		    errors->unknown->len > 0 ? " " : "", pointer);
		return;
	}
	similar = find_similar_field(fields, name);
	if (similar == NULL)
		schema_add_error(errors, pointer, "is not a known name");
	else
		schema_add_error(errors, pointer,
		    "is not a known name; did you mean %s?", similar->name);
}

void
schema_read_object(void *out, const cJSON *object,
    const struct schema_field *fields, const char *pointer,
    struct schema_errors *errors)
{
	const struct schema_field *field;
	const cJSON *value;
	char *value_pointer;

	if (!cJSON_IsObject(object)) {
		schema_add_error(errors, pointer, "is not an object");
		return;
	}
	cJSON_ArrayForEach (value, object) {
		field = find_field(fields, value->string);
		value_pointer = schema_pointer_append(pointer, value->string);
		if (field == NULL)
			add_unknown_name(
			    errors, fields, value->string, value_pointer);
		else
			read_field(out, field, value, value_pointer, errors);
		g_free(value_pointer);
	}
	for (field = fields; field->name != NULL; field++) {
		if (!field->required ||
		    cJSON_GetObjectItemCaseSensitive(object, field->name))
			continue;
		value_pointer = schema_pointer_append(pointer, field->name);
		schema_add_error(errors, value_pointer, "is missing");
		g_free(value_pointer);
	}
}

cJSON *
schema_parse_json(const char *text, struct schema_errors *errors)
{
	char *copy = g_strdup(text);
	cJSON *json;

	if (!g_utf8_validate(text, -1, NULL)) {
		schema_add_error(errors, "", "is not valid UTF-8");
		g_free(copy);
		return NULL;
	}
	cJSON_Minify(copy);
	json = cJSON_ParseWithOpts(copy, NULL, 1);
	if (json == NULL)
		schema_add_error(errors, "", "is not valid JSON");
	g_free(copy);
	return json;
}
