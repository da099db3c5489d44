#ifndef MST_JSON_EXTRA_H
#define MST_JSON_EXTRA_H

/*
 * Members of stored JSON objects that this build doesn't know. A newer build
 * has added them; they are kept when this build writes the object again.
 */

#include <cjson/cJSON.h>

/* Copies the members of one object whose names are not in known, a list ended
 * by NULL, to another. from may be NULL. */
void json_extra_copy(cJSON *to, const cJSON *from, const char *const *known);

#endif
