#ifndef MST_CRASH_JSON_H
#define MST_CRASH_JSON_H

/* The crashes that an agent remembers as JSON, in which it keeps them. */

#include <masticstall/message.h>

#include "api/json_field.h"

/* Crashes read from JSON. */
struct crash_json {
	struct mst_crashes crashes; /* valid until crash_json_clear() */
	cJSON *json;
	struct mst_crash *items;
	struct mst_crashed_run *runs;
	uint32_t run_count; /* of all crashes */
};

/* Returns the text for the latest crashes, as many as fit into a row of the
 * store. wall_ms is the present time. What a newer build has added to the last
 * text read is kept; last may be NULL. Free with cJSON_free(). */
char *crash_json_write(
    const struct mst_crashes *crashes, int64_t wall_ms, const cJSON *last);
/* Reads the text; crashes with a fault are left out. Returns false and the
 * fault if the text has none that can be read; out is to be cleared in either
 * case. */
bool crash_json_read(struct crash_json *out, struct input_fault *fault,
    const char *text, int64_t wall_ms);
void crash_json_clear(struct crash_json *crashes);

#endif
