#ifndef MST_DRAIN_PATCH_H
#define MST_DRAIN_PATCH_H

#include <stdbool.h>

/**
 * Creates the JSON Patch that drains or restores a failure domain in a
 * configuration document.
 *
 * @param document JSON text of the configuration
 * @param domain name of the failure domain
 * @param drained true to drain the domain, false to restore it
 * @return the patch as JSON text, to be freed with g_free(); NULL if the
 *     document already says so
 */
char *drain_patch_new(const char *document, const char *domain, bool drained);

#endif
