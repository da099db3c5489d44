/* Log of a simulation: one line per event. */

#include "sim/sim_internal.h"

#include <inttypes.h>

void
sim_log(struct sim *sim, const char *format, ...)
{
	GString *line;
	va_list args;

	if (sim->options.on_log == NULL)
		return;
	line = g_string_new(NULL);
	g_string_printf(line, "%8.3f ", (double)sim->now_us / 1000);
	va_start(args, format);
	g_string_append_vprintf(line, format, args);
	va_end(args);
	sim->options.on_log(sim->options.ctx, line->str);
	g_string_free(line, TRUE);
}

void
sim_log_message(struct sim *sim, int from, int to, const struct mst_msg *msg)
{
	const char *sender = sim->nodes[from].name;
	const char *receiver = sim->nodes[to].name;
	uint32_t i;

	switch (msg->type) {
	case MST_MSG_DISPATCH:
		for (i = 0; i < msg->dispatch.count; i++)
			sim_log(sim,
			    "%s -> %s dispatch %" PRIu64 " task %" PRIu64 "/%u",
			    sender, receiver, msg->dispatch.items[i].seq,
			    msg->dispatch.items[i].job.counter,
			    msg->dispatch.items[i].index);
		break;
	case MST_MSG_RESULT:
		for (i = 0; i < msg->results.count; i++)
			sim_log(sim, "%s -> %s result %" PRIu64 " %s %s",
			    sender, receiver, msg->results.items[i].seq,
			    mst_outcome_name(msg->results.items[i].outcome),
			    mst_reason_name(msg->results.items[i].reason));
		break;
	case MST_MSG_WITHDRAW:
		for (i = 0; i < msg->withdraw.count; i++)
			sim_log(sim, "%s -> %s withdraw %" PRIu64, sender,
			    receiver, msg->withdraw.seqs[i]);
		break;
	case MST_MSG_FENCE:
		sim_log(sim, "%s -> %s fence%s", sender, receiver,
		    msg->fence.claim ? " and claim" : "");
		break;
	case MST_MSG_FENCED:
		sim_log(sim, "%s -> %s fenced%s%s, %u tasks", sender, receiver,
		    msg->fenced.alive ? " (refused)" : "",
		    msg->fenced.history_incomplete ? " (incomplete history)"
						   : "",
		    msg->fenced.count);
		break;
	case MST_MSG_HEARTBEAT:
		if (sim->options.verbose)
			sim_log(sim,
			    "%s -> %s heartbeat roster %" PRIu64 ", %u agents",
			    sender, receiver, msg->heartbeat.roster_version,
			    msg->heartbeat.agent_count);
		break;
	case MST_MSG_ANNOUNCE:
		if (sim->options.verbose)
			sim_log(sim, "%s -> %s announce roster %" PRIu64,
			    sender, receiver, msg->announce.roster_version);
		break;
	default:
		break;
	}
}
