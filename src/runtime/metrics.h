#ifndef MST_METRICS_H
#define MST_METRICS_H

/* Metrics in the Prometheus text format. */

#include <glib.h>
#include <masticstall/agent.h>

#include "base/histogram.h"
#include "net/bus.h"

/* Starts a family. */
void metric_family(
    GString *out, const char *name, const char *type, const char *help);

/* Adds one sample; label may be NULL. */
void metric_sample(GString *out, const char *name, const char *label,
    const char *value_of_label, double value);

/* A family with one sample. */
void metric_single(GString *out, const char *name, const char *type,
    const char *help, double value);

/* Adds one histogram of durations, in seconds, to its family. */
void metric_histogram(GString *out, const char *name, const char *label,
    const char *value_of_label, const struct mst_histogram *histogram);

/* What every daemon tells of itself: its loop and its log. */
void metric_process(GString *out, const struct mst_histogram *lag);

/* All metrics of an agent but those of the process. */
GString *runtime_agent_metrics(const struct mst_agent_counters *c,
    const struct mst_agent_gauges *g, const struct mst_bus_counters *bus);

#endif
