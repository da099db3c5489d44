/*
 * Stand-in for callers of the platform. It submits jobs at a steady rate, in
 * turn to the entries that are ready, over connections that it keeps open. A
 * job without an answer is sent again under its id RESEND_MS later, to the next
 * entry. A share of the jobs crash their runners; they go to a queue of their
 * own. Each job is a line on standard output: "ID STATE MS ENTRY SENDS
 * UNANSWERED TASKS", where the state is completed, failed, refused or lost, and
 * UNANSWERED the number of the requests whose connection neither brought an
 * answer nor broke in the time that a caller waits; the last line has the
 * counts of the jobs that don't crash runners, and of those requests. After a
 * SIGTERM no more jobs are submitted; the process ends once the others have
 * ended.
 *
 * Usage: standin-caller [OPTION]... RATE SECONDS CRASH_SHARE FRONT READY
 *     [FRONT READY]...
 *
 * --answer-ms N  how long a caller waits for an answer, default 4000
 * --first N      number of the first job, from which the ids follow
 * --seed N       draws the jobs' tasks and the callers that keep to an entry
 *                that is not ready, as those with open connections do
 */

#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"

#define ENTRIES_MAX 8
#define RESEND_MS   1300
#define SENDS_MAX   6 /* of one job */
#define ANSWER_MS   4000
#define READY_MS    100 /* between two checks of an entry */
#define READY_WAIT  400 /* time limit of one */
#define TICK_MS     5
#define TASKS       3
#define TASK_MS     60
#define LONG_EVERY  7 /* one job in so many has long tasks */
#define LONG_MS     400
#define TASKS_MAX   8   /* of a drawn job */
#define MS_MIN      20  /* of a drawn job's tasks */
#define MS_MAX      900 /* the same */
#define SKEWS       4   /* the higher, the more tasks are short */
#define KEEP_SHARE  0.5 /* of the callers keep to their entry */

struct entry {
	char *front;
	char *ready_url;
	bool ready;
};

struct job {
	uv_timer_t timer; /* first member; cast to and from the structure */
	unsigned number;
	char id[20];
	char *body;
	bool crashes; /* its runners */
	int tasks;
	unsigned sends;
	unsigned unanswered; /* of the sends */
	unsigned entry;      /* that it was sent to last */
	int64_t submitted_us;
	int64_t sent_us; /* last time */
};

enum state { COMPLETED, FAILED, REFUSED, LOST, STATE_MAX };

static const char *const state_names[] = {
    "completed", "failed", "refused", "lost"};

static struct mst_http_client *client;
static struct entry entries[ENTRIES_MAX];
static unsigned entry_count;
static unsigned next_entry;
static double rate;
static double crash_share;
static int64_t started_us;
static int64_t end_us;
static unsigned submitted;
static unsigned first_number;
static unsigned answer_ms = ANSWER_MS;
static GRand *rand_jobs; /* NULL: all jobs are alike */
static double skew;      /* of the times of drawn tasks */
static unsigned unanswered;
static unsigned open_jobs;
static unsigned counts[STATE_MAX];

static void send_job(struct job *job);

static void
on_ready(int status, const char *body, size_t len, void *ctx)
{
	struct entry *entry = ctx;

	entry->ready = status == 200;
}

static void
on_ready_due(uv_timer_t *timer)
{
	unsigned i;

	for (i = 0; i < entry_count; i++) {
		const struct mst_http_call call = {.url = entries[i].ready_url,
		    .method = "GET",
		    .timeout_ms = READY_WAIT,
		    .on_done = on_ready,
		    .ctx = &entries[i]};

		mst_http_client_send(client, &call);
	}
}

/* Returns the next entry that is ready, or the next one if none is. */
static unsigned
choose_entry(void)
{
	unsigned i;

	g_assert(entry_count > 0);
	if (rand_jobs != NULL && g_rand_double(rand_jobs) < KEEP_SHARE)
		return next_entry++ % entry_count;
	for (i = 0; i < entry_count; i++) {
		unsigned entry = next_entry++ % entry_count;

		if (entries[entry].ready)
			return entry;
	}
	return next_entry++ % entry_count;
}

static void
free_job(uv_handle_t *handle)
{
	struct job *job = (struct job *)handle;

	g_free(job->body);
	g_free(job);
}

static void
finish(struct job *job, enum state state)
{
	counts[state] += !job->crashes;
	open_jobs--;
	printf("%s %s %" G_GINT64_FORMAT " %u %u %u %d\n", job->id,
	    state_names[state],
	    (g_get_monotonic_time() - job->submitted_us) / 1000, job->entry + 1,
	    job->sends, job->unanswered, job->tasks);
	uv_close((uv_handle_t *)&job->timer, free_job);
}

static void
on_resend_due(uv_timer_t *timer)
{
	send_job((struct job *)timer);
}

static void
on_answer(int status, const char *body, size_t len, void *ctx)
{
	struct job *job = ctx;

	if ((status == MST_HTTP_NO_RESPONSE || status == MST_HTTP_NOT_SENT) &&
	    g_get_monotonic_time() - job->sent_us >=
		(int64_t)answer_ms * 1000) {
		job->unanswered++;
		unanswered++;
	}
	if (status == 200 && strstr(body, "\"completed\"") != NULL)
		finish(job, COMPLETED);
	else if (status == 200)
		finish(job, FAILED);
	else if (status == 429 || status == 503 || status == 404)
		finish(job, REFUSED);
	else if (job->sends >= SENDS_MAX)
		finish(job, LOST);
	else
		uv_timer_start(&job->timer, on_resend_due, RESEND_MS, 0);
}

static void
send_job(struct job *job)
{
	static const char *const headers[] = {"Content-Type: application/json",
	    "Host: a.example", "X-Deadline-Ms: 3000", NULL};
	char *url;
	struct mst_http_call call = {.method = "POST",
	    .headers = headers,
	    .body = job->body,
	    .timeout_ms = answer_ms,
	    .on_done = on_answer,
	    .ctx = job};

	job->sends++;
	job->sent_us = g_get_monotonic_time();
	job->entry = choose_entry();
	url = g_strdup_printf("http://%s/%s/%s", entries[job->entry].front,
	    job->crashes ? "crash" : "p", job->id);
	call.url = url;
	mst_http_client_send(client, &call);
	g_free(url);
}

static void
submit(void)
{
	struct job *job = g_new0(struct job, 1);
	unsigned ms = submitted % LONG_EVERY == 0 ? LONG_MS : TASK_MS;

	job->crashes =
	    crash_share > 0 && submitted % (unsigned)(1 / crash_share) == 1;
	job->tasks = job->crashes ? 1 : TASKS;
	if (rand_jobs != NULL && !job->crashes) {
		job->tasks = g_rand_int_range(rand_jobs, 1, TASKS_MAX + 1);
		ms = (unsigned)(MS_MIN +
		    (MS_MAX - MS_MIN) * pow(g_rand_double(rand_jobs), skew));
	}
	job->number = first_number + ++submitted;
	job->submitted_us = g_get_monotonic_time();
	g_snprintf(job->id, sizeof(job->id), "%016x", job->number);
	job->body = g_strdup_printf(
	    "{\"spec\":\"%sms=%u\",\"bestEffort\":true,\"steps\":[{"
	    "\"count\":%d,\"cpu\":1000,\"memMb\":64,\"estimateMs\":%u}]}",
	    job->crashes ? "crash " : "", ms, job->tasks, ms);
	uv_timer_init(uv_default_loop(), &job->timer);
	open_jobs++;
	send_job(job);
}

static void
on_tick(uv_timer_t *timer)
{
	int64_t now_us = g_get_monotonic_time();
	double due;

	if (now_us < end_us) {
		due = (double)(now_us - started_us) / G_USEC_PER_SEC * rate;
		while (submitted < due)
			submit();
	} else if (open_jobs == 0) {
		printf("total unanswered=%u completed=%u failed=%u "
		       "refused=%u lost=%u\n",
		    unanswered, counts[COMPLETED], counts[FAILED],
		    counts[REFUSED], counts[LOST]);
		fflush(stdout);
		exit(0);
	}
	fflush(stdout);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	end_us = g_get_monotonic_time();
}

static void
read_options(int argc, char **argv)
{
	static const struct option options[] = {
	    {"answer-ms", required_argument, NULL, 'a'},
	    {"first", required_argument, NULL, 'f'},
	    {"seed", required_argument, NULL, 's'}, {0}};
	unsigned value;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		value =
		    optarg != NULL ? (unsigned)strtoul(optarg, NULL, 10) : 0;
		if (option == 'a')
			answer_ms = value;
		else if (option == 'f')
			first_number = value;
		else if (option == 's') {
			rand_jobs = g_rand_new_with_seed(value);
			skew = 1 + value % SKEWS;
		} else
			exit(2);
	}
}

int
main(int argc, char **argv)
{
	uv_timer_t tick_timer, ready_timer;
	uv_signal_t sigterm;
	int i;

	read_options(argc, argv);
	argc -= optind;
	argv += optind;
	if (argc < 5) {
		fprintf(stderr,
		    "Usage: standin-caller [OPTION]... RATE SECONDS "
		    "CRASH_SHARE FRONT READY [FRONT READY]...\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	rate = g_ascii_strtod(argv[0], NULL);
	crash_share = g_ascii_strtod(argv[2], NULL);
	for (i = 3; i + 1 < argc && entry_count < ENTRIES_MAX; i += 2) {
		entries[entry_count].front = argv[i];
		entries[entry_count].ready_url =
		    g_strdup_printf("http://%s/v1/readiness", argv[i + 1]);
		entry_count++;
	}
	started_us = g_get_monotonic_time();
	end_us = started_us +
	    (int64_t)(g_ascii_strtod(argv[1], NULL) * G_USEC_PER_SEC);
	client = mst_http_client_new(uv_default_loop(), 0);
	uv_timer_init(uv_default_loop(), &ready_timer);
	uv_timer_start(&ready_timer, on_ready_due, 0, READY_MS);
	uv_timer_init(uv_default_loop(), &tick_timer);
	uv_timer_start(&tick_timer, on_tick, READY_MS, TICK_MS);
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
