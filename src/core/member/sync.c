/* Repeats what a member has not received, as told by its announcements. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member_internal.h"

#define MEMBER_GAP_SCAN_MAX 256          /* sequence numbers per announcement */
#define MEMBER_RESEND_US    (800 * 1000) /* least time before a resend */
/* The same for withdrawals. The caller of the job may soon submit it again. */
#define MEMBER_WITHDRAW_US (100 * 1000)

/* Resends the dispatches and withdrawals that were sent before the heartbeat
 * that the announcement answers, but have not arrived at the member. */
static void
member_resend_missing(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t seq = (uint64_t)(uintptr_t)key;
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;
		struct task *task =
		    mst_find_sent_task(entry, member, seq, tag, &job);

		if (seq > announce->sent_through ||
		    mst_seqset_contains(&announce->seqs_received, seq))
			continue;
		if (task == NULL) {
			g_array_append_val(member->withdrawals, seq);
			continue;
		}
		if (entry->now_us - task->sent_us < MEMBER_RESEND_US)
			continue;
		task->sent_us = entry->now_us;
		entry->counters.dispatches_repeated++;
		if (task->withdrawing)
			g_array_append_val(member->withdrawals, seq);
		else
			g_array_append_val(member->outbox, tag);
	}
}

/* Withdraws the sequence numbers that a member has not received and whose tasks
 * are no longer sent to it, because it was lost meanwhile. This closes the gaps
 * in the member's set of received numbers, which keeps the set small. */
static void
member_withdraw_gaps(struct member *member, const struct mst_announce *announce)
{
	uint64_t seq = announce->seqs_received.frontier + 1;
	uint64_t through = MIN(announce->sent_through, member->next_seq);
	uint32_t range = 0;
	int budget = MEMBER_GAP_SCAN_MAX;

	while (seq <= through && budget > 0) {
		if (range < announce->seqs_received.count &&
		    seq >= announce->seqs_received.ranges[range].first) {
			seq = announce->seqs_received.ranges[range++].last + 1;
			continue;
		}
		if (!g_hash_table_contains(
			member->sent_tasks, mst_u64_to_pointer(seq)))
			g_array_append_val(member->withdrawals, seq);
		budget--;
		seq++;
	}
}

static void
member_resend_withdrawals(struct mst_entry *entry, struct member *member)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t seq = (uint64_t)(uintptr_t)key;
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job = mst_job_find(entry, tag >> 16);
		struct task *task = job ? &job->tasks[tag & 0xffff] : NULL;

		/* The job was dropped, but the member still has the task. */
		if (task == NULL && entry->options.leased)
			g_array_append_val(member->withdrawals, seq);
		if (task == NULL || !task->withdrawing || task->seq != seq ||
		    entry->now_us - task->withdrawn_us < MEMBER_WITHDRAW_US)
			continue;
		task->withdrawn_us = entry->now_us;
		g_array_append_val(member->withdrawals, seq);
	}
}

static bool
has_uncertain_start(const struct mst_announce *announce, uint64_t seq)
{
	uint32_t i;

	for (i = 0; i < announce->uncertain_count; i++) {
		if (announce->uncertain_seqs[i] == seq)
			return true;
	}
	return false;
}

/* Records which of the sent tasks the member has started for certain. */
static void
member_update_starts(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t seq = (uint64_t)(uintptr_t)key;
		struct job *job;
		struct task *task = mst_find_sent_task(
		    entry, member, seq, (uint64_t)(uintptr_t)value, &job);

		/* A start that is settled stays so, also if an announcement was
		 * delayed. */
		if (task != NULL && task->start_state != START_SETTLED &&
		    mst_seqset_contains(&announce->seqs_received, seq))
			task->start_state = has_uncertain_start(announce, seq)
			    ? START_UNCERTAIN
			    : START_SETTLED;
		if (task != NULL && task->start_state == START_SETTLED)
			mst_backup_settle(entry, task);
	}
}

void
mst_member_repair(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce)
{
	member_update_starts(entry, member, announce);
	member_resend_missing(entry, member, announce);
	member_withdraw_gaps(member, announce);
	member_resend_withdrawals(entry, member);
}
