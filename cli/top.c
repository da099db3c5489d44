/* masticstall top: what an operator looks at first, over several daemons. */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"

#define TOP_EVERY_S 2

struct column {
	const char *title;
	const char *metric; /* without the prefix and labels */
	bool rate;          /* a counter: shown a second */
};

static const struct column columns[] = {{"open", "jobs_open", false},
    {"waiting", "tasks_waiting", false}, {"sent", "tasks_sent", false},
    {"agents", "members_active", false}, {"running", "running", false},
    {"queued", "queued", false}, {"jobs/s", "jobs_total", true},
    {"failed/s", "jobs_failed_total", true},
    {"refused/s", "jobs_refused_total", true},
    {"starts/s", "starts_total", true}, {"lost/s", "runs_lost_total", true},
    {"config", "config_version", false},
    {"dropped", "log_dropped_total", false}, {0}};

#define COLUMNS (G_N_ELEMENTS(columns) - 1)

struct daemon {
	const char *url;
	bool reached;
	double values[COLUMNS];
	double before[COLUMNS];
	bool has[COLUMNS];
};

/* Adds up a metric over its labels; false when there is none. */
static bool
metric_sum(const char *text, const char *name, double *sum)
{
	char *full = g_strconcat("masticstall_", name, NULL);
	size_t len = strlen(full);
	const char *at = text;
	bool any = false;

	*sum = 0;
	while (at != NULL && *at != '\0') {
		const char *value = strchr(at, ' ');

		if (strncmp(at, full, len) == 0 &&
		    (at[len] == ' ' || at[len] == '{') && value != NULL) {
			*sum += g_ascii_strtod(value + 1, NULL);
			any = true;
		}
		at = strchr(at, '\n');
		if (at != NULL)
			at++;
	}
	g_free(full);
	return any;
}

static void
daemon_read(struct daemon *daemon, const struct cli *cli)
{
	struct cli asked = *cli;
	struct cli_answer answer;
	size_t i;

	asked.entry = daemon->url;
	cli_call(&answer, &asked, "GET", "/metrics", NULL, NULL);
	daemon->reached = answer.status == 200;
	for (i = 0; i < COLUMNS; i++) {
		daemon->before[i] = daemon->values[i];
		daemon->has[i] = daemon->reached &&
		    metric_sum(answer.body->str, columns[i].metric,
			&daemon->values[i]);
	}
	cli_answer_clear(&answer);
}

static void
print_table(const struct daemon *daemons, int count, bool rates)
{
	size_t i;
	int d;

	printf("%-28s", "daemon");
	for (i = 0; i < COLUMNS; i++)
		printf(" %9s", columns[i].title);
	putchar('\n');
	for (d = 0; d < count; d++) {
		printf("%-28s", daemons[d].url);
		if (!daemons[d].reached) {
			printf(" no answer\n");
			continue;
		}
		for (i = 0; i < COLUMNS; i++) {
			double value = daemons[d].values[i];

			if (columns[i].rate)
				value = (value - daemons[d].before[i]) /
				    TOP_EVERY_S;
			if (!daemons[d].has[i] || (columns[i].rate && !rates))
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
	long rounds = 0, round;
	int c, d, count;

	optind = 1;
	while ((c = getopt_long(argc, argv, "n:h", options, NULL)) != -1) {
		if (c == 'n')
			rounds = strtol(optarg, NULL, 10);
		else {
			fprintf(c == 'h' ? stdout : stderr,
			    "Usage: masticstall top [--count N] URL...\n\n"
			    "Shows what several daemons do, from their "
			    "metrics, every %d s.\n",
			    TOP_EVERY_S);
			return c == 'h' ? CLI_OK : CLI_USAGE;
		}
	}
	count = argc - optind;
	if (count <= 0) {
		fprintf(stderr, "masticstall top: name at least one daemon\n");
		return CLI_USAGE;
	}
	daemons = g_new0(struct daemon, count);
	for (d = 0; d < count; d++)
		daemons[d].url = argv[optind + d];
	for (round = 0; rounds == 0 || round < rounds; round++) {
		if (round > 0)
			sleep(TOP_EVERY_S);
		for (d = 0; d < count; d++)
			daemon_read(&daemons[d], cli);
		if (isatty(STDOUT_FILENO))
			printf("\033[H\033[J");
		print_table(daemons, count, round > 0);
	}
	g_free(daemons);
	return CLI_OK;
}
