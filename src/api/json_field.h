#ifndef MST_JSON_FIELD_H
#define MST_JSON_FIELD_H

/* Checked reads of the fields of JSON objects. */

#include <cjson/cJSON.h>
#include <stdbool.h>

/* Largest integer up to which a double holds every integer: 2^53. */
#define JSON_INTEGER_MAX 9007199254740992.0

/* Stores a number from 0 to max. Returns false if there is none. */
bool json_get_number(
    double *out, const cJSON *json, const char *name, double max);

#endif
