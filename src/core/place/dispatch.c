/* Dispatch and withdrawal messages that an entry sends to its members. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"

static uint32_t
remaining_timeout_ms(const struct mst_entry *entry, const struct job *job)
{
	int64_t remaining_us = job->deadline_us - entry->now_us;

	return (uint32_t)CLAMP(remaining_us / 1000, 0, UINT32_MAX);
}

static uint32_t
isolation_flags(const struct job *job, const struct task *task)
{
	if (!task->isolated)
		return 0;
	return MST_TASK_ISOLATED | (job->suspect ? MST_TASK_SUSPECT : 0);
}

/* Appends the tasks in a member's outbox to the dispatch items; tasks that
 * were closed or moved since they were queued are left out. */
static void
append_dispatch_items(struct mst_entry *entry, const struct member *member)
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
		    .flags = task->flags | isolation_flags(job, task),
		    .timeout_ms = remaining_timeout_ms(entry, job),
		    .expected_service_us = (uint32_t)MIN(
			mst_task_expected_at_us(entry, member, job, task),
			UINT32_MAX),
		    .slack_us = (uint32_t)CLAMP(
			job->virtual_deadline_us - entry->now_us, 0,
			UINT32_MAX),
		    .team = job->team->hash,
		    .needs = task->needs,
		    .method = mst_span_bytes(job, task->method),
		    .path = mst_span_bytes(job, task->path),
		    .content_type = mst_span_bytes(job, task->content_type),
		    .body = mst_span_bytes(job, task->body),
		    .traceparent = mst_span_bytes(job, job->traceparent)};
		item.run = task->run;
		mst_stored_fill_dispatch(entry, job, &item);
		g_array_append_val(entry->scratch_items, item);
	}
}

/* Emits one message with the member's pending withdrawals. The effect refers to
 * the array, so it is kept until the next flush. */
static void
emit_withdrawals(struct mst_entry *entry, struct member *member)
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

/* Sets the time at which a dispatch to a leased member expires, on the member's
 * clock. Its present reading is estimated as the last announced one plus the
 * time since then. */
static void
set_dispatch_expiry(const struct mst_entry *entry, const struct member *member,
    struct mst_dispatch *dispatch)
{
	if (!entry->options.leased)
		return;
	dispatch->echo_us = (uint64_t)member->echo.settled_us;
	dispatch->expires_us = (uint64_t)(member->clock_us +
	    (entry->now_us - member->clock_received_us) +
	    entry->options.dispatch_valid_us);
}

void
mst_entry_flush(struct mst_entry *entry)
{
	guint first_effect, i;

	mst_entry_place_due_tasks(entry);
	/* It goes out before the dispatches that it is about. */
	mst_backup_flush(entry);
	first_effect = entry->effects->len;
	g_array_set_size(entry->scratch_items, 0);
	g_ptr_array_set_size(entry->scratch_withdrawn, 0);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		guint first = entry->scratch_items->len;
		struct mst_msg *msg;

		emit_withdrawals(entry, member);
		if (member->outbox->len == 0)
			continue;
		append_dispatch_items(entry, member);
		g_array_set_size(member->outbox, 0);
		if (entry->scratch_items->len == first)
			continue;
		msg = mst_entry_emit_msg(
		    entry, member->incarnation, MST_MSG_DISPATCH);
		set_dispatch_expiry(entry, member, &msg->dispatch);
		msg->dispatch.received_frontier =
		    member->results_received.frontier;
		msg->dispatch.demand = entry->tasks_waiting;
		msg->dispatch.count = entry->scratch_items->len - first;
		/* Stores the index of the first item, because the array may
		 * still be reallocated. The loop below replaces the index by a
		 * pointer. */
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
