/*
 * Scripted tests of a leased agent and its worker: each script in golden/worker
 * drives the agent's reducer under a simulated clock, and the resulting log is
 * compared with the expected file beside it.
 * MST_GOLDEN_UPDATE=1 rewrites the expected files.
 *
 * A script has one command per line; # starts a comment:
 *   agent [stored]                starts a new incarnation of the agent, one
 *                                 that serves stored jobs
 *   report INCARNATION STATE [ID [AGE_MS]]
 *                                 the worker ID (default: w) reports that it is
 *                                 ready, draining or gone; the report was sent
 *                                 AGE_MS ago
 *   kept INCARNATION STATE [ID]   the report that an earlier incarnation of the
 *                                 agent has kept arrives
 *   heartbeat E                   delivers a heartbeat of entry E that echoes
 *                                 the agent's current clock
 *   greet E                       the same, with the build of entry E
 *   dispatch E SEQ TASK [AGE_MS [ECHO_AGE_MS]]
 *                                 delivers a dispatch of a task from entry E,
 *                                 valid for another 400 ms less AGE_MS; it
 *                                 echoes the agent's clock of ECHO_AGE_MS ago
 *                                 (default: AGE_MS)
 *   stored E SEQ TASK             delivers a dispatch of a stored job's task,
 *                                 whose record has the owner E and the term 1
 *   isolated E SEQ TASK           the same for an isolated task
 *   suspect E SEQ TASK            the same for a suspect, which is isolated too
 *   withdraw E SEQ                entry E withdraws a task
 *   start STATUS                  answers the oldest pending START order
 *   stop STATUS                   answers the oldest pending STOP order
 *   list INCARNATION CLOCK_MS [TASK/RUN...] [SEQ/TASK/RUN/STATUS...] [more]
 *                                 answers the oldest pending RENEW order with
 *                                 the running and the completed runs, of which
 *                                 the worker may have more
 *   renew STATUS                  answers the oldest pending RENEW order
 *                                 without lists
 *   record FOUND                  answers the oldest operation on a record:
 *                                 none, stored (owned by another entry), owned
 *                                 (owned by entry 1 with the term 1), or lost
 *                                 if there is no answer
 *   run MS                        advances the clock
 *   pause MS                      advances the clock without ticks, as when the
 *                                 process is frozen
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <masticstall.h>

#define WORDS_MAX         16
#define LIST_MAX          8 /* runs or completions in one list */
#define TICK_US           (10 * 1000)
#define DISPATCH_VALID_MS 400
#define INCARNATION_BASE  1000
#define MILLICORES        1600
#define SHORT_LEASE_MS    400
#define USUAL_ID          "w" /* of the worker, unless a script names it */

/* An order to the worker that has not been answered yet. */
struct pending_order {
	enum mst_order_kind kind;
	uint64_t id;
	int64_t sent_us;
};

struct harness {
	struct mst_agent *agent;
	uint64_t agent_incarnation; /* from 1; INCARNATION_BASE is added */
	int64_t now_us;
	GArray *orders;  /* struct pending_order, oldest first */
	GArray *lookups; /* uint64_t ids of store operations, oldest first */
	int64_t clock_offset_ms; /* of the worker, from the last list */
	GString *log;
	GHashTable *sent_through; /* entry -> highest sequence dispatched */
	int64_t reports;          /* sent */
};

static void G_GNUC_PRINTF(2, 3)
    log_line(struct harness *harness, const char *format, ...)
{
	va_list args;

	g_string_append_printf(
	    harness->log, "%6.1f ", (double)harness->now_us / 1000);
	va_start(args, format);
	g_string_append_vprintf(harness->log, format, args);
	va_end(args);
	g_string_append_c(harness->log, '\n');
}

/* Returns the worker that an order names, unless that is usual; the caller
 * frees the text. */
static char *
format_target(const struct mst_order *order)
{
	bool is_start = order->kind == MST_ORDER_START;

	if (is_start && order->worker_id.len == 0)
		return g_strdup(", for any worker");
	if (order->worker_id.len == 0 ||
	    (is_start && mst_bytes_equal_str(order->worker_id, USUAL_ID)))
		return g_strdup("");
	return g_strdup_printf(
	    ", for %.*s", (int)order->worker_id.len, order->worker_id.data);
}

static void
log_order(struct harness *harness, const struct mst_order *order)
{
	static const char *const kinds[] = {"", "START", "STOP", "RENEW"};
	int64_t clock_ms = harness->now_us / 1000 + harness->clock_offset_ms;
	int64_t lease_ms = order->lease_end_ms - clock_ms;
	char lease_text[32] = "not renewed";
	char *target = format_target(order);

	if (order->lease_end_ms > 0 && lease_ms >= SHORT_LEASE_MS)
		g_strlcpy(lease_text, "renewed", sizeof(lease_text));
	else if (order->lease_end_ms > 0)
		g_snprintf(lease_text, sizeof(lease_text), "renewed for %d ms",
		    (int)(lease_ms / 10 * 10));
	if (order->kind == MST_ORDER_RENEW)
		log_line(harness,
		    "RENEW fence %" PRIu64
		    ", completions acknowledged through %" PRIu64
		    ", lease %s%s",
		    order->fence, order->completions_acked, lease_text, target);
	else
		log_line(harness, "%s %.*s run %u, fence %" PRIu64 "%s",
		    kinds[order->kind], (int)order->task.len, order->task.data,
		    order->run, order->fence, target);
	g_free(target);
}

static void
record_order(struct harness *harness, const struct mst_order *order)
{
	const struct pending_order pending = {
	    .kind = order->kind, .id = order->id, .sent_us = harness->now_us};

	log_order(harness, order);
	g_array_append_val(harness->orders, pending);
}

static void
log_crashes(struct harness *harness, const struct mst_crashes *crashes)
{
	uint32_t i, k;

	for (i = 0; i < crashes->count; i++) {
		const struct mst_crash *crash = &crashes->items[i];

		for (k = 0; k < crash->run_count; k++)
			log_line(harness, "crash %" PRIu64 ": %.*s %s",
			    crash->number, (int)crash->runs[k].task.len,
			    crash->runs[k].task.data,
			    crash->cleared ? "cleared" : "present");
	}
}

static void
log_starts(struct harness *harness, const struct mst_msg *msg)
{
	const struct mst_uncertain_starts *starts = &msg->uncertain_starts;
	uint32_t i;

	for (i = 0;
	     msg->type == MST_MSG_RESULT && i < msg->results.confirmed_count;
	     i++)
		log_line(harness, "confirmed to entry %" PRIu64 ": %" PRIu64,
		    msg->to, msg->results.confirmed_seqs[i]);
	for (i = 0; msg->type == MST_MSG_UNCERTAIN_STARTS && i < starts->count;
	     i++)
		log_line(harness,
		    "uncertain start told to entry %" PRIu64
		    ": task %u of %.*s at %.*s",
		    msg->to, starts->items[i].index,
		    (int)starts->items[i].job.len, starts->items[i].job.data,
		    (int)starts->items[i].host.len, starts->items[i].host.data);
}

static void
log_message(struct harness *harness, const struct mst_msg *msg)
{
	uint32_t i;

	log_starts(harness, msg);

	if (msg->type == MST_MSG_ANNOUNCE && msg->to == 0)
		log_line(harness, "announcement to all entries");
	if (msg->type == MST_MSG_CRASHES)
		log_crashes(harness, &msg->crashes);
	for (i = 0; msg->type == MST_MSG_RESULT && i < msg->results.count; i++)
		log_line(harness,
		    "result for entry %" PRIu64 ": %" PRIu64 " %s %s", msg->to,
		    msg->results.items[i].seq,
		    mst_outcome_name(msg->results.items[i].outcome),
		    mst_reason_name(msg->results.items[i].reason));
}

static void
log_worker_state(struct harness *harness, const struct mst_agent_effect *effect)
{
	if (effect->restart_cause == MST_RESTART_UNKNOWN)
		log_line(harness, "worker %s", effect->state);
	else
		log_line(harness, "worker %s, shown by %s", effect->state,
		    mst_restart_cause_name(effect->restart_cause));
}

static void
log_ended_run(struct harness *harness, const struct mst_agent_effect *effect)
{
	log_line(harness, "%.*s ended, proof %s%s", (int)effect->task->path.len,
	    effect->task->path.data, mst_run_proof_name(effect->proof),
	    effect->result.start_uncertain ? ", start uncertain" : "");
}

static void
apply_effects(struct harness *harness, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		switch (effect->type) {
		case MST_AGENT_FX_ORDER:
			record_order(harness, &effect->order);
			break;
		case MST_AGENT_FX_SEND:
			log_message(harness, &effect->msg);
			break;
		case MST_AGENT_FX_WORKER:
			log_worker_state(harness, effect);
			break;
		case MST_AGENT_FX_STORE:
			log_line(harness, "record of %s %s", effect->op.key,
			    effect->op.kind == MST_STORE_GET_RECORD
				? "looked up"
				: "updated");
			g_array_append_val(harness->lookups, effect->op.id);
			break;
		case MST_AGENT_FX_LOAD_REPORT:
			log_line(harness, "kept report asked for");
			break;
		case MST_AGENT_FX_UNKNOWN_RUN:
			log_line(harness,
			    "unknown run %.*s/%u at worker %" PRIu64,
			    (int)effect->unknown_run.task.len,
			    effect->unknown_run.task.data,
			    effect->unknown_run.run,
			    effect->worker_incarnation);
			break;
		case MST_AGENT_FX_RUN_FAILED:
			log_ended_run(harness, effect);
			break;
		case MST_AGENT_FX_REPORT_REFUSED:
			log_line(harness, "report of %.*s refused",
			    (int)effect->report->id.len,
			    effect->report->id.data);
			break;
		case MST_AGENT_FX_LEASE_EXPIRED:
			log_line(harness, "lease of entry %" PRIu64 " lapsed",
			    effect->entry);
			break;
		default:
			break;
		}
	}
}

/* Applies an event and a flush to the agent, and logs their effects. */
static void
step_event(struct harness *harness, struct mst_agent_event *event)
{
	struct mst_agent_event flush = {
	    .type = MST_AGENT_EV_FLUSH, .now_us = harness->now_us};

	event->now_us = harness->now_us;
	apply_effects(harness, mst_agent_step(harness->agent, event));
	apply_effects(harness, mst_agent_step(harness->agent, &flush));
}

/* Delivers a message to the agent's present incarnation. */
static void
deliver_message(struct harness *harness, struct mst_msg *msg)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};

	msg->to = INCARNATION_BASE + harness->agent_incarnation;
	step_event(harness, &event);
}

static void
command_agent(struct harness *harness, char **words, int word_count)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_agent_free(harness->agent);
	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_set_leases(&options, &times);
	options.stored_jobs = word_count > 1;
	options.incarnation = INCARNATION_BASE + ++harness->agent_incarnation;
	mst_agent_new(&harness->agent, &options);
	g_array_set_size(harness->orders, 0);
	g_array_set_size(harness->lookups, 0);
	log_line(harness, "agent incarnation %" PRIu64 " started",
	    harness->agent_incarnation);
}

static void
command_report(struct harness *harness, enum mst_agent_event_type type,
    char **words, int word_count)
{
	int64_t behind = word_count > 4 ? strtol(words[4], NULL, 10) : 0;
	struct mst_worker_report report = {
	    .id = mst_bytes_from_str(word_count > 3 ? words[3] : USUAL_ID),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = strtoull(words[1], NULL, 10),
	    .seq = (uint64_t)(++harness->reports - behind),
	    .capacity = {.millicores = 16000, .memory_mb = 32768},
	    .draining = strcmp(words[2], "draining") == 0,
	    .shutting_down = strcmp(words[2], "gone") == 0};
	struct mst_agent_event event = {.type = type, .report = &report};

	step_event(harness, &event);
}

static void
command_heartbeat(
    struct harness *harness, char **words, struct mst_build_msg build)
{
	uint64_t entry = strtoull(words[1], NULL, 10);
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT, .from = entry};

	msg.heartbeat.echo_us = (uint64_t)harness->now_us;
	msg.heartbeat.sent_through = GPOINTER_TO_UINT(
	    g_hash_table_lookup(harness->sent_through, (gpointer)entry));
	msg.heartbeat.build = build;
	msg.heartbeat.peers = build.version;
	deliver_message(harness, &msg);
}

/* Delivers a dispatch that was sent age_ms ago and echoes the agent's clock of
 * echo_age_ms ago. */
static void
deliver_dispatch(struct harness *harness, uint64_t entry,
    const struct mst_dispatch_item *item, int64_t age_ms, int64_t echo_age_ms)
{
	struct mst_msg msg = {.type = MST_MSG_DISPATCH, .from = entry};

	msg.dispatch.echo_us = (uint64_t)(harness->now_us - echo_age_ms * 1000);
	msg.dispatch.expires_us =
	    (uint64_t)(harness->now_us + (DISPATCH_VALID_MS - age_ms) * 1000);
	msg.dispatch.count = 1;
	msg.dispatch.items = item;
	g_hash_table_replace(harness->sent_through, (gpointer)entry,
	    GUINT_TO_POINTER((guint)item->seq));
	deliver_message(harness, &msg);
}

static void
command_dispatch(
    struct harness *harness, uint32_t flags, char **words, int word_count)
{
	int64_t age_ms = word_count > 4 ? strtol(words[4], NULL, 10) : 0;
	int64_t echo_age_ms =
	    word_count > 5 ? strtol(words[5], NULL, 10) : age_ms;
	/* Tasks of one job have names with the same first letter. */
	struct mst_dispatch_item item = {.seq = strtoull(words[2], NULL, 10),
	    .job = {.issuer = 1, .counter = (uint64_t)words[3][0]},
	    .flags = flags,
	    .timeout_ms = 1500,
	    .run = 1,
	    .expected_service_us = 100000,
	    .needs = {.millicores = MILLICORES},
	    .path = mst_bytes_from_str(words[3])};

	deliver_dispatch(
	    harness, strtoull(words[1], NULL, 10), &item, age_ms, echo_age_ms);
}

static void
command_stored(struct harness *harness, char **words)
{
	uint64_t entry = strtoull(words[1], NULL, 10);
	struct mst_dispatch_item item = {.seq = strtoull(words[2], NULL, 10),
	    .timeout_ms = 1500,
	    .run = 1,
	    .expected_service_us = 100000,
	    .needs = {.millicores = MILLICORES},
	    .path = mst_bytes_from_str(words[3]),
	    .record = {.data = words[3], .len = strcspn(words[3], ".")},
	    .owner = entry,
	    .term = 1};

	deliver_dispatch(harness, entry, &item, 0, 0);
}

static void
command_withdraw(struct harness *harness, char **words)
{
	const uint64_t seq = strtoull(words[2], NULL, 10);
	struct mst_msg msg = {.type = MST_MSG_WITHDRAW,
	    .from = strtoull(words[1], NULL, 10),
	    .withdraw = {.count = 1, .seqs = &seq}};

	deliver_message(harness, &msg);
}

static enum mst_order_status
parse_order_status(const char *name)
{
	int status;

	for (status = MST_ORDER_DONE; status <= MST_ORDER_INVALID; status++) {
		if (strcmp(mst_order_status_name(status), name) == 0)
			return (enum mst_order_status)status;
	}
	g_error("unknown order status: %s", name);
}

/* Answers the oldest pending order of a kind. */
static void
answer_order(struct harness *harness, enum mst_order_kind kind,
    struct mst_order_answer *answer)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = answer};
	guint i = 0;

	while (i < harness->orders->len &&
	    g_array_index(harness->orders, struct pending_order, i).kind !=
		kind)
		i++;
	if (i == harness->orders->len)
		g_error("no pending order of the kind to be answered; log so "
			"far:\n%s",
		    harness->log->str);
	answer->kind = kind;
	answer->id = g_array_index(harness->orders, struct pending_order, i).id;
	answer->sent_us =
	    g_array_index(harness->orders, struct pending_order, i).sent_us;
	g_array_remove_index(harness->orders, i);
	step_event(harness, &event);
}

static enum mst_run_status
parse_run_status(const char *name)
{
	return strcmp(name, "done") == 0  ? MST_RUN_DONE
	    : strcmp(name, "failed") == 0 ? MST_RUN_FAILED
	    : strcmp(name, "lapsed") == 0 ? MST_RUN_LAPSED
					  : MST_RUN_STOPPED;
}

static void
command_list(struct harness *harness, char **words, int word_count)
{
	struct mst_worker_run running[LIST_MAX];
	struct mst_worker_completion completions[LIST_MAX];
	struct mst_order_answer answer = {.status = MST_ORDER_DONE,
	    .incarnation = strtoull(words[1], NULL, 10),
	    .clock_ms = strtol(words[2], NULL, 10),
	    .running = running,
	    .completions = completions};
	char **fields[WORDS_MAX];
	int i;

	harness->clock_offset_ms = answer.clock_ms - harness->now_us / 1000;
	for (i = 3; i < word_count; i++) {
		fields[i] = g_strsplit(words[i], "/", 4);
		if (strcmp(words[i], "more") == 0)
			answer.has_more_completions = true;
		else if (g_strv_length(fields[i]) == 2)
			running[answer.running_count++] =
			    (struct mst_worker_run){
				.task = mst_bytes_from_str(fields[i][0]),
				.run =
				    (uint32_t)strtoul(fields[i][1], NULL, 10)};
		else
			completions[answer.completion_count++] =
			    (struct mst_worker_completion){
				.seq = strtoull(fields[i][0], NULL, 10),
				.task = mst_bytes_from_str(fields[i][1]),
				.run =
				    (uint32_t)strtoul(fields[i][2], NULL, 10),
				.status = parse_run_status(fields[i][3])};
	}
	answer_order(harness, MST_ORDER_RENEW, &answer);
	for (i = 3; i < word_count; i++)
		g_strfreev(fields[i]);
}

static void
command_answer(struct harness *harness, enum mst_order_kind kind, char **words)
{
	struct mst_order_answer answer = {
	    .status = parse_order_status(words[1])};

	answer_order(harness, kind, &answer);
}

static void
command_record(struct harness *harness, char **words)
{
	const struct mst_stored_record record = {
	    .record = {.state = MST_RECORD_OPEN, .tasks = "w"}};
	const struct mst_stored_record owned = {.version = 1,
	    .record = {.owner = 1,
		.term = 1,
		.state = MST_RECORD_OPEN,
		.tasks = "000"}};
	struct mst_store_answer answer = {.status = MST_STORE_OK};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_STORE_ANSWER, .store_answer = &answer};

	if (harness->lookups->len == 0)
		g_error("no pending operation on a record; log so far:\n%s",
		    harness->log->str);
	answer.id = g_array_index(harness->lookups, uint64_t, 0);
	g_array_remove_index(harness->lookups, 0);
	if (strcmp(words[1], "lost") == 0)
		answer.status = MST_STORE_UNAVAILABLE;
	if (strcmp(words[1], "stored") == 0) {
		answer.records = &record;
		answer.record_count = 1;
	}
	if (strcmp(words[1], "owned") == 0) {
		answer.records = &owned;
		answer.record_count = 1;
	}
	step_event(harness, &event);
}

static void
command_run(struct harness *harness, char **words)
{
	int64_t until_us =
	    harness->now_us + (int64_t)strtol(words[1], NULL, 10) * 1000;
	struct mst_agent_event event = {.type = MST_AGENT_EV_TICK};

	while (harness->now_us < until_us) {
		harness->now_us += TICK_US;
		step_event(harness, &event);
	}
}

static void
run_command(struct harness *harness, char **words, int word_count)
{
	const char *name = words[0];

	if (strcmp(name, "agent") == 0)
		command_agent(harness, words, word_count);
	else if (strcmp(name, "report") == 0)
		command_report(harness, MST_AGENT_EV_REPORT, words, word_count);
	else if (strcmp(name, "kept") == 0)
		command_report(
		    harness, MST_AGENT_EV_KEPT_REPORT, words, word_count);
	else if (strcmp(name, "heartbeat") == 0)
		command_heartbeat(harness, words, (struct mst_build_msg){0});
	else if (strcmp(name, "greet") == 0)
		command_heartbeat(harness, words,
		    (struct mst_build_msg){.version = mst_bytes_from_str("9"),
			.features = MST_FEATURES});
	else if (strcmp(name, "dispatch") == 0)
		command_dispatch(harness, 0, words, word_count);
	else if (strcmp(name, "isolated") == 0)
		command_dispatch(harness, MST_TASK_ISOLATED, words, word_count);
	else if (strcmp(name, "suspect") == 0)
		command_dispatch(harness, MST_TASK_ISOLATED | MST_TASK_SUSPECT,
		    words, word_count);
	else if (strcmp(name, "stored") == 0)
		command_stored(harness, words);
	else if (strcmp(name, "withdraw") == 0)
		command_withdraw(harness, words);
	else if (strcmp(name, "list") == 0)
		command_list(harness, words, word_count);
	else if (strcmp(name, "start") == 0)
		command_answer(harness, MST_ORDER_START, words);
	else if (strcmp(name, "stop") == 0)
		command_answer(harness, MST_ORDER_STOP, words);
	else if (strcmp(name, "renew") == 0)
		command_answer(harness, MST_ORDER_RENEW, words);
	else if (strcmp(name, "record") == 0)
		command_record(harness, words);
	else if (strcmp(name, "run") == 0)
		command_run(harness, words);
	else if (strcmp(name, "pause") == 0)
		harness->now_us += strtol(words[1], NULL, 10) * 1000;
	else
		g_error("unknown command: %s", name);
}

static void
run_script(struct harness *harness, const char *script)
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
		g_string_append_printf(harness->log, "> %s\n", lines[i]);
		run_command(harness, words, (int)g_strv_length(words));
		g_strfreev(words);
	}
	g_strfreev(lines);
}

static void
worker__log_matches_golden_file(gconstpointer data)
{
	const char *script_name = data;
	char *script_path =
	    g_strdup_printf("golden/worker/%s.script", script_name);
	char *expected_path =
	    g_strdup_printf("golden/worker/%s.expected", script_name);
	struct harness harness = {.now_us = G_USEC_PER_SEC,
	    .orders = g_array_new(FALSE, FALSE, sizeof(struct pending_order)),
	    .lookups = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	    .log = g_string_new(NULL),
	    .sent_through = g_hash_table_new(g_direct_hash, g_direct_equal)};
	char *script = NULL, *expected = NULL;

	g_assert_true(g_file_get_contents(script_path, &script, NULL, NULL));
	run_script(&harness, script);
	if (getenv("MST_GOLDEN_UPDATE") != NULL)
		g_file_set_contents(expected_path, harness.log->str, -1, NULL);
	g_assert_true(
	    g_file_get_contents(expected_path, &expected, NULL, NULL));
	g_assert_cmpstr(harness.log->str, ==, expected);
	mst_agent_free(harness.agent);
	g_array_unref(harness.orders);
	g_array_unref(harness.lookups);
	g_string_free(harness.log, TRUE);
	g_hash_table_unref(harness.sent_through);
	g_free(script);
	g_free(expected);
	g_free(script_path);
	g_free(expected_path);
}

static void
add_scripts(const char *prefix, const char *const *scripts, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		char *path = g_strconcat(prefix, scripts[i], NULL);

		g_test_add_data_func(
		    path, scripts[i], worker__log_matches_golden_file);
		g_free(path);
	}
}

int
main(int argc, char **argv)
{
	static const char *const scripts[] = {"run_completes",
	    "earlier_incarnation", "fence_not_in_force", "paused",
	    "paused_abandoned", "stop_unanswered", "stop_refused_oddly",
	    "unanswered_start", "refused_copy", "restarted",
	    "start_repeated_after_restart", "lease_lapses", "fenced",
	    "start_after_stop", "worker_down", "kept_report",
	    "kept_report_gone", "unknown_completions",
	    "many_unknown_completions", "unrecordable_completions",
	    "long_lease", "refused_stop", "unreachable", "crash", "isolated",
	    "foreign_reports", "late_report", "foreign_kept_report",
	    "candidate_unanswered", "restart_reported", "time_of_day_back",
	    "answer_of_earlier_incarnation", "clock_gap", "start_names_worker",
	    "down_answer_late", "fence_rises", "unknown_run_bound",
	    "two_runs_of_task", "start_not_sent", "copy_after_restart",
	    "fence_same", "ended_with_open_copy", "starts_told",
	    "two_runs_withdrawn", "crash_unanswered", "crash_once",
	    "crash_repeated_start", "seq_far_ahead", "other_id",
	    "renew_other_id", "run_number_used", "id_of_order", "young_worker",
	    "more_completions", "no_room"};

	g_test_init(&argc, &argv, NULL);
	add_scripts("/worker/", scripts, G_N_ELEMENTS(scripts));
	return g_test_run();
}
