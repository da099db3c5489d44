/* The subcommands submit, status and cancel. */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"

#define PROGRESS_INTERVAL_US (200 * 1000)
#define SUBMIT_RETRIES_MAX   20

static void
print_tasks(const cJSON *job)
{
	const cJSON *tasks = cJSON_GetObjectItemCaseSensitive(job, "tasks");
	const cJSON *task;
	char status[16];

	printf("%-6s %-13s %-6s %-18s %s\n", "TASK", "OUTCOME", "STATUS",
	    "REASON", "BODY");
	cJSON_ArrayForEach (task, tasks) {
		g_snprintf(status, sizeof(status), "%.0f",
		    cli_json_number(task, "status"));
		printf("%-6.0f %-13s %-6s %-18s %.60s\n",
		    cli_json_number(task, "index"),
		    cli_json_string(task, "outcome"),
		    strcmp(status, "0") == 0 ? "-" : status,
		    *cli_json_string(task, "reason")
			? cli_json_string(task, "reason")
			: "-",
		    cli_json_string(task, "body"));
	}
}

static enum cli_exit
print_job(const struct cli *cli, const struct cli_response *answer)
{
	const char *state = cli_json_string(answer->json, "state");

	if (*state == '\0')
		return cli_report(cli, answer);
	if (cli->json) {
		cli_print_json(answer);
	} else {
		if (!cli->quiet)
			print_tasks(answer->json);
		printf("job %s: %s%s%s, %.0f tasks, %.1f ms\n",
		    cli_json_string(answer->json, "job"), state,
		    *cli_json_string(answer->json, "reason") ? ", " : "",
		    cli_json_string(answer->json, "reason"),
		    cli_json_number(answer->json, "count"),
		    cli_json_number(answer->json, "took_ms"));
	}
	return strcmp(state, "failed") == 0 ? CLI_FAILED : CLI_OK;
}

static void
print_progress(const struct cli *cli, const cJSON *job)
{
	double count = cli_json_number(job, "count");

	if (cli->quiet || cli->json)
		return;
	fprintf(stderr, "%s: %.0f of %.0f done, %.0f started\n",
	    cli_json_string(job, "job"), count - cli_json_number(job, "open"),
	    count, cli_json_number(job, "started"));
}

/* Polls a job until it has ended; prints its progress and its result. */
static enum cli_exit
wait_for_job(const struct cli *cli, const char *job)
{
	char *path = g_strdup_printf("/v1/jobs/%s", job);
	struct cli_response answer;
	enum cli_exit rc;

	for (;;) {
		cli_call(&answer, cli, "GET", path, NULL, NULL);
		if (answer.status != 202)
			break;
		print_progress(cli, answer.json);
		cli_response_clear(&answer);
		g_usleep(PROGRESS_INTERVAL_US);
	}
	rc = print_job(cli, &answer);
	cli_response_clear(&answer);
	g_free(path);
	return rc;
}

/*
 * Requests a ticket. As idempotency key it lets a submission be retried without
 * running the job twice.
 */
static char *
request_ticket(const struct cli *cli, enum cli_exit *rc)
{
	struct cli_response answer;
	char *ticket = NULL;

	cli_call(&answer, cli, "POST", "/v1/tickets", NULL, "");
	if (answer.status == 201)
		ticket = g_strdup(cli_json_string(answer.json, "ticket"));
	else
		*rc = cli_report(cli, &answer);
	cli_response_clear(&answer);
	return ticket;
}

static bool
should_retry(const struct cli_response *answer)
{
	/* The connection failed, or the job's owner is unreachable for now. */
	return answer->status == 0 ||
	    (answer->status == 503 && answer->retry_after_s > 0);
}

static enum cli_exit
submit_job(
    const struct cli *cli, const char *ticket, const char *job, bool detach)
{
	char *key_header = g_strdup_printf("Idempotency-Key: \"%s\"", ticket);
	const char *const headers[] = {"Content-Type: application/json",
	    key_header, "Prefer: respond-async", NULL};
	struct cli_response answer;
	enum cli_exit rc;
	int retries;

	for (retries = 0;; retries++) {
		cli_call(&answer, cli, "POST", "/v1/jobs", headers, job);
		if (!should_retry(&answer) || retries == SUBMIT_RETRIES_MAX)
			break;
		sleep((unsigned)MAX(1, answer.retry_after_s));
		cli_response_clear(&answer);
	}
	if (answer.status != 202)
		rc = print_job(cli, &answer);
	else if (detach)
		rc = (printf("%s\n", ticket), CLI_OK);
	else
		rc = wait_for_job(cli, ticket);
	cli_response_clear(&answer);
	g_free(key_header);
	return rc;
}

enum cli_exit
cli_submit(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall submit [--detach] [--ticket TICKET] FILE\n"
	    "\n"
	    "Submits the job in FILE (- for standard input) and waits for its "
	    "result.\n"
	    "\n"
	    "Options:\n"
	    "  -d, --detach         return once the job is accepted\n"
	    "  -t, --ticket TICKET  ticket of an earlier attempt; the job is "
	    "not run a\n"
	    "                       second time\n"
	    "  -h, --help           print this help\n";
	static const struct option options[] = {
	    {"detach", no_argument, NULL, 'd'},
	    {"ticket", required_argument, NULL, 't'},
	    {"help", no_argument, NULL, 'h'}, {0}};
	enum cli_exit rc = CLI_FAILED;
	char *ticket = NULL;
	bool detach = false;
	char *job;
	int c;

	optind = 1;
	while ((c = getopt_long(argc, argv, "dt:h", options, NULL)) != -1) {
		if (c == 'd') {
			detach = true;
		} else if (c == 't') {
			g_free(ticket);
			ticket = g_strdup(optarg);
		} else {
			g_free(ticket);
			return cli_usage(usage, c == 'h');
		}
	}
	if (optind + 1 != argc) {
		fprintf(stderr, "masticstall submit: expected one FILE\n");
		return CLI_USAGE;
	}
	job = cli_read_file(argv[optind]);
	if (job == NULL)
		return CLI_USAGE;
	if (ticket == NULL)
		ticket = request_ticket(cli, &rc);
	if (ticket != NULL)
		rc = submit_job(cli, ticket, job, detach);
	g_free(ticket);
	g_free(job);
	return rc;
}

enum cli_exit
cli_status(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall status JOB\n"
	    "\n"
	    "Waits for the result of a submitted job and prints it.\n";
	enum cli_exit rc;

	if (!cli_parse_operands(&rc, argc, argv, 1, 1, usage))
		return rc;
	return wait_for_job(cli, argv[optind]);
}

enum cli_exit
cli_cancel(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall cancel JOB\n"
	    "\n"
	    "Cancels a job: tasks that wait are not run.\n";
	struct cli_response answer;
	enum cli_exit rc;
	char *path;

	if (!cli_parse_operands(&rc, argc, argv, 1, 1, usage))
		return rc;
	path = g_strdup_printf("/v1/jobs/%s", argv[optind]);
	cli_call(&answer, cli, "DELETE", path, NULL, NULL);
	rc = print_job(cli, &answer);
	if (strcmp(cli_json_string(answer.json, "reason"), "cancelled") == 0)
		rc = CLI_OK;
	cli_response_clear(&answer);
	g_free(path);
	return rc;
}
