/*
 * Reducer of an entry: applies each event to the state and emits effects,
 * which the caller executes.
 */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/place.h"

#include <string.h>

#define TAKEOVER_MARGIN_US (300 * 1000)

void
mst_entry_options_set_leases(
    struct mst_entry_options *options, const struct mst_lease_times *times)
{
	options->leased = true;
	options->heartbeat_us = times->heartbeat_us;
	options->suspect_us = times->entry_lease_us;
	options->remove_us = times->agent_lost_us;
	options->dispatch_valid_us = times->dispatch_valid_us;
	options->answer_retention_us = G_USEC_PER_SEC / 2;
	/* By then, every run that a lost owner has started has ended. */
	options->takeover_delay_us =
	    options->owner_lease_us + times->agent_lost_us + TAKEOVER_MARGIN_US;
}

int
mst_entry_new(struct mst_entry **out, const struct mst_entry_options *options)
{
	struct mst_entry *entry;

	*out = NULL;
	if (options->version != MST_ENTRY_OPTIONS_VERSION)
		return -1;
	entry = g_new0(struct mst_entry, 1);
	entry->options = *options;
	entry->address = g_strdup(options->address);
	entry->failure_domain = g_strdup(
	    options->failure_domain != NULL ? options->failure_domain : "");
	entry->incarnation = options->incarnation;
	entry->rand = g_rand_new_with_seed(options->seed);
	entry->retry_tokens = ENTRY_RETRY_BURST;
	entry->min_slowness = 1;
	entry->counters.incarnations = 1;
	entry->jobs = g_ptr_array_new();
	entry->slot_generations = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	entry->free_job_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	entry->jobs_by_id = g_hash_table_new(mst_job_id_hash, mst_job_id_equal);
	entry->jobs_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	mst_uncertain_init(&entry->uncertain);
	mst_backup_init(&entry->backup);
	mst_kept_init(&entry->kept);
	entry->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	entry->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)mst_team_free);
	entry->active_teams = g_ptr_array_new();
	entry->members =
	    g_ptr_array_new_with_free_func((GDestroyNotify)mst_member_free);
	entry->ranked = g_ptr_array_new();
	entry->members_by_incarnation =
	    g_hash_table_new(g_direct_hash, g_direct_equal);
	entry->retries = g_array_new(FALSE, FALSE, sizeof(struct retry));
	entry->roster = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	entry->peers = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)mst_peer_free);
	entry->peer_addresses = g_string_new(NULL);
	entry->effects =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_entry_effect));
	entry->scratch_items =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_dispatch_item));
	entry->scratch_withdrawn =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	mst_owner_init(entry);
	mst_drains_init(&entry->drains);
	entry->crash_history = mst_crash_history_new();
	entry->scratch_candidates = mst_candidates_new();
	entry->scratch_starts =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_uncertain_item));
	*out = entry;
	return 0;
}

void
mst_entry_free(struct mst_entry *entry)
{
	guint i;

	if (entry == NULL)
		return;
	for (i = 0; i < entry->jobs->len; i++) {
		if (entry->jobs->pdata[i] != NULL)
			mst_job_free(NULL, entry->jobs->pdata[i]);
	}
	mst_owner_clear(entry);
	g_hash_table_unref(entry->teams);
	g_ptr_array_unref(entry->active_teams);
	g_hash_table_unref(entry->jobs_by_id);
	g_hash_table_unref(entry->jobs_by_key);
	mst_uncertain_clear(&entry->uncertain);
	mst_backup_clear(&entry->backup);
	mst_kept_clear(&entry->kept);
	g_hash_table_unref(entry->requests);
	g_hash_table_unref(entry->members_by_incarnation);
	g_hash_table_unref(entry->peers);
	g_ptr_array_unref(entry->ranked);
	g_ptr_array_unref(entry->members);
	g_ptr_array_unref(entry->jobs);
	g_array_unref(entry->slot_generations);
	g_array_unref(entry->free_job_slots);
	g_array_unref(entry->retries);
	g_array_unref(entry->roster);
	g_array_unref(entry->effects);
	g_array_unref(entry->scratch_items);
	g_ptr_array_unref(entry->scratch_withdrawn);
	g_array_unref(entry->scratch_candidates);
	g_array_unref(entry->scratch_starts);
	g_string_free(entry->peer_addresses, TRUE);
	mst_seqset_clear(&entry->used_counters);
	mst_config_free(entry->config);
	mst_drains_clear(&entry->drains);
	mst_crash_history_free(entry->crash_history);
	g_rand_free(entry->rand);
	g_free(entry->document);
	g_free(entry->address);
	g_free(entry->failure_domain);
	g_free(entry);
}

static void
entry_handle_results_msg(struct mst_entry *entry, const struct mst_msg *msg)
{
	struct member *member = mst_member_find(entry, msg->from);

	if (member == NULL || msg->to != entry->incarnation)
		return;
	member->last_heard_us = entry->now_us;
	mst_entry_handle_results(entry, member, &msg->results);
}

static void
entry_handle_peer_msg(struct mst_entry *entry, const struct mst_msg *msg)
{
	bool outdated;

	if (msg->from == entry->incarnation)
		return;
	outdated = mst_entry_merge_drains(entry, &msg->peer.drains, "entry");
	mst_entry_handle_peer(entry, msg, outdated);
}

static void
entry_handle_config_msg(struct mst_entry *entry, const struct mst_msg *msg)
{
	struct mst_entry_effect *effect;

	if (msg->config.version <= mst_entry_config_version(entry))
		return;
	effect = mst_entry_emit(entry, MST_ENTRY_FX_CONFIG);
	effect->msg = *msg;
}

static void
entry_handle_config_request(struct mst_entry *entry, const struct mst_msg *msg)
{
	if (mst_entry_config_version(entry) > msg->config_request.version)
		mst_entry_send_config(entry, msg->from);
}

static void
entry_handle_msg(struct mst_entry *entry, const struct mst_msg *msg)
{
	if (msg->to != 0 && msg->to != entry->incarnation)
		return;
	switch (msg->type) {
	case MST_MSG_ANNOUNCE:
		mst_entry_handle_announce(entry, msg);
		break;
	case MST_MSG_RESULT:
		entry_handle_results_msg(entry, msg);
		break;
	case MST_MSG_FENCED:
		mst_entry_handle_fenced(entry, msg);
		break;
	case MST_MSG_UNCERTAIN_START:
		mst_entry_handle_uncertain_start(entry, msg);
		break;
	case MST_MSG_UNCERTAIN_STARTS:
		mst_entry_handle_uncertain_starts(entry, msg);
		break;
	case MST_MSG_BACKUP_STARTS:
		mst_kept_handle(entry, msg);
		break;
	case MST_MSG_CRASHES:
		mst_entry_handle_crashes(entry, msg);
		break;
	case MST_MSG_PEER:
		entry_handle_peer_msg(entry, msg);
		break;
	case MST_MSG_CONFIG:
		entry_handle_config_msg(entry, msg);
		break;
	case MST_MSG_CONFIG_REQUEST:
		entry_handle_config_request(entry, msg);
		break;
	default:
		break;
	}
}

static void
entry_apply_config(struct mst_entry *entry, const struct mst_entry_event *event)
{
	struct mst_config *config = event->config;

	if (config->version <= mst_entry_config_version(entry)) {
		mst_config_free(config);
		return;
	}
	mst_config_free(entry->config);
	entry->config = config;
	g_free(entry->document);
	entry->document = g_strdup(event->document);
	mst_config_pull_finish(&entry->config_pull);
	mst_teams_reconfigure(entry);
	/* Messages borrow the text of the drained domains, which must not
	 * change after the first one of a step. */
	mst_entry_apply_config_drains(entry);
	mst_entry_greet_all(entry);
	mst_entry_place_tasks(entry);
}

static void
entry_start_drain(struct mst_entry *entry)
{
	if (entry->draining)
		return;
	entry->draining = true;
	entry->drain_us = entry->now_us;
	mst_owner_hand_over(entry);
	mst_entry_send_heartbeats(entry);
}

static void
entry_finish_drain(struct mst_entry *entry)
{
	if (!entry->draining || entry->stopped || entry->jobs_open > 0)
		return;
	entry->stopped = true;
	mst_entry_emit(entry, MST_ENTRY_FX_STOPPED);
}

static void
entry_greet_if_due(struct mst_entry *entry)
{
	if (entry->greeting_due &&
	    entry->now_us - entry->greeted_us >= ENTRY_GREET_INTERVAL_US)
		mst_entry_greet_peers(entry);
}

static void
entry_tick(struct mst_entry *entry, int64_t last_us)
{
	/* During so long a pause, other entries may have adopted the jobs. */
	if (last_us > 0 && entry->now_us - last_us > entry->options.pause_us) {
		mst_entry_start_incarnation(entry);
		return;
	}
	if (mst_entry_settle_echoes(entry))
		mst_entry_place_tasks(entry);
	mst_owner_tick(entry);
	if (entry->now_us >= entry->next_scan_us) {
		entry->next_scan_us = entry->now_us + ENTRY_SCAN_US;
		mst_teams_update_rates(
		    entry, entry->now_us - entry->last_scan_us);
		entry->last_scan_us = entry->now_us;
		mst_entry_scan_members(entry);
		mst_entry_queue_due_retries(entry);
		mst_entry_expire_jobs(entry);
		mst_entry_withdraw_stragglers(entry);
		mst_entry_scan_overdue(entry);
		mst_uncertain_tell_due(entry);
		mst_kept_check(entry);
	}
	entry_greet_if_due(entry);
	if (entry->now_us >= entry->next_heartbeat_us) {
		entry->next_heartbeat_us =
		    entry->now_us + entry->options.heartbeat_us;
		/* A heartbeat carries the last sequence number sent, so all
		 * pending dispatches are sent before it. */
		mst_entry_flush(entry);
		mst_entry_send_heartbeats(entry);
	}
	entry_finish_drain(entry);
}

const GArray *
mst_entry_step(struct mst_entry *entry, const struct mst_entry_event *event)
{
	int64_t last_us = entry->now_us;

	g_array_set_size(entry->effects, 0);
	entry->now_us = MAX(entry->now_us, event->now_us);
	/* A pause of this process must not count as silence of members and
	 * peers, so it is excluded before any event is handled. */
	if (last_us > 0 && entry->now_us - last_us > ENTRY_PAUSE_MIN_US)
		mst_entry_exclude_pause(entry, entry->now_us - last_us);
	if (last_us > 0)
		mst_entry_note_gap(entry, entry->now_us - last_us);
	if (entry->started_us == 0)
		entry->started_us = entry->now_us;
	if (event->wall_ms != 0)
		entry->wall_ms = event->wall_ms;
	mst_owner_check_lease(entry);
	switch (event->type) {
	case MST_ENTRY_EV_TICK:
		entry_tick(entry, last_us);
		break;
	case MST_ENTRY_EV_MESSAGE:
		entry_handle_msg(entry, event->msg);
		break;
	case MST_ENTRY_EV_TICKET:
	case MST_ENTRY_EV_SUBMIT:
		mst_entry_submit(entry, event);
		break;
	case MST_ENTRY_EV_WAIT:
		mst_entry_wait(entry, event->request, event->job, event->poll);
		break;
	case MST_ENTRY_EV_CANCEL:
		mst_entry_cancel(entry, event->request, event->job);
		break;
	case MST_ENTRY_EV_DISCONNECT:
		mst_entry_disconnect(entry, event->request);
		break;
	case MST_ENTRY_EV_CONFIG:
		entry_apply_config(entry, event);
		break;
	case MST_ENTRY_EV_CONNECTED:
		entry->greeting_due = true;
		entry_greet_if_due(entry);
		break;
	case MST_ENTRY_EV_DRAIN:
		entry_start_drain(entry);
		break;
	case MST_ENTRY_EV_STOPPING:
		entry->stop_us = event->stop_us;
		break;
	case MST_ENTRY_EV_DRAINS:
		mst_entry_set_drains(entry, event->drains_revision,
		    event->drained_domains, event->drained_count, "store");
		break;
	case MST_ENTRY_EV_FLUSH:
		mst_entry_note_iteration(entry, event->busy_us);
		mst_entry_flush(entry);
		break;
	case MST_ENTRY_EV_QUERY_STORED:
		mst_stored_report_state(entry, event->request, event->key);
		break;
	case MST_ENTRY_EV_CANCEL_STORED:
		mst_stored_cancel(entry, event->request, event->key);
		break;
	case MST_ENTRY_EV_STORE_ANSWER:
		mst_entry_handle_store_answer(entry, event->answer);
		break;
	case MST_ENTRY_EV_STORED_CANCELLED:
		mst_stored_handle_cancelled(entry, event->key);
		break;
	case MST_ENTRY_EV_MAX:
		break;
	}
	return entry->effects;
}
