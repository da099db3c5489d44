#ifndef MST_VERSION_H
#define MST_VERSION_H

/** Versions of the programs that work together. */

#include <stdbool.h>
#include <stdint.h>

/**
 * Returns the version of this build, as in "0.2.0". It increases with every
 * release.
 *
 * @return a static string
 */
const char *mst_version(void);

enum mst_process_kind { MST_PROCESS_AGENT = 1, MST_PROCESS_ENTRY };

/** Number of known processes of one version. */
struct mst_build_count {
	enum mst_process_kind kind;
	const char *version; /* static; "unknown" for builds before 0.2.0 */
	uint32_t count;
};

/** A process of another version than this one was met or is gone. */
struct mst_build_change {
	enum mst_process_kind kind;
	const char *version; /* static */
	uint64_t features;   /* bits of enum mst_feature */
	bool is_gone;
};

#endif
