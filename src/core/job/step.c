/* Steps of a job: dependencies between its tasks and placement constraints. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/place/fit.h"
#include "core/place/place.h"

static void
make_single_step(struct job *job)
{
	job->step_count = 1;
	job->steps = g_new0(struct step, 1);
	job->steps[0].count = job->count;
	job->steps[0].open = job->count;
}

void
mst_job_set_steps(struct job *job, const struct mst_job_spec *spec,
    struct span (*append)(struct job *job, struct mst_bytes bytes))
{
	uint32_t s, i;

	if (spec->step_count == 0) {
		make_single_step(job);
		return;
	}
	job->step_count = spec->step_count;
	job->steps = g_new0(struct step, spec->step_count);
	for (s = 0; s < spec->step_count; s++) {
		const struct mst_step_spec *step_spec = &spec->steps[s];

		job->steps[s] = (struct step){.first = step_spec->first,
		    .count = step_spec->count,
		    .open = step_spec->count,
		    .dependencies = step_spec->dependencies,
		    .blocked = step_spec->dependencies != 0,
		    .required_label = append(job, step_spec->required_label),
		    .rack = append(job, step_spec->rack),
		    .per_member_max = step_spec->per_member_max};
		for (i = 0; i < step_spec->count; i++) {
			struct task *task = &job->tasks[step_spec->first + i];

			task->step = (uint8_t)s;
			if (step_spec->dependencies != 0)
				task->state = TASK_BLOCKED;
		}
	}
}

/* Returns the longest expected service time of a step's tasks. */
static double
step_service_us(const struct job *job, const struct step *step)
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
	uint32_t s, index;

	for (s = 0; s < job->step_count; s++)
		job->steps[s].successors_us = 0;
	/* Steps depend on earlier steps only. */
	for (s = job->step_count; s-- > 0;) {
		struct step *step = &job->steps[s];
		double chain_us =
		    step->successors_us + step_service_us(job, step);

		longest_us = MAX(longest_us, chain_us);
		for (index = 0; index < s; index++) {
			struct step *dependency = &job->steps[index];

			if (step->dependencies >> index & 1)
				dependency->successors_us =
				    MAX(dependency->successors_us, chain_us);
		}
	}
	return longest_us;
}

static double
spec_step_service_us(const struct mst_job_spec *spec, const struct team *team,
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
	uint32_t s, index;

	if (spec->step_count == 0)
		return spec_step_service_us(spec, team, 0, spec->count);
	for (s = 0; s < spec->step_count; s++) {
		const struct mst_step_spec *step = &spec->steps[s];

		chains[s] = 0;
		for (index = 0; index < s; index++) {
			if (step->dependencies >> index & 1)
				chains[s] = MAX(chains[s], chains[index]);
		}
		chains[s] +=
		    spec_step_service_us(spec, team, step->first, step->count);
		longest_us = MAX(longest_us, chains[s]);
	}
	return longest_us;
}
