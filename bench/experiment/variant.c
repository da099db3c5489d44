#include "experiment.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum parameter_type {
	PARAMETER_BOOL,
	PARAMETER_DOUBLE,
	PARAMETER_US,
	PARAMETER_COUNT
};

struct parameter {
	const char *name;
	enum parameter_type type;
	size_t offset;
};

#define PARAMETER(name, type)                                                  \
	{                                                                      \
#name, type, offsetof(struct mst_tuning, name)                 \
	}

static const struct parameter parameters[] = {
    PARAMETER(refuse_late, PARAMETER_BOOL),
    PARAMETER(admit_to_free, PARAMETER_BOOL),
    PARAMETER(demote_late, PARAMETER_BOOL),
    PARAMETER(learn_times, PARAMETER_BOOL),
    PARAMETER(wait_share_low_load, PARAMETER_DOUBLE),
    PARAMETER(wait_share_high_load, PARAMETER_DOUBLE),
    PARAMETER(low_load, PARAMETER_DOUBLE),
    PARAMETER(high_load, PARAMETER_DOUBLE),
    PARAMETER(rate_share_min, PARAMETER_DOUBLE),
    PARAMETER(expiry_factor, PARAMETER_DOUBLE),
    PARAMETER(priority_step_us, PARAMETER_US),
    PARAMETER(use_slow_members, PARAMETER_BOOL),
    PARAMETER(wait_for_better, PARAMETER_BOOL),
    PARAMETER(spread, PARAMETER_BOOL), PARAMETER(slow_start, PARAMETER_BOOL),
    PARAMETER(planned_share, PARAMETER_DOUBLE),
    PARAMETER(overrun_deviations, PARAMETER_DOUBLE),
    PARAMETER(low_utilization, PARAMETER_DOUBLE),
    PARAMETER(high_utilization, PARAMETER_DOUBLE),
    PARAMETER(finish_stretch_max, PARAMETER_DOUBLE),
    PARAMETER(withdraw_overdue, PARAMETER_BOOL),
    PARAMETER(keep_long_tasks, PARAMETER_BOOL),
    PARAMETER(limit_overdue, PARAMETER_BOOL),
    PARAMETER(overdue_deviations, PARAMETER_DOUBLE),
    PARAMETER(order_by_urgency, PARAMETER_BOOL),
    PARAMETER(offer_slots, PARAMETER_BOOL),
    PARAMETER(report_lag, PARAMETER_BOOL),
    PARAMETER(queue_max, PARAMETER_COUNT)};

const char *const experiment_switches[] = {"refuse_late", "admit_to_free",
    "demote_late", "learn_times", "use_slow_members", "wait_for_better",
    "spread", "withdraw_overdue", "keep_long_tasks", "limit_overdue",
    "order_by_urgency", "offer_slots", "report_lag", NULL};

void
variant_init(struct variant *variant, const char *name)
{
	static const struct mst_tuning defaults = MST_TUNING_INIT;

	*variant = (struct variant){.name = name, .tuning = defaults};
}

static bool
set_parameter(struct mst_tuning *tuning, const struct parameter *parameter,
    const char *value)
{
	void *field = (char *)tuning + parameter->offset;

	switch (parameter->type) {
	case PARAMETER_BOOL:
		*(bool *)field = strcmp(value, "true") == 0;
		return *(bool *)field || strcmp(value, "false") == 0;
	case PARAMETER_DOUBLE:
		*(double *)field = g_ascii_strtod(value, NULL);
		return true;
	case PARAMETER_US:
		*(int64_t *)field = g_ascii_strtoll(value, NULL, 10);
		return true;
	case PARAMETER_COUNT:
		*(uint32_t *)field = (uint32_t)strtoul(value, NULL, 10);
		return true;
	}
	return false;
}

bool
variant_set(struct variant *variant, const char *name, const char *value)
{
	size_t i;

	if (strcmp(name, "placement") == 0) {
		variant->config = g_strdup_printf(
		    "{\"policy\":{\"placement\":\"%s\"}}", value);
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(parameters); i++) {
		if (strcmp(name, parameters[i].name) == 0)
			return set_parameter(
			    &variant->tuning, &parameters[i], value);
	}
	return false;
}
