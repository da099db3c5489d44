#ifndef MST_JSON_FIELD_H
#define MST_JSON_FIELD_H

/*
 * Checked reads of JSON from other processes. A reader reads the fields of one
 * object, or the items of one array, and keeps the first fault; reads with a
 * fault return 0, NULL or false.
 */

#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/input_fault.h"

/* Largest integer up to which a double holds every integer: 2^53. */
#define JSON_INTEGER_MAX UINT64_C(9007199254740992)

struct json_reader {
	const cJSON *json; /* object or array */
	struct input_fault fault;
};

/**
 * Parses a text that holds one JSON value.
 *
 * @param fault receives the fault on failure
 * @param text the text; need not end with a NUL
 * @param len its length in bytes
 * @return the value, freed with cJSON_Delete(), or NULL if the text is not
 *     UTF-8 or not JSON, holds more than a value, or is nested too deeply
 */
cJSON *json_parse(struct input_fault *fault, const char *text, size_t len);

/* Keeps a fault of a field unless there is one already. */
void json_reader_set_fault(
    struct json_reader *reader, enum input_fault_kind kind, const char *field);

/* Returns the value of a field, or NULL and a fault if it is absent. */
const cJSON *json_read_field(struct json_reader *reader, const char *name);

/* Returns an integer from min to max, at most JSON_INTEGER_MAX. */
uint64_t json_read_integer(
    struct json_reader *reader, const char *name, uint64_t min, uint64_t max);

/* Returns a number from min to max, possibly a fraction. */
double json_read_number(
    struct json_reader *reader, const char *name, double min, double max);

/* Returns a text of min to max bytes that is UTF-8 without control characters.
 */
const char *json_read_text(
    struct json_reader *reader, const char *name, size_t min, size_t max);

/* Returns a text of any content and length. */
const char *json_read_string(struct json_reader *reader, const char *name);

/* Return false, NULL or the given value if the field is absent. */
bool json_read_flag(struct json_reader *reader, const char *name);
const cJSON *json_read_list(struct json_reader *reader, const char *name);
uint64_t json_read_optional_integer(struct json_reader *reader,
    const char *name, uint64_t min, uint64_t max, uint64_t absent);
double json_read_optional_number(struct json_reader *reader, const char *name,
    double min, double max, double absent);
const char *json_read_optional_text(struct json_reader *reader,
    const char *name, size_t min, size_t max, const char *absent);

/* Return an item of an array; name is that of the field in faults. */
uint64_t json_read_item_integer(struct json_reader *reader, int index,
    const char *name, uint64_t min, uint64_t max);
const char *json_read_item_text(struct json_reader *reader, int index,
    const char *name, size_t min, size_t max);

#endif
