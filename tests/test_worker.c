/*
 * A leased agent and its worker, step by step: scripts in
 * golden/worker drive the agent's reducer under a paused clock, the
 * whole log is expected. MST_GOLDEN_UPDATE=1 writes the expected files anew.
 *
 * Commands, one a line; # starts a comment:
 *   agent                         a new life of the agent
 *   report LIFE STATE             the worker reports itself ready or draining
 *   entry E                       heartbeat of an entry, with a fresh echo
 *   dispatch E SEQ TASK [AGE_MS [ECHO_AGE_MS]]   a task; valid for 400 ms less
 *                                 its age, sent by what was known so long ago
 *   withdraw E SEQ
 *   start STATUS | stop STATUS    answers the oldest such order
 *   list LIFE CLOCK [TASK/RUN...] [N/TASK/RUN/HOW...]   answers the oldest HOLD
 *   hold STATUS                   answers it without lists
 *   run MS                        time passes
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <masticstall.h>

#define WORDS_MAX   16
#define ITEMS_MAX   8
#define TICK_US     (10 * 1000)
#define VALID_MS    400
#define INCARNATION 1000
#define MILLICORES  1600

/* An order without an answer. */
struct open_order {
	enum mst_order_kind kind;
	uint64_t id;
	int64_t sent_us;
};

struct play {
	struct mst_agent *agent;
	uint64_t lives;
	int64_t now_us;
	GArray *orders; /* struct open_order, oldest first */
	GString *log;
	GHashTable *sent_upto; /* entry -> highest sequence */
};

static void G_GNUC_PRINTF(2, 3) say(struct play *play, const char *format, ...)
{
	va_list args;

	g_string_append_printf(
	    play->log, "%6.1f ", (double)play->now_us / 1000);
	va_start(args, format);
	g_string_append_vprintf(play->log, format, args);
	va_end(args);
	g_string_append_c(play->log, '\n');
}

static void
say_order(struct play *play, const struct mst_order *order)
{
	static const char *const kinds[] = {"", "START", "STOP", "HOLD"};
	const char *renews =
	    order->lease_end_ms > 0 ? "renews" : "does not renew";

	if (order->kind == MST_ORDER_RENEW)
		say(play, "HOLD fence %" PRIu64 ", ends seen %" PRIu64 ", %s",
		    order->fence, order->completions_acked, renews);
	else
		say(play, "%s %.*s run %u, fence %" PRIu64, kinds[order->kind],
		    (int)order->task.len, order->task.data, order->run,
		    order->fence);
}

static void
take_order(struct play *play, const struct mst_order *order)
{
	const struct open_order open = {
	    .kind = order->kind, .id = order->id, .sent_us = play->now_us};

	say_order(play, order);
	g_array_append_val(play->orders, open);
}

static void
say_message(struct play *play, const struct mst_msg *msg)
{
	uint32_t i;

	if (msg->type == MST_MSG_ANNOUNCE && msg->to == 0)
		say(play, "announces itself");
	for (i = 0; msg->type == MST_MSG_RESULT && i < msg->results.count; i++)
		say(play, "result for entry %" PRIu64 ": %" PRIu64 " %s %s",
		    msg->to, msg->results.items[i].seq,
		    mst_outcome_name(msg->results.items[i].outcome),
		    mst_reason_name(msg->results.items[i].reason));
}

static void
execute(struct play *play, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		switch (effect->type) {
		case MST_AGENT_FX_ORDER:
			take_order(play, &effect->order);
			break;
		case MST_AGENT_FX_SEND:
			say_message(play, &effect->msg);
			break;
		case MST_AGENT_FX_WORKER:
			say(play, "worker %s", effect->state);
			break;
		case MST_AGENT_FX_LEASE:
			say(play, "lease of entry %" PRIu64 " lapsed",
			    effect->entry);
			break;
		default:
			break;
		}
	}
}

static void
step(struct play *play, struct mst_agent_event *event)
{
	struct mst_agent_event flush = {
	    .type = MST_AGENT_EV_FLUSH, .now_us = play->now_us};

	event->now_us = play->now_us;
	execute(play, mst_agent_step(play->agent, event));
	execute(play, mst_agent_step(play->agent, &flush));
}

static void
step_message(struct play *play, struct mst_msg *msg)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};

	msg->to = INCARNATION + play->lives;
	step(play, &event);
}

static void
do_agent(struct play *play, char **words)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_agent_free(play->agent);
	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_lease(&options, &times);
	options.incarnation = INCARNATION + ++play->lives;
	mst_agent_new(&play->agent, &options);
	g_array_set_size(play->orders, 0);
	say(play, "agent, life %" PRIu64, play->lives);
}

static void
do_report(struct play *play, char **words)
{
	struct mst_worker_report report = {.id = mst_bytes_from_str("w"),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = strtoull(words[1], NULL, 10),
	    .seq = (uint64_t)play->now_us,
	    .capacity = {.millicores = 16000, .memory_mb = 32768},
	    .draining = strcmp(words[2], "draining") == 0};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	step(play, &event);
}

static void
do_entry(struct play *play, char **words)
{
	uint64_t entry = strtoull(words[1], NULL, 10);
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT, .from = entry};

	msg.heartbeat.echo_us = (uint64_t)play->now_us;
	msg.heartbeat.sent_through = GPOINTER_TO_UINT(
	    g_hash_table_lookup(play->sent_upto, (gpointer)entry));
	step_message(play, &msg);
}

static void
do_dispatch(struct play *play, char **words, int count)
{
	int64_t age_ms = count > 4 ? strtol(words[4], NULL, 10) : 0;
	int64_t echo_age_ms = count > 5 ? strtol(words[5], NULL, 10) : age_ms;
	struct mst_dispatch_item item = {.seq = strtoull(words[2], NULL, 10),
	    .timeout_ms = 1500,
	    .run = 1,
	    .expected_service_us = 100000,
	    .needs = {.millicores = MILLICORES},
	    .path = mst_bytes_from_str(words[3])};
	struct mst_msg msg = {
	    .type = MST_MSG_DISPATCH, .from = strtoull(words[1], NULL, 10)};

	msg.dispatch.echo_us = (uint64_t)(play->now_us - echo_age_ms * 1000);
	msg.dispatch.expires_us =
	    (uint64_t)(play->now_us + (VALID_MS - age_ms) * 1000);
	msg.dispatch.count = 1;
	msg.dispatch.items = &item;
	g_hash_table_replace(play->sent_upto, (gpointer)msg.from,
	    GUINT_TO_POINTER((guint)item.seq));
	step_message(play, &msg);
}

static void
do_withdraw(struct play *play, char **words)
{
	const uint64_t seq = strtoull(words[2], NULL, 10);
	struct mst_msg msg = {.type = MST_MSG_WITHDRAW,
	    .from = strtoull(words[1], NULL, 10),
	    .withdraw = {.count = 1, .seqs = &seq}};

	step_message(play, &msg);
}

static enum mst_order_status
status_of(const char *name)
{
	int status;

	for (status = MST_ORDER_DONE; status <= MST_ORDER_INVALID; status++) {
		if (strcmp(mst_order_status_name(status), name) == 0)
			return (enum mst_order_status)status;
	}
	g_error("there is no status %s", name);
}

/* Answers the oldest order of a kind. */
static void
answer(
    struct play *play, enum mst_order_kind kind, struct mst_order_answer *out)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDERED, .answer = out};
	guint i = 0;

	while (i < play->orders->len &&
	    g_array_index(play->orders, struct open_order, i).kind != kind)
		i++;
	if (i == play->orders->len)
		g_error("no such order is open:\n%s", play->log->str);
	out->kind = kind;
	out->id = g_array_index(play->orders, struct open_order, i).id;
	out->sent_us =
	    g_array_index(play->orders, struct open_order, i).sent_us;
	g_array_remove_index(play->orders, i);
	step(play, &event);
}

static enum mst_run_status
how_of(const char *name)
{
	return strcmp(name, "done") == 0  ? MST_RUN_DONE
	    : strcmp(name, "failed") == 0 ? MST_RUN_FAILED
	    : strcmp(name, "lapsed") == 0 ? MST_RUN_LAPSED
					  : MST_RUN_STOPPED;
}

static void
do_list(struct play *play, char **words, int count)
{
	struct mst_worker_run running[ITEMS_MAX];
	struct mst_worker_completion ended[ITEMS_MAX];
	struct mst_order_answer out = {.status = MST_ORDER_DONE,
	    .incarnation = strtoull(words[1], NULL, 10),
	    .clock_ms = strtol(words[2], NULL, 10),
	    .running = running,
	    .completions = ended};
	char **parts[WORDS_MAX];
	int i;

	for (i = 3; i < count; i++) {
		parts[i] = g_strsplit(words[i], "/", 4);
		if (g_strv_length(parts[i]) == 2)
			running[out.running_count++] = (struct mst_worker_run){
			    .task = mst_bytes_from_str(parts[i][0]),
			    .run = (uint32_t)strtoul(parts[i][1], NULL, 10)};
		else
			ended[out.completion_count++] =
			    (struct mst_worker_completion){
				.seq = strtoull(parts[i][0], NULL, 10),
				.task = mst_bytes_from_str(parts[i][1]),
				.run = (uint32_t)strtoul(parts[i][2], NULL, 10),
				.status = how_of(parts[i][3])};
	}
	answer(play, MST_ORDER_RENEW, &out);
	for (i = 3; i < count; i++)
		g_strfreev(parts[i]);
}

static void
do_answer(struct play *play, enum mst_order_kind kind, char **words)
{
	struct mst_order_answer out = {.status = status_of(words[1])};

	answer(play, kind, &out);
}

static void
do_run(struct play *play, char **words)
{
	int64_t until_us =
	    play->now_us + (int64_t)strtol(words[1], NULL, 10) * 1000;
	struct mst_agent_event event = {.type = MST_AGENT_EV_TICK};

	while (play->now_us < until_us) {
		play->now_us += TICK_US;
		step(play, &event);
	}
}

static void
play_line(struct play *play, char **words, int count)
{
	const char *name = words[0];

	if (strcmp(name, "agent") == 0)
		do_agent(play, words);
	else if (strcmp(name, "report") == 0)
		do_report(play, words);
	else if (strcmp(name, "entry") == 0)
		do_entry(play, words);
	else if (strcmp(name, "dispatch") == 0)
		do_dispatch(play, words, count);
	else if (strcmp(name, "withdraw") == 0)
		do_withdraw(play, words);
	else if (strcmp(name, "list") == 0)
		do_list(play, words, count);
	else if (strcmp(name, "start") == 0)
		do_answer(play, MST_ORDER_START, words);
	else if (strcmp(name, "stop") == 0)
		do_answer(play, MST_ORDER_STOP, words);
	else if (strcmp(name, "hold") == 0)
		do_answer(play, MST_ORDER_RENEW, words);
	else if (strcmp(name, "run") == 0)
		do_run(play, words);
	else
		g_error("there is no command %s", name);
}

static void
play_script(struct play *play, const char *script)
{
	char **lines = g_strsplit(script, "\n", -1);
	int i;

	for (i = 0; lines[i] != NULL; i++) {
		char **words;

		*strchrnul(lines[i], '#') = '\0';
		g_strstrip(lines[i]);
		if (*lines[i] == '\0')
			continue;
		words = g_strsplit(lines[i], " ", WORDS_MAX);
		g_string_append_printf(play->log, "> %s\n", lines[i]);
		play_line(play, words, (int)g_strv_length(words));
		g_strfreev(words);
	}
	g_strfreev(lines);
}

static void
session__matches(gconstpointer data)
{
	const char *name = data;
	char *path = g_strdup_printf("golden/worker/%s.script", name);
	char *golden = g_strdup_printf("golden/worker/%s.expected", name);
	struct play play = {.now_us = G_USEC_PER_SEC,
	    .orders = g_array_new(FALSE, FALSE, sizeof(struct open_order)),
	    .log = g_string_new(NULL),
	    .sent_upto = g_hash_table_new(g_direct_hash, g_direct_equal)};
	char *script = NULL, *expected = NULL;

	g_assert_true(g_file_get_contents(path, &script, NULL, NULL));
	play_script(&play, script);
	if (getenv("MST_GOLDEN_UPDATE") != NULL)
		g_file_set_contents(golden, play.log->str, -1, NULL);
	g_assert_true(g_file_get_contents(golden, &expected, NULL, NULL));
	g_assert_cmpstr(play.log->str, ==, expected);
	mst_agent_free(play.agent);
	g_array_unref(play.orders);
	g_string_free(play.log, TRUE);
	g_hash_table_unref(play.sent_upto);
	g_free(script);
	g_free(expected);
	g_free(path);
	g_free(golden);
}

int
main(int argc, char **argv)
{
	static const char *const names[] = {"plain", "earlier_life",
	    "unanswered_start", "restarted", "lease_lapses", "fenced",
	    "start_after_stop", "gone"};
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_strconcat("/worker/", names[i], NULL);

		g_test_add_data_func(path, names[i], session__matches);
		g_free(path);
	}
	return g_test_run();
}
