/* Effects of an agent. */

#include "core/agent/agent_internal.h"

struct mst_agent_effect *
mst_agent_emit(struct mst_agent *agent, enum mst_agent_effect_type type)
{
	struct mst_agent_effect *effect;

	g_array_set_size(agent->effects, agent->effects->len + 1);
	effect = &g_array_index(
	    agent->effects, struct mst_agent_effect, agent->effects->len - 1);
	*effect = (struct mst_agent_effect){.type = type};
	return effect;
}

struct mst_msg *
mst_agent_emit_msg(struct mst_agent *agent, uint64_t to, enum mst_msg_type type)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_SEND);

	effect->msg.type = type;
	effect->msg.from = agent->options.incarnation;
	effect->msg.to = to;
	return &effect->msg;
}
