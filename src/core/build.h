#ifndef MST_CORE_BUILD_H
#define MST_CORE_BUILD_H

/*
 * Builds of other processes. Builds of two successive releases run side by side
 * while hosts are replaced in turn; each announces its version and features.
 */

#include <glib.h>
#include <masticstall/entry.h>

/* Name of the version of builds that announce none. */
#define MST_BUILD_UNKNOWN "unknown"

/* Build of another process. */
struct build {
	const char *version; /* static; NULL: nothing was received yet */
	uint64_t features;   /* bits of enum mst_feature */
};

/* Returns what this process announces. */
struct mst_build_msg mst_build_own(void);
/* Records what another process has announced. An empty version is that of a
 * build that announces none. Returns true if it is not the one known so far. */
bool mst_build_update(struct build *build, const struct mst_build_msg *msg);
/* Returns true if the build is known and is not of this version. */
bool mst_build_differs(const struct build *build);
/* Adds one process to an array of struct mst_build_count. */
void mst_build_count(
    GArray *counts, enum mst_process_kind kind, const struct build *build);

#endif
