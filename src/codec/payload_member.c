/* Payloads of messages about the state of processes. */

#include "codec/payload.h"

#define BUILD_FIELDS       2
#define DOMAIN_FIELDS      1
#define LASTED_FIELDS      1
#define UNCERTAIN_FIELDS   1
#define CRASH_FIELDS       5
#define CRASHED_RUN_FIELDS 2

static void
put_drains(msgpack_packer *pk, const struct mst_drains_msg *m)
{
	codec_put_u64(pk, m->revision);
	codec_put_bytes(pk, m->domains);
}

static struct mst_drains_msg
get_drains(struct codec_reader *r)
{
	struct mst_drains_msg m;

	m.revision = codec_get_u64(r);
	m.domains = codec_get_bytes(r);
	return m;
}

static void
put_build(msgpack_packer *pk, const struct mst_build_msg *m)
{
	if (m->version.len == 0)
		return;
	codec_put_bytes(pk, m->version);
	codec_put_u64(pk, m->features);
}

/* Builds before this field was added send messages that end before it. */
static struct mst_build_msg
get_build(struct codec_reader *r)
{
	struct mst_build_msg m = {0};

	if (codec_at_end(r))
		return m;
	m.version = codec_get_bytes(r);
	m.features = codec_get_u64(r);
	return m;
}

/* Packs the list, and before it a build without a version if there is none,
 * because a field may be left out only while nothing follows it. */
static void
put_uncertain_seqs(msgpack_packer *pk, const struct mst_announce *m)
{
	if (m->uncertain_count == 0)
		return;
	if (m->build.version.len == 0) {
		codec_put_bytes(pk, m->build.version);
		codec_put_u64(pk, 0);
	}
	codec_put_u64_list(pk, m->uncertain_seqs, m->uncertain_count);
}

void
codec_put_announce(msgpack_packer *pk, const struct mst_announce *m)
{
	codec_put_bytes(pk, m->name);
	codec_put_bytes(pk, m->failure_domain);
	codec_put_bytes(pk, m->rack);
	codec_put_bytes(pk, m->service);
	codec_put_bytes(pk, m->labels);
	codec_put_u64(pk, m->description_version);
	codec_put_u64(pk, m->clock_us);
	codec_put_u64(pk, m->slots);
	codec_put_u64(pk, m->connections);
	codec_put_resources(pk, &m->resources);
	codec_put_resources(pk, &m->resources_max);
	codec_put_u64(pk, m->draining);
	codec_put_u64(pk, m->fenced);
	codec_put_u64(pk, m->grant);
	codec_put_u64(pk, m->free_slots);
	codec_put_u64(pk, m->slowness_milli);
	codec_put_u64(pk, m->cold_ms);
	codec_put_u64(pk, m->running);
	codec_put_u64(pk, m->queued);
	codec_put_u64(pk, m->roster_version);
	codec_put_u64(pk, m->sent_through);
	codec_put_seqset(pk, &m->seqs_received);
	codec_put_u64(pk, m->config_version);
	codec_put_bytes(pk, m->entries);
	put_drains(pk, &m->drains);
	put_build(pk, &m->build);
	put_uncertain_seqs(pk, m);
}

void
codec_get_announce(struct codec_reader *r, struct mst_announce *m)
{
	m->name = codec_get_bytes(r);
	m->failure_domain = codec_get_bytes(r);
	m->rack = codec_get_bytes(r);
	m->service = codec_get_bytes(r);
	m->labels = codec_get_bytes(r);
	m->description_version = codec_get_u32(r);
	m->clock_us = codec_get_u64(r);
	m->slots = codec_get_u32(r);
	m->connections = codec_get_u32(r);
	m->resources = codec_get_resources(r);
	m->resources_max = codec_get_resources(r);
	m->draining = codec_get_bool(r);
	m->fenced = codec_get_bool(r);
	m->grant = codec_get_u32(r);
	m->free_slots = codec_get_u32(r);
	m->slowness_milli = codec_get_u32(r);
	m->cold_ms = codec_get_u32(r);
	m->running = codec_get_u32(r);
	m->queued = codec_get_u32(r);
	m->roster_version = codec_get_u64(r);
	m->sent_through = codec_get_u64(r);
	m->seqs_received = codec_get_seqset(r);
	m->config_version = codec_get_u64(r);
	m->entries = codec_get_bytes(r);
	m->drains = get_drains(r);
	m->build = get_build(r);
	if (!codec_at_end(r))
		m->uncertain_seqs = codec_get_u64_list(r, &m->uncertain_count);
}

void
codec_put_heartbeat(msgpack_packer *pk, const struct mst_heartbeat *m)
{
	codec_put_u64(pk, m->echo_us);
	codec_put_u64(pk, m->description_version);
	codec_put_u64(pk, m->roster_version);
	codec_put_u64_list(pk, m->agents, m->agent_count);
	codec_put_u64(pk, m->adoption_floor);
	codec_put_u64(pk, m->sent_through);
	codec_put_seqset(pk, &m->results_received);
	codec_put_u64(pk, m->demand);
	codec_put_u64(pk, m->crashes_received);
	codec_put_u64(pk, m->config_version);
	codec_put_bytes(pk, m->peers);
	put_drains(pk, &m->drains);
	put_build(pk, &m->build);
}

void
codec_get_heartbeat(struct codec_reader *r, struct mst_heartbeat *m)
{
	m->echo_us = codec_get_u64(r);
	m->description_version = codec_get_u32(r);
	m->roster_version = codec_get_u64(r);
	m->agents = codec_get_u64_list(r, &m->agent_count);
	m->adoption_floor = codec_get_u64(r);
	m->sent_through = codec_get_u64(r);
	m->results_received = codec_get_seqset(r);
	m->demand = codec_get_u32(r);
	m->crashes_received = codec_get_u64(r);
	m->config_version = codec_get_u64(r);
	m->peers = codec_get_bytes(r);
	m->drains = get_drains(r);
	m->build = get_build(r);
}

/* Packs the failure domain of an entry, and before it a build without a version
 * if there is none. */
static void
put_domain(msgpack_packer *pk, const struct mst_peer *m)
{
	if (m->failure_domain.len == 0)
		return;
	if (m->build.version.len == 0) {
		codec_put_bytes(pk, m->build.version);
		codec_put_u64(pk, 0);
	}
	codec_put_bytes(pk, m->failure_domain);
}

void
codec_put_peer(msgpack_packer *pk, const struct mst_peer *m)
{
	codec_put_bytes(pk, m->address);
	codec_put_u64(pk, m->config_version);
	codec_put_u64(pk, m->leaving);
	codec_put_u64(pk, m->is_reply);
	codec_put_u64(pk, m->demand_ms);
	put_drains(pk, &m->drains);
	put_build(pk, &m->build);
	put_domain(pk, m);
}

void
codec_get_peer(struct codec_reader *r, struct mst_peer *m)
{
	m->address = codec_get_bytes(r);
	m->config_version = codec_get_u64(r);
	m->leaving = codec_get_bool(r);
	m->is_reply = codec_get_bool(r);
	m->demand_ms = codec_get_u32(r);
	m->drains = get_drains(r);
	m->build = get_build(r);
	if (!codec_at_end(r))
		m->failure_domain = codec_get_bytes(r);
}

static bool
has_lasted_times(const struct mst_crashes *m)
{
	uint32_t i, k;

	for (i = 0; i < m->count; i++) {
		for (k = 0; k < m->items[i].run_count; k++) {
			if (m->items[i].runs[k].lasted_ms != MST_LASTED_UNKNOWN)
				return true;
		}
	}
	return false;
}

/* Packs one number for each run of all crashes. */
static void
put_lasted_times(msgpack_packer *pk, const struct mst_crashes *m)
{
	size_t count = 0;
	uint32_t i, k;

	if (!has_lasted_times(m))
		return;
	for (i = 0; i < m->count; i++)
		count += m->items[i].run_count;
	msgpack_pack_array(pk, count);
	for (i = 0; i < m->count; i++) {
		for (k = 0; k < m->items[i].run_count; k++)
			codec_put_u64(pk, m->items[i].runs[k].lasted_ms);
	}
}

/* Builds before this list was added send messages that end before it. */
static void
get_lasted_times(struct codec_reader *r, const struct mst_crashes *m)
{
	bool is_listed = !codec_at_end(r);
	struct codec_reader nested = {0};
	uint32_t count, i, k;

	if (is_listed)
		nested = codec_get_array(r, &count);
	for (i = 0; i < m->count; i++) {
		struct mst_crashed_run *runs =
		    (struct mst_crashed_run *)m->items[i].runs;

		for (k = 0; k < m->items[i].run_count; k++)
			runs[k].lasted_ms = is_listed ? codec_get_u32(&nested)
						      : MST_LASTED_UNKNOWN;
	}
	r->failed |= nested.failed;
}

void
codec_put_crashes(msgpack_packer *pk, const struct mst_crashes *m)
{
	uint32_t i, k;

	codec_put_u64(pk, m->after);
	msgpack_pack_array(pk, (size_t)m->count * CRASH_FIELDS);
	for (i = 0; i < m->count; i++) {
		const struct mst_crash *crash = &m->items[i];

		codec_put_u64(pk, crash->number);
		codec_put_u64(pk, crash->id);
		codec_put_u64(pk, crash->age_ms);
		codec_put_u64(pk, crash->cleared);
		msgpack_pack_array(
		    pk, (size_t)crash->run_count * CRASHED_RUN_FIELDS);
		for (k = 0; k < crash->run_count; k++) {
			codec_put_bytes(pk, crash->runs[k].task);
			codec_put_u64(pk, crash->runs[k].team);
		}
	}
	put_lasted_times(pk, m);
}

static void
get_crashed_runs(struct codec_reader *r, struct mst_crash *crash)
{
	struct mst_crashed_run *runs;
	struct codec_reader nested;
	uint32_t count, i;

	nested = codec_get_array(r, &count);
	if (nested.failed || count % CRASHED_RUN_FIELDS != 0 ||
	    count / CRASHED_RUN_FIELDS > MST_CRASH_RUNS_MAX) {
		r->failed = true;
		return;
	}
	crash->run_count = count / CRASHED_RUN_FIELDS;
	runs = codec_list_alloc(r, crash->run_count, sizeof(*runs));
	for (i = 0; runs != NULL && i < crash->run_count; i++) {
		runs[i].task = codec_get_bytes(&nested);
		runs[i].team = codec_get_u32(&nested);
	}
	crash->runs = runs;
	r->failed |= nested.failed;
}

void
codec_get_crashes(struct codec_reader *r, struct mst_crashes *m)
{
	struct mst_crash *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->after = codec_get_u64(r);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % CRASH_FIELDS != 0 ||
	    count / CRASH_FIELDS > MST_CRASHES_MAX)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / CRASH_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].number = codec_get_u64(&nested);
		items[i].id = codec_get_u64(&nested);
		items[i].age_ms = codec_get_u32(&nested);
		items[i].cleared = codec_get_bool(&nested);
		get_crashed_runs(&nested, &items[i]);
	}
	m->items = items;
	r->failed |= nested.failed;
	if (!r->failed && items != NULL)
		get_lasted_times(r, m);
}

uint32_t
codec_count_appended(const struct mst_msg *msg)
{
	const struct mst_build_msg *build = NULL;

	if (msg->type == MST_MSG_CRASHES)
		return has_lasted_times(&msg->crashes) ? LASTED_FIELDS : 0;
	if (msg->type == MST_MSG_RESULT)
		return codec_count_appended_to_results(&msg->results);
	if (msg->type == MST_MSG_ANNOUNCE && msg->announce.uncertain_count > 0)
		return BUILD_FIELDS + UNCERTAIN_FIELDS;
	if (msg->type == MST_MSG_PEER && msg->peer.failure_domain.len > 0)
		return BUILD_FIELDS + DOMAIN_FIELDS;
	if (msg->type == MST_MSG_ANNOUNCE)
		build = &msg->announce.build;
	else if (msg->type == MST_MSG_HEARTBEAT)
		build = &msg->heartbeat.build;
	else if (msg->type == MST_MSG_PEER)
		build = &msg->peer.build;
	return build != NULL && build->version.len > 0 ? BUILD_FIELDS : 0;
}
