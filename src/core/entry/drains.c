/*
 * Drained failure domains at an entry. Their members get no tasks. The entry
 * passes each change on at once, so that agents and other entries learn of it
 * without a path to the store.
 */

#include "core/entry/entry_internal.h"
#include "core/member/member.h"
#include "core/place/place.h"

static void
apply_change(struct mst_entry *entry, const char *source)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_DRAINS);

	effect->drains = mst_drains_to_msg(&entry->drains);
	effect->state = source;
	mst_entry_rank_members(entry);
	/* The heartbeats precede dispatches that are still to be sent, so that
	 * members of a drained domain refuse these. */
	mst_entry_notify_members(entry);
	mst_entry_greet_all(entry);
	mst_entry_place_tasks(entry);
}

void
mst_entry_set_drains(struct mst_entry *entry, uint64_t revision,
    const char *const *domains, size_t count, const char *source)
{
	if (mst_drains_update(&entry->drains, revision, domains, count))
		apply_change(entry, source);
}

bool
mst_entry_merge_drains(struct mst_entry *entry,
    const struct mst_drains_msg *msg, const char *source)
{
	bool outdated;

	if (mst_drains_merge(&entry->drains, msg, &outdated))
		apply_change(entry, source);
	return outdated;
}

void
mst_entry_apply_config_drains(struct mst_entry *entry)
{
	const GPtrArray *domains = entry->config->drained_domains;

	/* A leased entry is told of the drains by the platform's store, whose
	 * revisions are not those of the configuration. */
	if (entry->options.leased)
		return;
	if (domains == NULL)
		mst_entry_set_drains(
		    entry, entry->config->version, NULL, 0, "config");
	else
		mst_entry_set_drains(entry, entry->config->version,
		    (const char *const *)domains->pdata, domains->len,
		    "config");
}
