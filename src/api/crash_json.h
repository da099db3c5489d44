#ifndef MST_CRASH_JSON_H
#define MST_CRASH_JSON_H

/* The crashes that an agent remembers as JSON, in which it keeps them. */

#include <cjson/cJSON.h>
#include <masticstall/message.h>

/* Crashes read from JSON. */
struct crash_json {
	struct mst_crashes crashes; /* valid until crash_json_clear() */
	cJSON *json;
	struct mst_crash *items;
	struct mst_crashed_run *runs;
};

/* Returns the text for the latest crashes, as many as fit into a row of the
 * store. wall_ms is the present time. What a newer build has added to the last
 * text read is kept; last may be NULL. Free with cJSON_free(). */
char *crash_json_write(
    const struct mst_crashes *crashes, int64_t wall_ms, const cJSON *last);
/* Reads the text. Returns false if it is malformed; out is to be cleared in
 * either case. */
bool crash_json_read(struct crash_json *out, const char *text, int64_t wall_ms);
void crash_json_clear(struct crash_json *crashes);

#endif
