/* Peers of an entry: the other entries whose messages it receives. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/member/member_internal.h"

void
mst_string_replace(char **text, struct mst_bytes bytes)
{
	if (*text != NULL && mst_bytes_equal_str(bytes, *text))
		return;
	g_free(*text);
	*text = mst_bytes_to_str(bytes);
}

void
mst_peer_free(struct peer *peer)
{
	g_free(peer->address);
	g_free(peer->failure_domain);
	g_free(peer);
}

static void
emit_greeting(struct mst_entry *entry, uint64_t to)
{
	struct mst_msg *msg = mst_entry_emit_msg(entry, to, MST_MSG_PEER);

	msg->peer.address = mst_bytes_from_str(entry->address);
	msg->peer.config_version = mst_entry_config_version(entry);
	msg->peer.leaving = entry->draining;
	msg->peer.drains = mst_drains_to_msg(&entry->drains);
	msg->peer.build = mst_build_own();
	msg->peer.failure_domain = mst_bytes_from_str(entry->failure_domain);
}

void
mst_entry_handle_peer(
    struct mst_entry *entry, const struct mst_msg *msg, bool outdated)
{
	struct peer *peer =
	    g_hash_table_lookup(entry->peers, mst_u64_to_pointer(msg->from));
	bool is_new = peer == NULL;
	struct mst_entry_effect *effect;

	if (outdated)
		emit_greeting(entry, msg->from);
	if (peer == NULL) {
		if (g_hash_table_size(entry->peers) >= ENTRY_PEERS_MAX)
			return;
		peer = g_new0(struct peer, 1);
		peer->incarnation = msg->from;
		g_hash_table_insert(
		    entry->peers, mst_u64_to_pointer(msg->from), peer);
	}
	mst_string_replace(&peer->address, msg->peer.address);
	mst_string_replace(&peer->failure_domain, msg->peer.failure_domain);
	peer->last_heard_us = entry->now_us;
	peer->leaving = msg->peer.leaving;
	peer->config_version = msg->peer.config_version;
	mst_entry_update_build(entry, msg->from, MST_PROCESS_ENTRY,
	    &peer->build, &msg->peer.build);
	if (is_new && (peer->build.features & MST_FEATURE_CONFIRMED_STARTS))
		mst_uncertain_tell_new_peer(entry, msg->from);
	mst_entry_pull_config(entry, msg->from, msg->peer.config_version);
	effect = mst_entry_emit(entry, MST_ENTRY_FX_PEERS);
	effect->peers = msg->peer.address;
}

void
mst_entry_greet_peers(struct mst_entry *entry)
{
	entry->greeting_due = false;
	entry->greeted_us = entry->now_us;
	emit_greeting(entry, 0);
}

void
mst_entry_greet_all(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		emit_greeting(entry, (uint64_t)(uintptr_t)key);
	mst_entry_greet_peers(entry);
}

/* Appends the addresses of this entry and of the peers that take work. */
static void
collect_addresses(const struct mst_entry *entry, GString *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_string_assign(addresses, entry->address);
	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (!peer->leaving)
			g_string_append_printf(addresses, ",%s", peer->address);
	}
}

void
mst_entry_refresh_peers(struct mst_entry *entry)
{
	GString *addresses = g_string_new(NULL);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (entry->now_us - peer->last_heard_us <=
		    entry->options.remove_us)
			continue;
		mst_entry_forget_build(
		    entry, peer->incarnation, MST_PROCESS_ENTRY, &peer->build);
		g_hash_table_iter_remove(&iter);
	}
	mst_backup_choose(entry);
	collect_addresses(entry, addresses);
	if (!g_string_equal(addresses, entry->peer_addresses)) {
		g_string_assign(entry->peer_addresses, addresses->str);
		entry->peers_version++;
	}
	g_string_free(addresses, TRUE);
}
