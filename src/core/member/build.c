/* Builds of the members and peers of an entry. */

#include "core/entry/entry_internal.h"
#include "core/member/member_internal.h"

static void
report_build(struct mst_entry *entry, uint64_t incarnation,
    enum mst_process_kind kind, const struct build *build, bool is_gone)
{
	struct mst_entry_effect *effect;

	if (!mst_build_differs(build))
		return;
	effect = mst_entry_emit(entry, MST_ENTRY_FX_BUILD);
	effect->peer = incarnation;
	effect->build = (struct mst_build_change){.kind = kind,
	    .version = build->version,
	    .features = build->features,
	    .is_gone = is_gone};
}

void
mst_entry_update_build(struct mst_entry *entry, uint64_t incarnation,
    enum mst_process_kind kind, struct build *build,
    const struct mst_build_msg *msg)
{
	if (mst_build_update(build, msg))
		report_build(entry, incarnation, kind, build, false);
}

void
mst_entry_forget_build(struct mst_entry *entry, uint64_t incarnation,
    enum mst_process_kind kind, const struct build *build)
{
	report_build(entry, incarnation, kind, build, true);
}

GArray *
mst_entry_builds(const struct mst_entry *entry)
{
	GArray *counts =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_build_count));
	GHashTableIter iter;
	gpointer key, value;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE)
			mst_build_count(
			    counts, MST_PROCESS_AGENT, &member->build);
	}
	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct peer *peer = value;

		if (mst_entry_peer_is_alive(entry, (uint64_t)(uintptr_t)key))
			mst_build_count(
			    counts, MST_PROCESS_ENTRY, &peer->build);
	}
	return counts;
}
