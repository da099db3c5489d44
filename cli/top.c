/* The subcommand top: prints the main metrics of several daemons. */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"

#define TOP_INTERVAL_S 2

struct column {
	const char *title;
	const char *metric;       /* name without "masticstall_" and labels */
	bool is_counter;          /* shown as its rate per second */
	const char *agent_metric; /* used if there is no metric, or NULL */
};

static const struct column columns[] = {
    {.title = "open", .metric = "jobs_open"},
    {.title = "waiting", .metric = "tasks_waiting"},
    {.title = "sent", .metric = "tasks_sent"},
    {.title = "agents", .metric = "members_active"},
    {.title = "drained", .metric = "domain_drained", .agent_metric = "drained"},
    {.title = "running", .metric = "running"},
    {.title = "queued", .metric = "queued"},
    {.title = "jobs/s", .metric = "jobs_total", .is_counter = true},
    {.title = "failed/s", .metric = "jobs_failed_total", .is_counter = true},
    {.title = "refused/s", .metric = "jobs_refused_total", .is_counter = true},
    {.title = "starts/s", .metric = "starts_total", .is_counter = true},
    {.title = "lost/s", .metric = "runs_lost_total", .is_counter = true},
    {.title = "config", .metric = "config_version"},
    {.title = "dropped", .metric = "log_dropped_total"}, {0}};

#define COLUMN_COUNT  (G_N_ELEMENTS(columns) - 1)
#define VERSION_WIDTH 9

struct daemon {
	const char *url;
	bool reached; /* answered the last poll */
	double values[COLUMN_COUNT];
	double previous[COLUMN_COUNT]; /* values before the last poll */
	bool is_present[COLUMN_COUNT]; /* the last response had this metric */
	char version[VERSION_WIDTH + 1];
};

/* Sums a metric over its labels; returns false if the text lacks it. */
static bool
sum_metric(const char *text, const char *name, double *sum)
{
	char *full_name = g_strconcat("masticstall_", name, NULL);
	size_t len = strlen(full_name);
	const char *line = text;
	bool is_present = false;

	*sum = 0;
	while (line != NULL && *line != '\0') {
		const char *value = strchr(line, ' ');

		if (strncmp(line, full_name, len) == 0 &&
		    (line[len] == ' ' || line[len] == '{') && value != NULL) {
			*sum += g_ascii_strtod(value + 1, NULL);
			is_present = true;
		}
		line = strchr(line, '\n');
		if (line != NULL)
			line++;
	}
	g_free(full_name);
	return is_present;
}

static bool
read_column(const char *text, const struct column *column, double *value)
{
	return sum_metric(text, column->metric, value) ||
	    (column->agent_metric != NULL &&
		sum_metric(text, column->agent_metric, value));
}

/* Reads the version that the metric build_info has as its label; "-" if there
 * is none, as in builds before 0.2.0. */
static void
read_version(const char *text, char *version)
{
	static const char name[] = "\nmasticstall_build_info{version=\"";
	const char *found = strstr(text, name);
	const char *start = found != NULL ? found + sizeof(name) - 1 : "-";

	g_strlcpy(version, start, MIN(strcspn(start, "\""), VERSION_WIDTH) + 1);
}

static void
poll_daemon(struct daemon *daemon, const struct cli *cli)
{
	struct cli target = *cli;
	struct cli_response answer;
	size_t i;

	target.entry = daemon->url;
	cli_call(&answer, &target, "GET", "/metrics", NULL, NULL);
	daemon->reached = answer.status == 200;
	read_version(daemon->reached ? answer.body->str : "", daemon->version);
	for (i = 0; i < COLUMN_COUNT; i++) {
		daemon->previous[i] = daemon->values[i];
		daemon->is_present[i] = daemon->reached &&
		    read_column(
			answer.body->str, &columns[i], &daemon->values[i]);
	}
	cli_response_clear(&answer);
}

static void
print_table(const struct daemon *daemons, int count, bool with_rates)
{
	size_t col;
	int row;

	printf("%-28s %*s", "daemon", VERSION_WIDTH, "version");
	for (col = 0; col < COLUMN_COUNT; col++)
		printf(" %9s", columns[col].title);
	putchar('\n');
	for (row = 0; row < count; row++) {
		printf("%-28s", daemons[row].url);
		if (!daemons[row].reached) {
			printf(" no answer\n");
			continue;
		}
		printf(" %*s", VERSION_WIDTH, daemons[row].version);
		for (col = 0; col < COLUMN_COUNT; col++) {
			double value = daemons[row].values[col];

			if (columns[col].is_counter)
				value = (value - daemons[row].previous[col]) /
				    TOP_INTERVAL_S;
			if (!daemons[row].is_present[col] ||
			    (columns[col].is_counter && !with_rates))
				printf(" %9s", "-");
			else
				printf(" %9.6g", value);
		}
		putchar('\n');
	}
	fflush(stdout);
}

enum cli_exit
cli_top(const struct cli *cli, int argc, char **argv)
{
	static const struct option options[] = {
	    {"count", required_argument, NULL, 'n'},
	    {"help", no_argument, NULL, 'h'}, {0}};
	struct daemon *daemons;
	long rounds = 0, round; /* rounds == 0: no limit */
	int c, d, count;

	optind = 1;
	while ((c = getopt_long(argc, argv, "n:h", options, NULL)) != -1) {
		if (c == 'n')
			rounds = strtol(optarg, NULL, 10);
		else {
			fprintf(c == 'h' ? stdout : stderr,
			    "Usage: masticstall top [--count N] URL...\n\n"
			    "Prints the main metrics of several daemons "
			    "every %d s.\n",
			    TOP_INTERVAL_S);
			return c == 'h' ? CLI_OK : CLI_USAGE;
		}
	}
	count = argc - optind;
	if (count <= 0) {
		fprintf(stderr, "masticstall top: expected at least one URL\n");
		return CLI_USAGE;
	}
	daemons = g_new0(struct daemon, count);
	for (d = 0; d < count; d++)
		daemons[d].url = argv[optind + d];
	for (round = 0; rounds == 0 || round < rounds; round++) {
		if (round > 0)
			sleep(TOP_INTERVAL_S);
		for (d = 0; d < count; d++)
			poll_daemon(&daemons[d], cli);
		if (isatty(STDOUT_FILENO))
			printf("\033[H\033[J");
		print_table(daemons, count, round > 0);
	}
	g_free(daemons);
	return CLI_OK;
}
