/* Steps of a job: in which order its tasks run, and where they may. */

#include "core/entry_internal.h"

#define STEP_SETTLE_US (INT64_C(3) * G_USEC_PER_SEC) /* all are heard of */

static void
steps_make_one(struct job *job)
{
	job->step_count = 1;
	job->steps = g_new0(struct step, 1);
	job->steps[0].count = job->count;
	job->steps[0].open = job->count;
}

void
mst_job_set_steps(struct job *job, const struct mst_job_spec *spec,
    struct span (*put)(struct job *job, struct mst_bytes bytes))
{
	uint32_t s, i;

	if (spec->step_count == 0) {
		steps_make_one(job);
		return;
	}
	job->step_count = spec->step_count;
	job->steps = g_new0(struct step, spec->step_count);
	for (s = 0; s < spec->step_count; s++) {
		const struct mst_step_spec *from = &spec->steps[s];

		job->steps[s] = (struct step){.first = from->first,
		    .count = from->count,
		    .open = from->count,
		    .after = from->dependencies,
		    .blocked = from->dependencies != 0,
		    .requires = put(job, from->requires),
		    .rack = put(job, from->rack),
		    .per_member_max = from->per_member_max};
		for (i = 0; i < from->count; i++) {
			struct task *task = &job->tasks[from->first + i];

			task->step = (uint8_t)s;
			if (from->dependencies != 0)
				task->state = TASK_BLOCKED;
		}
	}
}

static double
step_work_us(const struct job *job, const struct step *step)
{
	double longest_us = 0;
	uint32_t i;

	for (i = step->first; i < step->first + step->count; i++) {
		const struct task *task = &job->tasks[i];

		if (task->state != TASK_CLOSED)
			longest_us =
			    MAX(longest_us, mst_task_expected_us(job, task));
	}
	return longest_us;
}

double
mst_job_critical_path_us(struct job *job)
{
	double longest_us = 0;
	uint32_t s, before;

	for (s = 0; s < job->step_count; s++)
		job->steps[s].successors_us = 0;
	/* Steps only wait for earlier ones. */
	for (s = job->step_count; s-- > 0;) {
		struct step *step = &job->steps[s];
		double chain_us = step->successors_us + step_work_us(job, step);

		longest_us = MAX(longest_us, chain_us);
		for (before = 0; before < s; before++) {
			struct step *other = &job->steps[before];

			if (step->after >> before & 1)
				other->successors_us =
				    MAX(other->successors_us, chain_us);
		}
	}
	return longest_us;
}

static double
spec_step_work_us(const struct mst_job_spec *spec, const struct team *team,
    uint32_t first, uint32_t count)
{
	double longest_us = 0;
	uint32_t i;

	for (i = first; i < first + count; i++) {
		uint32_t declared_us = spec->tasks[i].declared_us;

		longest_us = MAX(longest_us,
		    mst_estimate_us(&team->estimate,
			declared_us ? declared_us : ENTRY_DEFAULT_DECLARED_US));
	}
	return longest_us;
}

double
mst_spec_critical_path_us(
    const struct mst_job_spec *spec, const struct team *team)
{
	double chains[MST_STEPS_MAX];
	double longest_us = 0;
	uint32_t s, before;

	if (spec->step_count == 0)
		return spec_step_work_us(spec, team, 0, spec->count);
	for (s = 0; s < spec->step_count; s++) {
		const struct mst_step_spec *step = &spec->steps[s];

		chains[s] = 0;
		for (before = 0; before < s; before++) {
			if (step->dependencies >> before & 1)
				chains[s] = MAX(chains[s], chains[before]);
		}
		chains[s] +=
		    spec_step_work_us(spec, team, step->first, step->count);
		longest_us = MAX(longest_us, chains[s]);
	}
	return longest_us;
}

static bool
steps_before_ended(const struct job *job, const struct step *step)
{
	uint32_t s;

	for (s = 0; s < job->step_count; s++) {
		if ((step->after >> s & 1) && job->steps[s].open > 0)
			return false;
	}
	return true;
}

void
mst_step_task_done(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct step *ended = &job->steps[job->tasks[index].step];
	uint32_t s, i;

	if (--ended->open > 0)
		return;
	for (s = 0; s < job->step_count; s++) {
		struct step *step = &job->steps[s];

		if (!step->blocked || !steps_before_ended(job, step))
			continue;
		step->blocked = false;
		for (i = step->first; i < step->first + step->count; i++) {
			if (job->tasks[i].state == TASK_BLOCKED)
				job->tasks[i].state = TASK_WAITING;
		}
		mst_job_queue_step(entry, job, step);
	}
}

static bool
member_has_label(const struct member *member, struct mst_bytes label)
{
	char **at;

	for (at = member->labels; at != NULL && *at != NULL; at++) {
		if (mst_bytes_equal_str(label, *at))
			return true;
	}
	return false;
}

static bool
member_could_run(const struct member *member, GQuark service,
    const struct mst_job_spec *spec, const struct mst_step_spec *step)
{
	const struct task needs = {.needs = spec->tasks[step->first].needs};

	return (service == 0 || member->service == service) &&
	    mst_member_has_resources(member, &needs) &&
	    (step->requires.len == 0 ||
		member_has_label(member, step->requires));
}

/* Members that are gone count too: they may come back. */
static bool
step_fits_nobody(const struct mst_entry *entry, GQuark service,
    const struct mst_job_spec *spec, const struct mst_step_spec *step)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		if (member_could_run(
			entry->members->pdata[i], service, spec, step))
			return false;
	}
	return true;
}

bool
mst_spec_is_unplaceable(
    const struct mst_entry *entry, const struct mst_job_spec *spec)
{
	const struct mst_step_spec whole = {.count = spec->count};
	GQuark service = spec->service ? g_quark_from_string(spec->service) : 0;
	uint32_t s;

	if (entry->members->len == 0 ||
	    entry->now_us - entry->started_us < STEP_SETTLE_US)
		return false;
	if (spec->step_count == 0)
		return step_fits_nobody(entry, service, spec, &whole);
	for (s = 0; s < spec->step_count; s++) {
		if (step_fits_nobody(entry, service, spec, &spec->steps[s]))
			return true;
	}
	return false;
}

/* Tasks of a step that a member has now. */
static uint32_t
count_at_member(
    const struct job *job, const struct step *step, const struct member *member)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first; i < step->first + step->count; i++) {
		const struct task *task = &job->tasks[i];

		count += task->state == TASK_SENT && task->member == member;
	}
	return count;
}

bool
mst_member_matches_step(
    const struct member *member, const struct job *job, const struct task *task)
{
	const struct step *step = &job->steps[task->step];

	if (step->requires.len > 0 &&
	    !member_has_label(member, mst_span_bytes(job, step->requires)))
		return false;
	return step->per_member_max == 0 ||
	    count_at_member(job, step, member) < step->per_member_max;
}

double
mst_task_expected_at_us(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	const struct step *step = &job->steps[task->step];
	double work_us = mst_task_expected_us(job, task);

	if (step->rack.len == 0 ||
	    (member->rack != NULL &&
		mst_bytes_equal_str(
		    mst_span_bytes(job, step->rack), member->rack)))
		return work_us;
	return work_us * entry->options.remote_factor;
}
