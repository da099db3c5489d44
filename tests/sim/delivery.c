/* Messages between the nodes of the simulation, and the faults of links. */

#include "sim/sim_internal.h"

#include "codec/codec.h"

#define CONNECT_US (5 * 1000) /* from a node's start to its connections */
/* Longest time after a cut until a connection repeats what it has sent. */
#define HELD_DELAY_MAX_MS 1000

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
	} else if (msg->type == MST_MSG_RESULT)
		msg->results.confirmed_count = 0;
	else if (msg->type == MST_MSG_HEARTBEAT)
		msg->heartbeat.build = none;
	else if (msg->type == MST_MSG_PEER) {
		msg->peer.build = none;
		msg->peer.failure_domain = (struct mst_bytes){0};
	} else if (msg->type == MST_MSG_CRASHES)
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

void
sim_held_message_free(gpointer data)
{
	struct sim_held_message *held = data;

	if (held->event != NULL)
		sim_event_free(held->event);
	g_free(held);
}

/* Returns true if a connection was made before its link was cut. */
static bool
was_connected(const struct sim *sim, int from, int to)
{
	int64_t started_us =
	    MAX(sim->nodes[from].started_us, sim->nodes[to].started_us);

	return started_us + CONNECT_US <= sim->links[from][to].cut_us;
}

/* Keeps a message if its connection was made before the link was cut. */
static void
hold_message(struct sim *sim, int from, int to, const struct mst_msg *msg)
{
	struct sim_held_message *held;
	struct sim_event *event;

	if (!sim->links[from][to].holds || !was_connected(sim, from, to))
		return;
	held = g_new0(struct sim_held_message, 1);
	event = g_new0(struct sim_event, 1);
	event->type = SIM_EVENT_MESSAGE;
	event->target_node_id = to;
	event->node_start_number = sim->nodes[to].start_number;
	event->bytes = g_byte_array_new();
	encode(sim, event->bytes, from, to, msg);
	held->from = from;
	held->connection = sim->nodes[from].incarnation;
	held->event = event;
	g_ptr_array_add(sim->held, held);
}

/* Returns the time at which the messages of a held message's connection arrive.
 * It is the same for all of them. */
static int64_t
held_arrival_us(const struct sim *sim, const struct sim_held_message *held)
{
	GRand *rand = g_rand_new_with_seed(
	    (guint32)(sim->options.seed ^ (guint32)(held->connection >> 8) ^
		(guint32)held->event->target_node_id ^ (guint32)sim->now_us));
	int64_t delay_us =
	    g_rand_int_range(rand, 0, HELD_DELAY_MAX_MS) * INT64_C(1000);

	g_rand_free(rand);
	return sim->now_us + sim->options.latency_us + delay_us;
}

void
sim_deliver_held_messages(struct sim *sim)
{
	guint i;

	for (i = 0; i < sim->held->len; i++) {
		struct sim_held_message *held = sim->held->pdata[i];

		held->event->at_us = held_arrival_us(sim, held);
		event_queue_push(
		    &sim->event_queue, g_steal_pointer(&held->event));
	}
	g_ptr_array_set_size(sim->held, 0);
}

static void
schedule_delivery(struct sim *sim, int from, int to, const struct mst_msg *msg)
{
	struct sim_link *link = &sim->links[from][to];
	const struct sim_options *options = &sim->options;
	unsigned copies = 1;
	struct sim_event *event;
	int64_t at_us;

	if (!sim->nodes[to].alive)
		return;
	if (link->cut) {
		hold_message(sim, from, to, msg);
		return;
	}
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

void
sim_send_message(struct sim *sim, int from, const struct mst_msg *msg)
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
