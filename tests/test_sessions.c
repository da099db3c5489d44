/*
 * Golden sessions: each script drives the reducers under a simulated clock, and
 * its complete log is compared with the expected file. MST_GOLDEN_UPDATE=1
 * rewrites the expected files.
 *
 * Commands, one per line; # starts a comment:
 *   entry NAME | agent NAME SLOTS [ACCELERATORS]
 *   config ENTRY VERSION JSON
 *   run MS                               advances the clock
 *   ticket ENTRY JOB                     requests a ticket
 *   submit ENTRY JOB TASKS MS [TIMEOUT_MS [idempotent]]
 *   submit_accelerated ENTRY JOB         submits a task that needs an
 *                                        accelerator
 *   cancel ENTRY JOB
 *   kill|restart|pause|resume|drain NODE
 *   cut|restore A B | drop|repeat A B COUNT | delay A B MS
 *   upstream NODE ok|fail|hang|reset|down
 *   show                                 logs starts and configurations
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/sim.h"

#define SESSION_LATENCY_US 500
#define SESSION_WORDS_MAX  8

enum upstream_mode {
	UPSTREAM_OK = 0,
	UPSTREAM_FAIL,
	UPSTREAM_HANG,
	UPSTREAM_RESET,
	UPSTREAM_DOWN
};

struct session {
	struct sim *sim;
	GString *log;
	GHashTable *nodes; /* name -> node id + 1 */
	GHashTable *jobs;  /* name -> struct mst_ticket */
	GPtrArray *names;
	enum upstream_mode upstream_modes[SIM_NODES_MAX];
};

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct session *session = ctx;
	struct sim_task_result service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};

	service.duration_us =
	    (int64_t)strtol(task->path.data + 1, NULL, 10) * 1000;
	switch (session->upstream_modes[agent]) {
	case UPSTREAM_OK:
		break;
	case UPSTREAM_FAIL:
		service.duration_us = 1000;
		service.status = 500;
		break;
	case UPSTREAM_HANG:
		service.duration_us = -1;
		break;
	case UPSTREAM_RESET:
		service.duration_us = 1000;
		service.outcome = MST_OUTCOME_UNKNOWN;
		service.reason = MST_REASON_UPSTREAM_RESET;
		break;
	case UPSTREAM_DOWN:
		service.duration_us = 1000;
		service.outcome = MST_OUTCOME_NOT_RUN;
		service.reason = MST_REASON_UPSTREAM_DOWN;
		break;
	}
	return service;
}

static void
on_log(void *ctx, const char *line)
{
	struct session *session = ctx;

	g_string_append_printf(session->log, "%s\n", line);
}

static int
find_node(const struct session *session, const char *name)
{
	int node_plus_one =
	    GPOINTER_TO_INT(g_hash_table_lookup(session->nodes, name));

	if (node_plus_one == 0)
		g_error("unknown node: %s", name);
	return node_plus_one - 1;
}

/* Returns a job's ticket; it is zero until the job has been given one. */
static struct mst_ticket *
get_ticket(struct session *session, const char *name)
{
	struct mst_ticket *ticket = g_hash_table_lookup(session->jobs, name);

	if (ticket == NULL) {
		ticket = g_new0(struct mst_ticket, 1);
		g_hash_table_insert(session->jobs, g_strdup(name), ticket);
	}
	return ticket;
}

static void
add_node(struct session *session, char **words, int count)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	int node;

	if (strcmp(words[0], "entry") == 0) {
		node = sim_add_entry(session->sim, words[1]);
	} else {
		options.slots = (uint32_t)strtoul(words[2], NULL, 10);
		if (count > 3)
			options.resources.accelerators =
			    (uint32_t)strtoul(words[3], NULL, 10);
		node = sim_add_agent(session->sim, words[1], &options);
	}
	g_hash_table_insert(
	    session->nodes, g_strdup(words[1]), GINT_TO_POINTER(node + 1));
}

static void
submit_job(struct session *session, char **words, int count)
{
	int entry = find_node(session, words[1]);
	struct mst_ticket *ticket = get_ticket(session, words[2]);
	bool accelerated = strcmp(words[0], "submit_accelerated") == 0;
	uint32_t task_count =
	    accelerated ? 1 : (uint32_t)strtoul(words[3], NULL, 10);
	struct mst_task_spec *specs = g_new0(struct mst_task_spec, task_count);
	struct mst_job_spec spec = {.ticket = *ticket,
	    .fingerprint = g_str_hash(words[2]),
	    .team = "team",
	    .count = task_count,
	    .tasks = specs};
	char *path = g_strdup_printf("/%sms", accelerated ? "10" : words[4]);
	const struct sim_request *request;
	uint32_t i;

	for (i = 0; i < task_count; i++) {
		specs[i].method = mst_bytes_from_str("POST");
		specs[i].path = mst_bytes_from_str(path);
		specs[i].declared_us =
		    (uint32_t)strtoul(path + 1, NULL, 10) * 1000;
		specs[i].needs.accelerators = accelerated;
		if (count > 6)
			specs[i].flags = MST_TASK_IDEMPOTENT;
	}
	if (count > 5)
		spec.timeout_ms = (uint32_t)strtoul(words[5], NULL, 10);
	request = sim_get_request(
	    session->sim, sim_submit(session->sim, entry, &spec));
	if (ticket->job.issuer == 0)
		*ticket = request->ticket;
	g_free(path);
	g_free(specs);
}

static void
change_link(struct session *session, char **words, int count)
{
	struct sim_link *forward = sim_get_link(session->sim,
	    find_node(session, words[1]), find_node(session, words[2]));
	struct sim_link *backward = sim_get_link(session->sim,
	    find_node(session, words[2]), find_node(session, words[1]));
	unsigned value = count > 3 ? (unsigned)strtoul(words[3], NULL, 10) : 0;

	if (strcmp(words[0], "cut") == 0)
		forward->cut = backward->cut = true;
	else if (strcmp(words[0], "restore") == 0)
		forward->cut = backward->cut = false;
	else if (strcmp(words[0], "drop") == 0)
		forward->drop_next = value;
	else if (strcmp(words[0], "repeat") == 0)
		forward->repeat_next = value;
	else
		forward->delay_us = (int64_t)value * 1000;
}

static void
set_upstream_mode(struct session *session, char **words)
{
	static const char *const mode_names[] = {
	    "ok", "fail", "hang", "reset", "down"};
	int i;

	for (i = 0; i < 5; i++) {
		if (strcmp(mode_names[i], words[2]) == 0)
			session->upstream_modes[find_node(session, words[1])] =
			    (enum upstream_mode)i;
	}
}

static void
log_state(struct session *session)
{
	struct mst_entry_gauges gauges;
	GHashTableIter iter;
	gpointer key, value;

	sim_log(session->sim, "task starts %" PRIu64 ", repeated %u",
	    sim_count_all_starts(session->sim),
	    sim_count_repeated_starts(session->sim));
	g_hash_table_iter_init(&iter, session->nodes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct mst_entry *entry =
		    sim_get_entry(session->sim, GPOINTER_TO_INT(value) - 1);

		if (entry == NULL)
			continue;
		gauges = mst_entry_gauges(entry);
		sim_log(session->sim,
		    "entry %s config %" PRIu64 " active members %u",
		    (char *)key, gauges.config_version, gauges.members_active);
	}
}

static void
control_process(struct session *session, char **words)
{
	int node = find_node(session, words[1]);

	if (strcmp(words[0], "kill") == 0)
		sim_kill(session->sim, node);
	else if (strcmp(words[0], "restart") == 0)
		sim_restart(session->sim, node);
	else if (strcmp(words[0], "pause") == 0)
		sim_pause(session->sim, node);
	else if (strcmp(words[0], "resume") == 0)
		sim_resume(session->sim, node);
	else if (strcmp(words[0], "drain") == 0)
		sim_drain(session->sim, node);
	else if (strcmp(words[0], "first_format") == 0)
		sim_set_first_format(session->sim, node, true);
	else if (strcmp(words[0], "current_format") == 0)
		sim_set_first_format(session->sim, node, false);
	else
		g_error("unknown command: %s", words[0]);
}

static bool
is_one_of(const char *word, const char *const *list)
{
	return g_strv_contains(list, word);
}

static void
execute_line(struct session *session, const char *line)
{
	static const char *const add_commands[] = {"entry", "agent", NULL};
	static const char *const submit_commands[] = {
	    "submit", "submit_accelerated", NULL};
	static const char *const link_commands[] = {
	    "cut", "restore", "drop", "repeat", "delay", NULL};
	char **words = g_strsplit(line, " ", SESSION_WORDS_MAX);
	int count = (int)g_strv_length(words);
	struct sim *sim = session->sim;

	if (count == 0 || *words[0] == '\0' || *words[0] == '#') {
		g_strfreev(words);
		return;
	}
	g_string_append_printf(session->log, "> %s\n", line);
	if (is_one_of(words[0], add_commands))
		add_node(session, words, count);
	else if (is_one_of(words[0], submit_commands))
		submit_job(session, words, count);
	else if (is_one_of(words[0], link_commands))
		change_link(session, words, count);
	else if (strcmp(words[0], "config") == 0)
		sim_configure(sim, find_node(session, words[1]),
		    strtoull(words[2], NULL, 10), words[3]);
	else if (strcmp(words[0], "run") == 0)
		sim_run_until(sim,
		    sim_now(sim) + (int64_t)strtol(words[1], NULL, 10) * 1000);
	else if (strcmp(words[0], "ticket") == 0)
		*get_ticket(session, words[2]) = sim_get_request(
		    sim, sim_request_ticket(sim, find_node(session, words[1])))
						     ->ticket;
	else if (strcmp(words[0], "cancel") == 0)
		sim_cancel(sim, find_node(session, words[1]),
		    get_ticket(session, words[2])->job);
	else if (strcmp(words[0], "upstream") == 0)
		set_upstream_mode(session, words);
	else if (strcmp(words[0], "show") == 0)
		log_state(session);
	else
		control_process(session, words);
	g_strfreev(words);
}

static void
compare_with_golden(const char *golden_path, const GString *log)
{
	char *expected = NULL;
	char *actual_path;

	if (g_getenv("MST_GOLDEN_UPDATE") != NULL) {
		g_file_set_contents(
		    golden_path, log->str, (gssize)log->len, NULL);
		return;
	}
	g_file_get_contents(golden_path, &expected, NULL, NULL);
	if (expected == NULL || strcmp(expected, log->str) != 0) {
		actual_path = g_strdup_printf("%s.actual", golden_path);
		g_file_set_contents(
		    actual_path, log->str, (gssize)log->len, NULL);
		g_test_message("%s differs from %s", actual_path, golden_path);
		g_free(actual_path);
		g_test_fail();
	}
	g_free(expected);
}

static void
run_session(gconstpointer data)
{
	const char *script_path = data;
	struct session session = {.log = g_string_new(NULL)};
	struct sim_options options = {.seed = 1,
	    .latency_us = SESSION_LATENCY_US,
	    .get_task_result = serve_task,
	    .on_log = on_log,
	    .ctx = &session};
	char *script = NULL, *golden_path;
	char **lines;
	int i;

	g_assert_true(g_file_get_contents(script_path, &script, NULL, NULL));
	session.sim = sim_new(&options);
	session.nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	session.jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lines = g_strsplit(script, "\n", -1);
	for (i = 0; lines[i] != NULL; i++)
		execute_line(&session, lines[i]);
	/* In no session may a task start twice, unless it is idempotent. */
	g_assert_cmpuint(sim_count_repeated_starts(session.sim), ==, 0);
	golden_path = g_strdup_printf("%.*s.expected",
	    (int)(strlen(script_path) - strlen(".script")), script_path);
	compare_with_golden(golden_path, session.log);
	g_free(golden_path);
	g_strfreev(lines);
	g_free(script);
	g_hash_table_unref(session.nodes);
	g_hash_table_unref(session.jobs);
	sim_free(session.sim);
	g_string_free(session.log, TRUE);
}

int
main(int argc, char **argv)
{
	const char *name;
	char *script_path, *test_path;
	GDir *dir;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	dir = g_dir_open("golden", 0, NULL);
	while ((name = g_dir_read_name(dir)) != NULL) {
		if (!g_str_has_suffix(name, ".script"))
			continue;
		script_path = g_strdup_printf("golden/%s", name);
		test_path = g_strdup_printf("/sessions/%.*s",
		    (int)(strlen(name) - strlen(".script")), name);
		g_test_add_data_func_full(
		    test_path, script_path, run_session, g_free);
		g_free(test_path);
	}
	g_dir_close(dir);
	return g_test_run();
}
