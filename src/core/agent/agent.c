/* Reducer of an agent: applies each event to the state and emits effects. */

#include "core/agent/agent_internal.h"
#include "core/id.h"

#include <string.h>

/* Interval between the checks for sessions and runs to remove. */
#define AGENT_SCAN_US (100 * 1000)
/* Interval between the announcements of a leased agent. */
#define LEASED_ANNOUNCE_US (200 * 1000)
/* Time to keep acknowledged results of leased runs. Repeated dispatches arrive
 * sooner. */
#define LEASED_RETENTION_US (2 * G_USEC_PER_SEC)

void
mst_agent_options_set_leases(
    struct mst_agent_options *options, const struct mst_lease_times *times)
{
	options->leased = true;
	options->leases = *times;
	options->heartbeat_us = LEASED_ANNOUNCE_US;
	options->retention_us = LEASED_RETENTION_US;
}

int
mst_agent_new(struct mst_agent **out, const struct mst_agent_options *options)
{
	struct mst_agent *agent;

	*out = NULL;
	if (options->version != MST_AGENT_OPTIONS_VERSION)
		return -1;
	agent = g_new0(struct mst_agent, 1);
	agent->options = *options;
	agent->name = g_strdup(options->name);
	agent->failure_domain = g_strdup(options->failure_domain);
	agent->rack = g_strdup(options->rack);
	agent->service_us = 100 * 1000;
	mst_drains_init(&agent->drains);
	mst_completions_init(&agent->worker);
	mst_unknown_init(&agent->worker);
	mst_identity_init(&agent->worker);
	mst_crash_list_init(&agent->crashes);
	agent->description_version = 1;
	agent->sessions = g_hash_table_new_full(g_direct_hash, g_direct_equal,
	    NULL, (GDestroyNotify)mst_session_free);
	agent->active = g_hash_table_new(g_direct_hash, g_direct_equal);
	agent->task_runs = mst_task_runs_new();
	agent->claims = g_hash_table_new_full(mst_job_id_hash, mst_job_id_equal,
	    NULL, (GDestroyNotify)mst_claim_free);
	agent->rand = g_rand_new_with_seed((guint32)options->incarnation);
	agent->effects =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_agent_effect));
	agent->scratch_results =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_result_item));
	agent->scratch_fenced =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_fenced_item));
	agent->scratch_confirmed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	agent->scratch_starts =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	*out = agent;
	return 0;
}

void
mst_agent_free(struct mst_agent *agent)
{
	if (agent == NULL)
		return;
	mst_drains_clear(&agent->drains);
	mst_completions_clear(&agent->worker);
	mst_unknown_clear(&agent->worker);
	mst_identity_clear(&agent->worker);
	mst_candidate_clear(&agent->worker.candidate);
	mst_crash_list_clear(&agent->crashes);
	g_hash_table_unref(agent->active);
	g_hash_table_unref(agent->task_runs);
	g_hash_table_unref(agent->sessions);
	g_hash_table_unref(agent->claims);
	g_rand_free(agent->rand);
	g_array_unref(agent->effects);
	g_array_unref(agent->scratch_results);
	g_array_unref(agent->scratch_fenced);
	g_array_unref(agent->scratch_confirmed);
	g_ptr_array_unref(agent->scratch_starts);
	if (agent->config != NULL)
		g_bytes_unref(agent->config);
	g_free(agent->name);
	g_free(agent->failure_domain);
	g_free(agent->rack);
	g_free(agent->worker.service);
	g_free(agent->worker.labels);
	g_free(agent->entries);
	g_free(agent);
}

static void
record_roster(struct session *session, const struct mst_heartbeat *heartbeat)
{
	if (heartbeat->roster_version <= session->roster_version)
		return;
	session->roster_version = heartbeat->roster_version;
	g_array_set_size(session->roster, 0);
	g_array_append_vals(
	    session->roster, heartbeat->agents, heartbeat->agent_count);
	if (heartbeat->adoption_floor > session->evicted_counter) {
		session->evicted_counter = heartbeat->adoption_floor;
		session->evicted_adopted = true;
	}
}

static void
send_config(struct mst_agent *agent, uint64_t to)
{
	struct mst_msg *msg;
	gsize len;

	msg = mst_agent_emit_msg(agent, to, MST_MSG_CONFIG);
	msg->config.version = agent->config_version;
	msg->config.document.data = g_bytes_get_data(agent->config, &len);
	msg->config.document.len = len;
}

static void
handle_config_request(struct mst_agent *agent, const struct mst_msg *msg)
{
	if (agent->config_version > msg->config_request.version)
		send_config(agent, msg->from);
}

/* Asks an entry for its configuration if that is newer. */
static void
pull_config(struct mst_agent *agent, uint64_t from, uint64_t offered)
{
	struct mst_msg *msg;

	if (!mst_config_pull_ask(&agent->config_pull, agent->now_us,
		agent->config_version, offered))
		return;
	msg = mst_agent_emit_msg(agent, from, MST_MSG_CONFIG_REQUEST);
	msg->config_request.version = agent->config_version;
}

/* Applies the drained domains that an entry has sent. Returns true if this
 * agent's own domain was drained or restored. */
static bool
merge_drains(struct mst_agent *agent, const struct mst_drains_msg *msg)
{
	struct mst_agent_effect *effect;
	bool was_drained = agent->drained;
	bool outdated;

	/* An entry that is out of date learns the set from the answer to its
	 * heartbeat. */
	if (!mst_drains_merge(&agent->drains, msg, &outdated))
		return false;
	agent->drained =
	    mst_drains_contains(&agent->drains, agent->failure_domain);
	effect = mst_agent_emit(agent, MST_AGENT_FX_DRAINS);
	effect->drains = mst_drains_to_msg(&agent->drains);
	effect->drained = agent->drained;
	if (agent->drained && !was_drained) {
		mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
		if (agent->options.leased)
			mst_worker_cancel_due_starts(agent);
	}
	return agent->drained != was_drained;
}

static void
agent_handle_heartbeat(struct mst_agent *agent, const struct mst_msg *msg)
{
	const struct mst_heartbeat *heartbeat = &msg->heartbeat;
	struct session *session = mst_session_find(agent, msg->from);
	struct mst_agent_effect *effect;

	if (session == NULL) {
		if (heartbeat->sent_through > 0) {
			mst_agent_refuse_dropped_session(agent, msg->from);
			return;
		}
		session = mst_session_open(agent, msg->from);
		if (session == NULL)
			return;
	}
	session->last_heard_us = agent->now_us;
	mst_session_update_echo(agent, session, heartbeat->echo_us);
	session->description_version = heartbeat->description_version;
	record_roster(session, heartbeat);
	session->sent_through =
	    MAX(session->sent_through, heartbeat->sent_through);
	session->demand = heartbeat->demand;
	session->config_version = heartbeat->config_version;
	mst_agent_ack_results(agent, session, &heartbeat->results_received);
	/* Results that were sent before the previous heartbeat and are not
	 * acknowledged by this one are considered lost. */
	mst_agent_repeat_results(agent, session);
	session->heartbeat_us = agent->now_us;
	pull_config(agent, msg->from, heartbeat->config_version);
	if (mst_agent_is_available(agent))
		mst_agent_announce(agent, session);
	mst_session_send_crashes(agent, session, heartbeat->crashes_received);
	if (heartbeat->peers.len > 0) {
		mst_session_update_build(agent, session, &heartbeat->build);
		effect = mst_agent_emit(agent, MST_AGENT_FX_PEERS);
		effect->peers = heartbeat->peers;
	}
}

/* Returns true if the tasks of a dispatch must no longer start, because it was
 * delayed and its entry may be lost or have moved them elsewhere. The check
 * uses the echo in the dispatch and not a later one, because the entry decides
 * by the clock that it knew when it sent the dispatch. */
static bool
dispatch_is_stale(const struct mst_agent *agent, const struct session *session,
    const struct mst_dispatch *dispatch)
{
	if (!agent->options.leased)
		return false;
	return !mst_session_has_lease(agent, session) ||
	    agent->now_us - (int64_t)dispatch->echo_us >
	    agent->options.leases.entry_lease_us ||
	    (uint64_t)agent->now_us > dispatch->expires_us;
}

static void
agent_handle_dispatch(struct mst_agent *agent, const struct mst_msg *msg)
{
	struct session *session = mst_session_find(agent, msg->from);
	bool stale;
	uint32_t i;

	/* No task may start before the roster of its entry is recorded. Other
	 * entries that fence this entry learn from the roster which agents may
	 * have its runs. */
	if (session == NULL ||
	    (!agent->options.leased && session->roster_version == 0)) {
		agent->counters.sessions_refused++;
		return;
	}
	session->last_heard_us = agent->now_us;
	session->demand = msg->dispatch.demand;
	mst_session_use_offers(session, msg->dispatch.count);
	mst_session_update_echo(agent, session, msg->dispatch.echo_us);
	stale = dispatch_is_stale(agent, session, &msg->dispatch);
	for (i = 0; i < msg->dispatch.count; i++)
		mst_agent_receive_task(
		    agent, session, &msg->dispatch.items[i], stale);
	mst_agent_start_queued(agent);
}

static void
agent_handle_withdraw(struct mst_agent *agent, const struct mst_msg *msg)
{
	struct session *session = mst_session_find(agent, msg->from);
	uint32_t i;

	if (session == NULL)
		return;
	session->last_heard_us = agent->now_us;
	for (i = 0; i < msg->withdraw.count; i++) {
		if (msg->withdraw.seqs[i] > 0)
			mst_agent_withdraw_task(
			    agent, session, msg->withdraw.seqs[i]);
	}
}

static void
agent_handle_config(
    struct mst_agent *agent, const struct mst_config_msg *config)
{
	struct mst_agent_effect *effect;

	if (config->version <= agent->config_version)
		return;
	mst_config_pull_finish(&agent->config_pull);
	agent->config_version = config->version;
	if (agent->config != NULL)
		g_bytes_unref(agent->config);
	agent->config =
	    g_bytes_new(config->document.data, config->document.len);
	effect = mst_agent_emit(agent, MST_AGENT_FX_CONFIG);
	effect->msg.type = MST_MSG_CONFIG;
	effect->msg.config = *config;
}

static void
agent_handle_msg(struct mst_agent *agent, const struct mst_msg *msg)
{
	bool domain_changed;

	if (msg->to != 0 && msg->to != agent->options.incarnation)
		return;
	switch (msg->type) {
	case MST_MSG_HEARTBEAT:
		domain_changed = merge_drains(agent, &msg->heartbeat.drains);
		agent_handle_heartbeat(agent, msg);
		if (domain_changed)
			mst_agent_announce_all(agent, agent->now_us);
		break;
	case MST_MSG_DISPATCH:
		/* A dispatch always names the incarnation it is meant for. */
		if (msg->to != 0)
			agent_handle_dispatch(agent, msg);
		break;
	case MST_MSG_WITHDRAW:
		agent_handle_withdraw(agent, msg);
		break;
	case MST_MSG_FENCE:
		mst_agent_handle_fence(agent, msg->from, &msg->fence);
		break;
	case MST_MSG_CONFIG:
		agent_handle_config(agent, &msg->config);
		break;
	case MST_MSG_CONFIG_REQUEST:
		handle_config_request(agent, msg);
		break;
	default:
		break;
	}
}

/* Returns true if every live entry has acknowledged all results sent to it. */
static bool
all_results_are_acked(const struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;

		if (agent->now_us - session->last_heard_us <=
			AGENT_ENTRY_SILENT_US &&
		    session->unacked.length > 0)
			return false;
	}
	return true;
}

static void
agent_check_stopped(struct mst_agent *agent)
{
	bool linger_expired =
	    agent->now_us - agent->drain_us > AGENT_STOP_LINGER_US;

	if (!agent->draining || agent->stopped || agent->running > 0)
		return;
	if (!all_results_are_acked(agent) && !linger_expired)
		return;
	agent->stopped = true;
	mst_agent_emit(agent, MST_AGENT_FX_STOPPED);
}

static void
agent_start_drain(struct mst_agent *agent)
{
	if (agent->draining)
		return;
	agent->draining = true;
	agent->drain_us = agent->now_us;
	mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
	mst_agent_announce_all(agent, agent->now_us);
}

/* Prevents a pause of this process from counting as silence of the entries. */
static void
exclude_pause(struct mst_agent *agent, int64_t paused_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;

		session->last_heard_us += paused_us;
	}
}

static void
agent_tick(struct mst_agent *agent)
{
	int64_t gap_us = agent->now_us - agent->tick_us;

	if (agent->tick_us > 0 && gap_us > AGENT_PAUSE_US)
		exclude_pause(agent, gap_us);
	agent->tick_us = agent->now_us;
	if (agent->options.leased)
		mst_worker_tick(agent);
	mst_agent_start_queued(agent);
	if (agent->now_us >= agent->next_prune_us) {
		agent->next_prune_us = agent->now_us + AGENT_SCAN_US;
		mst_agent_prune_sessions(agent);
		mst_agent_leave_unwanted(agent);
		mst_agent_evict_runs(agent);
	}
	if (agent->now_us >= agent->next_heartbeat_us) {
		agent->next_heartbeat_us =
		    agent->now_us + agent->options.heartbeat_us;
		mst_agent_announce_all(
		    agent, agent->now_us - agent->options.heartbeat_us * 3 / 2);
	}
	agent_check_stopped(agent);
}

const GArray *
mst_agent_step(struct mst_agent *agent, const struct mst_agent_event *event)
{
	g_array_set_size(agent->effects, 0);
	g_ptr_array_set_size(agent->scratch_starts, 0);
	g_ptr_array_set_size(agent->worker.old_ids, 0);
	mst_crash_list_release(&agent->crashes);
	agent->now_us = MAX(agent->now_us, event->now_us);
	/* After a pause of this process any event may be the first one. */
	if (agent->options.leased)
		mst_agent_check_leases(agent);
	switch (event->type) {
	case MST_AGENT_EV_TICK:
		agent_tick(agent);
		break;
	case MST_AGENT_EV_MESSAGE:
		agent_handle_msg(agent, event->msg);
		break;
	case MST_AGENT_EV_FINISHED:
		mst_agent_handle_finished(agent, event->run, &event->result);
		mst_agent_start_queued(agent);
		break;
	case MST_AGENT_EV_ENTRIES:
		mst_agent_set_entries(agent, event->entries);
		break;
	case MST_AGENT_EV_CONNECTED:
		if (mst_agent_is_available(agent))
			mst_agent_announce(agent, NULL);
		break;
	case MST_AGENT_EV_ENTRY_WANTED:
		mst_session_set_wanted(agent, event->entry, event->wanted);
		break;
	case MST_AGENT_EV_DRAIN:
		agent_start_drain(agent);
		break;
	case MST_AGENT_EV_REPORT:
		mst_worker_handle_report(agent, event->report);
		break;
	case MST_AGENT_EV_KEPT_REPORT:
		mst_worker_handle_kept_report(agent, event->report);
		break;
	case MST_AGENT_EV_KEPT_CRASHES:
		mst_agent_add_kept_crashes(agent, event->crashes);
		break;
	case MST_AGENT_EV_ORDER_ANSWER:
		mst_worker_handle_answer(agent, event->answer);
		mst_worker_tick(agent);
		mst_agent_start_queued(agent);
		break;
	case MST_AGENT_EV_STORE_ANSWER:
		mst_completions_handle_store_answer(agent, event->store_answer);
		mst_unknown_handle_store_answer(agent, event->store_answer);
		break;
	case MST_AGENT_EV_FLUSH:
		mst_agent_flush(agent);
		break;
	}
	return agent->effects;
}

const struct mst_agent_counters *
mst_agent_counters(const struct mst_agent *agent)
{
	return &agent->counters;
}

struct mst_agent_gauges
mst_agent_gauges(const struct mst_agent *agent)
{
	return (struct mst_agent_gauges){.running = agent->running,
	    .queued = agent->queue.length,
	    .sessions = g_hash_table_size(agent->sessions),
	    .runs_kept = agent->runs_kept,
	    .retained_bytes = agent->retained_bytes,
	    .config_version = agent->config_version,
	    .draining = agent->draining,
	    .drained = agent->drained};
}
