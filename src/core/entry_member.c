/* Members of an entry: announcements, roster, heartbeats, loss. */

#include "core/entry_internal.h"

#include <string.h>

#define MEMBER_GAPS_AT_ONCE 256
#define MEMBER_REPEAT_US    (800 * 1000)
#define IDLE_EVERY          2 /* heartbeats, to members that have nothing */

struct member *
mst_member_find(const struct mst_entry *entry, uint64_t incarnation)
{
	return g_hash_table_lookup(entry->by_incarnation, mst_key(incarnation));
}

void
mst_member_free(struct member *member)
{
	g_hash_table_unref(member->sent);
	g_array_unref(member->outbox);
	g_array_unref(member->withdrawals);
	mst_seqset_clear(&member->received);
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

static void
member_set_state(
    struct mst_entry *entry, struct member *member, enum member_state state)
{
	if (member->state == state)
		return;
	member->state = state;
	mst_member_report(entry, member);
}

static void
roster_rebuild(struct mst_entry *entry)
{
	guint i;

	entry->roster_version++;
	g_array_set_size(entry->roster, 0);
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->in_roster)
			g_array_append_val(entry->roster, member->incarnation);
	}
}

static void
member_heartbeat(
    struct mst_entry *entry, struct member *member, bool with_peers)
{
	struct mst_msg *msg =
	    mst_entry_emit_msg(entry, member->incarnation, MST_MSG_HEARTBEAT);
	struct mst_heartbeat *heartbeat = &msg->heartbeat;

	heartbeat->echo_us = (uint64_t)member->clock_us;
	heartbeat->description_version = member->description_version;
	heartbeat->roster_version = entry->roster_version;
	member->roster_version_sent = entry->roster_version;
	if (!entry->options.leased &&
	    member->roster_version < entry->roster_version) {
		heartbeat->agents = (const uint64_t *)entry->roster->data;
		heartbeat->agent_count = entry->roster->len;
		heartbeat->floor = entry->roster_floor;
	}
	heartbeat->sent_through = member->next_seq;
	heartbeat->results_received = member->received;
	heartbeat->demand = entry->waiting;
	heartbeat->config_version = entry->config ? entry->config->version : 0;
	if (with_peers)
		heartbeat->peers =
		    (struct mst_bytes){.data = entry->peer_addresses->str,
			.len = entry->peer_addresses->len};
}

static bool
member_can_witness(const struct member *witness, const struct member *joining)
{
	return witness != joining && witness->in_roster && witness->recorded &&
	    witness->join_version < joining->join_version &&
	    witness->state != MEMBER_GONE;
}

/* A member may get work once it and an earlier member have recorded that
 * it belongs to this incarnation. Whoever fences this incarnation then
 * finds it, starting from any member. */
static bool
member_is_recorded(const struct mst_entry *entry, const struct member *joining)
{
	guint i;

	if (entry->options.leased)
		return true;
	if (joining->roster_version < joining->join_version)
		return false;
	if (joining->join_version == 1)
		return true;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member_can_witness(member, joining) &&
		    member->roster_version >= joining->join_version)
			return true;
	}
	return false;
}

/* Tells one earlier member about a joining one, unless one knows already. */
static void
member_seek_witness(struct mst_entry *entry, const struct member *joining)
{
	struct member *chosen = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!member_can_witness(member, joining))
			continue;
		if (member->roster_version_sent >= joining->join_version)
			return;
		if (chosen == NULL || chosen->state != MEMBER_ACTIVE)
			chosen = member;
	}
	if (chosen != NULL)
		member_heartbeat(entry, chosen, false);
}

static void
members_promote(struct mst_entry *entry)
{
	bool promoted = false;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_JOINING ||
		    !member_is_recorded(entry, member))
			continue;
		member->recorded = true;
		member_set_state(entry, member, MEMBER_ACTIVE);
		promoted = true;
	}
	if (!promoted)
		return;
	mst_entry_rank_members(entry);
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_JOINING)
			member_seek_witness(entry, member);
	}
	mst_entry_place(entry);
}

static void
member_enlist(struct mst_entry *entry, struct member *member)
{
	member->in_roster = true;
	member->recorded = false;
	member->joined_us = entry->now_us;
	roster_rebuild(entry);
	member->join_version = entry->roster_version;
	member_heartbeat(entry, member, true);
	member_seek_witness(entry, member);
}

static void member_lose(struct mst_entry *entry, struct member *member);

static struct member *
member_new(struct mst_entry *entry, uint64_t incarnation)
{
	struct member *member;

	if (entry->members->len >= ENTRY_MEMBERS_MAX)
		return NULL;
	member = g_new0(struct member, 1);
	member->incarnation = incarnation;
	member->state = MEMBER_JOINING;
	member->leased = entry->options.leased;
	member->sent = g_hash_table_new(g_direct_hash, g_direct_equal);
	member->outbox = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	member->withdrawals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(entry->members, member);
	g_hash_table_insert(
	    entry->by_incarnation, mst_key(incarnation), member);
	return member;
}

static void
member_set_labels(struct member *member, struct mst_bytes labels)
{
	char *text = mst_bytes_to_str(labels);

	g_strfreev(member->labels);
	member->labels = g_strsplit(text, ",", -1);
	g_free(text);
}

static void
member_set_service(struct member *member, struct mst_bytes name)
{
	char *text;

	if (name.len == 0)
		return;
	text = mst_bytes_to_str(name);
	member->service = g_quark_from_string(text);
	g_free(text);
}

static void
member_describe(struct member *member, const struct mst_announce *m)
{
	/* Told with the first announcement and when it changes. */
	if (m->name.len > 0) {
		member->description_version = m->description_version;
		mst_string_replace(&member->name, m->name);
		mst_string_replace(&member->failure_domain, m->failure_domain);
		mst_string_replace(&member->rack, m->rack);
		member_set_labels(member, m->labels);
		member_set_service(member, m->service);
	}
	member->slots = m->slots;
	member->resources = m->resources;
	member->config_version = m->config_version;
}

/* Sends again what was sent before the member's record but is not in it. */
static void
member_repeat_lost(struct mst_entry *entry, struct member *member,
    const struct mst_announce *m)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t seq = (uint64_t)(uintptr_t)key;
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;
		struct task *task =
		    mst_find_sent_task(entry, member, seq, tag, &job);

		if (seq > m->sent_through ||
		    mst_seqset_contains(&m->seqs_received, seq))
			continue;
		if (task == NULL) {
			g_array_append_val(member->withdrawals, seq);
			continue;
		}
		if (entry->now_us - task->sent_us < MEMBER_REPEAT_US)
			continue;
		task->sent_us = entry->now_us;
		entry->counters.dispatches_repeated++;
		if (task->withdrawing)
			g_array_append_val(member->withdrawals, seq);
		else
			g_array_append_val(member->outbox, tag);
	}
}

/* Closes gaps in the member's record whose work was given up while the member
 * was lost: they are withdrawn, so that the record stays small. */
static void
member_close_gaps(struct member *member, const struct mst_announce *m)
{
	uint64_t seq = m->seqs_received.frontier + 1;
	uint64_t upto = MIN(m->sent_through, member->next_seq);
	uint32_t at = 0;
	int budget = MEMBER_GAPS_AT_ONCE;

	while (seq <= upto && budget > 0) {
		if (at < m->seqs_received.count &&
		    seq >= m->seqs_received.ranges[at].first) {
			seq = m->seqs_received.ranges[at++].last + 1;
			continue;
		}
		if (!g_hash_table_contains(member->sent, mst_key(seq)))
			g_array_append_val(member->withdrawals, seq);
		budget--;
		seq++;
	}
}

static void
member_repeat_withdrawals(struct mst_entry *entry, struct member *member)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t seq = (uint64_t)(uintptr_t)key;
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job = mst_job_find(entry, tag >> 16);
		struct task *task = job ? &job->tasks[tag & 0xffff] : NULL;

		/* Its job is forgotten, but the member still has it. */
		if (task == NULL && entry->options.leased)
			g_array_append_val(member->withdrawals, seq);
		if (task == NULL || !task->withdrawing || task->seq != seq ||
		    entry->now_us - task->withdrawn_us < MEMBER_REPEAT_US)
			continue;
		task->withdrawn_us = entry->now_us;
		g_array_append_val(member->withdrawals, seq);
	}
}

void
mst_entry_send_config(struct mst_entry *entry, uint64_t to)
{
	struct mst_msg *msg = mst_entry_emit_msg(entry, to, MST_MSG_CONFIG);

	msg->config.version = entry->config->version;
	msg->config.document = mst_bytes_from_str(entry->document);
}

static void
member_sync_config(struct mst_entry *entry, const struct member *member)
{
	if (entry->config != NULL &&
	    member->config_version < entry->config->version)
		mst_entry_send_config(entry, member->incarnation);
}

static void
member_update(struct mst_entry *entry, struct member *member,
    const struct mst_announce *m, bool addressed)
{
	if (addressed) {
		member->grant = m->grant;
		member->free_slots = m->free_slots;
		member->queued = m->queued;
		member->reported_slowness = m->slowness_milli / 1000.0;
		member->roster_version =
		    MAX(member->roster_version, m->roster_version);
		member_repeat_lost(entry, member, m);
		member_close_gaps(member, m);
		member_repeat_withdrawals(entry, member);
		member_sync_config(entry, member);
	}
	if (m->draining)
		member_set_state(entry, member, MEMBER_LEAVING);
	else if (member->state == MEMBER_SUSPECT ||
	    (entry->options.leased && member->state == MEMBER_LEAVING))
		member_set_state(entry, member, MEMBER_ACTIVE);
}

/* The greatest clock counts: an announcement that was held up tells less. */
static void
member_hear_clock(struct mst_entry *entry, struct member *member,
    const struct mst_announce *m)
{
	if ((int64_t)m->clock_us <= member->clock_us)
		return;
	member->clock_us = (int64_t)m->clock_us;
	member->clock_received_us = entry->now_us;
}

/* A new incarnation under the name of another one: the earlier is dead, and
 * a leased agent ends what it finds before it announces itself. */
static void
member_succeed(struct mst_entry *entry, struct member *member)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *old = entry->members->pdata[i];

		if (old == member || g_strcmp0(old->name, member->name) != 0)
			continue;
		member->slowness_avg = old->slowness_avg;
		member->reported_slowness = old->reported_slowness;
		member->mean_service_us = old->mean_service_us;
		if (old->state != MEMBER_GONE)
			member_lose(entry, old);
	}
}

void
mst_entry_handle_announce(struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_announce *m = &msg->announce;
	struct member *member = mst_member_find(entry, msg->from);
	struct mst_entry_effect *effect;

	if (m->fenced && msg->to == entry->incarnation) {
		mst_entry_new_incarnation(entry);
		return;
	}
	if (member == NULL) {
		member = member_new(entry, msg->from);
		if (member == NULL)
			return;
		member_describe(member, m);
		mst_member_report(entry, member);
		if (entry->options.leased)
			member_succeed(entry, member);
		member_enlist(entry, member);
	} else if (member->state == MEMBER_GONE) {
		member_set_state(entry, member, MEMBER_JOINING);
		member_enlist(entry, member);
	}
	member_describe(member, m);
	member->last_heard_us = entry->now_us;
	member_hear_clock(entry, member, m);
	member_update(entry, member, m, msg->to == entry->incarnation);
	if (m->entries.len > 0) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_PEERS);
		effect->peers = m->entries;
	}
	members_promote(entry);
	mst_entry_place(entry);
}

static void
member_forget_work(struct mst_entry *entry, struct member *member)
{
	GHashTable *sent = member->sent;
	GHashTableIter iter;
	gpointer key, value;

	member->sent = g_hash_table_new(g_direct_hash, g_direct_equal);
	member->outstanding = 0;
	g_array_set_size(member->outbox, 0);
	g_array_set_size(member->withdrawals, 0);
	g_hash_table_iter_init(&iter, sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;

		if (mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			tag, &job) == NULL)
			continue;
		entry->sent--;
		mst_task_handle_unknown(entry, job, (uint32_t)(tag & 0xffff),
		    MST_REASON_AGENT_LOST);
	}
	g_hash_table_unref(sent);
}

/* Tries idempotent work of a silent member elsewhere, as far as the budget
 * goes; the rest waits until the member is back or lost. */
static void
member_retry_elsewhere(struct mst_entry *entry, const struct member *member)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;

		if (mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			tag, &job) != NULL)
			mst_task_retry(entry, job, (uint32_t)(tag & 0xffff));
	}
}

static void
member_lose(struct mst_entry *entry, struct member *member)
{
	member_set_state(entry, member, MEMBER_GONE);
	member->gone_us = entry->now_us;
	entry->counters.members_lost++;
	member_forget_work(entry, member);
}

/* Takes a member off the roster long after its loss. Jobs minted until now
 * can then no longer be adopted, as it may have run some of their tasks. */
static void
member_trim(struct mst_entry *entry, struct member *member)
{
	member->in_roster = false;
	entry->roster_floor = entry->next_counter;
	roster_rebuild(entry);
}

static void
member_scan(struct mst_entry *entry, struct member *member)
{
	int64_t silent_us = entry->now_us - member->last_heard_us;

	if (member->state == MEMBER_GONE) {
		if (member->in_roster &&
		    entry->now_us - member->gone_us > ENTRY_GONE_EVICT_US)
			member_trim(entry, member);
		return;
	}
	if (silent_us > entry->options.remove_us)
		member_lose(entry, member);
	else if (silent_us > entry->options.suspect_us &&
	    member->state == MEMBER_ACTIVE)
		member_set_state(entry, member, MEMBER_SUSPECT);
	if (member->state == MEMBER_SUSPECT && !entry->options.leased)
		member_retry_elsewhere(entry, member);
	if (member->ejected_until_us != 0 &&
	    entry->now_us >= member->ejected_until_us) {
		member->ejected_until_us = 0;
		member->probing = true;
		mst_member_report(entry, member);
	}
}

/* True when a member waits to join and nobody can record it. */
static bool
join_is_blocked(const struct mst_entry *entry)
{
	bool joining = false;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_JOINING)
			joining = true;
		else if (member->recorded && member->state != MEMBER_GONE)
			return false;
	}
	return joining;
}

static void
scan_witness(struct mst_entry *entry)
{
	if (!join_is_blocked(entry)) {
		entry->no_arbiter_since_us = 0;
		return;
	}
	if (entry->no_arbiter_since_us == 0)
		entry->no_arbiter_since_us = entry->now_us;
	else if (entry->now_us - entry->no_arbiter_since_us >
	    ENTRY_ARBITER_TIMEOUT_US)
		mst_entry_new_incarnation(entry);
}

/* Forgets members that will not come back: a leased agent's next life is
 * another member. */
static void
members_forget_gone(struct mst_entry *entry)
{
	guint i = 0;

	while (entry->options.leased && i < entry->members->len) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE ||
		    entry->now_us - member->gone_us < ENTRY_GONE_KEEP_US) {
			i++;
			continue;
		}
		g_hash_table_remove(
		    entry->by_incarnation, mst_key(member->incarnation));
		g_ptr_array_remove_index(entry->members, i);
	}
}

void
mst_entry_scan_members(struct mst_entry *entry)
{
	guint i;

	members_forget_gone(entry);
	for (i = 0; i < entry->members->len; i++)
		member_scan(entry, entry->members->pdata[i]);
	scan_witness(entry);
	mst_entry_rank_members(entry);
	members_promote(entry);
	mst_entry_place(entry);
}

void
mst_entry_reset_roster(struct mst_entry *entry)
{
	guint i;

	entry->roster_version = 0;
	entry->roster_floor = 0;
	entry->no_arbiter_since_us = 0;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		g_hash_table_remove_all(member->sent);
		g_array_set_size(member->outbox, 0);
		g_array_set_size(member->withdrawals, 0);
		mst_seqset_clear(&member->received);
		member->outstanding = 0;
		member->next_seq = 0;
		member->roster_version = 0;
		member->join_version = 1;
		member->recorded = false;
		member->in_roster = member->state != MEMBER_GONE;
		if (member->in_roster && member->state != MEMBER_LEAVING)
			member_set_state(entry, member, MEMBER_JOINING);
	}
	roster_rebuild(entry);
	mst_entry_heartbeat(entry);
}

void
mst_entry_exclude_pause(struct mst_entry *entry, int64_t paused_us)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		member->last_heard_us += paused_us;
		member->last_progress_us += paused_us;
	}
	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		peer->last_heard_us += paused_us;
	}
}

/* A lease is kept where something runs; who has nothing is only watched. */
static bool
heartbeat_is_due(const struct mst_entry *entry, const struct member *member)
{
	return !entry->options.leased || member->outstanding > 0 ||
	    member->state != MEMBER_ACTIVE ||
	    member->description_version == 0 ||
	    entry->heartbeats % IDLE_EVERY == 0;
}

void
mst_entry_heartbeat(struct mst_entry *entry)
{
	bool with_peers = entry->heartbeats++ % ENTRY_PEERS_HEARTBEATS == 0;
	struct mst_msg *msg;
	guint i;

	mst_entry_refresh_peers(entry);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE &&
		    (with_peers || heartbeat_is_due(entry, member)))
			member_heartbeat(entry, member, with_peers);
	}
	if (entry->options.leased && entry->heartbeats % IDLE_EVERY != 0)
		return;
	msg = mst_entry_emit_msg(entry, 0, MST_MSG_PEER);
	msg->peer.address = mst_bytes_from_str(entry->address);
	msg->peer.config_version = entry->config ? entry->config->version : 0;
	msg->peer.leaving = entry->draining;
}
