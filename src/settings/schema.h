#ifndef MST_SCHEMA_H
#define MST_SCHEMA_H

/*
 * Reads JSON objects into structs as described by tables of fields, and
 * collects all errors, each with its JSON pointer (RFC 6901).
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
	SCHEMA_OBJECT,   /* nested struct, described by fields */
	SCHEMA_CUSTOM    /* read by a callback */
};

struct schema_errors {
	GString *text;  /* "pointer: error", one per line, at most 32 */
	unsigned count; /* number of errors, including those not in text */
	/* Receives the pointers to members with unknown names, separated by
	 * spaces; NULL: such members are errors. */
	GString *unknown;
};

/* Reads a value into the struct member at out. Errors are added with pointer,
 * the JSON pointer to the value. */
typedef void (*schema_custom_cb)(void *out, const cJSON *value,
    const char *pointer, struct schema_errors *errors);

struct schema_field {
	const char *name; /* name of the JSON member */
	enum schema_kind kind;
	size_t offset; /* offset of the member in the struct */
	double min;    /* least number, or length of a string in bytes */
	double max;    /* greatest number or length */
	bool required;
	const char *const *names;          /* ENUM, ends with NULL */
	const struct schema_field *fields; /* OBJECT, ends with a NULL name */
	schema_custom_cb custom;           /* CUSTOM */
};

/* Initializers of a field: JSON name, struct, member, inclusive bounds. */
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

/* Adds an error about the value at a pointer; "" is the whole document. */
void schema_add_error(struct schema_errors *errors, const char *pointer,
    const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Returns the pointer to a member, whose name is escaped as RFC 6901 requires;
 * to be freed with g_free(). */
char *schema_pointer_append(const char *pointer, const char *name);

/**
 * Reads a JSON object into a struct. Unknown members are errors unless
 * errors->unknown is set; members that are absent leave the struct's members as
 * they are.
 *
 * @param out the struct
 * @param object the JSON object
 * @param fields the table of fields; ends with a NULL name
 * @param pointer JSON pointer to the object, for errors
 * @param errors receives the errors
 */
void schema_read_object(void *out, const cJSON *object,
    const struct schema_field *fields, const char *pointer,
    struct schema_errors *errors);

/* Parses JSON, in which comments are allowed; returns NULL and adds an error if
 * it is malformed. To be freed with cJSON_Delete(). */
cJSON *schema_parse_json(const char *text, struct schema_errors *errors);

#endif
