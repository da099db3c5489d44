/*
 * Golden sessions: scripts that drive the reducers under a paused clock, with
 * the whole log expected. MST_GOLDEN_UPDATE=1 writes the expected files anew.
 *
 * Commands, one a line; # starts a comment:
 *   entry NAME | agent NAME SLOTS [ACCELERATORS]
 *   config ENTRY VERSION JSON
 *   run MS
 *   ticket ENTRY JOB                     asks for a ticket
 *   submit ENTRY JOB TASKS MS [TIMEOUT_MS [idempotent]]
 *   accelerated ENTRY JOB                a task that needs an accelerator
 *   cancel ENTRY JOB
 *   kill|restart|pause|resume|drain NODE
 *   cut|heal A B | drop|repeat A B COUNT | delay A B MS
 *   upstream NODE ok|fail|hang|reset|down
 *   show                                 starts and configurations
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
	GHashTable *nodes; /* name -> index + 1 */
	GHashTable *jobs;  /* name -> struct mst_ticket */
	GPtrArray *names;
	enum upstream_mode modes[SIM_NODES_MAX];
};

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct session *session = ctx;
	struct sim_service service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};

	service.duration_us =
	    (int64_t)strtol(task->path.data + 1, NULL, 10) * 1000;
	switch (session->modes[agent]) {
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
node(const struct session *session, const char *name)
{
	int at = GPOINTER_TO_INT(g_hash_table_lookup(session->nodes, name));

	if (at == 0)
		g_error("there is no node %s", name);
	return at - 1;
}

static struct mst_ticket *
job(struct session *session, const char *name)
{
	struct mst_ticket *ticket = g_hash_table_lookup(session->jobs, name);

	if (ticket == NULL) {
		ticket = g_new0(struct mst_ticket, 1);
		g_hash_table_insert(session->jobs, g_strdup(name), ticket);
	}
	return ticket;
}

static void
do_add(struct session *session, char **words, int count)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	int at;

	if (strcmp(words[0], "entry") == 0) {
		at = sim_add_entry(session->sim, words[1]);
	} else {
		options.slots = (uint32_t)strtoul(words[2], NULL, 10);
		if (count > 3)
			options.resources.accelerators =
			    (uint32_t)strtoul(words[3], NULL, 10);
		at = sim_add_agent(session->sim, words[1], &options);
	}
	g_hash_table_insert(
	    session->nodes, g_strdup(words[1]), GINT_TO_POINTER(at + 1));
}

static void
do_submit(struct session *session, char **words, int count)
{
	int entry = node(session, words[1]);
	struct mst_ticket *ticket = job(session, words[2]);
	bool accelerated = strcmp(words[0], "accelerated") == 0;
	uint32_t tasks =
	    accelerated ? 1 : (uint32_t)strtoul(words[3], NULL, 10);
	struct mst_task_spec *specs = g_new0(struct mst_task_spec, tasks);
	struct mst_job_spec spec = {.ticket = *ticket,
	    .fingerprint = g_str_hash(words[2]),
	    .team = "team",
	    .count = tasks,
	    .tasks = specs};
	char *path = g_strdup_printf("/%sms", accelerated ? "10" : words[4]);
	const struct sim_request *request;
	uint32_t i;

	for (i = 0; i < tasks; i++) {
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
	request =
	    world_request(session->sim, sim_submit(session->sim, entry, &spec));
	if (ticket->job.issuer == 0)
		*ticket = request->ticket;
	g_free(path);
	g_free(specs);
}

static void
do_link(struct session *session, char **words, int count)
{
	struct sim_link *there = world_link(
	    session->sim, node(session, words[1]), node(session, words[2]));
	struct sim_link *back = world_link(
	    session->sim, node(session, words[2]), node(session, words[1]));
	unsigned n = count > 3 ? (unsigned)strtoul(words[3], NULL, 10) : 0;

	if (strcmp(words[0], "cut") == 0)
		there->cut = back->cut = true;
	else if (strcmp(words[0], "heal") == 0)
		there->cut = back->cut = false;
	else if (strcmp(words[0], "drop") == 0)
		there->drop_next = n;
	else if (strcmp(words[0], "repeat") == 0)
		there->repeat_next = n;
	else
		there->delay_us = (int64_t)n * 1000;
}

static void
do_upstream(struct session *session, char **words)
{
	static const char *const names[] = {
	    "ok", "fail", "hang", "reset", "down"};
	int i;

	for (i = 0; i < 5; i++) {
		if (strcmp(names[i], words[2]) == 0)
			session->modes[node(session, words[1])] =
			    (enum upstream_mode)i;
	}
}

static void
do_show(struct session *session)
{
	struct mst_entry_gauges gauges;
	GHashTableIter iter;
	gpointer key, value;

	sim_log(session->sim, "starts %" PRIu64 ", repeated %u",
	    sim_starts_total(session->sim), sim_starts_repeated(session->sim));
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
do_process(struct session *session, char **words)
{
	int at = node(session, words[1]);

	if (strcmp(words[0], "kill") == 0)
		sim_kill(session->sim, at);
	else if (strcmp(words[0], "restart") == 0)
		sim_restart(session->sim, at);
	else if (strcmp(words[0], "pause") == 0)
		sim_pause(session->sim, at);
	else if (strcmp(words[0], "resume") == 0)
		sim_resume(session->sim, at);
	else if (strcmp(words[0], "drain") == 0)
		sim_drain(session->sim, at);
	else
		g_error("there is no command %s", words[0]);
}

static bool
is_one_of(const char *word, const char *const *list)
{
	return g_strv_contains(list, word);
}

static void
execute(struct session *session, const char *line)
{
	static const char *const adds[] = {"entry", "agent", NULL};
	static const char *const submits[] = {"submit", "accelerated", NULL};
	static const char *const links[] = {
	    "cut", "heal", "drop", "repeat", "delay", NULL};
	char **words = g_strsplit(line, " ", SESSION_WORDS_MAX);
	int count = (int)g_strv_length(words);
	struct sim *sim = session->sim;

	if (count == 0 || *words[0] == '\0' || *words[0] == '#') {
		g_strfreev(words);
		return;
	}
	g_string_append_printf(session->log, "> %s\n", line);
	if (is_one_of(words[0], adds))
		do_add(session, words, count);
	else if (is_one_of(words[0], submits))
		do_submit(session, words, count);
	else if (is_one_of(words[0], links))
		do_link(session, words, count);
	else if (strcmp(words[0], "config") == 0)
		sim_configure(sim, node(session, words[1]),
		    strtoull(words[2], NULL, 10), words[3]);
	else if (strcmp(words[0], "run") == 0)
		sim_run_until(sim,
		    sim_now(sim) + (int64_t)strtol(words[1], NULL, 10) * 1000);
	else if (strcmp(words[0], "ticket") == 0)
		*job(session, words[2]) = world_request(
		    sim, sim_request_ticket(sim, node(session, words[1])))
					      ->ticket;
	else if (strcmp(words[0], "cancel") == 0)
		sim_cancel(
		    sim, node(session, words[1]), job(session, words[2])->job);
	else if (strcmp(words[0], "upstream") == 0)
		do_upstream(session, words);
	else if (strcmp(words[0], "show") == 0)
		do_show(session);
	else
		do_process(session, words);
	g_strfreev(words);
}

static void
session_compare(const char *path, const GString *log)
{
	char *expected = NULL;
	char *actual_path;

	if (g_getenv("MST_GOLDEN_UPDATE") != NULL) {
		g_file_set_contents(path, log->str, (gssize)log->len, NULL);
		return;
	}
	g_file_get_contents(path, &expected, NULL, NULL);
	if (expected == NULL || strcmp(expected, log->str) != 0) {
		actual_path = g_strdup_printf("%s.actual", path);
		g_file_set_contents(
		    actual_path, log->str, (gssize)log->len, NULL);
		g_test_message("%s differs from %s", actual_path, path);
		g_free(actual_path);
		g_test_fail();
	}
	g_free(expected);
}

static void
session_run(gconstpointer data)
{
	const char *script = data;
	struct session session = {.log = g_string_new(NULL)};
	struct sim_options options = {.seed = 1,
	    .latency_us = SESSION_LATENCY_US,
	    .service = serve,
	    .on_log = on_log,
	    .ctx = &session};
	char *text = NULL, *expected;
	char **lines;
	int i;

	g_assert_true(g_file_get_contents(script, &text, NULL, NULL));
	session.sim = sim_new(&options);
	session.nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	session.jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++)
		execute(&session, lines[i]);
	/* Whatever a session shows, no task may start twice. */
	g_assert_cmpuint(sim_starts_repeated(session.sim), ==, 0);
	expected = g_strdup_printf(
	    "%.*s.expected", (int)(strlen(script) - strlen(".script")), script);
	session_compare(expected, session.log);
	g_free(expected);
	g_strfreev(lines);
	g_free(text);
	g_hash_table_unref(session.nodes);
	g_hash_table_unref(session.jobs);
	sim_free(session.sim);
	g_string_free(session.log, TRUE);
}

int
main(int argc, char **argv)
{
	const char *name;
	char *path, *test;
	GDir *dir;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	dir = g_dir_open("golden", 0, NULL);
	while ((name = g_dir_read_name(dir)) != NULL) {
		if (!g_str_has_suffix(name, ".script"))
			continue;
		path = g_strdup_printf("golden/%s", name);
		test = g_strdup_printf("/sessions/%.*s",
		    (int)(strlen(name) - strlen(".script")), name);
		g_test_add_data_func_full(test, path, session_run, g_free);
		g_free(test);
	}
	g_dir_close(dir);
	return g_test_run();
}
