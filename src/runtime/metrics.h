#ifndef MST_METRICS_H
#define MST_METRICS_H

/* Metrics in the Prometheus text format. */

#include <glib.h>
#include <masticstall/agent.h>

#include "base/histogram.h"
#include "net/bus.h"

/* Writes the HELP and TYPE lines of a metric family. */
void metrics_add_family(
    GString *out, const char *name, const char *type, const char *help);

/* Writes one sample; label may be NULL. */
void metrics_add_sample(GString *out, const char *name, const char *label,
    const char *label_value, double value);

/* Writes a metric family with a single sample without labels. */
void metrics_add_single(GString *out, const char *name, const char *type,
    const char *help, double value);

/* Writes one histogram of durations, converted to seconds. */
void metrics_add_histogram(GString *out, const char *name, const char *label,
    const char *label_value, const struct mst_histogram *histogram);

/* Writes the event loop's lag and the log's counters, for either daemon. */
void metrics_add_process(GString *out, const struct mst_histogram *lag);

/*
 * Formats an agent's metrics, except those of metrics_add_process(). Free with
 * g_string_free().
 */
GString *runtime_agent_metrics(const struct mst_agent_counters *counters,
    const struct mst_agent_gauges *gauges,
    const struct mst_bus_counters *bus_counters);

#endif
