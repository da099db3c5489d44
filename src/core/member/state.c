/* Members of an entry and their states. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/member/member_internal.h"

struct member *
mst_member_find(const struct mst_entry *entry, uint64_t incarnation)
{
	return g_hash_table_lookup(
	    entry->members_by_incarnation, mst_u64_to_pointer(incarnation));
}

struct member *
mst_member_new(struct mst_entry *entry, uint64_t incarnation)
{
	struct member *member;

	if (entry->members->len >= ENTRY_MEMBERS_MAX)
		return NULL;
	member = g_new0(struct member, 1);
	member->incarnation = incarnation;
	member->state = MEMBER_JOINING;
	member->leased = entry->options.leased;
	member->sent_tasks = g_hash_table_new(g_direct_hash, g_direct_equal);
	member->outbox = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	member->withdrawals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(entry->members, member);
	g_hash_table_insert(entry->members_by_incarnation,
	    mst_u64_to_pointer(incarnation), member);
	return member;
}

void
mst_member_free(struct member *member)
{
	g_hash_table_unref(member->sent_tasks);
	g_array_unref(member->outbox);
	g_array_unref(member->withdrawals);
	mst_seqset_clear(&member->results_received);
	g_free(member->name);
	g_free(member->failure_domain);
	g_free(member->rack);
	g_strfreev(member->labels);
	g_free(member);
}

const char *
mst_member_state_name(
    const struct mst_entry *entry, const struct member *member)
{
	switch (member->state) {
	case MEMBER_JOINING:
		return "joining";
	case MEMBER_ACTIVE:
		if (entry->now_us < member->ejected_until_us)
			return "ejected";
		return member->probing ? "probing" : "active";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_GONE:
		return "gone";
	}
	return "invalid";
}

void
mst_member_report(struct mst_entry *entry, const struct member *member)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_MEMBER);

	effect->peer = member->incarnation;
	effect->state = mst_member_state_name(entry, member);
}

void
mst_member_set_state(
    struct mst_entry *entry, struct member *member, enum member_state state)
{
	if (member->state == state)
		return;
	member->state = state;
	mst_member_report(entry, member);
}
