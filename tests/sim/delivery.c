/* Messages between the nodes of the simulation, and the faults of links. */

#include "sim/sim_internal.h"

#include "codec/codec.h"

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
