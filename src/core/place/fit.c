/*
 * Which members a task fits, and how long it is expected to run there.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/slow_start.h"

/* Members that a choice looks at. The best of so many is nearly as good as the
 * best of all. */
#define SAMPLE_MEMBERS_MAX 128
/* No job is considered unplaceable within this time after the start, because
 * some members may not have announced themselves yet. */
#define MEMBERS_SETTLE_US (INT64_C(3) * G_USEC_PER_SEC)

double
mst_task_expected_us(const struct job *job, const struct task *task)
{
	double service_us;

	if (!job->restartable)
		return task->declared_us *
		    mst_slowness_ratio(&job->team->service_time_ratio);
	/* Tasks of one step take similar times. */
	service_us = mst_estimate_us(&job->team->estimate, task->declared_us);
	return MAX(service_us, job->steps[task->step].max_observed_us);
}

static bool
suffices(const struct mst_resources *total, const struct mst_resources *needs)
{
	return total->millicores >= needs->millicores &&
	    total->memory_mb >= needs->memory_mb &&
	    total->accelerators >= needs->accelerators;
}

bool
mst_member_has_resources(const struct member *member, const struct task *task)
{
	return suffices(&member->resources, &task->needs);
}

bool
mst_member_may_have_resources(
    const struct member *member, const struct task *task)
{
	return suffices(&member->resources_max, &task->needs);
}

bool
mst_member_has_service(const struct member *member, const struct job *job)
{
	return job->service == 0 || job->service == member->service;
}

bool
mst_member_is_active(const struct mst_entry *entry, const struct member *member)
{
	return member->state == MEMBER_ACTIVE &&
	    !mst_drains_contains(&entry->drains, member->failure_domain);
}

bool
mst_member_is_up(const struct mst_entry *entry, const struct member *member)
{
	return mst_member_is_active(entry, member) && member->slots > 0;
}

bool
mst_member_is_usable(const struct mst_entry *entry, const struct member *member)
{
	return mst_member_is_up(entry, member) &&
	    entry->now_us >= member->ejected_until_us &&
	    entry->now_us >= member->down_until_us;
}

uint32_t
mst_member_slots(const struct member *member)
{
	/* The grant of a leased member depends on the tasks it runs, so it does
	 * not limit its slots. */
	return member->leased ? member->slots
			      : MIN(member->slots, member->grant);
}

bool
mst_member_is_slow_start_full(
    const struct mst_entry *entry, const struct member *member)
{
	return member->is_cold && entry->options.tuning.slow_start &&
	    member->outstanding >= mst_slow_start_limit(member->slots,
				       member->cold_shown, entry->mostly_warm);
}

bool
mst_member_has_free_grant(
    const struct mst_entry *entry, const struct member *member)
{
	return mst_member_has_valid_echo(entry, member) &&
	    member->outstanding < member->grant;
}

bool
mst_member_is_suspended(const struct member *member)
{
	return (member->probing || member->overdue) && member->outstanding > 0;
}

bool
mst_member_has_room(const struct mst_entry *entry, const struct member *member)
{
	return mst_member_is_usable(entry, member) &&
	    mst_member_has_free_grant(entry, member) &&
	    !mst_member_is_suspended(member) &&
	    !mst_member_is_slow_start_full(entry, member);
}

static bool
member_has_label(const struct member *member, struct mst_bytes label)
{
	char **it;

	for (it = member->labels; it != NULL && *it != NULL; it++) {
		if (mst_bytes_equal_str(label, *it))
			return true;
	}
	return false;
}

static bool
can_member_run_step(const struct member *member, GQuark service,
    const struct mst_job_spec *spec, const struct mst_step_spec *step)
{
	const struct task needs = {.needs = spec->tasks[step->first].needs};

	return (service == 0 || member->service == service) &&
	    mst_member_may_have_resources(member, &needs) &&
	    (step->required_label.len == 0 ||
		member_has_label(member, step->required_label));
}

/* Returns true if no member could ever run a step. Members that are gone are
 * included, since they may return. */
static bool
step_has_no_fitting_member(const struct mst_entry *entry, GQuark service,
    const struct mst_job_spec *spec, const struct mst_step_spec *step)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		if (can_member_run_step(
			entry->members->pdata[i], service, spec, step))
			return false;
	}
	return true;
}

bool
mst_spec_is_unplaceable(
    const struct mst_entry *entry, const struct mst_job_spec *spec)
{
	const struct mst_step_spec all_tasks = {.count = spec->count};
	GQuark service = spec->service ? g_quark_from_string(spec->service) : 0;
	uint32_t s;

	if (entry->members->len == 0 ||
	    entry->now_us - entry->started_us < MEMBERS_SETTLE_US)
		return false;
	if (spec->step_count == 0)
		return step_has_no_fitting_member(
		    entry, service, spec, &all_tasks);
	for (s = 0; s < spec->step_count; s++) {
		if (step_has_no_fitting_member(
			entry, service, spec, &spec->steps[s]))
			return true;
	}
	return false;
}

static bool
is_at_member(const struct task *task, const struct member *member)
{
	return task->state == TASK_SENT && task->member == member;
}

/* Returns how many of the tasks that were sent to a member are of a step, and
 * are there now. */
static uint32_t
count_sent_of_step(
    const struct job *job, const struct step *step, const struct member *member)
{
	GHashTableIter iter;
	gpointer seq, tag;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &seq, &tag)) {
		uint64_t index =
		    (uint64_t)(uintptr_t)tag - mst_task_tag(job, step->first);
		const struct task *task;

		/* A tag of another job is further away than any index. */
		if (index >= step->count)
			continue;
		task = &job->tasks[step->first + index];
		count += is_at_member(task, member) &&
		    task->seq == (uint64_t)(uintptr_t)seq;
	}
	return count;
}

/* Returns the number of a step's tasks that are at a member now. Looks at the
 * step's tasks or at the member's, whichever are fewer. */
static uint32_t
count_tasks_at_member(
    const struct job *job, const struct step *step, const struct member *member)
{
	uint32_t count = 0;
	uint32_t i;

	if (step->count > g_hash_table_size(member->sent_tasks))
		return count_sent_of_step(job, step, member);
	for (i = step->first; i < step->first + step->count; i++) {
		const struct task *task = &job->tasks[i];

		count += is_at_member(task, member);
	}
	return count;
}

bool
mst_member_matches_step(
    const struct member *member, const struct job *job, const struct task *task)
{
	const struct step *step = &job->steps[task->step];

	if (step->required_label.len > 0 &&
	    !member_has_label(
		member, mst_span_bytes(job, step->required_label)))
		return false;
	return step->per_member_max == 0 ||
	    count_tasks_at_member(job, step, member) < step->per_member_max;
}

double
mst_task_expected_at_us(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	const struct step *step = &job->steps[task->step];
	double service_us = mst_task_expected_us(job, task);

	if (step->rack.len == 0 ||
	    (member->rack != NULL &&
		mst_bytes_equal_str(
		    mst_span_bytes(job, step->rack), member->rack)))
		return service_us;
	return service_us * entry->options.remote_factor;
}

struct member_sample
mst_member_sample_all(const struct mst_entry *entry)
{
	return (struct member_sample){.count = entry->members->len};
}

struct member_sample
mst_member_sample(const struct mst_entry *entry)
{
	guint count = entry->members->len;

	if (count <= SAMPLE_MEMBERS_MAX)
		return mst_member_sample_all(entry);
	return (struct member_sample){
	    .first = (guint)g_rand_int_range(entry->rand, 0, (gint32)count),
	    .count = SAMPLE_MEMBERS_MAX};
}

struct member *
mst_member_sample_get(const struct mst_entry *entry,
    const struct member_sample *sample, guint index)
{
	return entry->members
	    ->pdata[(sample->first + index) % entry->members->len];
}

uint32_t
mst_entry_count_untried(const struct mst_entry *entry)
{
	return entry->tasks_waiting -
	    MIN(entry->tasks_tried, entry->tasks_waiting);
}

double
mst_leased_utilization(const struct mst_entry *entry)
{
	const struct member_sample sample = mst_member_sample(entry);
	double capacity = 0, idle_capacity = 0;
	guint i;

	for (i = 0; i < sample.count; i++) {
		const struct member *member =
		    mst_member_sample_get(entry, &sample, i);

		if (!mst_member_is_usable(entry, member) || member->quarantined)
			continue;
		capacity += member->slots / member->slowness;
		idle_capacity +=
		    MIN(member->free_slots, member->slots) / member->slowness;
	}
	return capacity > 0 ? 1 - idle_capacity / capacity : 1;
}

double
mst_leased_free_slots(
    const struct mst_entry *entry, GQuark service, double max_slowness)
{
	const struct member_sample sample = mst_member_sample(entry);
	double free_slots = 0;
	guint i;

	for (i = 0; i < sample.count; i++) {
		const struct member *member =
		    mst_member_sample_get(entry, &sample, i);

		if (mst_member_has_room(entry, member) &&
		    !member->quarantined && member->slowness <= max_slowness &&
		    (service == 0 || member->service == service))
			free_slots += MIN(member->free_slots, member->slots);
	}
	return sample.count > 0
	    ? free_slots * entry->members->len / sample.count
	    : 0;
}
