#ifndef MST_RUNTIME_BUILDS_H
#define MST_RUNTIME_BUILDS_H

/* Log lines and metrics about the builds of this and other processes. */

#include <glib.h>
#include <masticstall/version.h>

/* Logs that a process of another version was met or is gone. */
void builds_log_change(
    uint64_t incarnation, const struct mst_build_change *change);

/* Adds this build's version, and the known processes by version. counts is an
 * array of struct mst_build_count. */
void builds_add_metrics(GString *out, const GArray *counts);

#endif
