/* Messages of an entry to its members: dispatches, withdrawals. */

#include "core/entry_internal.h"

#define STUCK_FACTOR 2.0 /* expected service times without progress */
#define STUCK_MIN_US (20 * 1000)

static uint32_t
timeout_left_ms(const struct mst_entry *entry, const struct job *job)
{
	int64_t left_us = job->deadline_us - entry->now_us;

	return (uint32_t)CLAMP(left_us / 1000, 0, UINT32_MAX);
}

static void
items_append(struct mst_entry *entry, const struct member *member)
{
	guint i;

	for (i = 0; i < member->outbox->len; i++) {
		uint64_t tag = g_array_index(member->outbox, uint64_t, i);
		struct job *job = mst_job_find(entry, tag >> 16);
		struct mst_dispatch_item item;
		struct task *task;

		if (job == NULL)
			continue;
		task = &job->tasks[tag & 0xffff];
		if (task->state != TASK_SENT || task->member != member)
			continue;
		item = (struct mst_dispatch_item){.seq = task->seq,
		    .job = job->ticket.job,
		    .index = (uint32_t)(tag & 0xffff),
		    .flags = task->flags,
		    .timeout_ms = timeout_left_ms(entry, job),
		    .run = mst_stored_run_number(job, task),
		    .expected_service_us = (uint32_t)MIN(
			mst_task_expected_at_us(entry, member, job, task),
			UINT32_MAX),
		    .slack_us = (uint32_t)CLAMP(
			job->virtual_deadline_us - entry->now_us, 0,
			UINT32_MAX),
		    .needs = task->needs,
		    .method = mst_span_bytes(job, task->method),
		    .path = mst_span_bytes(job, task->path),
		    .content_type = mst_span_bytes(job, task->content_type),
		    .body = mst_span_bytes(job, task->body),
		    .traceparent = mst_span_bytes(job, job->traceparent)};
		mst_stored_fill_dispatch(entry, job, &item);
		g_array_append_val(entry->scratch_items, item);
	}
}

static void
flush_withdrawals(struct mst_entry *entry, struct member *member)
{
	struct mst_msg *msg;

	if (member->withdrawals->len == 0)
		return;
	msg = mst_entry_emit_msg(entry, member->incarnation, MST_MSG_WITHDRAW);
	msg->withdraw.seqs = (const uint64_t *)member->withdrawals->data;
	msg->withdraw.count = member->withdrawals->len;
	g_ptr_array_add(entry->scratch_withdrawn, member->withdrawals);
	member->withdrawals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void
dispatch_set_lease(const struct mst_entry *entry, const struct member *member,
    struct mst_dispatch *dispatch)
{
	int64_t clock_us = member->clock_us;

	if (!entry->options.leased)
		return;
	dispatch->echo_us = (uint64_t)clock_us;
	dispatch->expires_us =
	    (uint64_t)(clock_us + (entry->now_us - member->clock_received_us) +
		entry->options.dispatch_valid_us);
}

void
mst_entry_flush(struct mst_entry *entry)
{
	guint first_effect = entry->effects->len;
	guint i;

	g_array_set_size(entry->scratch_items, 0);
	g_ptr_array_set_size(entry->scratch_withdrawn, 0);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		guint first = entry->scratch_items->len;
		struct mst_msg *msg;

		flush_withdrawals(entry, member);
		if (member->outbox->len == 0)
			continue;
		items_append(entry, member);
		g_array_set_size(member->outbox, 0);
		if (entry->scratch_items->len == first)
			continue;
		msg = mst_entry_emit_msg(
		    entry, member->incarnation, MST_MSG_DISPATCH);
		dispatch_set_lease(entry, member, &msg->dispatch);
		msg->dispatch.received_frontier = member->received.frontier;
		msg->dispatch.demand = entry->waiting;
		msg->dispatch.count = entry->scratch_items->len - first;
		/* An index for now: the array may still move. */
		msg->dispatch.items = (const void *)(uintptr_t)first;
	}
	for (i = first_effect; i < entry->effects->len; i++) {
		struct mst_msg *msg =
		    &g_array_index(entry->effects, struct mst_entry_effect, i)
			 .msg;

		if (msg->type == MST_MSG_DISPATCH)
			msg->dispatch.items = &g_array_index(
			    entry->scratch_items, struct mst_dispatch_item,
			    (uintptr_t)msg->dispatch.items);
	}
}

/* True when another member would start a task at once. */
static bool
idle_elsewhere(const struct mst_entry *entry, const struct member *stuck)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member != stuck && mst_member_has_room(entry, member) &&
		    member->outstanding < mst_member_slots(member))
			return true;
	}
	return false;
}

void
mst_task_withdraw(struct mst_entry *entry, struct task *task)
{
	if (task->withdrawing)
		return;
	task->withdrawing = true;
	task->withdrawn_us = entry->now_us;
	entry->counters.withdrawals++;
	g_array_append_val(task->member->withdrawals, task->seq);
}

static void
withdraw_newest(struct mst_entry *entry, struct member *member)
{
	uint32_t excess = member->outstanding - mst_member_slots(member);
	uint64_t seq = member->next_seq;

	for (; seq > 0 && excess > 0; seq--) {
		uint64_t tag = (uint64_t)(uintptr_t)g_hash_table_lookup(
		    member->sent, mst_key(seq));
		struct job *job;
		struct task *task;

		if (tag == 0)
			continue;
		excess--;
		task = mst_find_sent_task(entry, member, seq, tag, &job);
		if (task == NULL || task->withdrawing)
			continue;
		mst_task_withdraw(entry, task);
	}
}

void
mst_entry_withdraw_stragglers(struct mst_entry *entry)
{
	guint i;

	if (entry->config == NULL || !entry->config->policy.withdraw_stragglers)
		return;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double limit_us =
		    MAX(member->mean_service_us * STUCK_FACTOR, STUCK_MIN_US);

		if (member->outstanding > mst_member_slots(member) &&
		    entry->now_us - member->last_progress_us > limit_us &&
		    idle_elsewhere(entry, member))
			withdraw_newest(entry, member);
	}
}
