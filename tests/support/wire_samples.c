#include "support/wire_samples.h"

#include <glib.h>

#define FROM         0x1122334455667788u
#define TO           0x8877665544332211u
#define CLOCK_US     (UINT64_C(1) << 40)
#define LARGE_NUMBER (UINT64_C(1) << 33)

static struct mst_range ranges[] = {{5, 6}, {300, 70000}};
static const struct mst_seqset seqs = {
    .frontier = 2, .ranges = ranges, .count = G_N_ELEMENTS(ranges)};
static const uint64_t incarnations[] = {7, LARGE_NUMBER};

static struct mst_bytes
text(const char *s)
{
	return mst_bytes_from_str(s);
}

static struct mst_drains_msg
sample_drains(void)
{
	return (struct mst_drains_msg){.revision = 41, .domains = text("a,b")};
}

static struct mst_announce
sample_announce(void)
{
	return (struct mst_announce){.name = text("agent1"),
	    .failure_domain = text("fd1"),
	    .rack = text("rack1"),
	    .service = text("render"),
	    .labels = text("a,r1"),
	    .description_version = 3,
	    .clock_us = CLOCK_US,
	    .slots = 8,
	    .connections = 64,
	    .resources = {16000, 32768, 1},
	    .resources_max = {32000, 65536, 2},
	    .draining = true,
	    .fenced = true,
	    .grant = 9,
	    .free_slots = 4,
	    .slowness_milli = 1200,
	    .cold_ms = 500,
	    .running = 5,
	    .queued = 6,
	    .roster_version = 11,
	    .sent_through = 200,
	    .seqs_received = seqs,
	    .config_version = 17,
	    .entries = text("127.0.0.1:1,127.0.0.1:2"),
	    .drains = sample_drains()};
}

static struct mst_heartbeat
sample_heartbeat(void)
{
	return (struct mst_heartbeat){.echo_us = CLOCK_US,
	    .description_version = 3,
	    .roster_version = 11,
	    .agents = incarnations,
	    .agent_count = G_N_ELEMENTS(incarnations),
	    .adoption_floor = 10,
	    .sent_through = 200,
	    .results_received = seqs,
	    .demand = 12,
	    .crashes_received = 2,
	    .config_version = 17,
	    .peers = text("127.0.0.1:1"),
	    .drains = sample_drains()};
}

static struct mst_dispatch
sample_dispatch(void)
{
	static struct mst_dispatch_item items[2];

	items[0] = (struct mst_dispatch_item){.seq = 1,
	    .job = {FROM, 4},
	    .index = 4095,
	    .flags = MST_TASK_IDEMPOTENT | MST_TASK_RESTARTABLE |
		MST_TASK_ISOLATED | MST_TASK_SUSPECT,
	    .timeout_ms = 1500,
	    .run = 2,
	    .expected_service_us = 60000,
	    .slack_us = 40000,
	    .team = 0xfeedbeef,
	    .needs = {2600, 64, 1},
	    .method = text("POST"),
	    .path = text("/render"),
	    .content_type = text("text/plain"),
	    .body = text("issue"),
	    .traceparent = text("00-1-2-01"),
	    .record = text("5c0e7a21d94b36f8"),
	    .owner = FROM,
	    .term = 3};
	items[1] = (struct mst_dispatch_item){.seq = 2};
	return (struct mst_dispatch){.echo_us = CLOCK_US,
	    .expires_us = CLOCK_US + 400000,
	    .received_frontier = 8,
	    .demand = 12,
	    .count = G_N_ELEMENTS(items),
	    .items = items};
}

static struct mst_result_item
sample_result(uint64_t seq, enum mst_reason reason)
{
	return (struct mst_result_item){.seq = seq,
	    .outcome = MST_OUTCOME_UNKNOWN,
	    .reason = (uint8_t)reason,
	    .status = 502,
	    .ack_after_record = true,
	    .queue_us = 1000,
	    .service_us = 61000,
	    .content_type = text("text/plain"),
	    .body = text("done")};
}

/* Each reason of the first format is in one result. */
static struct mst_results
sample_results(void)
{
	static struct mst_result_item items[MST_REASON_WORKER_CRASHED + 1];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(items); i++)
		items[i] = sample_result(i + 1, (enum mst_reason)i);
	return (struct mst_results){.grant = 9,
	    .free_slots = 4,
	    .count = G_N_ELEMENTS(items),
	    .items = items};
}

static struct mst_fenced
sample_fenced(void)
{
	static struct mst_fenced_item items[1];

	items[0] = (struct mst_fenced_item){.index = 3,
	    .finished = true,
	    .result = sample_result(5, MST_REASON_UPSTREAM_RESET)};
	return (struct mst_fenced){.fenced_entry = TO,
	    .job = {TO, 4},
	    .has_session = true,
	    .alive = true,
	    .history_incomplete = true,
	    .adopter = FROM,
	    .past_owners = incarnations,
	    .past_owner_count = G_N_ELEMENTS(incarnations),
	    .agents = incarnations,
	    .agent_count = 1,
	    .count = 1,
	    .items = items};
}

/* Two tasks of a job at one agent, one of them at another, and another job. */
static struct mst_backup_starts
sample_backup_starts(void)
{
	static const uint64_t settled[] = {20, 19};
	static struct mst_backup_item items[4];

	items[0] = (struct mst_backup_item){.agent = FROM,
	    .host = text("agent1"),
	    .job = text("5c0e7a21d94b36f8"),
	    .index = 1,
	    .run = 2};
	items[1] = items[0];
	items[1].index = 2;
	items[2] = items[1];
	items[2].agent = TO;
	items[2].host = text("agent2");
	items[3] = items[2];
	items[3].job = text("x");
	return (struct mst_backup_starts){.first_number = 23,
	    .count = G_N_ELEMENTS(items),
	    .items = items,
	    .settled_count = G_N_ELEMENTS(settled),
	    .settled = settled};
}

static struct mst_uncertain_starts
sample_uncertain_starts(void)
{
	static struct mst_uncertain_item items[2];

	items[0] = (struct mst_uncertain_item){.agent = FROM,
	    .host = text("agent1"),
	    .job = text("5c0e7a21d94b36f8"),
	    .index = 1,
	    .run = 2,
	    .age_ms = 1300};
	items[1] = (struct mst_uncertain_item){
	    .agent = TO, .host = text("agent2"), .job = text("x")};
	return (struct mst_uncertain_starts){
	    .count = G_N_ELEMENTS(items), .items = items};
}

static struct mst_crashes
sample_crashes(void)
{
	static struct mst_crashed_run runs[2];
	static struct mst_crash items[2];

	runs[0] = (struct mst_crashed_run){
	    text("5c0e7a21d94b36f8.0.0.1"), 0xfeed, MST_LASTED_UNKNOWN};
	runs[1] = (struct mst_crashed_run){text("x"), 1, MST_LASTED_UNKNOWN};
	items[0] = (struct mst_crash){.number = 6,
	    .id = FROM,
	    .age_ms = 100,
	    .run_count = G_N_ELEMENTS(runs),
	    .runs = runs};
	items[1] = (struct mst_crash){.number = 7,
	    .id = TO,
	    .age_ms = 5,
	    .cleared = true,
	    .run_count = 1,
	    .runs = runs};
	return (struct mst_crashes){
	    .after = 5, .count = G_N_ELEMENTS(items), .items = items};
}

void
wire_sample(struct mst_msg *out, enum mst_msg_type type)
{
	*out = (struct mst_msg){.type = type, .from = FROM, .to = TO};
	switch (type) {
	case MST_MSG_ANNOUNCE:
		out->announce = sample_announce();
		break;
	case MST_MSG_HEARTBEAT:
		out->heartbeat = sample_heartbeat();
		break;
	case MST_MSG_DISPATCH:
		out->dispatch = sample_dispatch();
		break;
	case MST_MSG_RESULT:
		out->results = sample_results();
		break;
	case MST_MSG_WITHDRAW:
		out->withdraw = (struct mst_withdraw){
		    G_N_ELEMENTS(incarnations), incarnations};
		break;
	case MST_MSG_FENCE:
		out->fence = (struct mst_fence){
		    .fenced_entry = TO, .job = {TO, 4}, .claim = true};
		break;
	case MST_MSG_FENCED:
		out->fenced = sample_fenced();
		break;
	case MST_MSG_PEER:
		out->peer = (struct mst_peer){.address = text("127.0.0.1:1"),
		    .config_version = 17,
		    .leaving = true,
		    .is_reply = true,
		    .demand_ms = 300,
		    .drains = sample_drains()};
		break;
	case MST_MSG_CONFIG:
		out->config = (struct mst_config_msg){17, text("{}")};
		break;
	case MST_MSG_CONFIG_REQUEST:
		out->config_request.version = 16;
		break;
	case MST_MSG_FORWARD:
		out->forward = (struct mst_forward){.id = 8,
		    .kind = MST_FORWARD_POLL,
		    .ticket = text("1-2-3"),
		    .body = text("{}"),
		    .traceparent = text("00-1-2-01")};
		break;
	case MST_MSG_FORWARDED:
		out->forwarded = (struct mst_forwarded){.id = 8,
		    .status = 503,
		    .retry_after_s = 2,
		    .body = text("{}")};
		break;
	case MST_MSG_CRASHES:
		out->crashes = sample_crashes();
		break;
	case MST_MSG_UNCERTAIN_START:
		out->uncertain_start =
		    (struct mst_uncertain_start){.agent = FROM,
			.task = text("5c0e7a21d94b36f8.0.0.1"),
			.index = 1};
		break;
	case MST_MSG_UNCERTAIN_STARTS:
		out->uncertain_starts = sample_uncertain_starts();
		break;
	case MST_MSG_BACKUP_STARTS:
		out->backup_starts = sample_backup_starts();
		break;
	default:
		break;
	}
}
