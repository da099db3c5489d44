#include "support/leased_entry.h"

#define RESEND_MS    1300 /* time after which callers send a job again */
#define LEASE_MAX_MS 1000 /* longest lease that a worker grants */

struct mst_entry *
leased_entry_new(uint64_t incarnation)
{
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_lease_times times;
	struct mst_entry *entry;

	mst_lease_times(&times, RESEND_MS, LEASE_MAX_MS);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = incarnation;
	g_assert_cmpint(mst_entry_new(&entry, &options), ==, 0);
	return entry;
}

struct mst_entry_event
leased_entry_configuration(void)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_CONFIG,
	    .document = "{\"policy\":{\"eject_share_max\":1}}"};

	g_assert_cmpint(
	    mst_config_parse(&event.config, event.document, 1, NULL), ==, 0);
	return event;
}

struct mst_entry_event
leased_entry_submission(
    struct leased_entry_job *job, uint32_t declared_us, uint32_t timeout_ms)
{
	job->task = (struct mst_task_spec){
	    .path = mst_bytes_from_str(LEASED_ENTRY_KEY ".0.0.0"),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = declared_us,
	    .needs = {.millicores = 1000}};
	job->spec = (struct mst_job_spec){.key = LEASED_ENTRY_KEY,
	    .team = "queue",
	    .service = "service",
	    .timeout_ms = timeout_ms,
	    .caller_deadline_ms = timeout_ms,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 100,
	    .count = 1,
	    .tasks = &job->task};
	return (struct mst_entry_event){
	    .type = MST_ENTRY_EV_SUBMIT, .request = 1, .spec = &job->spec};
}

void
leased_entry_step(struct mst_entry *entry, struct mst_entry_event *event,
    void (*on_message)(void *ctx, const struct mst_msg *msg), void *ctx)
{
	const GArray *effects = mst_entry_step(entry, event);
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND)
			on_message(ctx, &effect->msg);
	}
}
