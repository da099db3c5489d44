/*
 * Fuzzes the reading of reports of workers, and the agent's reducer with those
 * that are accepted.
 */

#include <masticstall.h>

#include "driver.h"
#include "platform.h"

#define STEPS_MAX 200 /* reports until the reducer is created anew */
#define RESEND_MS 1300
#define LEASE_MS  1000

static struct mst_agent *agent;
static unsigned steps;
static int64_t now_us = G_USEC_PER_SEC;

static void
recreate_agent(void)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_agent_free(agent);
	mst_lease_times(&times, RESEND_MS, LEASE_MS);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = 2;
	mst_agent_new(&agent, &options);
	steps = 0;
}

static void
step_agent(const struct mst_worker_report *report)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .now_us = now_us, .report = report};

	if (agent == NULL || ++steps > STEPS_MAX)
		recreate_agent();
	mst_agent_step(agent, &event);
	now_us += 20000;
	event.type = MST_AGENT_EV_TICK;
	event.now_us = now_us;
	mst_agent_step(agent, &event);
}

static void
read_report(const struct mst_http_request *request)
{
	struct mst_worker_report report;
	struct input_fault fault;
	void *driver_data;

	if (platform_report_read(&report, &driver_data, &fault, request))
		step_agent(&report);
	platform_report_release(driver_data);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const struct mst_bytes bytes = {(const char *)data, len};
	const struct mst_http_request put = {
	    .method = mst_bytes_from_str("PUT"),
	    .path = mst_bytes_from_str("/v1/instances/i-7f3a"),
	    .body = bytes};
	const struct mst_http_request leave = {
	    .method = mst_bytes_from_str("DELETE"), .path = bytes};

	read_report(&put);
	read_report(&leave);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	return fuzz_run_corpus("report");
}

#endif
