#ifndef MST_SCHEMA_H
#define MST_SCHEMA_H

/*
 * Reads JSON objects into structs by tables of fields and collects every
 * fault with its JSON pointer (RFC 6901).
 */

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum schema_kind {
	SCHEMA_UINT = 1, /* uint32_t */
	SCHEMA_NUMBER,   /* double */
	SCHEMA_BOOL,     /* bool */
	SCHEMA_STRING,   /* const char *, borrowed from the JSON tree */
	SCHEMA_STRINGS,  /* GPtrArray * of borrowed strings */
	SCHEMA_ENUM,     /* int, index into names */
	SCHEMA_OBJECT,   /* nested struct, by its own table */
	SCHEMA_CUSTOM    /* by a function */
};

struct schema_errors {
	GString *text; /* "pointer: fault", one per line */
	unsigned count;
};

typedef void (*schema_custom_cb)(void *out, const cJSON *value,
    const char *pointer, struct schema_errors *faults);

struct schema_field {
	const char *name;
	enum schema_kind kind;
	size_t offset;
	double min; /* of a number, or of a string's length in bytes */
	double max;
	bool required;
	const char *const *names;          /* ENUM, ends with NULL */
	const struct schema_field *fields; /* OBJECT, ends with a NULL name */
	schema_custom_cb custom;
};

/* Rows of a table: the JSON name, the struct and its member, the bounds. */
#define SCHEMA_UINT_FIELD(json, type, member, low, high)                       \
	{                                                                      \
		.name = (json), .kind = SCHEMA_UINT,                           \
		.offset = offsetof(type, member), .min = (low), .max = (high)  \
	}
#define SCHEMA_NUMBER_FIELD(json, type, member, low, high)                     \
	{                                                                      \
		.name = (json), .kind = SCHEMA_NUMBER,                         \
		.offset = offsetof(type, member), .min = (low), .max = (high)  \
	}
#define SCHEMA_BOOL_FIELD(json, type, member)                                  \
	{                                                                      \
		.name = (json), .kind = SCHEMA_BOOL,                           \
		.offset = offsetof(type, member)                               \
	}

/* Adds one fault. */
void schema_add_error(struct schema_errors *faults, const char *pointer,
    const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Appends a name to a pointer, escaped as RFC 6901 says; free with g_free. */
char *schema_pointer_append(const char *pointer, const char *name);

/* Reads an object; fields that are absent keep their present value. */
void schema_read_object(void *out, const cJSON *object,
    const struct schema_field *fields, const char *pointer,
    struct schema_errors *faults);

/* Parses JSON with comments; NULL and a fault when it is malformed. */
cJSON *schema_parse_json(const char *text, struct schema_errors *faults);

#endif
