/* Views of the state of an entry, for the runtime and for tests. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"

int
mst_entry_job(
    struct mst_job_view *out, const struct mst_entry *entry, uint64_t handle)
{
	const struct job *job = mst_job_find(entry, handle);

	if (job == NULL)
		return -1;
	*out = (struct mst_job_view){.ticket = job->ticket,
	    .state = job->state,
	    .reason = job->reason,
	    .team = job->team->name,
	    .key = job->key,
	    .objective_us = job->soft_deadline_us - job->submitted_us,
	    .count = job->count,
	    .open = job->open,
	    .started = job->started,
	    .submitted_us = job->submitted_us,
	    .closed_us = job->closed_us,
	    .may_have_run = mst_job_may_have_run(job),
	    .start_uncertain = job->start_uncertain,
	    .retry_after_ms = job->retry_after_ms,
	    .traceparent = mst_span_bytes(job, job->traceparent)};
	return 0;
}

int
mst_entry_task(struct mst_task_view *out, const struct mst_entry *entry,
    uint64_t handle, uint32_t index)
{
	const struct job *job = mst_job_find(entry, handle);
	const struct task *task;

	if (job == NULL || index >= job->count)
		return -1;
	task = &job->tasks[index];
	*out = (struct mst_task_view){.outcome = task->outcome,
	    .reason = task->reason,
	    .status = task->status,
	    .attempts = task->attempts,
	    .declared_us = task->declared_us,
	    .member = task->last_member,
	    .queue_us = task->queue_us,
	    .service_us = task->service_us,
	    .sent_us = task->sent_us,
	    .closed_us = task->closed_us,
	    .content_type = task->result_type,
	    .body = task->result_body};
	return 0;
}

GArray *
mst_entry_members(const struct mst_entry *entry)
{
	GArray *views =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_member_view));
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];
		struct mst_member_view view = {
		    .incarnation = member->incarnation,
		    .name = member->name,
		    .failure_domain = member->failure_domain,
		    .rack = member->rack,
		    .state = mst_member_state_name(entry, member),
		    .slots = member->slots,
		    .grant = member->grant,
		    .outstanding = member->outstanding,
		    .slowness = mst_slowness_ratio(&member->slowness_avg),
		    .config_version = member->config_version,
		    .version = member->build.version ? member->build.version
						     : MST_BUILD_UNKNOWN};

		g_array_append_val(views, view);
	}
	return views;
}

const struct mst_entry_counters *
mst_entry_counters(const struct mst_entry *entry)
{
	return &entry->counters;
}

struct mst_entry_gauges
mst_entry_gauges(const struct mst_entry *entry)
{
	struct mst_entry_gauges gauges = {.incarnation = entry->incarnation,
	    .jobs_open = entry->jobs_open,
	    .jobs_kept = entry->closed_jobs.length,
	    .tasks_waiting = entry->tasks_waiting,
	    .tasks_sent = entry->tasks_sent,
	    .members = entry->members->len,
	    .peers = mst_entry_count_live_entries(entry) - 1,
	    .teams = g_hash_table_size(entry->teams),
	    .teams_quarantined = mst_quarantine_count_teams(entry),
	    .members_quarantined = entry->quarantined_members,
	    .bytes = entry->bytes,
	    .config_version = entry->config ? entry->config->version : 0,
	    .shed_percent = (uint32_t)(entry->shed_share * 100),
	    .draining = entry->draining};
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_is_up(entry, member))
			continue;
		gauges.members_active++;
		gauges.members_cold += member->is_cold;
		gauges.free_slots += MIN(member->free_slots, member->slots);
	}
	gauges.ready = entry->config != NULL && !entry->draining &&
	    gauges.members_active > 0;
	return gauges;
}

struct mst_drains_msg
mst_entry_drains(const struct mst_entry *entry)
{
	return mst_drains_to_msg(&entry->drains);
}

const struct mst_config *
mst_entry_config(const struct mst_entry *entry)
{
	return entry->config;
}

const char *
mst_entry_document(const struct mst_entry *entry)
{
	return entry->document;
}
