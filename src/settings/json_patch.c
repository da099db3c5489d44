#include "settings/json_patch.h"

#include <stdlib.h>
#include <string.h>

G_DEFINE_QUARK(json_patch_error, json_patch_error)

/* A location given by a JSON pointer (RFC 6901). */
struct location {
	cJSON *parent; /* object or array; NULL: root of the document */
	char *token;   /* last token: member name or array index; owned */
};

/* Unescapes a token of a JSON pointer. */
static char *
decode_token(const char *text, size_t len)
{
	GString *out = g_string_new(NULL);
	size_t i;

	for (i = 0; i < len; i++) {
		if (text[i] == '~' && i + 1 < len) {
			i++;
			g_string_append_c(out, text[i] == '1' ? '/' : '~');
		} else {
			g_string_append_c(out, text[i]);
		}
	}
	return g_string_free(out, FALSE);
}

/* Parses an array index; returns -1 if the token is not a valid one. */
static int
parse_array_index(const char *token)
{
	size_t len = strlen(token);

	if (len == 0 || len > 9 || strspn(token, "0123456789") != len ||
	    (len > 1 && token[0] == '0'))
		return -1;
	return atoi(token);
}

static cJSON *
get_child(const cJSON *parent, const char *token)
{
	int index;

	if (cJSON_IsObject(parent))
		return cJSON_GetObjectItemCaseSensitive(parent, token);
	index = parse_array_index(token);
	if (!cJSON_IsArray(parent) || index < 0)
		return NULL;
	return cJSON_GetArrayItem(parent, index);
}

/*
 * Resolves a pointer. The parent of the location must exist, the value at it
 * need not. Returns -1 if the pointer is malformed or the parent does not
 * exist.
 */
static int
location_resolve(struct location *out, cJSON *document, const char *pointer)
{
	const char *slash;

	*out = (struct location){0};
	if (*pointer == '\0')
		return 0;
	if (*pointer != '/')
		return -1;
	out->parent = document;
	for (pointer++; (slash = strchr(pointer, '/')) != NULL;
	     pointer = slash + 1) {
		char *token = decode_token(pointer, (size_t)(slash - pointer));

		out->parent = get_child(out->parent, token);
		g_free(token);
		if (out->parent == NULL)
			return -1;
	}
	out->token = decode_token(pointer, strlen(pointer));
	return 0;
}

/* Returns the value at a location; NULL if there is none. */
static cJSON *
location_get(const struct location *location, cJSON *document)
{
	if (location->parent == NULL)
		return document;
	return get_child(location->parent, location->token);
}

/*
 * Inserts a value before an index. Replaces cJSON_InsertItemInArray(), which in
 * Debian's cJSON 1.7.15 refuses any index but the first.
 */
static void
array_insert(cJSON *array, int index, int size, cJSON *value)
{
	int i;

	cJSON_AddItemToArray(array, value);
	for (i = index; i < size; i++)
		cJSON_AddItemToArray(
		    array, cJSON_DetachItemFromArray(array, index));
}

/* Adds a value at a location as the operation "add" does. Takes ownership of
 * the value unless it fails. */
static int
location_add(const struct location *location, cJSON **document, cJSON *value)
{
	int index, size;

	if (location->parent == NULL) {
		cJSON_Delete(*document);
		*document = value;
		return 0;
	}
	if (cJSON_IsObject(location->parent)) {
		cJSON_DeleteItemFromObjectCaseSensitive(
		    location->parent, location->token);
		cJSON_AddItemToObject(location->parent, location->token, value);
		return 0;
	}
	if (!cJSON_IsArray(location->parent))
		return -1;
	size = cJSON_GetArraySize(location->parent);
	index = strcmp(location->token, "-") == 0
	    ? size
	    : parse_array_index(location->token);
	if (index < 0 || index > size)
		return -1;
	array_insert(location->parent, index, size, value);
	return 0;
}

/* Removes the value at a location and returns it; NULL if there is none or if
 * it is the root. */
static cJSON *
location_detach(const struct location *location, cJSON *document)
{
	cJSON *item = location_get(location, document);

	if (item == NULL || location->parent == NULL)
		return NULL;
	return cJSON_DetachItemViaPointer(location->parent, item);
}

static const char *
get_member_string(const cJSON *operation, const char *name)
{
	return cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(operation, name));
}

static int
set_error(GError **error, enum json_patch_error code, const char *message)
{
	g_set_error_literal(error, JSON_PATCH_ERROR, (int)code, message);
	return -1;
}

/* Returns a copy of the value that an operation adds, or for "move" the value
 * itself, detached from its source; NULL if there is none. */
static cJSON *
get_operation_value(cJSON *document, const cJSON *operation, const char *op)
{
	const char *from = get_member_string(operation, "from");
	struct location location;
	cJSON *value = NULL;

	if (strcmp(op, "add") == 0 || strcmp(op, "replace") == 0)
		return cJSON_Duplicate(
		    cJSON_GetObjectItemCaseSensitive(operation, "value"), 1);
	if (from == NULL || location_resolve(&location, document, from) < 0)
		return NULL;
	if (strcmp(op, "move") == 0)
		value = location_detach(&location, document);
	else
		value = cJSON_Duplicate(location_get(&location, document), 1);
	g_free(location.token);
	return value;
}

static int
apply_test(cJSON *document, const struct location *location,
    const cJSON *operation, GError **error)
{
	const cJSON *expected =
	    cJSON_GetObjectItemCaseSensitive(operation, "value");
	const cJSON *actual = location_get(location, document);

	if (expected == NULL || actual == NULL ||
	    !cJSON_Compare(actual, expected, 1))
		return set_error(error, JSON_PATCH_ERROR_TEST, "test failed");
	return 0;
}

static int
apply_remove(cJSON *document, const struct location *location, GError **error)
{
	cJSON *item = location_detach(location, document);

	if (item == NULL)
		return set_error(error, JSON_PATCH_ERROR_NO_TARGET,
		    "nothing is at the path");
	cJSON_Delete(item);
	return 0;
}

static int
apply_add(cJSON **document, const cJSON *operation, const char *op,
    const char *path, GError **error)
{
	cJSON *value = get_operation_value(*document, operation, op);
	struct location location = {0};
	int rc = -1;

	if (value == NULL)
		return set_error(
		    error, JSON_PATCH_ERROR_MALFORMED, "there is no value");
	/* Resolved only now because a move has changed the document. */
	if (location_resolve(&location, *document, path) == 0) {
		if (strcmp(op, "replace") == 0 && location.parent != NULL &&
		    apply_remove(*document, &location, NULL) < 0)
			rc = -1;
		else
			rc = location_add(&location, document, value);
	}
	g_free(location.token);
	if (rc < 0) {
		cJSON_Delete(value);
		return set_error(error, JSON_PATCH_ERROR_NO_TARGET,
		    "the path does not exist");
	}
	return 0;
}

static int
apply_operation(cJSON **document, const cJSON *operation, GError **error)
{
	const char *op = get_member_string(operation, "op");
	const char *path = get_member_string(operation, "path");
	const char *from = get_member_string(operation, "from");
	struct location location;
	int rc;

	if (op == NULL || path == NULL)
		return set_error(
		    error, JSON_PATCH_ERROR_MALFORMED, "op or path is missing");
	if (strcmp(op, "add") == 0 || strcmp(op, "replace") == 0 ||
	    strcmp(op, "copy") == 0 || strcmp(op, "move") == 0) {
		if (strcmp(op, "move") == 0 && from != NULL &&
		    g_str_has_prefix(path, from) && path[strlen(from)] == '/')
			return set_error(error, JSON_PATCH_ERROR_MALFORMED,
			    "a value can't move into itself");
		return apply_add(document, operation, op, path, error);
	}
	if (location_resolve(&location, *document, path) < 0)
		return set_error(error, JSON_PATCH_ERROR_NO_TARGET,
		    "the path does not exist");
	if (strcmp(op, "test") == 0)
		rc = apply_test(*document, &location, operation, error);
	else if (strcmp(op, "remove") == 0)
		rc = apply_remove(*document, &location, error);
	else
		rc = set_error(error, JSON_PATCH_ERROR_MALFORMED,
		    "the operation is not known");
	g_free(location.token);
	return rc;
}

int
json_patch_apply(cJSON **document, const cJSON *operations, GError **error)
{
	cJSON *copy;
	const cJSON *operation;
	int i = 0;

	if (!cJSON_IsArray(operations))
		return set_error(error, JSON_PATCH_ERROR_MALFORMED,
		    "a patch is an array of operations");
	copy = cJSON_Duplicate(*document, 1);
	cJSON_ArrayForEach (operation, operations) {
		if (apply_operation(&copy, operation, error) < 0) {
			g_prefix_error(error, "/%d: ", i);
			cJSON_Delete(copy);
			return -1;
		}
		i++;
	}
	cJSON_Delete(*document);
	*document = copy;
	return 0;
}
