/* Entries and agents of the lease search. */

#include "search/model_internal.h"

#include "codec/codec.h"

#define REPORT_INTERVAL_US (500 * 1000)
#define LEASE_MAX_MS       1000
#define RESEND_MS          (MODEL_RESEND_US / 1000)
#define ODD_LATER_MS       3600000 /* from an incarnation to an odd one */

static void
load_kept_report(struct model *m, int node)
{
	if (m->kept_incarnation[node - MODEL_ENTRIES] != 0)
		model_route(m, model_event_new(MODEL_KEPT_REPORT, node));
}

static void
execute_agent_effects(struct model *m, int node, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND)
			model_send_message(m, node, &effect->msg);
		else if (effect->type == MST_AGENT_FX_ORDER)
			model_send_order(m, node, &effect->order);
		else if (effect->type == MST_AGENT_FX_LOAD_REPORT)
			load_kept_report(m, node);
		else if (effect->type == MST_AGENT_FX_WORKER)
			model_log(m, "node %d: worker %s", node, effect->state);
		else if (effect->type == MST_AGENT_FX_RUN_FAILED)
			model_log(m, "node %d: run ended, %s%s", node,
			    mst_reason_name(effect->result.reason),
			    effect->result.start_uncertain ? ", start uncertain"
							   : "");
		else if (effect->type == MST_AGENT_FX_LEASE_EXPIRED)
			model_log(
			    m, "node %d: lease of an entry expired", node);
	}
}

static void
execute_entry_effects(struct model *m, int node, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND)
			model_send_message(m, node, &effect->msg);
		else if (effect->type == MST_ENTRY_FX_ANSWER)
			model_handle_answer(m, node, effect);
		else if (effect->type == MST_ENTRY_FX_REFUSE)
			model_handle_refusal(m, node, effect);
		else if (effect->type == MST_ENTRY_FX_MEMBER)
			model_log(m, "node %d: member %s", node, effect->state);
	}
}

static void
step_entry(struct model *m, int node, struct mst_entry_event *event)
{
	struct mst_entry *entry = m->nodes[node].entry;
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	event->now_us = flush.now_us = m->now_us;
	event->wall_ms = flush.wall_ms = m->now_us / 1000;
	execute_entry_effects(m, node, mst_entry_step(entry, event));
	execute_entry_effects(m, node, mst_entry_step(entry, &flush));
}

static void
step_agent(struct model *m, int node, struct mst_agent_event *event)
{
	struct mst_agent *agent = m->nodes[node].agent;
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};

	event->now_us = flush.now_us = m->now_us;
	execute_agent_effects(m, node, mst_agent_step(agent, event));
	execute_agent_effects(m, node, mst_agent_step(agent, &flush));
}

static void
step_message(struct model *m, const struct model_event *event)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_MESSAGE};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_MESSAGE};
	struct mst_decoder *decoder = mst_decoder_new();
	struct mst_msg msg;

	mst_decoder_decode(
	    &msg, decoder, event->bytes->data, event->bytes->len, NULL);
	entry.msg = agent.msg = &msg;
	if (event->to < MODEL_ENTRIES)
		step_entry(m, event->to, &entry);
	else
		step_agent(m, event->to, &agent);
	mst_decoder_free(decoder);
}

void
model_step_tick(struct model *m, int node)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_TICK};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_TICK};

	if (node < MODEL_ENTRIES)
		step_entry(m, node, &entry);
	else
		step_agent(m, node, &agent);
}

static void
step_report(struct model *m, int node, enum mst_agent_event_type type,
    const char *id, uint64_t incarnation)
{
	struct mst_worker_report report = {.id = mst_bytes_from_str(id),
	    .service = mst_bytes_from_str("service"),
	    .rack = mst_bytes_from_str(""),
	    .labels = mst_bytes_from_str(""),
	    .incarnation = incarnation,
	    .seq = ++m->report_seq,
	    .capacity = {.millicores = 8000, .memory_mb = 1024}};
	struct mst_agent_event event = {.type = type, .report = &report};

	step_agent(m, node, &event);
}

static void
step_last_report(struct model *m, int node, const char *id)
{
	struct mst_worker_report report = {
	    .id = mst_bytes_from_str(id), .shutting_down = true};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	step_agent(m, node, &event);
}

void
model_send_odd_report(struct model *m, int agent, enum model_odd_report kind)
{
	const struct search_worker *worker = &m->workers[agent];
	const char *id = search_worker_id(worker->id);
	int node = MODEL_ENTRIES + agent;

	switch (kind) {
	case MODEL_ODD_ID:
		step_report(m, node, MST_AGENT_EV_REPORT, "another",
		    worker->incarnation);
		break;
	case MODEL_ODD_LATER:
		step_report(m, node, MST_AGENT_EV_REPORT, id,
		    worker->incarnation + ODD_LATER_MS);
		break;
	case MODEL_ODD_END:
		step_last_report(m, node, id);
		break;
	case MODEL_ODD_REPORTS:
		break;
	}
}

static void
step_submit(struct model *m, const struct model_event *event)
{
	struct mst_task_spec task = {.path = mst_bytes_from_str(SEARCH_TASK),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = 100 * 1000,
	    .needs = {.millicores = 1000}};
	struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = MODEL_CALLER_US / 1000,
	    .caller_deadline_ms = MODEL_CALLER_US / 1000,
	    .count = 1,
	    .tasks = &task,
	    .restartable = true,
	    .key = "0123456789abcdef",
	    .service = "service",
	    .attempts = 2,
	    .stretch = 1.6,
	    .target_ms = 60};
	struct mst_entry_event submit = {.type = MST_ENTRY_EV_SUBMIT,
	    .request = event->request,
	    .spec = &spec};

	step_entry(m, event->to, &submit);
}

static void
step_node(struct model *m, const struct model_event *event)
{
	struct mst_entry_event entry = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = event->request};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_ORDER_ANSWER};

	switch (event->type) {
	case MODEL_TICK:
		model_step_tick(m, event->to);
		break;
	case MODEL_MESSAGE:
		step_message(m, event);
		break;
	case MODEL_ANSWER:
		agent.answer = &event->answer->answer;
		if (event->agent_start == m->nodes[event->to].starts)
			step_agent(m, event->to, &agent);
		break;
	case MODEL_KEPT_REPORT:
		step_report(m, event->to, MST_AGENT_EV_KEPT_REPORT,
		    search_worker_id(m->kept_id[event->to - MODEL_ENTRIES]),
		    m->kept_incarnation[event->to - MODEL_ENTRIES]);
		break;
	case MODEL_SUBMIT:
		step_submit(m, event);
		break;
	case MODEL_DISCONNECT:
		step_entry(m, event->to, &entry);
		break;
	case MODEL_ORDER:
		break;
	}
}

void
model_deliver(struct model *m, struct model_event *event)
{
	struct model_node *node = &m->nodes[event->to];

	if (event->type == MODEL_ORDER) {
		if (event->is_held || !m->worker_cut[event->to - MODEL_ENTRIES])
			model_execute_order(m, event);
	} else if (node->is_frozen) {
		g_ptr_array_add(node->backlog, event);
		return;
	} else if (node->is_alive) {
		step_node(m, event);
	}
	model_event_free(event);
}

void
model_settle(struct model *m)
{
	struct model_event *event;
	unsigned count = 0;

	while ((event = g_queue_pop_head(&m->traffic)) != NULL) {
		model_deliver(m, event);
		if (++count < MODEL_TRAFFIC_MAX)
			continue;
		model_fail(m, "an exchange without an end");
		return;
	}
}

void
model_kill(struct model *m, int node)
{
	struct model_node *n = &m->nodes[node];

	n->is_alive = n->is_frozen = false;
	mst_entry_free(n->entry);
	mst_agent_free(n->agent);
	n->entry = NULL;
	n->agent = NULL;
	g_ptr_array_set_size(n->backlog, 0);
	if (node >= MODEL_ENTRIES)
		model_break_worker(m, node - MODEL_ENTRIES, false);
	if (node == m->caller.entry && !m->caller.finished)
		model_break_caller(m);
}

static void
start_entry(struct model *m, int node)
{
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};
	struct mst_lease_times times;

	mst_lease_times(&times, RESEND_MS, LEASE_MAX_MS);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = m->nodes[node].incarnation;
	options.seed = (uint32_t)node + 1;
	options.address = node == 0 ? "entry0" : "entry1";
	mst_entry_new(&m->nodes[node].entry, &options);
	mst_config_parse(&config.config, "{}", 1, NULL);
	step_entry(m, node, &config);
}

static void
start_agent(struct model *m, int node)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_lease_times(&times, RESEND_MS, LEASE_MAX_MS);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = m->nodes[node].incarnation;
	options.name = node == MODEL_ENTRIES ? "agent0" : "agent1";
	mst_agent_new(&m->nodes[node].agent, &options);
	m->next_report_us[node - MODEL_ENTRIES] = m->now_us;
}

void
model_start(struct model *m, int node)
{
	struct model_node *n = &m->nodes[node];

	n->is_alive = true;
	n->incarnation = ((uint64_t)(node + 1) << 32) | (++n->starts << 8) | 1;
	if (node < MODEL_ENTRIES)
		start_entry(m, node);
	else
		start_agent(m, node);
}

void
model_send_report(struct model *m, int agent)
{
	int node = MODEL_ENTRIES + agent;

	if (m->now_us < m->next_report_us[agent] || m->worker_cut[agent] ||
	    m->worker_muted[agent] || m->workers[agent].is_down ||
	    !model_is_running(m, node))
		return;
	m->next_report_us[agent] = m->now_us + REPORT_INTERVAL_US;
	m->kept_incarnation[agent] = m->workers[agent].incarnation;
	m->kept_id[agent] = m->workers[agent].id;
	step_report(m, node, MST_AGENT_EV_REPORT,
	    search_worker_id(m->workers[agent].id),
	    m->workers[agent].incarnation);
}
