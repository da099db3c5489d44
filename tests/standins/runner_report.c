#include "runner_report.h"

#include <glib.h>
#include <string.h>

#define CALL_MS     500
#define ODD_BORN_MS 3600000 /* from a runner's start to an odd one */

static void
on_reported(int status, const char *body, size_t len, void *ctx)
{
}

/* Sends a report about a runner with an id. */
static void
send_body(struct mst_http_client *client, const struct runner_report *report,
    const char *method, const char *about, const char *body)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *url =
	    g_strdup_printf("http://%s/v1/instances/%s", report->to, about);
	const struct mst_http_call call = {.url = url,
	    .method = method,
	    .headers = headers,
	    .body = body,
	    .timeout_ms = CALL_MS,
	    .on_done = on_reported};

	mst_http_client_send(client, &call);
	g_free(url);
}

/* Returns a report as JSON; the texts of numbers may be no numbers. */
static char *
write_report(const struct runner_report *report, const char *service,
    const char *born, const char *seq, unsigned mc)
{
	return g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
	    "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%u,\"memMb\":%u},"
	    "\"labels\":[\"a\",\"r1\"],\"clockMs\":%" G_GINT64_FORMAT
	    ",\"born\":%s,\"seq\":%s}",
	    service, report->address, report->slots, mc,
	    report->slots * TASK_MB, report->clock_ms, born, seq);
}

void
runner_report_send(
    struct mst_http_client *client, const struct runner_report *report)
{
	char *born = g_strdup_printf("%" G_GINT64_FORMAT, report->born_ms);
	char *seq = g_strdup_printf("%" G_GUINT64_FORMAT, report->seq);
	char *body =
	    write_report(report, "s", born, seq, report->slots * TASK_MC);

	send_body(client, report, "PUT", report->id, body);
	g_free(body);
	g_free(seq);
	g_free(born);
}

void
runner_report_send_odd(struct mst_http_client *client,
    const struct runner_report *report, const char *kind)
{
	char *born = g_strdup_printf("%" G_GINT64_FORMAT, report->born_ms);
	char *future =
	    g_strdup_printf("%" G_GINT64_FORMAT, report->born_ms + ODD_BORN_MS);
	const char *endless = "18446744073709551615";
	const char *about = strcmp(kind, "id") == 0 ? "another" : report->id;
	char *body = NULL;

	if (strcmp(kind, "id") == 0)
		body = write_report(report, "s", born, "1", TASK_MC);
	else if (strcmp(kind, "future") == 0)
		body = write_report(report, "s", future, "1", TASK_MC);
	else if (strcmp(kind, "endless") == 0)
		body = write_report(report, "s", endless, "1", TASK_MC);
	else if (strcmp(kind, "seq") == 0)
		body = write_report(report, "s", born, "1e300", TASK_MC);
	else if (strcmp(kind, "fields") == 0)
		body = write_report(report, "s", "\"now\"", "null", TASK_MC);
	else if (strcmp(kind, "service") == 0)
		body = write_report(report, "unknown", born, "1", TASK_MC);
	send_body(client, report, body != NULL ? "PUT" : "DELETE", about, body);
	g_free(body);
	g_free(future);
	g_free(born);
}
