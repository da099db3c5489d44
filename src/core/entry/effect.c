/* Effects of an entry, and its random ids. */

#include "core/entry/entry_internal.h"

#define INCARNATION_HASH_FACTOR 0x9e3779b97f4a7c15u /* 2^64 / golden ratio */

struct mst_entry_effect *
mst_entry_emit(struct mst_entry *entry, enum mst_entry_effect_type type)
{
	struct mst_entry_effect *effect;

	g_array_set_size(entry->effects, entry->effects->len + 1);
	effect = &g_array_index(
	    entry->effects, struct mst_entry_effect, entry->effects->len - 1);
	*effect = (struct mst_entry_effect){.type = type};
	return effect;
}

struct mst_msg *
mst_entry_emit_msg(struct mst_entry *entry, uint64_t to, enum mst_msg_type type)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_SEND);

	effect->msg.type = type;
	effect->msg.from = entry->incarnation;
	effect->msg.to = to;
	return &effect->msg;
}

void
mst_entry_refuse(struct mst_entry *entry, uint64_t request,
    enum mst_reason reason, uint32_t retry_after_ms)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_REFUSE);

	effect->request = request;
	effect->reason = reason;
	effect->retry_after_ms = retry_after_ms;
	entry->counters.jobs_refused[reason]++;
}

uint64_t
mst_entry_random_id(struct mst_entry *entry)
{
	uint64_t high = g_rand_int(entry->rand);
	uint64_t id = high << 32 | g_rand_int(entry->rand);

	/* The seed has too few bits for the id to be unique among processes,
	 * so the incarnation is mixed in. */
	return (id ^ entry->options.incarnation * INCARNATION_HASH_FACTOR) | 1;
}

uint64_t
mst_entry_config_version(const struct mst_entry *entry)
{
	return entry->config != NULL ? entry->config->version : 0;
}

void
mst_entry_pull_config(struct mst_entry *entry, uint64_t from, uint64_t offered)
{
	uint64_t version = mst_entry_config_version(entry);
	struct mst_msg *msg;

	if (!mst_config_pull_ask(
		&entry->config_pull, entry->now_us, version, offered))
		return;
	msg = mst_entry_emit_msg(entry, from, MST_MSG_CONFIG_REQUEST);
	msg->config_request.version = version;
}

void
mst_entry_send_config(struct mst_entry *entry, uint64_t to)
{
	struct mst_msg *msg = mst_entry_emit_msg(entry, to, MST_MSG_CONFIG);

	msg->config.version = entry->config->version;
	msg->config.document = mst_bytes_from_str(entry->document);
}
