#ifndef MST_JSON_PATCH_H
#define MST_JSON_PATCH_H

/* JSON Patch (RFC 6902) on cJSON trees. */

#include <cjson/cJSON.h>
#include <glib.h>

#define JSON_PATCH_ERROR json_patch_error_quark()

enum json_patch_error {
	JSON_PATCH_ERROR_MALFORMED, /* not a valid patch */
	JSON_PATCH_ERROR_NO_TARGET, /* a path does not exist */
	JSON_PATCH_ERROR_TEST       /* a "test" operation failed */
};

GQuark json_patch_error_quark(void);

/**
 * Applies all operations of a patch or none.
 *
 * @param document replaced by the patched document; unchanged on failure
 * @param operations array of operations
 * @param error a JSON_PATCH_ERROR on failure; its message begins with the index
 *     of the operation that failed, if there is one
 * @return 0, or -1 on failure
 */
int json_patch_apply(cJSON **document, const cJSON *operations, GError **error);

#endif
