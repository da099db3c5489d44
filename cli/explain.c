/* The subcommand explain: reports how a job was run, from the daemons' logs. */

#include <getopt.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "logline.h"

/* Other events on the job's hosts are printed from this long before the job's
 * submission until this long after its end. */
#define CONTEXT_MS 1500

/* A job and the log lines that concern it. */
struct job_report {
	const char *job;
	GPtrArray *all_lines;  /* of struct log_line: the whole input */
	GPtrArray *job_lines;  /* lines that name the job, by time */
	GPtrArray *host_lines; /* events on the job's hosts, by time */
	/* incarnation -> host, or process id if the host isn't known */
	GHashTable *host_by_incarnation;
	/* the line job-ended or job-refused; NULL if the input lacks it */
	const struct log_line *end_line;
	gint64 begin_ms; /* time of submission; 0 without an end_line */
	gint64 end_ms;   /* time of end_line; 0 without one */
};

static bool
is_event(const struct log_line *line, const char *event)
{
	return strcmp(log_line_get(line, "event"), event) == 0;
}

/* Returns the name of a log file without its directory and ".log", which is
 * taken for the name of the host. */
static char *
host_from_path(const char *path)
{
	char *name = g_path_get_basename(path);

	if (g_str_has_suffix(name, ".log"))
		name[strlen(name) - strlen(".log")] = '\0';
	return name;
}

static void
read_lines(GPtrArray *lines, const char *path)
{
	char *text = cli_read_file(path);
	char **texts;
	guint i;

	if (text == NULL)
		return;
	texts = g_strsplit(text, "\n", -1);
	for (i = 0; texts[i] != NULL; i++) {
		struct log_line *line = log_line_parse(texts[i], lines->len);

		if (line == NULL)
			continue;
		if (*line->host == '\0' && strcmp(path, "-") != 0) {
			g_free(line->host);
			line->host = host_from_path(path);
		}
		g_ptr_array_add(lines, line);
	}
	g_strfreev(texts);
	g_free(text);
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *left = *(struct log_line *const *)a;
	const struct log_line *right = *(struct log_line *const *)b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->input_index < right->input_index
	    ? -1
	    : left->input_index > right->input_index;
}

static const char *
find_host(const struct job_report *report, const char *incarnation)
{
	const char *host =
	    g_hash_table_lookup(report->host_by_incarnation, incarnation);

	return host != NULL ? host : incarnation;
}

static void
record_host(struct job_report *report, const struct log_line *line)
{
	if (!is_event(line, "started"))
		return;
	g_hash_table_replace(report->host_by_incarnation,
	    g_strdup(log_line_get(line, "incarnation")),
	    g_strdup(
		*line->host != '\0' ? line->host : log_line_get(line, "pid")));
}

static void
select_job_lines(struct job_report *report)
{
	guint i;

	for (i = 0; i < report->all_lines->len; i++) {
		struct log_line *line = report->all_lines->pdata[i];

		record_host(report, line);
		if (strcmp(log_line_get(line, "job"), report->job) != 0)
			continue;
		g_ptr_array_add(report->job_lines, line);
		if (is_event(line, "job-ended") ||
		    is_event(line, "job-refused"))
			report->end_line = line;
	}
	g_ptr_array_sort(report->job_lines, compare_time);
	if (report->end_line == NULL)
		return;
	report->end_ms = report->end_line->at_ms;
	report->begin_ms = report->end_line->at_ms -
	    log_line_number(report->end_line, "took_ms");
}

/* Returns whether a host logged a line of the job or was sent one of its tasks.
 */
static bool
is_host_of_job(const struct job_report *report, const char *host)
{
	guint i;

	for (i = 0; i < report->job_lines->len; i++) {
		const struct log_line *line = report->job_lines->pdata[i];
		const char *agent = log_line_get(line, "agent");

		if (strcmp(line->host, host) == 0 ||
		    (*agent != '\0' &&
			strcmp(find_host(report, agent), host) == 0))
			return true;
	}
	return false;
}

static void
select_host_lines(struct job_report *report)
{
	static const char *const events[] = {"worker", "member", "started",
	    "stopped", "draining", "entry-lease-lapsed", "store-lost",
	    "store-back", "config", "drains", "reloaded", "log-dropped",
	    "paused", NULL};
	guint i;
	int e;

	for (i = 0; i < report->all_lines->len; i++) {
		struct log_line *line = report->all_lines->pdata[i];

		if (line->at_ms < report->begin_ms - CONTEXT_MS ||
		    line->at_ms > report->end_ms + CONTEXT_MS ||
		    !is_host_of_job(report, line->host))
			continue;
		for (e = 0; events[e] != NULL; e++) {
			if (is_event(line, events[e]))
				g_ptr_array_add(report->host_lines, line);
		}
	}
	g_ptr_array_sort(report->host_lines, compare_time);
}

/*
 * Returns the task that finished last, or one that didn't finish; it determines
 * the response time of the job. NULL if no task was logged.
 */
static const struct log_line *
find_last_task(const struct job_report *report)
{
	const struct log_line *last_task = NULL;
	gint64 latest_ms = -1;
	guint i;

	for (i = 0; i < report->job_lines->len; i++) {
		const struct log_line *line = report->job_lines->pdata[i];
		gint64 closed_ms = log_line_number(line, "closed_ms");

		if (!is_event(line, "task"))
			continue;
		if (strcmp(log_line_get(line, "outcome"), "done") != 0)
			closed_ms = G_MAXINT64;
		if (closed_ms > latest_ms) {
			latest_ms = closed_ms;
			last_task = line;
		}
	}
	return last_task;
}

static const char *
explain_task(const struct log_line *task)
{
	gint64 declared_ms = log_line_number(task, "declared_ms");
	gint64 run_ms = log_line_number(task, "run_ms");

	if (strcmp(log_line_get(task, "outcome"), "done") != 0)
		return "it had not finished when the job was given up";
	if (log_line_number(task, "attempts") > 1)
		return "it had to be sent more than once";
	if (log_line_number(task, "sent_ms") > run_ms)
		return "it waited longer for a free slot than it ran";
	if (log_line_number(task, "queue_ms") > run_ms)
		return "it waited longer in its agent's queue than it ran";
	if (run_ms > declared_ms * 3 / 2)
		return "it ran much longer than declared";
	return "its own run time was the largest part";
}

static const char *
explain_end(const struct log_line *end_line)
{
	const char *reason = log_line_get(end_line, "reason");

	if (strcmp(reason, "overload") == 0)
		return "too many tasks were queued ahead of it to finish in "
		       "time";
	if (strcmp(reason, "deadline") == 0)
		return "its deadline had passed";
	if (strcmp(reason, "task-failed") == 0)
		return "a task used up its permitted attempts";
	if (strcmp(reason, "given-up") == 0)
		return "its caller had disconnected";
	if (strcmp(reason, "no-config") == 0)
		return "the entry had no configuration yet";
	if (strcmp(reason, "no-members") == 0)
		return "the entry had no agents yet";
	if (strcmp(reason, "stopping") == 0)
		return "the entry was shutting down";
	if (strcmp(reason, "no-fit") == 0)
		return "no runner could meet its requirements";
	if (strcmp(reason, "cancelled") == 0)
		return "its caller cancelled it";
	if (strcmp(reason, "not-served") == 0)
		return "jobs of this kind are not served";
	return "";
}

static bool
was_sent(const struct log_line *line)
{
	return strcmp(log_line_get(line, "attempts"), "0") != 0;
}

static void
print_task(const struct job_report *report, const struct log_line *line)
{
	if (!was_sent(line)) {
		printf("  task %s: not sent to any agent (declared %s ms)\n",
		    log_line_get(line, "task"),
		    log_line_get(line, "declared_ms"));
		return;
	}
	printf(
	    "  task %s: sent %s time(s), last after %s ms to %s; queued there "
	    "%s ms, ran %s ms (declared %s ms); %s",
	    log_line_get(line, "task"), log_line_get(line, "attempts"),
	    log_line_get(line, "sent_ms"),
	    find_host(report, log_line_get(line, "agent")),
	    log_line_get(line, "queue_ms"), log_line_get(line, "run_ms"),
	    log_line_get(line, "declared_ms"), log_line_get(line, "outcome"));
	if (strcmp(log_line_get(line, "reason"), "none") != 0)
		printf(" (%s)", log_line_get(line, "reason"));
	putchar('\n');
}

static void
print_event(const struct job_report *report, const struct log_line *line)
{
	GList *keys = g_hash_table_get_keys(line->pairs);
	GList *key;

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	printf("  %+" PRId64 " ms %s %s:", line->at_ms - report->begin_ms,
	    line->host, log_line_get(line, "event"));
	for (key = keys; key != NULL; key = key->next) {
		static const char *const omitted_keys[] = {
		    "time", "level", "program", "pid", "event", "job", NULL};

		if (!g_strv_contains(omitted_keys, key->data))
			printf(" %s=%s", (const char *)key->data,
			    log_line_get(line, key->data));
	}
	putchar('\n');
	g_list_free(keys);
}

/*
 * Returns the longest pause of the job's entry during the job, or NULL if all
 * were shorter than half of the job's response time.
 */
static const struct log_line *
find_entry_pause(const struct job_report *report)
{
	gint64 longest_ms = (report->end_ms - report->begin_ms) / 2;
	const struct log_line *longest = NULL;
	guint i;

	for (i = 0; i < report->host_lines->len; i++) {
		const struct log_line *line = report->host_lines->pdata[i];
		gint64 pause_ms = log_line_number(line, "ms");

		if (!is_event(line, "paused") || pause_ms < longest_ms ||
		    line->at_ms < report->begin_ms ||
		    line->at_ms - pause_ms > report->end_ms ||
		    strcmp(line->host, report->end_line->host) != 0)
			continue;
		longest = line;
		longest_ms = pause_ms;
	}
	return longest;
}

static void
print_summary(const struct job_report *report)
{
	const struct log_line *end_line = report->end_line;
	const struct log_line *last_task = find_last_task(report);
	const struct log_line *paused;

	if (is_event(end_line, "job-refused"))
		printf("refused at %s by %s, no task was run: %s (%s)\n",
		    end_line->time, end_line->host, explain_end(end_line),
		    log_line_get(end_line, "reason"));
	else
		printf(
		    "%s at %s by %s, %s ms after submission (objective %s ms), "
		    "%s task(s), %s sent; queue %s\n",
		    log_line_get(end_line, "outcome"), end_line->time,
		    end_line->host, log_line_get(end_line, "took_ms"),
		    log_line_get(end_line, "objective_ms"),
		    log_line_get(end_line, "tasks"),
		    log_line_get(end_line, "sent"),
		    log_line_get(end_line, "queue"));
	if (is_event(end_line, "job-ended") && *explain_end(end_line) != '\0')
		printf("reason: %s\n", explain_end(end_line));
	paused = find_entry_pause(report);
	if (paused != NULL)
		printf("main delay: the entry was paused for %s ms, "
		       "until %+" PRId64 " ms\n",
		    log_line_get(paused, "ms"),
		    paused->at_ms - report->begin_ms);
	else if (last_task != NULL && was_sent(last_task))
		printf("main delay: task %s on %s: %s\n",
		    log_line_get(last_task, "task"),
		    find_host(report, log_line_get(last_task, "agent")),
		    explain_task(last_task));
}

static void
print_text(const struct job_report *report)
{
	guint i;

	printf("job %s\n", report->job);
	if (report->end_line != NULL)
		print_summary(report);
	else
		printf("no log line reports the end of the job: its entry "
		       "died, or that entry's log is not part of the input\n");
	for (i = 0; i < report->job_lines->len; i++) {
		const struct log_line *line = report->job_lines->pdata[i];

		if (is_event(line, "task"))
			print_task(report, line);
		else if (line != report->end_line)
			print_event(report, line);
	}
	if (report->host_lines->len > 0)
		printf("other events on the hosts of the job:\n");
	for (i = 0; i < report->host_lines->len; i++)
		print_event(report, report->host_lines->pdata[i]);
}

static cJSON *
create_line_json(const struct log_line *line)
{
	cJSON *row = cJSON_CreateObject();
	GHashTableIter iter;
	gpointer key, value;

	cJSON_AddStringToObject(row, "source", line->host);
	g_hash_table_iter_init(&iter, line->pairs);
	while (g_hash_table_iter_next(&iter, &key, &value))
		cJSON_AddStringToObject(row, key, value);
	return row;
}

static void
print_json(const struct job_report *report)
{
	cJSON *root = cJSON_CreateObject();
	cJSON *rows = cJSON_AddArrayToObject(root, "lines");
	const struct log_line *last_task = find_last_task(report);
	char *text;
	guint i;

	cJSON_AddStringToObject(root, "job", report->job);
	cJSON_AddStringToObject(
	    root, "why", report->end_line ? explain_end(report->end_line) : "");
	cJSON_AddStringToObject(
	    root, "slowest", last_task ? explain_task(last_task) : "");
	for (i = 0; i < report->job_lines->len; i++)
		cJSON_AddItemToArray(rows,
		    create_line_json(g_ptr_array_index(report->job_lines, i)));
	text = cJSON_PrintUnformatted(root);
	puts(text);
	cJSON_free(text);
	cJSON_Delete(root);
}

enum cli_exit
cli_explain(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall [--json] explain JOB [FILE...]\n"
	    "\n"
	    "Explains how a job was run, from the daemons' logs in FILEs or on "
	    "standard\n"
	    "input. Exit status 1: the logs do not mention the job.\n";
	struct job_report report = {0};
	enum cli_exit rc;
	int i;

	if (!cli_parse_operands(&rc, argc, argv, 1, INT_MAX, usage))
		return rc;
	report.job = argv[optind];
	report.all_lines =
	    g_ptr_array_new_with_free_func((GDestroyNotify)log_line_free);
	report.job_lines = g_ptr_array_new();
	report.host_lines = g_ptr_array_new();
	report.host_by_incarnation =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = optind + 1; i < argc; i++)
		read_lines(report.all_lines, argv[i]);
	if (optind + 1 == argc)
		read_lines(report.all_lines, "-");
	select_job_lines(&report);
	select_host_lines(&report);
	if (cli->json)
		print_json(&report);
	else
		print_text(&report);
	rc = report.job_lines->len > 0 ? CLI_OK : CLI_FAILED;
	g_hash_table_unref(report.host_by_incarnation);
	g_ptr_array_unref(report.host_lines);
	g_ptr_array_unref(report.job_lines);
	g_ptr_array_unref(report.all_lines);
	return rc;
}
