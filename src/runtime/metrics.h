#ifndef MST_METRICS_H
#define MST_METRICS_H

/* Metrics in the Prometheus text format. */

#include <glib.h>
#include <masticstall/agent.h>
#include <masticstall/entry.h>

#include "base/histogram.h"
#include "net/bus.h"
#include "net/dynamodb_table.h"
#include "net/http_guard.h"
#include "runtime/loop.h"

/* Figures of an entry's frontend and store. */
struct frontend_figures {
	const struct mst_histogram *job_times; /* by enum frontend_outcome */
	unsigned config_failures;  /* consecutive failed calls to the store */
	unsigned entries_failures; /* consecutive failed calls to the store */
	double config_age_s;       /* 0: there is no configuration yet */
};

/* A failure domain and its members, as an entry knows them. */
struct domain_figures {
	char *name;
	bool drained;
	uint32_t members; /* without lost ones */
	uint32_t running; /* the entry's tasks at the members */
};

/* Figures of an entry that are printed as its metrics. */
struct entry_figures {
	const struct mst_entry_counters *counters;
	const struct mst_entry_gauges *gauges;
	const uint32_t *tasks_withheld; /* by enum mst_preference */
	const GArray *domains;          /* struct domain_figures */
	const struct mst_bus_counters *bus;
	const struct mst_histogram *loop_lag;
	const struct http_guard *http_guard;       /* NULL: not measured */
	const struct runtime_loop_load *loop_load; /* NULL: not measured */
	const int64_t *event_us; /* by enum mst_entry_event_type, or NULL */
	const struct frontend_figures *frontend; /* NULL: it has none */
	const struct mst_table_counters *table;  /* NULL: it has none */
};

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
/* Writes what the clients of the process's HTTP servers make it hold, and what
 * was done to them for it. */
void metrics_add_clients(GString *out, const struct http_guard *guard);

/* Writes what the event loop has done, for either daemon. */
void metrics_add_loop(GString *out, const struct runtime_loop_load *load);

/* Formats all metrics of an entry. Free with g_string_free(). */
GString *metrics_format_entry(const struct entry_figures *figures);

/*
 * Formats an agent's metrics, except those of metrics_add_process(). Free with
 * g_string_free().
 */
GString *runtime_agent_metrics(const struct mst_agent_counters *counters,
    const struct mst_agent_gauges *gauges,
    const struct mst_bus_counters *bus_counters);

#endif
