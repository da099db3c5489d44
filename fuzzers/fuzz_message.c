/*
 * Fuzzes the decoder of bus messages, and the reducers of the agent and the
 * entry with the messages that it accepts.
 */

#include <masticstall.h>

#include "codec/codec.h"
#include "driver.h"

#define FUZZ_STEPS_MAX 200 /* inputs until the reducers are recreated */

static struct mst_decoder *decoder;
static struct mst_agent *agent;
static struct mst_entry *entry;
static unsigned steps;
static int64_t now_us = G_USEC_PER_SEC;

static void
recreate_reducers(void)
{
	struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	struct mst_entry_options entry_options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}", .now_us = now_us};

	mst_agent_free(agent);
	mst_entry_free(entry);
	agent_options.incarnation = 2;
	entry_options.incarnation = 1;
	mst_agent_new(&agent, &agent_options);
	mst_entry_new(&entry, &entry_options);
	mst_config_parse(&event.config, "{}", 1, NULL);
	mst_entry_step(entry, &event);
	steps = 0;
}

static void
step_reducers(const struct mst_msg *msg)
{
	struct mst_agent_event agent_event = {
	    .type = MST_AGENT_EV_MESSAGE, .now_us = now_us, .msg = msg};
	struct mst_entry_event entry_event = {
	    .type = MST_ENTRY_EV_MESSAGE, .now_us = now_us, .msg = msg};

	mst_agent_step(agent, &agent_event);
	mst_entry_step(entry, &entry_event);
	now_us += 20000;
	agent_event.type = MST_AGENT_EV_TICK;
	entry_event.type = MST_ENTRY_EV_TICK;
	agent_event.now_us = entry_event.now_us = now_us;
	mst_agent_step(agent, &agent_event);
	mst_entry_step(entry, &entry_event);
	agent_event.type = MST_AGENT_EV_FLUSH;
	entry_event.type = MST_ENTRY_EV_FLUSH;
	mst_agent_step(agent, &agent_event);
	mst_entry_step(entry, &entry_event);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct mst_msg msg;

	if (decoder == NULL)
		decoder = mst_decoder_new();
	if (agent == NULL || ++steps > FUZZ_STEPS_MAX)
		recreate_reducers();
	if (mst_decoder_decode(&msg, decoder, data, len, NULL) == 0)
		step_reducers(&msg);
	return 0;
}

#ifndef MST_LIBFUZZER

static GBytes *
encode_sample(struct mst_msg msg)
{
	GByteArray *bytes = g_byte_array_new();

	mst_msg_encode(bytes, &msg);
	return g_byte_array_free_to_bytes(bytes);
}

int
main(void)
{
	static const uint64_t agents[] = {2, 3};
	static struct mst_range ranges[] = {{4, 5}};
	struct mst_seqset set = {.frontier = 2, .ranges = ranges, .count = 1};
	struct mst_dispatch_item task = {.seq = 1,
	    .job = {1, 1},
	    .timeout_ms = 1000,
	    .method = mst_bytes_from_str("POST"),
	    .path = mst_bytes_from_str("/")};
	struct mst_result_item result = {
	    .seq = 1, .outcome = MST_OUTCOME_DONE, .status = 200};
	struct mst_fenced_item fenced_item = {
	    .finished = true, .result = result};
	struct mst_msg heartbeat = {
	    .type = MST_MSG_HEARTBEAT, .from = 1, .to = 2};
	struct mst_msg dispatch = {
	    .type = MST_MSG_DISPATCH, .from = 1, .to = 2};
	struct mst_msg results = {.type = MST_MSG_RESULT, .from = 2, .to = 1};
	struct mst_msg announce = {
	    .type = MST_MSG_ANNOUNCE, .from = 2, .to = 1};
	struct mst_msg fence = {.type = MST_MSG_FENCE, .from = 9, .to = 2};
	struct mst_msg fenced = {.type = MST_MSG_FENCED, .from = 2, .to = 1};
	struct mst_msg withdraw = {
	    .type = MST_MSG_WITHDRAW, .from = 1, .to = 2};
	GBytes *samples[7];

	heartbeat.heartbeat.roster_version = 1;
	heartbeat.heartbeat.agents = agents;
	heartbeat.heartbeat.agent_count = 2;
	heartbeat.heartbeat.results_received = set;
	dispatch.dispatch.items = &task;
	dispatch.dispatch.count = 1;
	results.results.items = &result;
	results.results.count = 1;
	announce.announce.slots = 8;
	announce.announce.grant = 8;
	announce.announce.seqs_received = set;
	fence.fence.fenced_entry = 1;
	fence.fence.claim = true;
	fenced.fenced.items = &fenced_item;
	fenced.fenced.count = 1;
	withdraw.withdraw.seqs = agents;
	withdraw.withdraw.count = 2;
	samples[0] = encode_sample(heartbeat);
	samples[1] = encode_sample(dispatch);
	samples[2] = encode_sample(results);
	samples[3] = encode_sample(announce);
	samples[4] = encode_sample(fence);
	samples[5] = encode_sample(fenced);
	samples[6] = encode_sample(withdraw);
	return fuzz_run(samples, 7);
}

#endif
