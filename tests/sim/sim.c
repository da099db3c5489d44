#include "sim/sim_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "codec/codec.h"

#define WORLD_TICK_US      (10 * 1000)
#define WORLD_RESEND_MS    1300
#define WORLD_LEASE_MAX_MS 1000

static void node_execute_entry(
    struct sim *world, int at, const GArray *effects);
static void node_execute_agent(
    struct sim *world, int at, const GArray *effects);

struct sim_event *
sim_schedule(
    struct sim *world, int node, enum sim_event_type type, int64_t at_us)
{
	struct sim_event *h = g_new0(struct sim_event, 1);

	h->type = type;
	h->node = node;
	h->restart_count = world->nodes[node].restart_count;
	h->at_us = at_us;
	event_queue_push(&world->event_queue, h);
	return h;
}

struct sim *
sim_new(const struct sim_options *options)
{
	struct sim *world = g_new0(struct sim, 1);

	world->options = *options;
	world->rand = g_rand_new_with_seed(options->seed);
	world->now_us = G_USEC_PER_SEC;
	mst_lease_times(&world->leases,
	    options->resend_ms ? options->resend_ms : WORLD_RESEND_MS,
	    WORLD_LEASE_MAX_MS);
	event_queue_init(&world->event_queue);
	world->decoder = mst_decoder_new();
	world->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	world->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->running_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->store = sim_store_new();
	world->task_histories =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->idempotent_tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return world;
}

static void
node_clear(struct node *node)
{
	struct sim_event *h;

	mst_entry_free(node->entry);
	mst_agent_free(node->agent);
	node->entry = NULL;
	node->agent = NULL;
	while ((h = g_queue_pop_head(&node->backlog)) != NULL)
		sim_event_free(h);
	g_ptr_array_set_size(node->missed_cancels, 0);
}

void
sim_free(struct sim *world)
{
	GHashTableIter iter;
	gpointer value;
	int n;

	event_queue_clear(&world->event_queue);
	for (n = 0; n < world->node_count; n++) {
		node_clear(&world->nodes[n]);
		sim_worker_free(world->nodes[n].worker);
		g_free(world->nodes[n].name);
		g_ptr_array_unref(world->nodes[n].missed_cancels);
	}
	g_hash_table_iter_init(&iter, world->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sim_request_free(value);
	g_hash_table_unref(world->requests);
	g_hash_table_unref(world->starts);
	g_hash_table_unref(world->idempotent_tasks);
	g_hash_table_unref(world->task_histories);
	g_free(world->violation);
	sim_store_free(world->store);
	g_hash_table_unref(world->running_counts);
	mst_decoder_free(world->decoder);
	g_rand_free(world->rand);
	g_free(world);
}

static void
node_start(struct sim *world, int at)
{
	struct node *node = &world->nodes[at];
	struct mst_entry_options entry = MST_ENTRY_OPTIONS_INIT;

	node->alive = true;
	node->paused = false;
	node->stopped = false;
	node->restart_count++;
	node->incarnation =
	    ((uint64_t)(at + 1) << 32) | (node->restart_count << 8) | 1;
	if (node->kind == SIM_ENTRY) {
		entry.incarnation = node->incarnation;
		entry.seed = world->options.seed + (uint32_t)at;
		entry.address = node->name;
		if (world->options.leased)
			mst_entry_options_lease(&entry, &world->leases);
		entry.stored_jobs = world->options.stored_jobs;
		if (world->options.remote_factor > 0)
			entry.remote_factor = world->options.remote_factor;
		mst_entry_new(&node->entry, &entry);
	} else {
		node->agent_options.incarnation = node->incarnation;
		node->agent_options.stored_jobs = world->options.stored_jobs;
		mst_agent_new(&node->agent, &node->agent_options);
	}
	sim_schedule(world, at, SIM_EVENT_TICK, world->now_us + 1);
}

static int
node_add(struct sim *world, enum sim_node_kind kind, const char *name)
{
	int at = world->node_count++;
	struct node *node = &world->nodes[at];

	g_assert(at < SIM_NODES_MAX);
	node->kind = kind;
	node->name = g_strdup(name);
	world->nodes[at].missed_cancels =
	    g_ptr_array_new_with_free_func(g_free);
	return at;
}

int
sim_add_entry(struct sim *world, const char *name)
{
	int at = node_add(world, SIM_ENTRY, name);

	node_start(world, at);
	return at;
}

int
sim_add_agent(struct sim *world, const char *name,
    const struct mst_agent_options *options)
{
	int at = node_add(world, SIM_AGENT, name);

	world->nodes[at].agent_options = *options;
	world->nodes[at].agent_options.name = world->nodes[at].name;
	node_start(world, at);
	return at;
}

int
sim_node_by_incarnation(const struct sim *world, uint64_t incarnation)
{
	int i;

	for (i = 0; i < world->node_count; i++) {
		const struct node *node = &world->nodes[i];
		uint64_t current = node->incarnation;

		if (node->alive && node->entry != NULL)
			current = mst_entry_gauges(node->entry).incarnation;
		if (node->alive && current == incarnation)
			return i;
	}
	return -1;
}

static void
message_schedule(struct sim *world, int from, int to, const struct mst_msg *msg)
{
	struct sim_link *link = &world->links[from][to];
	const struct sim_options *o = &world->options;
	unsigned copies = 1;
	struct sim_event *h;
	int64_t at_us;

	if (link->cut || !world->nodes[to].alive)
		return;
	if (link->drop_next > 0) {
		link->drop_next--;
		sim_log(world, "%s -> %s %s lost", world->nodes[from].name,
		    world->nodes[to].name, mst_msg_type_name(msg->type));
		return;
	}
	if (o->drop > 0 && g_rand_double(world->rand) < o->drop)
		return;
	if (link->repeat_next > 0) {
		link->repeat_next--;
		copies = 2;
	} else if (o->repeat > 0 && g_rand_double(world->rand) < o->repeat) {
		copies = 2;
	}
	for (; copies > 0; copies--) {
		at_us = world->now_us + o->latency_us + link->delay_us;
		if (o->jitter_us > 0)
			at_us += g_rand_int_range(
			    world->rand, 0, (gint32)o->jitter_us);
		h = sim_schedule(world, to, SIM_EVENT_MESSAGE, at_us);
		h->bytes = g_byte_array_new();
		mst_msg_encode(h->bytes, msg);
		world->messages[msg->type]++;
		world->message_bytes += h->bytes->len;
	}
}

static void
node_send(struct sim *world, int from, const struct mst_msg *msg)
{
	int to;

	if (msg->to != 0) {
		to = sim_node_by_incarnation(world, msg->to);
		if (to >= 0) {
			sim_log_message(world, from, to, msg);
			message_schedule(world, from, to, msg);
		}
		return;
	}
	for (to = 0; to < world->node_count; to++) {
		if (to != from && world->nodes[to].kind == SIM_ENTRY)
			message_schedule(world, from, to, msg);
	}
}

void
sim_step_entry(struct sim *world, int at, struct mst_entry_event *event)
{
	struct node *node = &world->nodes[at];
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	if (!node->alive)
		return;
	event->now_us = flush.now_us = world->now_us;
	event->wall_ms = world->now_us / 1000;
	node_execute_entry(world, at, mst_entry_step(node->entry, event));
	node_execute_entry(world, at, mst_entry_step(node->entry, &flush));
}

void
sim_step_agent(struct sim *world, int at, struct mst_agent_event *event)
{
	struct node *node = &world->nodes[at];
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};

	if (!node->alive)
		return;
	event->now_us = flush.now_us = world->now_us;
	node_execute_agent(world, at, mst_agent_step(node->agent, event));
	node_execute_agent(world, at, mst_agent_step(node->agent, &flush));
}

static char *
task_key(struct mst_job_id job, uint32_t index)
{
	return g_strdup_printf(
	    "%" PRIx64 "-%" PRIx64 "-%u", job.issuer, job.counter, index);
}

static void
node_start_task(
    struct sim *world, int at, const struct mst_agent_effect *effect)
{
	const struct mst_dispatch_item *task = effect->task;
	char *key = task_key(task->job, task->index);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(world->starts, key));
	struct sim_service service;
	struct sim_event *h;

	sim_log(world, "%s starts task %" PRIu64 "/%u", world->nodes[at].name,
	    task->job.counter, task->index);
	if (task->flags & MST_TASK_IDEMPOTENT)
		g_hash_table_add(world->idempotent_tasks, g_strdup(key));
	service =
	    world->options.service(world->options.ctx, at, task, world->now_us);
	if (service.outcome == MST_OUTCOME_NOT_RUN) {
		/* Without a connection the upstream sees nothing of it. */
		g_free(key);
	} else {
		if (count > 0 && (task->flags & MST_TASK_IDEMPOTENT) == 0)
			sim_log(world, "REPEATED START of %s", key);
		world->starts_total++;
		g_hash_table_replace(
		    world->starts, key, GUINT_TO_POINTER(count + 1));
	}
	if (service.duration_us < 0)
		return;
	h = sim_schedule(
	    world, at, SIM_EVENT_FINISHED, world->now_us + service.duration_us);
	h->run = effect->run;
	h->service = service;
	if (world->options.keep_bodies)
		h->body = mst_bytes_to_str(task->body);
}

static void
node_execute_agent(struct sim *world, int at, const GArray *effects)
{
	struct node *node = &world->nodes[at];
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND)
			node_send(world, at, &effect->msg);
		else if (effect->type == MST_AGENT_FX_START)
			node_start_task(world, at, effect);
		else if (effect->type == MST_AGENT_FX_ORDER)
			sim_worker_send_order(node->worker, &effect->order);
		else if (effect->type == MST_AGENT_FX_STORE)
			sim_send_store_op(world, at, &effect->op);
		else if (effect->type == MST_AGENT_FX_WORKER &&
		    world->options.verbose)
			sim_log(
			    world, "%s worker %s", node->name, effect->state);
		else if (effect->type == MST_AGENT_FX_STOPPED)
			node->stopped = true;
	}
}

static void
node_execute_effect(
    struct sim *world, int at, const struct mst_entry_effect *effect)
{
	struct sim_request *request;

	switch (effect->type) {
	case MST_ENTRY_FX_SEND:
		node_send(world, at, &effect->msg);
		break;
	case MST_ENTRY_FX_ANSWER:
		sim_request_answer(world, at, effect);
		break;
	case MST_ENTRY_FX_REFUSE:
		sim_request_refuse(world, at, effect);
		break;
	case MST_ENTRY_FX_TICKET:
		request = g_hash_table_lookup(
		    world->requests, (gpointer)effect->request);
		request->ticket = effect->ticket;
		sim_request_finish(world, request);
		break;
	case MST_ENTRY_FX_FORWARD:
		sim_request_forward(world, at, effect);
		break;
	case MST_ENTRY_FX_MEMBER:
		if (world->options.verbose)
			sim_log(world, "%s member %" PRIx64 " %s",
			    world->nodes[at].name, effect->peer, effect->state);
		break;
	case MST_ENTRY_FX_STORE:
		sim_send_store_op(world, at, &effect->op);
		break;
	case MST_ENTRY_FX_STATE:
		sim_request_set_state(world, effect);
		break;
	case MST_ENTRY_FX_OWNER:
		sim_log(world, "%s %s, %u jobs", world->nodes[at].name,
		    effect->state, effect->count);
		break;
	case MST_ENTRY_FX_STOPPED:
		world->nodes[at].stopped = true;
		break;
	default:
		break;
	}
}

static void
node_execute_entry(struct sim *world, int at, const GArray *effects)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_CONFIG};
	struct node *node = &world->nodes[at];
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
		node_execute_effect(world, at, effect);
	}
	if (version == 0)
		return;
	mst_config_parse(&event.config, document, version, NULL);
	event.document = document;
	event.now_us = world->now_us;
	node_execute_entry(world, at, mst_entry_step(node->entry, &event));
	g_free(document);
}

static void
happen_message(struct sim *world, struct sim_event *h)
{
	struct node *node = &world->nodes[h->node];
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_MESSAGE};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_MESSAGE};
	GError *error = NULL;
	struct mst_msg msg;

	if (mst_decoder_decode(&msg, world->decoder, h->bytes->data,
		h->bytes->len, &error) < 0)
		g_error("%s", error->message);
	entry.msg = agent.msg = &msg;
	if (node->kind == SIM_ENTRY)
		sim_step_entry(world, h->node, &entry);
	else
		sim_step_agent(world, h->node, &agent);
}

static void
happen_finish(struct sim *world, struct sim_event *h)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_FINISHED, .run = h->run};

	event.result.outcome = (uint8_t)h->service.outcome;
	event.result.reason = (uint8_t)h->service.reason;
	event.result.status = h->service.status;
	event.result.body = mst_bytes_from_str(h->body);
	sim_step_agent(world, h->node, &event);
}

static void
happen_answer(struct sim *world, struct sim_event *h)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDERED, .answer = answer_copy_get(h->answer)};

	sim_step_agent(world, h->node, &event);
}

static void
happen_tick(struct sim *world, int at)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_TICK};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_TICK};

	if (world->nodes[at].kind == SIM_ENTRY)
		sim_step_entry(world, at, &entry);
	else
		sim_step_agent(world, at, &agent);
	sim_send_worker_report(world, at);
	sim_deliver_missed_cancels(world, at);
	sim_schedule(world, at, SIM_EVENT_TICK, world->now_us + WORLD_TICK_US);
}

static void
happening_run(struct sim *world, struct sim_event *h)
{
	struct node *node = &world->nodes[h->node];

	if (h->type == SIM_EVENT_WORKER_TIMER) {
		sim_worker_handle_timer(node->worker);
		sim_event_free(h);
		return;
	}
	if (h->type == SIM_EVENT_STORE_OP) {
		sim_handle_store_op(world, h);
		sim_event_free(h);
		return;
	}
	if (!node->alive || h->restart_count != node->restart_count) {
		sim_event_free(h);
		return;
	}
	if (node->paused) {
		g_queue_push_tail(&node->backlog, h);
		return;
	}
	switch (h->type) {
	case SIM_EVENT_TICK:
		happen_tick(world, h->node);
		break;
	case SIM_EVENT_MESSAGE:
		happen_message(world, h);
		break;
	case SIM_EVENT_FINISHED:
		happen_finish(world, h);
		break;
	case SIM_EVENT_WORKER_ANSWER:
		happen_answer(world, h);
		break;
	case SIM_EVENT_STORE_ANSWER:
		sim_handle_store_answer(world, h);
		break;
	case SIM_EVENT_STORE_OP:
	case SIM_EVENT_WORKER_TIMER:
		break;
	}
	sim_event_free(h);
}

void
sim_run_until(struct sim *world, int64_t until_us)
{
	struct sim_event *next;

	while (
	    (next = event_queue_pop(&world->event_queue, until_us)) != NULL) {
		world->now_us = MAX(world->now_us, next->at_us);
		happening_run(world, next);
	}
	world->now_us = MAX(world->now_us, until_us);
}

int64_t
sim_now(const struct sim *world)
{
	return world->now_us;
}

void
sim_configure(
    struct sim *world, int entry, uint64_t version, const char *document)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = document};
	GError *error = NULL;

	if (mst_config_parse(&event.config, document, version, &error) < 0)
		g_error("%s", error->message);
	sim_step_entry(world, entry, &event);
}

void
sim_kill(struct sim *world, int at)
{
	sim_log(world, "%s dies", world->nodes[at].name);
	world->nodes[at].alive = false;
	node_clear(&world->nodes[at]);
}

void
sim_restart(struct sim *world, int at)
{
	if (world->nodes[at].alive)
		sim_kill(world, at);
	sim_log(world, "%s starts anew", world->nodes[at].name);
	world->nodes[at].next_report_us = 0;
	node_start(world, at);
}

void
sim_pause(struct sim *world, int at)
{
	sim_log(world, "%s is frozen", world->nodes[at].name);
	world->nodes[at].paused = true;
}

/* The clock's tick comes first, as a daemon's timers do; then what has
 * waited, in order. */
void
sim_resume(struct sim *world, int at)
{
	struct node *node = &world->nodes[at];
	GQueue backlog = node->backlog;
	struct sim_event *h;
	bool ticked = false;

	sim_log(world, "%s goes on", node->name);
	node->paused = false;
	g_queue_init(&node->backlog);
	sim_schedule(world, at, SIM_EVENT_TICK, world->now_us);
	while ((h = g_queue_pop_head(&backlog)) != NULL) {
		if (h->type == SIM_EVENT_TICK && !ticked) {
			ticked = true;
			sim_event_free(h);
			continue;
		}
		h->at_us = world->now_us;
		event_queue_push(&world->event_queue, h);
	}
}

void
sim_drain(struct sim *world, int at)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_DRAIN};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_DRAIN};

	sim_log(world, "%s drains", world->nodes[at].name);
	if (world->nodes[at].kind == SIM_ENTRY)
		sim_step_entry(world, at, &entry);
	else
		sim_step_agent(world, at, &agent);
}

bool
sim_is_stopped(const struct sim *world, int at)
{
	return world->nodes[at].stopped;
}

struct sim_link *
world_link(struct sim *world, int from, int to)
{
	return &world->links[from][to];
}

void
sim_set_message_faults(struct sim *world, double drop, double repeat)
{
	world->options.drop = drop;
	world->options.repeat = repeat;
}

struct mst_entry *
sim_get_entry(const struct sim *world, int at)
{
	return world->nodes[at].entry;
}

struct mst_agent *
sim_get_agent(const struct sim *world, int at)
{
	return world->nodes[at].agent;
}

unsigned
sim_starts(const struct sim *world, struct mst_job_id job, uint32_t index)
{
	char *key = task_key(job, index);
	unsigned count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(world->starts, key));

	g_free(key);
	return count;
}

uint64_t
sim_starts_total(const struct sim *world)
{
	return world->starts_total;
}

unsigned
sim_starts_repeated(const struct sim *world)
{
	unsigned repeated = 0;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, world->starts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (GPOINTER_TO_UINT(value) > 1 &&
		    !g_hash_table_contains(world->idempotent_tasks, key))
			repeated++;
	}
	return repeated;
}

uint64_t
sim_messages(const struct sim *world, enum mst_msg_type type)
{
	return world->messages[type];
}

uint64_t
sim_message_bytes(const struct sim *world)
{
	return world->message_bytes;
}
