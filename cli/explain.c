/* masticstall explain: the story of one job, from the logs of the daemons. */

#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "logline.h"

#define AROUND_MS 1500 /* what happened so long before or after may matter */

/* Everything that is known of the job. */
struct story {
	const char *job;
	GPtrArray *lines;  /* struct log_line, all of them */
	GPtrArray *own;    /* those that name the job, by time */
	GPtrArray *around; /* what happened to its agents meanwhile */
	GHashTable *hosts; /* incarnation -> where it runs */
	const struct log_line *end;
	gint64 from_ms;
	gint64 upto_ms;
};

static bool
is_event(const struct log_line *line, const char *event)
{
	return strcmp(log_line_get(line, "event"), event) == 0;
}

/* A host's name from that of its log: without a directory and an ending. */
static char *
source_of_path(const char *path)
{
	char *name = g_path_get_basename(path);

	if (g_str_has_suffix(name, ".log"))
		name[strlen(name) - strlen(".log")] = '\0';
	return name;
}

static void
lines_read(GPtrArray *lines, const char *path)
{
	char *text = cli_read_file(path);
	char **rows;
	guint i;

	if (text == NULL)
		return;
	rows = g_strsplit(text, "\n", -1);
	for (i = 0; rows[i] != NULL; i++) {
		struct log_line *line = log_line_parse(rows[i], lines->len);

		if (line == NULL)
			continue;
		if (*line->source == '\0' && strcmp(path, "-") != 0) {
			g_free(line->source);
			line->source = source_of_path(path);
		}
		g_ptr_array_add(lines, line);
	}
	g_strfreev(rows);
	g_free(text);
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *left = *(struct log_line *const *)a;
	const struct log_line *right = *(struct log_line *const *)b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static const char *
host_of(const struct story *story, const char *incarnation)
{
	const char *host = g_hash_table_lookup(story->hosts, incarnation);

	return host != NULL ? host : incarnation;
}

static void
learn_host(struct story *story, const struct log_line *line)
{
	if (!is_event(line, "started"))
		return;
	g_hash_table_replace(story->hosts,
	    g_strdup(log_line_get(line, "incarnation")),
	    g_strdup(*line->source != '\0' ? line->source
					   : log_line_get(line, "pid")));
}

static void
pick_own(struct story *story)
{
	guint i;

	for (i = 0; i < story->lines->len; i++) {
		struct log_line *line = story->lines->pdata[i];

		learn_host(story, line);
		if (strcmp(log_line_get(line, "job"), story->job) != 0)
			continue;
		g_ptr_array_add(story->own, line);
		if (is_event(line, "job-ended") ||
		    is_event(line, "job-refused"))
			story->end = line;
	}
	g_ptr_array_sort(story->own, by_time);
	if (story->end == NULL)
		return;
	story->upto_ms = story->end->at_ms;
	story->from_ms =
	    story->end->at_ms - log_line_number(story->end, "took_ms");
}

/* True when a host was used by the job, or took it. */
static bool
is_involved(const struct story *story, const char *source)
{
	guint i;

	for (i = 0; i < story->own->len; i++) {
		const struct log_line *line = story->own->pdata[i];
		const char *agent = log_line_get(line, "agent");

		if (strcmp(line->source, source) == 0 ||
		    (*agent != '\0' &&
			strcmp(host_of(story, agent), source) == 0))
			return true;
	}
	return false;
}

static void
pick_around(struct story *story)
{
	static const char *const events[] = {"worker", "member", "started",
	    "stopped", "draining", "entry-lease-lapsed", "store-lost",
	    "store-back", "config", "reloaded", "log-dropped", "paused", NULL};
	guint i;
	int e;

	for (i = 0; i < story->lines->len; i++) {
		struct log_line *line = story->lines->pdata[i];

		if (line->at_ms < story->from_ms - AROUND_MS ||
		    line->at_ms > story->upto_ms + AROUND_MS ||
		    !is_involved(story, line->source))
			continue;
		for (e = 0; events[e] != NULL; e++) {
			if (is_event(line, events[e]))
				g_ptr_array_add(story->around, line);
		}
	}
	g_ptr_array_sort(story->around, by_time);
}

/* The task that ended last, or never: the job's time is its time. */
static const struct log_line *
slowest_task(const struct story *story)
{
	const struct log_line *slowest = NULL;
	gint64 latest_ms = -1;
	guint i;

	for (i = 0; i < story->own->len; i++) {
		const struct log_line *line = story->own->pdata[i];
		gint64 closed_ms = log_line_number(line, "closed_ms");

		if (!is_event(line, "task"))
			continue;
		if (strcmp(log_line_get(line, "outcome"), "done") != 0)
			closed_ms = G_MAXINT64;
		if (closed_ms > latest_ms) {
			latest_ms = closed_ms;
			slowest = line;
		}
	}
	return slowest;
}

static const char *
cause_of_task(const struct log_line *task)
{
	gint64 declared_ms = log_line_number(task, "declared_ms");
	gint64 run_ms = log_line_number(task, "run_ms");

	if (strcmp(log_line_get(task, "outcome"), "done") != 0)
		return "it had not ended when the job was given up";
	if (log_line_number(task, "attempts") > 1)
		return "it had to be sent again";
	if (log_line_number(task, "sent_ms") > run_ms)
		return "it waited longer for a free slot than it ran";
	if (log_line_number(task, "queue_ms") > run_ms)
		return "it waited at its agent longer than it ran";
	if (run_ms > declared_ms * 3 / 2)
		return "it ran much longer than declared";
	return "its own time was most of it";
}

static const char *
cause_of_end(const struct log_line *end)
{
	const char *reason = log_line_get(end, "reason");

	if (strcmp(reason, "overload") == 0)
		return "more work was ahead of it than could be done in time";
	if (strcmp(reason, "deadline") == 0)
		return "its time was over";
	if (strcmp(reason, "task-failed") == 0)
		return "a task failed as often as it may";
	if (strcmp(reason, "given-up") == 0)
		return "its caller had left";
	if (strcmp(reason, "no-config") == 0)
		return "the entry had no configuration yet";
	if (strcmp(reason, "no-members") == 0)
		return "the entry knew no agent yet";
	if (strcmp(reason, "stopping") == 0)
		return "the entry was about to stop";
	if (strcmp(reason, "no-fit") == 0)
		return "no runner could ever run it";
	if (strcmp(reason, "cancelled") == 0)
		return "its caller cancelled it";
	if (strcmp(reason, "not-served") == 0)
		return "this kind of job is not served";
	return "";
}

static bool
was_sent(const struct log_line *line)
{
	return strcmp(log_line_get(line, "attempts"), "0") != 0;
}

static void
print_task(const struct story *story, const struct log_line *line)
{
	if (!was_sent(line)) {
		printf(
		    "  task %s: was not sent to any agent (declared %s ms)\n",
		    log_line_get(line, "task"),
		    log_line_get(line, "declared_ms"));
		return;
	}
	printf(
	    "  task %s: sent %s time(s), last after %s ms to %s; waited there "
	    "%s ms, ran %s ms (declared %s); %s",
	    log_line_get(line, "task"), log_line_get(line, "attempts"),
	    log_line_get(line, "sent_ms"),
	    host_of(story, log_line_get(line, "agent")),
	    log_line_get(line, "queue_ms"), log_line_get(line, "run_ms"),
	    log_line_get(line, "declared_ms"), log_line_get(line, "outcome"));
	if (strcmp(log_line_get(line, "reason"), "none") != 0)
		printf(" (%s)", log_line_get(line, "reason"));
	putchar('\n');
}

static void
print_line(const struct story *story, const struct log_line *line)
{
	GList *keys = g_hash_table_get_keys(line->pairs);
	GList *key;

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	printf("  %+" PRId64 " ms %s %s:", line->at_ms - story->from_ms,
	    line->source, log_line_get(line, "event"));
	for (key = keys; key != NULL; key = key->next) {
		static const char *const left_out[] = {
		    "time", "level", "program", "pid", "event", "job", NULL};

		if (!g_strv_contains(left_out, key->data))
			printf(" %s=%s", (const char *)key->data,
			    log_line_get(line, key->data));
	}
	putchar('\n');
	g_list_free(keys);
}

/* The longest pause of the job's entry while it had the job, if that was half
 * of the job's time or more. */
static const struct log_line *
pause_of_entry(const struct story *story)
{
	gint64 longest_ms = (story->upto_ms - story->from_ms) / 2;
	const struct log_line *paused = NULL;
	guint i;

	for (i = 0; i < story->around->len; i++) {
		const struct log_line *line = story->around->pdata[i];
		gint64 ms = log_line_number(line, "ms");

		if (!is_event(line, "paused") || ms < longest_ms ||
		    line->at_ms < story->from_ms ||
		    line->at_ms - ms > story->upto_ms ||
		    strcmp(line->source, story->end->source) != 0)
			continue;
		paused = line;
		longest_ms = ms;
	}
	return paused;
}

static void
print_end(const struct story *story)
{
	const struct log_line *end = story->end;
	const struct log_line *slowest = slowest_task(story);
	const struct log_line *paused;

	if (is_event(end, "job-refused"))
		printf("refused at %s by %s, nothing was run: %s (%s)\n",
		    end->time, end->source, cause_of_end(end),
		    log_line_get(end, "reason"));
	else
		printf("%s at %s by %s, %s ms after it came (objective %s ms), "
		       "%s task(s), %s sent; queue %s\n",
		    log_line_get(end, "outcome"), end->time, end->source,
		    log_line_get(end, "took_ms"),
		    log_line_get(end, "objective_ms"),
		    log_line_get(end, "tasks"), log_line_get(end, "sent"),
		    log_line_get(end, "queue"));
	if (is_event(end, "job-ended") && *cause_of_end(end) != '\0')
		printf("why: %s\n", cause_of_end(end));
	paused = pause_of_entry(story);
	if (paused != NULL)
		printf("what took longest: the entry stood still for %s ms, "
		       "until %+" PRId64 " ms\n",
		    log_line_get(paused, "ms"), paused->at_ms - story->from_ms);
	else if (slowest != NULL && was_sent(slowest))
		printf("what took longest: task %s on %s: %s\n",
		    log_line_get(slowest, "task"),
		    host_of(story, log_line_get(slowest, "agent")),
		    cause_of_task(slowest));
}

static void
print_story(const struct story *story)
{
	guint i;

	printf("job %s\n", story->job);
	if (story->end != NULL)
		print_end(story);
	else
		printf("no entry tells of its end: its entry died, or its log "
		       "is not among these\n");
	for (i = 0; i < story->own->len; i++) {
		const struct log_line *line = story->own->pdata[i];

		if (is_event(line, "task"))
			print_task(story, line);
		else if (line != story->end)
			print_line(story, line);
	}
	if (story->around->len > 0)
		printf("meanwhile on the hosts that it used:\n");
	for (i = 0; i < story->around->len; i++)
		print_line(story, story->around->pdata[i]);
}

static cJSON *
line_json(const struct log_line *line)
{
	cJSON *row = cJSON_CreateObject();
	GHashTableIter iter;
	gpointer key, value;

	cJSON_AddStringToObject(row, "source", line->source);
	g_hash_table_iter_init(&iter, line->pairs);
	while (g_hash_table_iter_next(&iter, &key, &value))
		cJSON_AddStringToObject(row, key, value);
	return row;
}

static void
print_json(const struct story *story)
{
	cJSON *out = cJSON_CreateObject();
	cJSON *rows = cJSON_AddArrayToObject(out, "lines");
	const struct log_line *slowest = slowest_task(story);
	char *text;
	guint i;

	cJSON_AddStringToObject(out, "job", story->job);
	cJSON_AddStringToObject(
	    out, "why", story->end ? cause_of_end(story->end) : "");
	cJSON_AddStringToObject(
	    out, "slowest", slowest ? cause_of_task(slowest) : "");
	for (i = 0; i < story->own->len; i++)
		cJSON_AddItemToArray(
		    rows, line_json(g_ptr_array_index(story->own, i)));
	text = cJSON_PrintUnformatted(out);
	puts(text);
	cJSON_free(text);
	cJSON_Delete(out);
}

enum cli_exit
cli_explain(const struct cli *cli, int argc, char **argv)
{
	struct story story = {.job = argc > 1 ? argv[1] : NULL};
	enum cli_exit rc;
	int i;

	if (argc < 2 || *argv[1] == '-') {
		fprintf(argc < 2 ? stderr : stdout,
		    "Usage: masticstall [--json] explain JOB [FILE...]\n\n"
		    "Tells a job's story from the logs of the daemons: files, "
		    "or standard input.\n");
		return argc < 2 || strcmp(argv[1], "--help") != 0 ? CLI_USAGE
								  : CLI_OK;
	}
	story.lines =
	    g_ptr_array_new_with_free_func((GDestroyNotify)log_line_free);
	story.own = g_ptr_array_new();
	story.around = g_ptr_array_new();
	story.hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 2; i < argc; i++)
		lines_read(story.lines, argv[i]);
	if (argc == 2)
		lines_read(story.lines, "-");
	pick_own(&story);
	pick_around(&story);
	if (cli->json)
		print_json(&story);
	else
		print_story(&story);
	rc = story.own->len > 0 ? CLI_OK : CLI_FAILED;
	g_hash_table_unref(story.hosts);
	g_ptr_array_unref(story.around);
	g_ptr_array_unref(story.own);
	g_ptr_array_unref(story.lines);
	return rc;
}
