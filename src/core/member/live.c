/* Which of the other entries are alive. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/member/member.h"

bool
mst_entry_peer_is_alive(const struct mst_entry *entry, uint64_t incarnation)
{
	const struct peer *peer =
	    g_hash_table_lookup(entry->peers, mst_u64_to_pointer(incarnation));

	return peer != NULL &&
	    entry->now_us - peer->last_heard_us <= entry->options.suspect_us;
}

uint32_t
mst_entry_count_live_entries(const struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t live_count = 1;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (mst_entry_peer_is_alive(entry, (uint64_t)(uintptr_t)key))
			live_count++;
	}
	return live_count;
}
