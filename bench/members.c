/*
 * Runs many agents in one process against a real entry, over the real
 * protocol; each agent has its own reducer and connection. Another program has
 * to generate any load: these agents only announce themselves and refuse every
 * task as draining.
 *
 * Usage: bench-members ENTRY-IP:PORT COUNT SECONDS
 */

#include <masticstall.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "net/bus.h"

#define MEMBERS_TICK_MS 50

struct simulated_agent {
	struct mst_agent *agent;
	struct mst_bus *bus;
};

struct agent_group {
	uv_loop_t loop;
	uv_timer_t tick_timer;
	uv_timer_t end_timer;
	struct simulated_agent *agents;
	int count;
};

static void
step_agent(struct simulated_agent *member, struct mst_agent_event *event)
{
	const GArray *effects;
	guint i;

	event->now_us = g_get_monotonic_time();
	effects = mst_agent_step(member->agent, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND)
			mst_bus_send(member->bus, &effect->msg);
	}
}

static void
on_message(const struct mst_msg *msg, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};

	step_agent(ctx, &event);
	step_agent(ctx, &flush);
}

static void
on_tick(uv_timer_t *timer)
{
	struct agent_group *group = timer->data;
	struct mst_agent_event event = {.type = MST_AGENT_EV_TICK};
	int i;

	for (i = 0; i < group->count; i++)
		step_agent(&group->agents[i], &event);
}

static void
on_end_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void
open_agent(struct agent_group *group, struct simulated_agent *member,
    const char *entry, int index)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_bus_options bus_options = {
	    .loop = &group->loop, .on_message = on_message, .ctx = member};
	char name[32];
	GError *error = NULL;

	snprintf(name, sizeof(name), "worker-%04d", index);
	options.incarnation = mst_random_u64();
	options.name = name;
	options.failure_domain = "domain-1";
	options.rack = "rack-001";
	mst_agent_new(&member->agent, &options);
	if (mst_bus_new(&member->bus, &bus_options, &error) < 0 ||
	    mst_bus_connect(member->bus, entry, &error) < 0)
		g_error("%s", error->message);
}

static void
print_rates(const struct agent_group *group, double seconds)
{
	uint64_t sent = 0, received = 0;
	int i;

	for (i = 0; i < group->count; i++) {
		const struct mst_bus_counters *counters =
		    mst_bus_counters(group->agents[i].bus);

		sent += counters->bytes_sent;
		received += counters->bytes_received;
	}
	printf(
	    "%d agents: encoded announcements %.0f B/s, heartbeats %.0f B/s\n",
	    group->count, (double)sent / seconds, (double)received / seconds);
}

int
main(int argc, char **argv)
{
	struct agent_group group = {0};
	int i;

	if (argc != 4) {
		fprintf(stderr,
		    "Usage: bench-members ENTRY-IP:PORT COUNT SECONDS\n");
		return 2;
	}
	group.count = atoi(argv[2]);
	group.agents = g_new0(struct simulated_agent, group.count);
	uv_loop_init(&group.loop);
	for (i = 0; i < group.count; i++)
		open_agent(&group, &group.agents[i], argv[1], i);
	uv_timer_init(&group.loop, &group.tick_timer);
	group.tick_timer.data = &group;
	uv_timer_start(
	    &group.tick_timer, on_tick, MEMBERS_TICK_MS, MEMBERS_TICK_MS);
	uv_timer_init(&group.loop, &group.end_timer);
	uv_timer_start(&group.end_timer, on_end_timer,
	    strtoul(argv[3], NULL, 10) * 1000, 0);
	uv_run(&group.loop, UV_RUN_DEFAULT);
	print_rates(&group, strtod(argv[3], NULL));
	return 0;
}
