/*
 * The subcommand load: submits jobs at a given rate, without waiting for
 * earlier ones (open loop), and reports throughput, response times and wasted
 * messages.
 */

#include <curl/curl.h>
#include <getopt.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stats.h"
#include "cli.h"

#define LOAD_POLL_MAX_MS 20
#define LOAD_NUMBER_MAX  1e9 /* greatest value of an option */
#define LOAD_PLOT_ROWS   12
#define LOAD_PLOT_COLS   50 /* length of the longest bar */

struct load_options {
	double rate; /* jobs per second */
	double seconds;
	uint32_t tasks_min; /* tasks per job */
	uint32_t tasks_max;
	double ms_min; /* service time of a task */
	double ms_max;
	double burst; /* rate multiplier in the middle fifth of the time */
	uint32_t seed;
	uint32_t timeout_ms;
	const char *team;
	bool plot;
};

/* A submitted job and its response. */
struct request {
	CURL *easy;
	struct load *load;
	double due_s;    /* scheduled submission, on the monotonic clock */
	double ideal_ms; /* service time of the longest task */
	char *body;
	GString *response;
};

struct load {
	const struct cli *cli;
	struct load_options options;
	GRand *rand;
	CURLM *multi;
	struct curl_slist *headers;
	char *url;
	double started_s;
	unsigned open_requests;
	/* jobs by outcome; lost: the HTTP transfer failed */
	unsigned complete, failed, refused, lost;
	GArray *response_ratios;   /* of double: response time / ideal time */
	GArray *response_times_ms; /* of double: response times in ms */
};

static double
clock_s(void)
{
	return (double)g_get_monotonic_time() / G_USEC_PER_SEC;
}

static size_t
append_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void
build_job(struct load *load, struct request *request)
{
	const struct load_options *options = &load->options;
	GString *body = g_string_new(NULL);
	uint32_t task_count = (uint32_t)g_rand_int_range(load->rand,
	    (gint32)options->tasks_min, (gint32)options->tasks_max + 1);
	uint32_t i;

	g_string_printf(body, "{\"team\":\"%s\",\"timeout_ms\":%u,\"tasks\":[",
	    options->team, options->timeout_ms);
	for (i = 0; i < task_count; i++) {
		double fraction = g_rand_double(load->rand);
		double service_ms = options->ms_min *
		    pow(options->ms_max / MAX(options->ms_min, 1e-3), fraction);

		request->ideal_ms = MAX(request->ideal_ms, service_ms);
		g_string_append_printf(body,
		    "%s{\"path\":\"/load?ms=%.1f\",\"declared_ms\":%.1f}",
		    i ? "," : "", service_ms, service_ms);
	}
	g_string_append(body, "]}");
	request->body = g_string_free(body, FALSE);
}

static void
send_request(struct load *load, double due_s)
{
	struct request *request = g_new0(struct request, 1);
	CURL *easy = curl_easy_init();

	request->load = load;
	request->easy = easy;
	request->due_s = due_s;
	request->response = g_string_new(NULL);
	build_job(load, request);
	curl_easy_setopt(easy, CURLOPT_URL, load->url);
	curl_easy_setopt(
	    easy, CURLOPT_POSTFIELDSIZE, (long)strlen(request->body));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, load->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request->response);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(load->multi, easy);
	load->open_requests++;
}

static void
finish_request(struct load *load, const CURLMsg *message)
{
	struct request *request;
	double response_ms, ratio;
	long status = 0;

	curl_easy_getinfo(
	    message->easy_handle, CURLINFO_PRIVATE, (char **)&request);
	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	response_ms = (clock_s() - request->due_s) * 1000;
	if (message->data.result != CURLE_OK) {
		load->lost++;
	} else if (status == 200) {
		ratio = response_ms / MAX(request->ideal_ms, 0.1);
		load->complete++;
		g_array_append_val(load->response_ratios, ratio);
		g_array_append_val(load->response_times_ms, response_ms);
	} else if (strstr(request->response->str, "urn:masticstall:problem")) {
		load->refused++;
	} else {
		load->failed++;
	}
	load->open_requests--;
	curl_multi_remove_handle(load->multi, request->easy);
	curl_easy_cleanup(request->easy);
	g_string_free(request->response, TRUE);
	g_free(request->body);
	g_free(request);
}

static double
get_arrival_rate(const struct load_options *options, double elapsed_s)
{
	bool is_burst = elapsed_s >= options->seconds * 0.4 &&
	    elapsed_s < options->seconds * 0.6;

	return is_burst ? options->rate * options->burst : options->rate;
}

static void
run_load(struct load *load)
{
	const struct load_options *options = &load->options;
	double next_s = 0, elapsed_s;
	const CURLMsg *message;
	int running_transfers, queued_messages;

	load->started_s = clock_s();
	for (;;) {
		elapsed_s = clock_s() - load->started_s;
		while (next_s <= elapsed_s && next_s < options->seconds) {
			send_request(load, load->started_s + next_s);
			next_s -=
			    log(g_rand_double_range(load->rand, 1e-9, 1)) /
			    get_arrival_rate(options, next_s);
		}
		if (next_s >= options->seconds && load->open_requests == 0)
			break;
		curl_multi_perform(load->multi, &running_transfers);
		while ((message = curl_multi_info_read(
			    load->multi, &queued_messages))) {
			if (message->msg == CURLMSG_DONE)
				finish_request(load, message);
		}
		elapsed_s = clock_s() - load->started_s;
		curl_multi_poll(load->multi, NULL, 0,
		    (int)CLAMP(
			(next_s - elapsed_s) * 1000, 0, LOAD_POLL_MAX_MS),
		    NULL);
	}
}

static double
compute_mean(const GArray *values)
{
	double total = 0;
	guint i;

	for (i = 0; i < values->len; i++)
		total += g_array_index(values, double, i);
	return values->len ? total / values->len : 0;
}

/* Plots the quantiles of the response time ratios, one bar per quantile. */
static void
print_plot(const GArray *sorted_ratios)
{
	int row, col;
	double quantile, value,
	    maximum = mst_stats_quantile(sorted_ratios, 0.999);

	printf("\nresponse time / ideal time, by share of jobs\n");
	for (row = 0; row <= LOAD_PLOT_ROWS; row++) {
		quantile = row == LOAD_PLOT_ROWS ? 0.999
						 : (double)row / LOAD_PLOT_ROWS;
		value = mst_stats_quantile(sorted_ratios, quantile);
		printf("%6.1f%% %8.2f ", quantile * 100, value);
		for (col = 0; col < value / maximum * LOAD_PLOT_COLS; col++)
			putchar('#');
		putchar('\n');
	}
}

/*
 * Sums the samples of a metric in the text format of Prometheus.
 *
 * @param name metric name, with labels ("name{...}") to select one sample
 */
static double
sum_metric(const char *text, const char *name)
{
	double total = 0;
	const char *line = text;
	size_t len = strlen(name);

	while (line != NULL && *line != '\0') {
		if (strncmp(line, name, len) == 0 &&
		    (line[len] == '{' || line[len] == ' '))
			total += g_ascii_strtod(strchr(line, ' '), NULL);
		line = strchr(line, '\n');
		if (line != NULL)
			line++;
	}
	return total;
}

static char *
read_metrics(const struct cli *cli)
{
	struct cli_response answer;
	char *text;

	cli_call(&answer, cli, "GET", "/metrics", NULL, NULL);
	text = g_strdup(answer.body->str);
	cli_response_clear(&answer);
	return text;
}

static const char *const waste_causes[] = {"dispatch-repeated", "retry",
    "withdrawal", "result-late", "result-repeated", NULL};

static double
count_wasted(
    const char *metrics_before, const char *metrics_after, const char *cause)
{
	char *name =
	    g_strdup_printf("masticstall_wasted_total{cause=\"%s\"}", cause);
	double count =
	    sum_metric(metrics_after, name) - sum_metric(metrics_before, name);

	g_free(name);
	return count;
}

static void
print_text(const struct load *load, const char *metrics_before,
    const char *metrics_after, double duration_s)
{
	double tasks = sum_metric(metrics_after, "masticstall_tasks_total") -
	    sum_metric(metrics_before, "masticstall_tasks_total");
	int i;

	printf("jobs: %u complete, %u failed, %u refused, %u lost in %.1f s\n",
	    load->complete, load->failed, load->refused, load->lost,
	    duration_s);
	printf("throughput: %.0f jobs/s, %.0f tasks/s\n",
	    load->complete / duration_s, tasks / duration_s);
	printf("response time / ideal time: p50 %.3f p99 %.3f p999 %.3f mean "
	       "%.3f max %.3f\n",
	    mst_stats_quantile(load->response_ratios, 0.5),
	    mst_stats_quantile(load->response_ratios, 0.99),
	    mst_stats_quantile(load->response_ratios, 0.999),
	    compute_mean(load->response_ratios),
	    mst_stats_quantile(load->response_ratios, 1));
	printf("response time, ms: p50 %.3f p99 %.3f p999 %.3f mean %.3f\n",
	    mst_stats_quantile(load->response_times_ms, 0.5),
	    mst_stats_quantile(load->response_times_ms, 0.99),
	    mst_stats_quantile(load->response_times_ms, 0.999),
	    compute_mean(load->response_times_ms));
	printf("wasted messages per task:");
	for (i = 0; waste_causes[i] != NULL; i++)
		printf(" %s %.5f", waste_causes[i],
		    count_wasted(
			metrics_before, metrics_after, waste_causes[i]) /
			MAX(tasks, 1));
	printf("\n");
	if (load->options.plot)
		print_plot(load->response_ratios);
}

static void
print_json(const struct load *load, const char *metrics_before,
    const char *metrics_after, double duration_s)
{
	double tasks = sum_metric(metrics_after, "masticstall_tasks_total") -
	    sum_metric(metrics_before, "masticstall_tasks_total");
	cJSON *report = cJSON_CreateObject();
	cJSON *wasted;
	char *text;
	int i;

	cJSON_AddNumberToObject(report, "seconds", duration_s);
	cJSON_AddNumberToObject(report, "complete", load->complete);
	cJSON_AddNumberToObject(report, "failed", load->failed);
	cJSON_AddNumberToObject(report, "refused", load->refused);
	cJSON_AddNumberToObject(report, "lost", load->lost);
	cJSON_AddNumberToObject(report, "tasks_per_s", tasks / duration_s);
	cJSON_AddNumberToObject(
	    report, "ratio_mean", compute_mean(load->response_ratios));
	cJSON_AddNumberToObject(report, "ratio_p50",
	    mst_stats_quantile(load->response_ratios, 0.5));
	cJSON_AddNumberToObject(report, "ratio_p99",
	    mst_stats_quantile(load->response_ratios, 0.99));
	cJSON_AddNumberToObject(report, "ratio_p999",
	    mst_stats_quantile(load->response_ratios, 0.999));
	cJSON_AddNumberToObject(
	    report, "ms_p50", mst_stats_quantile(load->response_times_ms, 0.5));
	cJSON_AddNumberToObject(report, "ms_p99",
	    mst_stats_quantile(load->response_times_ms, 0.99));
	wasted = cJSON_AddObjectToObject(report, "wasted_per_task");
	for (i = 0; waste_causes[i] != NULL; i++)
		cJSON_AddNumberToObject(wasted, waste_causes[i],
		    count_wasted(
			metrics_before, metrics_after, waste_causes[i]) /
			MAX(tasks, 1));
	text = cJSON_PrintUnformatted(report);
	puts(text);
	cJSON_free(text);
	cJSON_Delete(report);
}

static const char load_usage[] =
    "Usage: masticstall load [OPTION...]\n\n"
    "Submits jobs in an open loop. Response times count from the "
    "scheduled submission;\nthe ideal time is the service time of the "
    "longest task. The path of a task is\n/load?ms=TIME. Exit status 1: "
    "a job did not complete.\n\n"
    "Options:\n"
    "  --rate N         jobs per second, default 20\n"
    "  --seconds N      duration, default 10\n"
    "  --tasks MIN-MAX  tasks per job, default 1-8\n"
    "  --ms MIN-MAX     service time of a task, default 50-500\n"
    "  --burst N        rate multiplier in the middle fifth of the "
    "time, default 1\n"
    "  --timeout-ms N   timeout of a job, default 30000\n"
    "  --team NAME      team of the jobs, default load\n"
    "  --seed N         seed of the random numbers, default 1\n"
    "  --plot           print a plot of the response times\n"
    "  --help           print this help\n";

static bool
parse_range(const char *text, double *low, double *high)
{
	char **parts = g_strsplit(text, "-", 2);
	bool is_valid = parts[0] != NULL &&
	    cli_parse_number(low, parts[0], 0, LOAD_NUMBER_MAX) &&
	    cli_parse_number(
		high, parts[parts[1] != NULL], *low, LOAD_NUMBER_MAX);

	g_strfreev(parts);
	return is_valid;
}

static bool
parse_positive(double *number, const char *text)
{
	return cli_parse_number(number, text, 0, LOAD_NUMBER_MAX) &&
	    *number > 0;
}

static bool
parse_options(
    struct load_options *load_options, int argc, char **argv, bool *show_help)
{
	static const struct option options[] = {
	    {"rate", required_argument, NULL, 'r'},
	    {"seconds", required_argument, NULL, 's'},
	    {"tasks", required_argument, NULL, 'n'},
	    {"ms", required_argument, NULL, 'm'},
	    {"burst", required_argument, NULL, 'b'},
	    {"timeout-ms", required_argument, NULL, 'o'},
	    {"team", required_argument, NULL, 'g'},
	    {"seed", required_argument, NULL, 'd'},
	    {"plot", no_argument, NULL, 'p'}, {"help", no_argument, NULL, 'h'},
	    {0}};
	double tasks_min = load_options->tasks_min,
	       tasks_max = load_options->tasks_max;
	bool is_valid = true;
	int c;

	optind = 1;
	while ((c = getopt_long(argc, argv, "ph", options, NULL)) != -1) {
		if (c == 'r')
			is_valid &= parse_positive(&load_options->rate, optarg);
		else if (c == 's')
			is_valid &=
			    parse_positive(&load_options->seconds, optarg);
		else if (c == 'n')
			is_valid &= parse_range(optarg, &tasks_min, &tasks_max);
		else if (c == 'm')
			is_valid &= parse_range(optarg, &load_options->ms_min,
			    &load_options->ms_max);
		else if (c == 'b')
			is_valid &=
			    parse_positive(&load_options->burst, optarg);
		else if (c == 'o')
			is_valid &=
			    cli_parse_uint(&load_options->timeout_ms, optarg);
		else if (c == 'g')
			load_options->team = optarg;
		else if (c == 'd')
			is_valid &= cli_parse_uint(&load_options->seed, optarg);
		else if (c == 'p')
			load_options->plot = true;
		else if (c == 'h')
			*show_help = true;
		else
			is_valid = false;
	}
	load_options->tasks_min = (uint32_t)tasks_min;
	load_options->tasks_max = (uint32_t)tasks_max;
	return is_valid && optind == argc && load_options->tasks_min > 0 &&
	    load_options->tasks_max <= 4096;
}

enum cli_exit
cli_load(const struct cli *cli, int argc, char **argv)
{
	struct load load = {.cli = cli,
	    .options = {.rate = 20,
		.seconds = 10,
		.tasks_min = 1,
		.tasks_max = 8,
		.ms_min = 50,
		.ms_max = 500,
		.burst = 1,
		.seed = 1,
		.timeout_ms = 30000,
		.team = "load"}};
	char *metrics_before, *metrics_after;
	bool show_help = false;
	double duration_s;

	if (!parse_options(&load.options, argc, argv, &show_help) || show_help)
		return cli_usage(load_usage, show_help);
	load.rand = g_rand_new_with_seed(load.options.seed);
	load.response_ratios = g_array_new(FALSE, FALSE, sizeof(double));
	load.response_times_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.url = g_strdup_printf("%s/v1/jobs", cli->entry);
	load.headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	load.headers = curl_slist_append(load.headers, "Expect:");
	load.multi = curl_multi_init();
	metrics_before = read_metrics(cli);
	run_load(&load);
	duration_s = clock_s() - load.started_s;
	metrics_after = read_metrics(cli);
	mst_stats_sort(load.response_ratios);
	mst_stats_sort(load.response_times_ms);
	if (cli->json)
		print_json(&load, metrics_before, metrics_after, duration_s);
	else
		print_text(&load, metrics_before, metrics_after, duration_s);
	curl_multi_cleanup(load.multi);
	curl_slist_free_all(load.headers);
	g_array_unref(load.response_ratios);
	g_array_unref(load.response_times_ms);
	g_rand_free(load.rand);
	g_free(load.url);
	g_free(metrics_before);
	g_free(metrics_after);
	return load.failed + load.refused + load.lost == 0 ? CLI_OK
							   : CLI_FAILED;
}
