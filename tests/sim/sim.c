/* Event loop of the simulation: nodes, their messages and their effects. */

#include "sim/sim_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "codec/codec.h"

#define TICK_INTERVAL_US  (10 * 1000)
#define DEFAULT_RESEND_MS 1300
#define LEASE_MAX_MS      1000

static void execute_entry_effects(
    struct sim *sim, int node_id, const GArray *effects);
static void execute_agent_effects(
    struct sim *sim, int node_id, const GArray *effects);

struct sim_event *
sim_schedule(
    struct sim *sim, int node_id, enum sim_event_type type, int64_t at_us)
{
	struct sim_event *event = g_new0(struct sim_event, 1);

	event->type = type;
	event->target_node_id = node_id;
	event->node_start_number = sim->nodes[node_id].start_number;
	event->at_us = at_us;
	event_queue_push(&sim->event_queue, event);
	return event;
}

struct sim *
sim_new(const struct sim_options *options)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->options = *options;
	sim->rand = g_rand_new_with_seed(options->seed);
	sim->now_us = G_USEC_PER_SEC;
	mst_lease_times(&sim->leases,
	    options->resend_ms ? options->resend_ms : DEFAULT_RESEND_MS,
	    LEASE_MAX_MS);
	event_queue_init(&sim->event_queue);
	sim->decoder = mst_decoder_new();
	sim->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	sim->start_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sim->running_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sim->store = sim_store_new();
	sim->task_histories =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim->idempotent_tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return sim;
}

static void
clear_node(struct node *node)
{
	struct sim_event *event;

	mst_entry_free(node->entry);
	mst_agent_free(node->agent);
	node->entry = NULL;
	node->agent = NULL;
	while ((event = g_queue_pop_head(&node->backlog)) != NULL)
		sim_event_free(event);
	g_ptr_array_set_size(node->missed_cancels, 0);
}

void
sim_free(struct sim *sim)
{
	GHashTableIter iter;
	gpointer value;
	int n;

	event_queue_clear(&sim->event_queue);
	for (n = 0; n < sim->node_count; n++) {
		clear_node(&sim->nodes[n]);
		sim_worker_free(sim->nodes[n].worker);
		g_free(sim->nodes[n].name);
		g_ptr_array_unref(sim->nodes[n].missed_cancels);
	}
	g_hash_table_iter_init(&iter, sim->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sim_request_free(value);
	g_hash_table_unref(sim->requests);
	g_hash_table_unref(sim->start_counts);
	g_hash_table_unref(sim->idempotent_tasks);
	g_hash_table_unref(sim->task_histories);
	g_free(sim->violation);
	sim_store_free(sim->store);
	g_hash_table_unref(sim->running_counts);
	mst_decoder_free(sim->decoder);
	g_rand_free(sim->rand);
	g_free(sim);
}

static void
start_node(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;

	node->alive = true;
	node->paused = false;
	node->stopped = false;
	node->start_number++;
	node->incarnation =
	    ((uint64_t)(node_id + 1) << 32) | (node->start_number << 8) | 1;
	if (node->kind == SIM_ENTRY) {
		options.incarnation = node->incarnation;
		options.seed = sim->options.seed + (uint32_t)node_id;
		options.address = node->name;
		if (sim->options.leased)
			mst_entry_options_set_leases(&options, &sim->leases);
		options.stored_jobs = sim->options.stored_jobs;
		if (sim->options.remote_factor > 0)
			options.remote_factor = sim->options.remote_factor;
		if (sim->options.tuning != NULL)
			options.tuning = *sim->options.tuning;
		mst_entry_new(&node->entry, &options);
	} else {
		node->agent_options.incarnation = node->incarnation;
		node->agent_options.stored_jobs = sim->options.stored_jobs;
		if (sim->options.tuning != NULL)
			node->agent_options.tuning = *sim->options.tuning;
		mst_agent_new(&node->agent, &node->agent_options);
	}
	sim_schedule(sim, node_id, SIM_EVENT_TICK, sim->now_us + 1);
}

static int
add_node(struct sim *sim, enum sim_node_kind kind, const char *name)
{
	int node_id = sim->node_count++;
	struct node *node = &sim->nodes[node_id];

	g_assert(node_id < SIM_NODES_MAX);
	node->kind = kind;
	node->name = g_strdup(name);
	sim->nodes[node_id].missed_cancels =
	    g_ptr_array_new_with_free_func(g_free);
	return node_id;
}

int
sim_add_entry(struct sim *sim, const char *name)
{
	int node_id = add_node(sim, SIM_ENTRY, name);

	start_node(sim, node_id);
	return node_id;
}

int
sim_add_agent(
    struct sim *sim, const char *name, const struct mst_agent_options *options)
{
	int node_id = add_node(sim, SIM_AGENT, name);

	sim->nodes[node_id].agent_options = *options;
	sim->nodes[node_id].agent_options.name = sim->nodes[node_id].name;
	start_node(sim, node_id);
	return node_id;
}

int
sim_node_by_incarnation(const struct sim *sim, uint64_t incarnation)
{
	int i;

	for (i = 0; i < sim->node_count; i++) {
		const struct node *node = &sim->nodes[i];
		uint64_t current = node->incarnation;

		if (node->alive && node->entry != NULL)
			current = mst_entry_gauges(node->entry).incarnation;
		if (node->alive && current == incarnation)
			return i;
	}
	return -1;
}

/* Replaces the crashes by copies without the times of their runs, which are
 * valid until the next call. */
static void
clear_lasted_times(struct mst_crashes *crashes)
{
	static struct mst_crashed_run runs[MST_CRASHES_MAX * 16];
	static struct mst_crash items[MST_CRASHES_MAX];
	size_t used = 0;
	uint32_t i, k;

	for (i = 0; i < crashes->count; i++) {
		items[i] = crashes->items[i];
		items[i].runs = &runs[used];
		for (k = 0; k < items[i].run_count; k++) {
			g_assert_cmpuint(used, <, G_N_ELEMENTS(runs));
			runs[used] = crashes->items[i].runs[k];
			runs[used++].lasted_ms = MST_LASTED_UNKNOWN;
		}
	}
	crashes->items = items;
}

/* Clears the fields that were added after the first format. */
static void
clear_added_fields(struct mst_msg *msg)
{
	static const struct mst_build_msg none = {0};

	if (msg->type == MST_MSG_ANNOUNCE) {
		msg->announce.build = none;
		msg->announce.uncertain_count = 0;
	} else if (msg->type == MST_MSG_HEARTBEAT)
		msg->heartbeat.build = none;
	else if (msg->type == MST_MSG_PEER)
		msg->peer.build = none;
	else if (msg->type == MST_MSG_CRASHES)
		clear_lasted_times(&msg->crashes);
}

void
sim_set_first_format(struct sim *sim, int node_id, bool first_format)
{
	sim->nodes[node_id].first_format = first_format;
}

static void
encode(const struct sim *sim, GByteArray *out, int from, int to,
    const struct mst_msg *msg)
{
	struct mst_msg copy = *msg;

	if (sim->nodes[from].first_format || sim->nodes[to].first_format)
		clear_added_fields(&copy);
	mst_msg_encode(out, &copy);
}

static void
schedule_delivery(struct sim *sim, int from, int to, const struct mst_msg *msg)
{
	struct sim_link *link = &sim->links[from][to];
	const struct sim_options *options = &sim->options;
	unsigned copies = 1;
	struct sim_event *event;
	int64_t at_us;

	if (link->cut || !sim->nodes[to].alive)
		return;
	if (link->drop_next > 0) {
		link->drop_next--;
		sim_log(sim, "%s -> %s %s lost", sim->nodes[from].name,
		    sim->nodes[to].name, mst_msg_type_name(msg->type));
		return;
	}
	if (options->drop_probability > 0 &&
	    g_rand_double(sim->rand) < options->drop_probability)
		return;
	if (link->repeat_next > 0) {
		link->repeat_next--;
		copies = 2;
	} else if (options->repeat_probability > 0 &&
	    g_rand_double(sim->rand) < options->repeat_probability) {
		copies = 2;
	}
	for (; copies > 0; copies--) {
		at_us = sim->now_us + options->latency_us + link->delay_us;
		if (options->jitter_us > 0)
			at_us += g_rand_int_range(
			    sim->rand, 0, (gint32)options->jitter_us);
		event = sim_schedule(sim, to, SIM_EVENT_MESSAGE, at_us);
		event->bytes = g_byte_array_new();
		encode(sim, event->bytes, from, to, msg);
		sim->message_counts[msg->type]++;
		sim->message_bytes += event->bytes->len;
	}
}

/* Sends a message to its receiver, or to all other entries if it names none. */
static void
send_message(struct sim *sim, int from, const struct mst_msg *msg)
{
	int to;

	if (msg->to != 0) {
		to = sim_node_by_incarnation(sim, msg->to);
		if (to >= 0) {
			sim_log_message(sim, from, to, msg);
			schedule_delivery(sim, from, to, msg);
		}
		return;
	}
	for (to = 0; to < sim->node_count; to++) {
		if (to != from && sim->nodes[to].kind == SIM_ENTRY)
			schedule_delivery(sim, from, to, msg);
	}
}

void
sim_step_entry(struct sim *sim, int node_id, struct mst_entry_event *event)
{
	struct node *node = &sim->nodes[node_id];
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	if (!node->alive)
		return;
	event->now_us = flush.now_us = sim->now_us;
	event->wall_ms = sim->now_us / 1000;
	execute_entry_effects(sim, node_id, mst_entry_step(node->entry, event));
	execute_entry_effects(
	    sim, node_id, mst_entry_step(node->entry, &flush));
}

void
sim_step_agent(struct sim *sim, int node_id, struct mst_agent_event *event)
{
	struct node *node = &sim->nodes[node_id];
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};

	if (!node->alive)
		return;
	event->now_us = flush.now_us = sim->now_us;
	execute_agent_effects(sim, node_id, mst_agent_step(node->agent, event));
	execute_agent_effects(
	    sim, node_id, mst_agent_step(node->agent, &flush));
}

static void
start_task(struct sim *sim, int node_id, const struct mst_agent_effect *effect)
{
	const struct mst_dispatch_item *task = effect->task;
	char *key = sim_task_key(task->job, task->index);
	guint count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(sim->start_counts, key));
	struct sim_task_result service;
	struct sim_event *event;

	sim_log(sim, "%s starts task %" PRIu64 "/%u", sim->nodes[node_id].name,
	    task->job.counter, task->index);
	if (task->flags & MST_TASK_IDEMPOTENT)
		g_hash_table_add(sim->idempotent_tasks, g_strdup(key));
	service = sim->options.get_task_result(
	    sim->options.ctx, node_id, task, sim->now_us);
	if (service.outcome == MST_OUTCOME_NOT_RUN) {
		/* The task has not reached the upstream; not a start. */
		g_free(key);
	} else {
		if (count > 0 && (task->flags & MST_TASK_IDEMPOTENT) == 0)
			sim_log(sim, "VIOLATION: %s was started more than once",
			    key);
		sim->starts_total++;
		g_hash_table_replace(
		    sim->start_counts, key, GUINT_TO_POINTER(count + 1));
	}
	if (service.duration_us < 0)
		return;
	event = sim_schedule(sim, node_id, SIM_EVENT_FINISHED,
	    sim->now_us + service.duration_us);
	event->run_id = effect->run;
	event->task_result = service;
	if (sim->options.keep_bodies)
		event->body = mst_bytes_to_str(task->body);
}

static void
log_build(struct sim *sim, int node_id, uint64_t incarnation,
    const struct mst_build_change *change)
{
	int other = sim_node_by_incarnation(sim, incarnation);

	sim_log(sim, "%s: %s %s, version %s", sim->nodes[node_id].name,
	    change->is_gone ? "gone" : "met",
	    other >= 0 ? sim->nodes[other].name : "a node", change->version);
}

static void
execute_agent_effects(struct sim *sim, int node_id, const GArray *effects)
{
	struct node *node = &sim->nodes[node_id];
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND)
			send_message(sim, node_id, &effect->msg);
		else if (effect->type == MST_AGENT_FX_START)
			start_task(sim, node_id, effect);
		else if (effect->type == MST_AGENT_FX_ORDER)
			sim_worker_send_order(node->worker, &effect->order);
		else if (effect->type == MST_AGENT_FX_STORE)
			sim_send_store_op(sim, node_id, &effect->op);
		else if (effect->type == MST_AGENT_FX_WORKER &&
		    sim->options.verbose)
			sim_log(sim, "%s worker %s", node->name, effect->state);
		else if (effect->type == MST_AGENT_FX_STOPPED)
			node->stopped = true;
		else if (effect->type == MST_AGENT_FX_BUILD)
			log_build(sim, node_id, effect->entry, &effect->build);
	}
}

static void
execute_entry_effect(
    struct sim *sim, int node_id, const struct mst_entry_effect *effect)
{
	struct sim_request *request;

	switch (effect->type) {
	case MST_ENTRY_FX_SEND:
		send_message(sim, node_id, &effect->msg);
		break;
	case MST_ENTRY_FX_ANSWER:
		sim_request_answer(sim, node_id, effect);
		break;
	case MST_ENTRY_FX_REFUSE:
		sim_request_refuse(sim, node_id, effect);
		break;
	case MST_ENTRY_FX_TICKET:
		request = g_hash_table_lookup(
		    sim->requests, (gpointer)effect->request);
		request->ticket = effect->ticket;
		sim_request_finish(sim, request);
		break;
	case MST_ENTRY_FX_FORWARD:
		sim_request_forward(sim, node_id, effect);
		break;
	case MST_ENTRY_FX_MEMBER:
		if (sim->options.verbose)
			sim_log(sim, "%s member %" PRIx64 " %s",
			    sim->nodes[node_id].name, effect->peer,
			    effect->state);
		break;
	case MST_ENTRY_FX_STORE:
		sim_send_store_op(sim, node_id, &effect->op);
		break;
	case MST_ENTRY_FX_STATE:
		sim_request_set_state(sim, effect);
		break;
	case MST_ENTRY_FX_DRAINS:
		sim_log(sim, "%s drains revision %" PRIu64 ": %.*s, from %s",
		    sim->nodes[node_id].name, effect->drains.revision,
		    (int)effect->drains.domains.len,
		    effect->drains.domains.data, effect->state);
		break;
	case MST_ENTRY_FX_BUILD:
		log_build(sim, node_id, effect->peer, &effect->build);
		break;
	case MST_ENTRY_FX_OWNER:
		sim_log(sim, "%s %s, %u jobs", sim->nodes[node_id].name,
		    effect->state, effect->count);
		break;
	case MST_ENTRY_FX_STOPPED:
		sim->nodes[node_id].stopped = true;
		break;
	default:
		break;
	}
}

static void
execute_entry_effects(struct sim *sim, int node_id, const GArray *effects)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_CONFIG};
	struct node *node = &sim->nodes[node_id];
	uint64_t version = 0;
	char *document = NULL;
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_CONFIG) {
			version = effect->msg.config.version;
			g_free(document);
			document =
			    mst_bytes_to_str(effect->msg.config.document);
		}
		execute_entry_effect(sim, node_id, effect);
	}
	if (version == 0)
		return;
	mst_config_parse(&event.config, document, version, NULL);
	event.document = document;
	event.now_us = sim->now_us;
	execute_entry_effects(
	    sim, node_id, mst_entry_step(node->entry, &event));
	g_free(document);
}

static void
handle_message(struct sim *sim, struct sim_event *event)
{
	struct node *node = &sim->nodes[event->target_node_id];
	struct mst_entry_event entry_event = {.type = MST_ENTRY_EV_MESSAGE};
	struct mst_agent_event agent_event = {.type = MST_AGENT_EV_MESSAGE};
	GError *error = NULL;
	struct mst_msg msg;

	if (mst_decoder_decode(&msg, sim->decoder, event->bytes->data,
		event->bytes->len, &error) < 0)
		g_error("%s", error->message);
	entry_event.msg = agent_event.msg = &msg;
	if (node->kind == SIM_ENTRY)
		sim_step_entry(sim, event->target_node_id, &entry_event);
	else
		sim_step_agent(sim, event->target_node_id, &agent_event);
}

static void
handle_finished_task(struct sim *sim, struct sim_event *event)
{
	struct mst_agent_event agent_event = {
	    .type = MST_AGENT_EV_FINISHED, .run = event->run_id};

	agent_event.result.outcome = (uint8_t)event->task_result.outcome;
	agent_event.result.reason = (uint8_t)event->task_result.reason;
	agent_event.result.status = event->task_result.status;
	agent_event.result.body = mst_bytes_from_str(event->body);
	sim_step_agent(sim, event->target_node_id, &agent_event);
}

static void
handle_worker_answer(struct sim *sim, struct sim_event *event)
{
	struct mst_agent_event agent_event = {.type = MST_AGENT_EV_ORDER_ANSWER,
	    .answer = answer_copy_get(event->answer)};

	sim_step_agent(sim, event->target_node_id, &agent_event);
}

static void
handle_tick(struct sim *sim, int node_id)
{
	struct mst_entry_event entry_event = {.type = MST_ENTRY_EV_TICK};
	struct mst_agent_event agent_event = {.type = MST_AGENT_EV_TICK};

	if (sim->nodes[node_id].kind == SIM_ENTRY)
		sim_step_entry(sim, node_id, &entry_event);
	else
		sim_step_agent(sim, node_id, &agent_event);
	sim_send_worker_report(sim, node_id);
	sim_deliver_missed_cancels(sim, node_id);
	sim_schedule(
	    sim, node_id, SIM_EVENT_TICK, sim->now_us + TICK_INTERVAL_US);
}

static void
handle_event(struct sim *sim, struct sim_event *event)
{
	struct node *node = &sim->nodes[event->target_node_id];

	if (event->type == SIM_EVENT_WORKER_TIMER) {
		sim_worker_handle_timer(node->worker);
		sim_event_free(event);
		return;
	}
	if (event->type == SIM_EVENT_STORE_OP) {
		sim_handle_store_op(sim, event);
		sim_event_free(event);
		return;
	}
	if (!node->alive || event->node_start_number != node->start_number) {
		sim_event_free(event);
		return;
	}
	if (node->paused) {
		g_queue_push_tail(&node->backlog, event);
		return;
	}
	switch (event->type) {
	case SIM_EVENT_TICK:
		handle_tick(sim, event->target_node_id);
		break;
	case SIM_EVENT_MESSAGE:
		handle_message(sim, event);
		break;
	case SIM_EVENT_FINISHED:
		handle_finished_task(sim, event);
		break;
	case SIM_EVENT_WORKER_ANSWER:
		handle_worker_answer(sim, event);
		break;
	case SIM_EVENT_STORE_ANSWER:
		sim_handle_store_answer(sim, event);
		break;
	case SIM_EVENT_STORE_OP:
	case SIM_EVENT_WORKER_TIMER:
		break;
	}
	sim_event_free(event);
}

void
sim_run_until(struct sim *sim, int64_t until_us)
{
	struct sim_event *next;

	while ((next = event_queue_pop(&sim->event_queue, until_us)) != NULL) {
		sim->now_us = MAX(sim->now_us, next->at_us);
		handle_event(sim, next);
	}
	sim->now_us = MAX(sim->now_us, until_us);
}

int64_t
sim_now(const struct sim *sim)
{
	return sim->now_us;
}

void
sim_configure(
    struct sim *sim, int entry, uint64_t version, const char *document)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = document};
	GError *error = NULL;

	if (mst_config_parse(&event.config, document, version, &error) < 0)
		g_error("%s", error->message);
	sim_step_entry(sim, entry, &event);
}

void
sim_kill(struct sim *sim, int node_id)
{
	sim_log(sim, "%s killed", sim->nodes[node_id].name);
	sim->nodes[node_id].alive = false;
	clear_node(&sim->nodes[node_id]);
}

void
sim_restart(struct sim *sim, int node_id)
{
	if (sim->nodes[node_id].alive)
		sim_kill(sim, node_id);
	sim_log(sim, "%s restarted", sim->nodes[node_id].name);
	sim->nodes[node_id].next_report_us = 0;
	start_node(sim, node_id);
}

void
sim_set_failure_domain(struct sim *sim, int node_id, const char *domain)
{
	sim->nodes[node_id].agent_options.failure_domain = domain;
	sim_restart(sim, node_id);
}

const char *
sim_get_failure_domain(const struct sim *sim, int node_id)
{
	return sim->nodes[node_id].agent_options.failure_domain;
}

void
sim_set_drains(
    struct sim *sim, int entry, uint64_t revision, const char *domains)
{
	char **names = g_strsplit(domains, ",", -1);
	struct mst_entry_event event = {.type = MST_ENTRY_EV_DRAINS,
	    .drains_revision = revision,
	    .drained_domains = (const char *const *)names,
	    .drained_count = g_strv_length(names)};

	sim_step_entry(sim, entry, &event);
	g_strfreev(names);
}

void
sim_pause(struct sim *sim, int node_id)
{
	sim_log(sim, "%s paused", sim->nodes[node_id].name);
	sim->nodes[node_id].paused = true;
}

/*
 * Delivers the events that arrived during the pause in order, and a tick before
 * or after them in turn: a daemon that was paused while it waited for events
 * handles these first, else its timers.
 */
void
sim_resume(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];
	GQueue backlog = node->backlog;
	struct sim_event *event;
	bool tick_first = sim->resume_count++ % 2 == 0;
	bool ticked = false;

	sim_log(sim, "%s resumed", node->name);
	node->paused = false;
	g_queue_init(&node->backlog);
	if (tick_first)
		sim_schedule(sim, node_id, SIM_EVENT_TICK, sim->now_us);
	while ((event = g_queue_pop_head(&backlog)) != NULL) {
		if (event->type == SIM_EVENT_TICK && !ticked) {
			ticked = true;
			sim_event_free(event);
			continue;
		}
		event->at_us = sim->now_us;
		event_queue_push(&sim->event_queue, event);
	}
	if (!tick_first)
		sim_schedule(sim, node_id, SIM_EVENT_TICK, sim->now_us);
}

void
sim_drain(struct sim *sim, int node_id)
{
	struct mst_entry_event entry_event = {.type = MST_ENTRY_EV_DRAIN};
	struct mst_agent_event agent_event = {.type = MST_AGENT_EV_DRAIN};

	sim_log(sim, "%s draining", sim->nodes[node_id].name);
	if (sim->nodes[node_id].kind == SIM_ENTRY)
		sim_step_entry(sim, node_id, &entry_event);
	else
		sim_step_agent(sim, node_id, &agent_event);
}

void
sim_stop_at(struct sim *sim, int node_id, int64_t stop_us)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_STOPPING, .stop_us = stop_us};

	sim_step_entry(sim, node_id, &event);
}

bool
sim_is_stopped(const struct sim *sim, int node_id)
{
	return sim->nodes[node_id].stopped;
}
