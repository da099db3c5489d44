/*
 * Stand-in for a runner of the platform. It takes orders at LISTEN and sends
 * reports of itself to REPORT. A task takes the time that its specification
 * names ("ms=80"); one with "crash" in place of it makes the runner lose all
 * that it knows and be silent for a while, as a new incarnation. What runs is
 * ended when the lease runs out. Each start and end of a run is a line on
 * standard output: "start TIME TASK RUN", "end TIME TASK RUN HOW", with the
 * time of the monotonic clock in microseconds, which runners share. A run that
 * lapses ends at that time, also if this process notices it later.
 *
 * PUT /faults sets the fields of struct runner_faults (see runner_faults.h)
 * that it names. Orders are carried out LATE_MIN_MS to LATE_MAX_MS late, also
 * in the runner's next incarnation, unless they name another id. It may also
 * have:
 * {"crash_ms": n} crashes the runner for that long; meanwhile it refuses
 * orders, unless a fault changes that.
 * {"odd_report": KIND} sends one report of another writer; see runner_report.h.
 * {"seed": n} seeds what is drawn.
 *
 * Usage: standin-runner LISTEN REPORT ID SLOTS [CLOCK_RATE]
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "net/httpd.h"
#include "runner_faults.h"
#include "runner_report.h"

#define REPORT_MS     300
#define LEASE_MAX_MS  1000
#define CRASH_DOWN_MS 600
#define LATE_MIN_MS   1000
#define LATE_MAX_MS   6000
#define LATE_AFTER_MS 1000 /* most, from the end of a crash to a late order */
#define NO_REQUEST    UINT64_MAX /* of an order that gets no answer */

struct run {
	uv_timer_t timer; /* first member; cast to and from the structure */
	char *task;
	unsigned number;
};

/* An order to renew that waits for an end. */
struct hold {
	uv_timer_t timer; /* first member; cast to and from the structure */
	uint64_t request;
};

/* An order that is carried out late. */
struct late_order {
	uv_timer_t timer; /* first member; cast to and from the structure */
	char *path;
	cJSON *json;
	char *expected; /* id that it names; empty: none */
};

static struct mst_httpd_options httpd_options;
static struct mst_httpd *httpd; /* a new one after connections were refused */
static struct mst_http_client *client;
static struct runner_faults faults;
static GRand *faults_rand;
static const char *report_to; /* address */
static const char *first_id;
static char *id;
static unsigned id_count; /* ids that it has had besides */
static unsigned slots;
static double clock_rate = 1;
static uint64_t seq;    /* of the reports of this incarnation */
static int64_t born_ms; /* wall-clock time of this incarnation's start */
static int64_t born_us; /* the same, of the monotonic clock */
static int64_t down_until_us;
static int64_t until_ms; /* end of the lease, on this incarnation's clock */
static uint64_t fence;   /* highest seen */
static uint64_t end_count;
static GHashTable *runs;    /* task -> struct run */
static GHashTable *highest; /* task -> highest run that ended or stopped */
static cJSON *ended;        /* rows that are not acknowledged yet */
static GPtrArray *holds;    /* struct hold */
static uv_timer_t report_timer;

static int64_t
now_us(void)
{
	return g_get_monotonic_time();
}

static int64_t
clock_ms(void)
{
	return (int64_t)((double)(now_us() - born_us) * clock_rate) / 1000;
}

/* Returns the time of the monotonic clock at which the lease ends. */
static int64_t
lease_end_us(void)
{
	return born_us + (int64_t)((double)until_ms * 1000 / clock_rate);
}

static bool
draw(double share)
{
	return share > 0 && g_rand_double(faults_rand) < share;
}

static bool
is_down(void)
{
	return now_us() < down_until_us;
}

static void
respond(uint64_t request, int status, cJSON *json)
{
	char *text;

	cJSON_AddNumberToObject(json, "clockMs", (double)clock_ms());
	cJSON_AddNumberToObject(json, "born", (double)born_ms);
	text = cJSON_PrintUnformatted(json);
	mst_http_respond(httpd, request, status, NULL, 0, text, strlen(text));
	cJSON_free(text);
	cJSON_Delete(json);
}

static void
refuse(uint64_t request, const char *reason)
{
	cJSON *json = cJSON_CreateObject();

	cJSON_AddStringToObject(json, "reason", reason);
	respond(request, 409, json);
}

static void
respond_lists(uint64_t request)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *running = cJSON_AddArrayToObject(json, "running");
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;
		cJSON *row = cJSON_CreateArray();

		cJSON_AddItemToArray(row, cJSON_CreateString(run->task));
		cJSON_AddItemToArray(row, cJSON_CreateNumber(run->number));
		cJSON_AddItemToArray(row, cJSON_CreateString(""));
		cJSON_AddItemToArray(row, cJSON_CreateNumber(100));
		cJSON_AddItemToArray(running, row);
	}
	cJSON_AddItemToObject(json, "ended", cJSON_Duplicate(ended, 1));
	respond(request, 200, json);
}

static void
free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void
answer_holds(void)
{
	while (holds->len > 0) {
		struct hold *hold = g_ptr_array_steal_index(holds, 0);

		respond_lists(hold->request);
		uv_close((uv_handle_t *)&hold->timer, free_handle);
	}
}

static void
free_run(uv_handle_t *handle)
{
	struct run *run = (struct run *)handle;

	g_free(run->task);
	g_free(run);
}

static void
record_highest(const char *task, unsigned number)
{
	unsigned known = GPOINTER_TO_UINT(g_hash_table_lookup(highest, task));

	g_hash_table_replace(
	    highest, g_strdup(task), GUINT_TO_POINTER(MAX(known, number)));
}

static void
log_end(const struct run *run, const char *how)
{
	int64_t time_us = now_us();

	if (strcmp(how, "lapsed") == 0)
		time_us = MIN(time_us, lease_end_us());
	printf("end %" G_GINT64_FORMAT " %s %u %s\n", time_us, run->task,
	    run->number, how);
}

static void
end_run(struct run *run, const char *how)
{
	cJSON *row = cJSON_CreateArray();

	log_end(run, how);
	cJSON_AddItemToArray(row, cJSON_CreateNumber((double)++end_count));
	cJSON_AddItemToArray(row, cJSON_CreateString(run->task));
	cJSON_AddItemToArray(row, cJSON_CreateNumber(run->number));
	cJSON_AddItemToArray(row, cJSON_CreateString(how));
	cJSON_AddItemToArray(row, cJSON_CreateString(""));
	cJSON_AddItemToArray(ended, row);
	record_highest(run->task, run->number);
	g_hash_table_remove(runs, run->task);
	uv_close((uv_handle_t *)&run->timer, free_run);
	answer_holds();
}

/* Ends all runs; of an incarnation that is lost, nothing is listed. */
static void
end_all(const char *how, bool lost)
{
	GList *list = g_hash_table_get_values(runs);
	GList *item;

	for (item = list; item != NULL; item = item->next) {
		struct run *run = item->data;

		if (!lost) {
			end_run(run, how);
			continue;
		}
		log_end(run, how);
		g_hash_table_remove(runs, run->task);
		uv_close((uv_handle_t *)&run->timer, free_run);
	}
	g_list_free(list);
}

static void
choose_id(void)
{
	if (!faults.new_id)
		return;
	g_free(id);
	id = g_strdup_printf("%s-%u", first_id, ++id_count);
}

static void
start_incarnation(void)
{
	born_us = now_us();
	born_ms = g_get_real_time() / 1000 + (int64_t)faults.wall_offset_ms;
	seq = end_count = fence = 0;
	until_ms = 0;
	g_hash_table_remove_all(highest);
	cJSON_Delete(ended);
	ended = cJSON_CreateArray();
}

/* Leaves the orders that wait without an answer. */
static void
drop_holds(void)
{
	while (holds->len > 0) {
		struct hold *hold = g_ptr_array_steal_index(holds, 0);

		uv_close((uv_handle_t *)&hold->timer, free_handle);
	}
}

static void
listen_again(void)
{
	GError *error = NULL;

	httpd_options.ctx = (char *)httpd_options.ctx + 1;
	if (mst_httpd_new(&httpd, &httpd_options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
}

static void
on_up(uv_timer_t *timer)
{
	listen_again();
	uv_close((uv_handle_t *)timer, free_handle);
}

/* Refuses connections until the runner is up again. */
static void
refuse_connections(unsigned down_ms)
{
	uv_timer_t *timer;

	if (is_down())
		return;
	timer = g_new0(uv_timer_t, 1);
	mst_httpd_shutdown(httpd);
	uv_timer_init(uv_default_loop(), timer);
	uv_timer_start(timer, on_up, down_ms, 0);
}

/* Returns what a report with a number says. */
static struct runner_report
get_report(uint64_t number)
{
	return (struct runner_report){.to = report_to,
	    .address = httpd_options.listen,
	    .id = id,
	    .slots = slots,
	    .born_ms = born_ms,
	    .clock_ms = clock_ms(),
	    .seq = number};
}

static void
on_report_due(uv_timer_t *timer)
{
	const struct runner_report report = get_report(++seq);

	if (!is_down())
		runner_report_send(client, &report);
}

static void
send_odd_report(const char *kind)
{
	const struct runner_report report = get_report(seq);

	runner_report_send_odd(client, &report, kind);
}

/* Sends reports from a time on. */
static void
report_from(unsigned delay_ms)
{
	uv_timer_start(&report_timer, on_report_due, delay_ms, REPORT_MS);
}

static void
crash(unsigned down_ms)
{
	if (faults.refuses)
		refuse_connections(down_ms);
	end_all("crashed", true);
	drop_holds();
	down_until_us = now_us() + (int64_t)down_ms * 1000;
	choose_id();
	start_incarnation();
	report_from(down_ms + 1);
}

/* Ends what runs if the lease is over. */
static void
check_lease(void)
{
	if (until_ms <= clock_ms())
		end_all("lapsed", false);
}

static void
on_run_due(uv_timer_t *timer)
{
	struct run *run = (struct run *)timer;

	check_lease();
	if (uv_is_closing((uv_handle_t *)timer))
		return;
	if (run->timer.data != NULL)
		crash(CRASH_DOWN_MS);
	else
		end_run(run, draw(faults.fail_share) ? "failed" : "done");
}

/* Extends the lease, by at most its greatest length. */
static void
renew(const cJSON *order)
{
	const cJSON *until = cJSON_GetObjectItemCaseSensitive(order, "untilMs");

	if (cJSON_IsNumber(until))
		until_ms = MAX(until_ms,
		    MIN((int64_t)until->valuedouble,
			clock_ms() + LEASE_MAX_MS));
}

/* Returns false, after a response, if the order is of a lower fence. */
static bool
check_fence(uint64_t request, const cJSON *order)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(order, "fence");
	uint64_t value = cJSON_IsNumber(item) ? (uint64_t)item->valuedouble : 0;

	if (value < fence) {
		refuse(request, "fence");
		return false;
	}
	fence = value;
	return true;
}

static const char *
get_string(const cJSON *object, const char *name)
{
	const char *text = cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(object, name));

	return text != NULL ? text : "";
}

static unsigned
get_number(const cJSON *object, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);

	return cJSON_IsNumber(item) ? (unsigned)item->valuedouble : 0;
}

static void
add_run(const cJSON *order)
{
	struct run *run = g_new0(struct run, 1);
	const char *spec = get_string(order, "spec");
	const char *ms = strstr(spec, "ms=");

	run->task = g_strdup(get_string(order, "task"));
	run->number = get_number(order, "run");
	g_hash_table_insert(runs, run->task, run);
	printf("start %" G_GINT64_FORMAT " %s %u\n", now_us(), run->task,
	    run->number);
	uv_timer_init(uv_default_loop(), &run->timer);
	/* Marks the runs that crash this runner. */
	run->timer.data = strstr(spec, "crash") != NULL ? run : NULL;
	uv_timer_start(&run->timer, on_run_due,
	    ms != NULL ? strtoul(ms + 3, NULL, 10) : 50, 0);
}

static void
start_run(uint64_t request, const cJSON *order)
{
	const char *task = get_string(order, "task");
	unsigned number = get_number(order, "run");
	const struct run *present = g_hash_table_lookup(runs, task);

	if (!check_fence(request, order))
		return;
	renew(order);
	if (present != NULL && present->number == number) {
		respond(request, 200, cJSON_CreateObject());
		return;
	}
	if (present != NULL ||
	    number <= GPOINTER_TO_UINT(g_hash_table_lookup(highest, task))) {
		refuse(request, "old");
	} else if (until_ms <= clock_ms()) {
		refuse(request, "late");
	} else if (g_hash_table_size(runs) >= slots) {
		refuse(request, "room");
	} else {
		add_run(order);
		respond(request, 200, cJSON_CreateObject());
	}
}

static void
stop_run(uint64_t request, const cJSON *order)
{
	const char *task = get_string(order, "task");
	unsigned number = get_number(order, "run");
	struct run *run = g_hash_table_lookup(runs, task);

	if (!check_fence(request, order))
		return;
	record_highest(task, number);
	if (run != NULL && run->number <= number)
		end_run(run, "stopped");
	respond(request, 200, cJSON_CreateObject());
}

static void
forget_ended(unsigned last_seen)
{
	while (cJSON_GetArraySize(ended) > 0 &&
	    cJSON_GetArrayItem(cJSON_GetArrayItem(ended, 0), 0)->valuedouble <=
		last_seen)
		cJSON_DeleteItemFromArray(ended, 0);
}

static void
on_hold_due(uv_timer_t *timer)
{
	struct hold *hold = (struct hold *)timer;

	g_ptr_array_remove(holds, hold);
	respond_lists(hold->request);
	uv_close((uv_handle_t *)timer, free_handle);
}

static void
hold(uint64_t request, const cJSON *order)
{
	struct hold *waiting;

	if (!check_fence(request, order))
		return;
	renew(order);
	forget_ended(get_number(order, "lastSeen"));
	if (cJSON_GetArraySize(ended) > 0 || get_number(order, "waitMs") == 0) {
		respond_lists(request);
		return;
	}
	waiting = g_new0(struct hold, 1);
	waiting->request = request;
	uv_timer_init(uv_default_loop(), &waiting->timer);
	uv_timer_start(
	    &waiting->timer, on_hold_due, get_number(order, "waitMs"), 0);
	g_ptr_array_add(holds, waiting);
}

static bool
carry_out(const char *path, uint64_t request, const cJSON *order)
{
	check_lease();
	if (strcmp(path, "/v1/run-start") == 0)
		start_run(request, order);
	else if (strcmp(path, "/v1/run-stop") == 0)
		stop_run(request, order);
	else if (strcmp(path, "/v1/hold") == 0)
		hold(request, order);
	else
		return false;
	return true;
}

static void
free_late_order(uv_handle_t *handle)
{
	struct late_order *late = (struct late_order *)handle;

	cJSON_Delete(late->json);
	g_free(late->path);
	g_free(late->expected);
	g_free(late);
}

static bool
names_this_runner(const char *expected)
{
	return *expected == '\0' || strcmp(expected, id) == 0;
}

/* An order that is due while the runner is down meets its next incarnation. */
static void
on_late_order_due(uv_timer_t *timer)
{
	struct late_order *late = (struct late_order *)timer;

	if (is_down()) {
		uv_timer_start(timer, on_late_order_due,
		    (uint64_t)((down_until_us - now_us()) / 1000 +
			g_rand_int_range(faults_rand, 1, LATE_AFTER_MS)),
		    0);
		return;
	}
	if (names_this_runner(late->expected))
		carry_out(late->path, NO_REQUEST, late->json);
	uv_close((uv_handle_t *)timer, free_late_order);
}

static void
carry_out_later(const char *path, const char *expected, const cJSON *order)
{
	struct late_order *late = g_new0(struct late_order, 1);

	late->path = g_strdup(path);
	late->expected = g_strdup(expected);
	late->json = cJSON_Duplicate(order, 1);
	uv_timer_init(uv_default_loop(), &late->timer);
	uv_timer_start(&late->timer, on_late_order_due,
	    (uint64_t)g_rand_int_range(faults_rand, LATE_MIN_MS, LATE_MAX_MS),
	    0);
}

static void
set_faults(uint64_t request, const cJSON *json)
{
	runner_faults_set(&faults, json);
	if (cJSON_HasObjectItem(json, "seed"))
		g_rand_set_seed(faults_rand, get_number(json, "seed"));
	mst_http_respond(httpd, request, 204, NULL, 0, "", 0);
	if (cJSON_HasObjectItem(json, "odd_report"))
		send_odd_report(cJSON_GetStringValue(
		    cJSON_GetObjectItem(json, "odd_report")));
	if (cJSON_HasObjectItem(json, "crash_ms"))
		crash(get_number(json, "crash_ms"));
}

/* Carries out an order, with the faults that are set. */
static void
handle_order(uint64_t request, const char *path, const char *expected,
    const cJSON *order)
{
	if (is_down() && faults.hangs)
		return;
	if (is_down() || faults.unhealthy)
		mst_http_respond(httpd, request, 503, NULL, 0, "", 0);
	else if (draw(faults.late_share))
		carry_out_later(path, expected, order);
	else if (draw(faults.lost_share))
		carry_out(path, NO_REQUEST, order);
	else if (!carry_out(path, request, order))
		mst_http_respond(httpd, request, 404, NULL, 0, "", 0);
}

static void
handle_request(struct mst_http_request *request)
{
	char *expected =
	    mst_bytes_to_str(mst_http_header(request, "x-expect-instance"));
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);
	char *path = mst_bytes_to_str(request->path);

	if (strcmp(path, "/faults") == 0)
		set_faults(request->id, json);
	else if (!is_down() && !names_this_runner(expected))
		respond(request->id, 421, cJSON_CreateObject());
	else
		handle_order(request->id, path, expected, json);
	g_free(expected);
	g_free(path);
	cJSON_Delete(json);
	fflush(stdout);
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	/* Connections from before a crash may still be open. */
	if (ctx == httpd_options.ctx)
		handle_request(request);
}

static void
on_disconnect(uint64_t request, void *ctx)
{
	guint i;

	if (ctx != httpd_options.ctx)
		return;
	for (i = 0; i < holds->len; i++) {
		struct hold *waiting = holds->pdata[i];

		if (waiting->request != request)
			continue;
		g_ptr_array_remove_index(holds, i);
		uv_close((uv_handle_t *)&waiting->timer, free_handle);
		return;
	}
}

static void
on_lease_check(uv_timer_t *timer)
{
	check_lease();
	fflush(stdout);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	check_lease();
	end_all("crashed", true);
	exit(0);
}

int
main(int argc, char **argv)
{
	uv_timer_t lease_timer;
	uv_signal_t sigterm;
	GError *error = NULL;

	if (argc != 5 && argc != 6) {
		fprintf(stderr,
		    "Usage: standin-runner LISTEN REPORT ID SLOTS "
		    "[CLOCK_RATE]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	httpd_options = (struct mst_httpd_options){.loop = uv_default_loop(),
	    .listen = argv[1],
	    .body_max_bytes = 1 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect};
	first_id = argv[3];
	id = g_strdup(first_id);
	report_to = argv[2];
	slots = (unsigned)strtoul(argv[4], NULL, 10);
	if (argc == 6)
		clock_rate = g_ascii_strtod(argv[5], NULL);
	runs = g_hash_table_new(g_str_hash, g_str_equal);
	highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	holds = g_ptr_array_new();
	faults_rand = g_rand_new_with_seed(0);
	start_incarnation();
	client = mst_http_client_new(uv_default_loop(), 0);
	if (mst_httpd_new(&httpd, &httpd_options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_timer_init(uv_default_loop(), &report_timer);
	report_from(1);
	uv_timer_init(uv_default_loop(), &lease_timer);
	uv_timer_start(&lease_timer, on_lease_check, 20, 20);
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
