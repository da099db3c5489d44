/*
 * Slopes for docs/CAPACITY.md, on the reducers and the codec: what members,
 * entries, open tasks and dispatches cost in bytes, memory and time, each at
 * three sizes or more.
 *
 * Usage: bench-slopes [members|agents|tasks|dedupe]...
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <masticstall.h>

#include "codec/codec.h"

#define SLOPE_DEDUPE 10000000
#define SLOPE_JOB    1000

struct wire {
	uint64_t bytes;
	uint64_t messages;
};

static double
now_us(void)
{
	return (double)g_get_monotonic_time();
}

static double
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

static void
wire_count(struct wire *wire, GByteArray *buffer, const struct mst_msg *msg)
{
	g_byte_array_set_size(buffer, 0);
	mst_msg_encode(buffer, msg);
	wire->bytes += buffer->len;
	wire->messages++;
}

static void
entry_effects(struct wire *wire, GByteArray *buffer, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND)
			wire_count(wire, buffer, &effect->msg);
	}
}

static const GArray *
entry_event(struct mst_entry *entry, struct mst_entry_event event, int64_t us)
{
	event.now_us = us;
	return mst_entry_step(entry, &event);
}

static struct mst_entry *
entry_new(int64_t us)
{
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};
	struct mst_entry *entry;

	options.incarnation = 1;
	options.address = "127.0.0.1:17071";
	options.bytes_max = UINT64_MAX;
	mst_entry_new(&entry, &options);
	mst_config_parse(&config.config,
	    "{\"policy\":{\"queue_tasks_max\":10000000},"
	    "\"default_team\":{\"quota_tasks\":1000000000}}",
	    1, NULL);
	entry_event(entry, config, us);
	return entry;
}

static void
announce(struct mst_entry *entry, unsigned n, uint64_t roster, int64_t us)
{
	struct mst_msg msg = {
	    .type = MST_MSG_ANNOUNCE, .from = 1000 + n, .to = roster ? 1 : 0};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = &msg};

	msg.announce.name = mst_bytes_from_str("worker-0000");
	msg.announce.failure_domain = mst_bytes_from_str("domain-1");
	msg.announce.rack = mst_bytes_from_str("rack-001");
	msg.announce.slots = 8;
	msg.announce.grant = 8;
	msg.announce.roster_version = roster;
	msg.announce.config_version = 1;
	entry_event(entry, event, us);
}

/* An entry's view of n agents: memory, and one second of heartbeats. */
static void
slope_members(unsigned n)
{
	int64_t us = G_USEC_PER_SEC;
	struct wire wire = {0};
	GByteArray *buffer = g_byte_array_new();
	double before = heap_bytes();
	struct mst_entry *entry = entry_new(us);
	double bytes, cpu, join;
	const int seconds = 5;
	unsigned i;
	int s;

	join = now_us();
	for (i = 0; i < n; i++)
		announce(entry, i, 0, us);
	for (i = 0; i < n; i++)
		announce(entry, i, n, us);
	join = now_us() - join;
	bytes = (heap_bytes() - before) / n;
	cpu = now_us();
	for (s = 1; s <= seconds; s++) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
		int t;

		for (t = 0; t < 100; t++)
			entry_effects(&wire, buffer,
			    entry_event(entry, tick, us + t * 10000));
		us += G_USEC_PER_SEC;
		for (i = 0; i < n; i++)
			announce(entry, i, n, us);
	}
	cpu = now_us() - cpu;
	printf(
	    "members %6u  join %8.2f ms  memory %6.0f B/member  heartbeats out "
	    "%7.0f B/s  "
	    "cpu %6.2f %% of a core (%4.2f us/member/s)\n",
	    n, join / 1000, bytes, (double)wire.bytes / seconds,
	    cpu / seconds / 1e4, cpu / seconds / n);
	mst_entry_free(entry);
	g_byte_array_unref(buffer);
}

/* An agent with k entries: announcements out and time. */
static void
slope_agents(unsigned k)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	static const uint64_t roster[64];
	struct wire wire = {0};
	GByteArray *buffer = g_byte_array_new();
	struct mst_agent *agent;
	int64_t us = G_USEC_PER_SEC;
	const int seconds = 20;
	double cpu;
	unsigned i;
	int s, t;
	guint e;

	options.incarnation = 5;
	options.name = "worker-0000";
	options.failure_domain = "domain-1";
	options.rack = "rack-001";
	mst_agent_new(&agent, &options);
	cpu = now_us();
	for (s = 0; s < seconds; s++) {
		for (i = 0; i < k; i++) {
			struct mst_msg msg = {.type = MST_MSG_HEARTBEAT,
			    .from = 100 + i,
			    .to = 5};
			struct mst_agent_event event = {
			    .type = MST_AGENT_EV_MESSAGE,
			    .now_us = us,
			    .msg = &msg};

			msg.heartbeat.roster_version = 1;
			msg.heartbeat.agents = roster;
			msg.heartbeat.agent_count = 64;
			mst_agent_step(agent, &event);
		}
		for (t = 0; t < 100; t++) {
			struct mst_agent_event tick = {
			    .type = MST_AGENT_EV_TICK,
			    .now_us = us + t * 10000};
			const GArray *effects = mst_agent_step(agent, &tick);

			for (e = 0; e < effects->len; e++) {
				const struct mst_msg *msg = &g_array_index(
				    effects, struct mst_agent_effect, e)
								 .msg;

				if (msg->to != 0)
					wire_count(&wire, buffer, msg);
			}
		}
		us += G_USEC_PER_SEC;
	}
	cpu = now_us() - cpu;
	printf("entries %6u  announcements out %6.0f B/s in %3.0f messages/s  "
	       "cpu %5.3f %% of a core\n",
	    k, (double)wire.bytes / seconds, (double)wire.messages / seconds,
	    cpu / seconds / 1e4);
	mst_agent_free(agent);
	g_byte_array_unref(buffer);
}

static void
submit_job(struct mst_entry *entry, int64_t us, uint64_t request)
{
	static struct mst_task_spec tasks[SLOPE_JOB];
	struct mst_job_spec spec = {.team = "team",
	    .timeout_ms = 0,
	    .count = SLOPE_JOB,
	    .tasks = tasks};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = request, .spec = &spec};
	int i;

	for (i = 0; i < SLOPE_JOB; i++) {
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str("/render/member/000000");
		tasks[i].body =
		    mst_bytes_from_str("{\"member\":123456,\"issue\":7}");
		tasks[i].declared_us = 100000;
	}
	entry_event(entry, event, us);
}

/* Open tasks: memory each, and time for their whole life at an entry. */
static void
slope_tasks(unsigned n)
{
	int64_t us = G_USEC_PER_SEC;
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *buffer = g_byte_array_new();
	struct mst_entry *entry = entry_new(us);
	double before, bytes, cpu, life;
	uint64_t seen = 0;
	unsigned i;

	announce(entry, 0, 0, us);
	announce(entry, 0, 1, us);
	before = heap_bytes();
	cpu = now_us();
	for (i = 0; i < n / SLOPE_JOB; i++)
		submit_job(entry, us, i + 1);
	bytes = (heap_bytes() - before) / n;
	life = now_us() - cpu;
	cpu = now_us();
	while (seen < n) {
		struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};
		const GArray *effects = entry_event(entry, flush, us);
		static struct mst_result_item items[64];
		struct mst_msg out = {
		    .type = MST_MSG_RESULT, .from = 1000, .to = 1};
		struct mst_msg in;
		struct mst_entry_event event = {
		    .type = MST_ENTRY_EV_MESSAGE, .msg = &in};
		guint e;

		out.results.grant = 64;
		for (e = 0; e < effects->len; e++) {
			const struct mst_msg *msg =
			    &g_array_index(effects, struct mst_entry_effect, e)
				 .msg;

			if (msg->type != MST_MSG_DISPATCH)
				continue;
			g_byte_array_set_size(buffer, 0);
			mst_msg_encode(buffer, msg);
			for (i = 0; i < msg->dispatch.count; i++)
				items[out.results.count++] =
				    (struct mst_result_item){
					.seq = msg->dispatch.items[i].seq,
					.outcome = MST_OUTCOME_DONE,
					.status = 200,
					.service_us = 100000,
					.body = mst_bytes_from_str("done")};
		}
		out.results.items = items;
		seen += out.results.count;
		g_byte_array_set_size(buffer, 0);
		mst_msg_encode(buffer, &out);
		mst_decoder_decode(
		    &in, decoder, buffer->data, buffer->len, NULL);
		us += 1000;
		entry_event(entry, event, us);
	}
	life += now_us() - cpu;
	printf("open tasks %7u  memory %5.0f B/task  entry's time %5.2f "
	       "us/task\n",
	    n, bytes, life / n);
	mst_entry_free(entry);
	mst_decoder_free(decoder);
	g_byte_array_unref(buffer);
}

static uint64_t
draw_seq(GRand *rand, uint64_t *window, int size, uint64_t *next,
    double reorder, double loss)
{
	int at = size > 1 && g_rand_double(rand) < reorder
	    ? g_rand_int_range(rand, 0, size)
	    : 0;
	uint64_t seq = window[at];

	/* The oldest stays first, so that plain order is in order. */
	memmove(&window[at], &window[at + 1],
	    (size_t)(size - at - 1) * sizeof(*window));
	do
		window[size - 1] = (*next)++;
	while (loss > 0 && g_rand_double(rand) < loss);
	return seq;
}

static void
slope_dedupe(double reorder, double loss)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct mst_seqset set = {0};
	GHashTable *hash;
	uint64_t window[32], next = 1;
	double before, set_ns, hash_ns, hash_bytes, us;
	uint64_t *seqs = g_new(uint64_t, SLOPE_DEDUPE);
	uint32_t most = 0;
	int i;

	for (i = 0; i < 32; i++)
		window[i] = next++;
	for (i = 0; i < SLOPE_DEDUPE; i++)
		seqs[i] = draw_seq(rand, window, 32, &next, reorder, loss);
	us = now_us();
	for (i = 0; i < SLOPE_DEDUPE; i++) {
		mst_seqset_add(&set, seqs[i]);
		most = MAX(most, set.count);
	}
	set_ns = (now_us() - us) * 1000 / SLOPE_DEDUPE;
	before = heap_bytes();
	hash = g_hash_table_new(g_direct_hash, g_direct_equal);
	us = now_us();
	for (i = 0; i < SLOPE_DEDUPE; i++)
		g_hash_table_add(hash, GSIZE_TO_POINTER(seqs[i]));
	hash_ns = (now_us() - us) * 1000 / SLOPE_DEDUPE;
	hash_bytes = heap_bytes() - before;
	printf("reordered %4.1f %% lost %4.1f %%  frontier and ranges %6.1f ns"
	       " %7zu B (most ranges %u%s)  hash set %6.1f ns %10.0f B\n",
	    reorder * 100, loss * 100, set_ns,
	    set.capacity * sizeof(*set.ranges) + sizeof(set), most,
	    set.count == MST_SEQSET_RANGES_MAX ? ", AT ITS BOUND" : "", hash_ns,
	    hash_bytes);
	g_hash_table_unref(hash);
	mst_seqset_clear(&set);
	g_free(seqs);
	g_rand_free(rand);
}

static bool
wanted(int argc, char **argv, const char *name)
{
	int i;

	for (i = 1; i < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return true;
	}
	return argc == 1;
}

int
main(int argc, char **argv)
{
	static const unsigned members[] = {64, 256, 600, 1400, 9800};
	static const unsigned entries[] = {1, 2, 4, 8};
	static const unsigned tasks[] = {10000, 100000, 400000};
	size_t i;

	for (i = 0; wanted(argc, argv, "members") && i < 5; i++)
		slope_members(members[i]);
	for (i = 0; wanted(argc, argv, "agents") && i < 4; i++)
		slope_agents(entries[i]);
	for (i = 0; wanted(argc, argv, "tasks") && i < 3; i++)
		slope_tasks(tasks[i]);
	if (wanted(argc, argv, "dedupe")) {
		slope_dedupe(0, 0);
		slope_dedupe(0.01, 0);
		slope_dedupe(0.2, 0);
		slope_dedupe(0, 0.0001);
		slope_dedupe(0, 0.01);
	}
	return 0;
}
