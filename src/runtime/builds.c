#include "runtime/builds.h"

#include <inttypes.h>

#include "base/log.h"
#include "runtime/metrics.h"

void
builds_log_change(uint64_t incarnation, const struct mst_build_change *change)
{
	mst_log(MST_LOG_INFO, "other-version",
	    "state=%s kind=%s incarnation=%016" PRIx64
	    " version=%s features=%" PRIx64 " own=%s",
	    change->is_gone ? "gone" : "met",
	    change->kind == MST_PROCESS_AGENT ? "agent" : "entry", incarnation,
	    change->version, change->features, mst_version());
}

static void
add_counts(GString *out, const GArray *counts, enum mst_process_kind kind,
    const char *name, const char *help)
{
	guint i;

	metrics_add_family(out, name, "gauge", help);
	for (i = 0; i < counts->len; i++) {
		const struct mst_build_count *count =
		    &g_array_index(counts, struct mst_build_count, i);

		if (count->kind == kind)
			metrics_add_sample(
			    out, name, "version", count->version, count->count);
	}
}

void
builds_add_metrics(GString *out, const GArray *counts)
{
	metrics_add_family(out, "build_info", "gauge",
	    "Version of this process; the value is always 1.");
	metrics_add_sample(out, "build_info", "version", mst_version(), 1);
	add_counts(out, counts, MST_PROCESS_AGENT, "agents_by_version",
	    "Live agents that this process knows, by version.");
	add_counts(out, counts, MST_PROCESS_ENTRY, "entries_by_version",
	    "Live other entries that this process knows, by version.");
}
