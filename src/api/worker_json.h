#ifndef MST_WORKER_JSON_H
#define MST_WORKER_JSON_H

/* JSON format of the store's rows for reports of workers, and the bounds of
 * what a report holds. */

#include <masticstall/worker.h>

#include "api/json_field.h"

#define WORKER_TEXT_MAX_BYTES 255 /* of an id, a service or a label */
#define WORKER_LABELS_MAX     64

/* Formats a report without its number; free with cJSON_free(). */
char *worker_json_write(const struct mst_worker_report *report);

/*
 * Parses a report. Returns the JSON document, which owns the strings of out and
 * is freed with cJSON_Delete(), or NULL and the fault if text is not a valid
 * report.
 */
cJSON *worker_json_read(
    struct mst_worker_report *out, struct input_fault *fault, const char *text);

#endif
