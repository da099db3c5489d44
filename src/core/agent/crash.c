/*
 * Crashes of an agent's worker. The agent tells the entries of them, and each
 * new entry, because an entry that is lost takes with it what it knew of its
 * tasks.
 */

#include "core/agent/agent_internal.h"

#include <string.h>
#include <xxhash.h>

/* Ids of cleared tasks differ from those of crashes. */
#define CLEARED_SEED 1

/* Returns an id that all incarnations of this agent give to a crash of the
 * present incarnation of the worker. */
static uint64_t
crash_id(const struct mst_agent *agent)
{
	uint64_t incarnation = agent->worker.incarnation;

	if (incarnation == 0)
		incarnation =
		    agent->options.incarnation + agent->crashes.last_number;
	return XXH64(agent->name, strlen(agent->name), incarnation);
}

/* Reports the last record and sends it to all entries. */
static void
report_last(struct mst_agent *agent)
{
	const struct mst_crashes crashes =
	    mst_crash_list_after(&agent->crashes, 0, agent->now_us);
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_CRASH);

	effect->crashes = crashes;
	/* An entry that has missed others is sent them after its heartbeat. */
	mst_agent_emit_msg(agent, 0, MST_MSG_CRASHES)->crashes =
	    (struct mst_crashes){.after = agent->crashes.last_number - 1,
		.count = 1,
		.items = &crashes.items[crashes.count - 1]};
}

void
mst_agent_record_crash(struct mst_agent *agent, const GPtrArray *runs)
{
	struct mst_crashed_run listed[MST_CRASH_RUNS_MAX];
	struct mst_crash crash = {.id = crash_id(agent), .runs = listed};
	guint i;

	for (i = 0; i < runs->len && i < MST_CRASH_RUNS_MAX; i++) {
		const struct run *run = runs->pdata[i];

		listed[crash.run_count++] = (struct mst_crashed_run){
		    .task = run->task.path,
		    .team = run->task.team,
		    .lasted_ms =
			(uint32_t)((agent->now_us - run->started_us) / 1000)};
	}
	mst_crash_list_expire(&agent->crashes, agent->now_us);
	if (!mst_crash_list_add(&agent->crashes, &crash, agent->now_us))
		return;
	agent->counters.crashes++;
	report_last(agent);
}

void
mst_agent_clear_suspect(struct mst_agent *agent, const struct run *run)
{
	const struct mst_crashed_run listed = {.task = run->task.path,
	    .team = run->task.team,
	    .lasted_ms = MST_LASTED_UNKNOWN};
	const struct mst_crash cleared = {
	    .id = XXH64(run->task.path.data, run->task.path.len, CLEARED_SEED),
	    .cleared = true,
	    .run_count = 1,
	    .runs = &listed};

	if (mst_crash_list_add(&agent->crashes, &cleared, agent->now_us))
		report_last(agent);
}

void
mst_agent_add_kept_crashes(
    struct mst_agent *agent, const struct mst_crashes *crashes)
{
	uint32_t i;

	for (i = 0; i < crashes->count; i++)
		mst_crash_list_add(&agent->crashes, &crashes->items[i],
		    agent->now_us - (int64_t)crashes->items[i].age_ms * 1000);
}

void
mst_session_send_crashes(
    struct mst_agent *agent, const struct session *session, uint64_t received)
{
	struct mst_crashes crashes =
	    mst_crash_list_after(&agent->crashes, received, agent->now_us);
	struct mst_msg *msg;

	if (crashes.count == 0)
		return;
	msg = mst_agent_emit_msg(agent, session->entry, MST_MSG_CRASHES);
	msg->crashes = crashes;
}
