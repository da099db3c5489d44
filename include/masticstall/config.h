#ifndef MST_CONFIG_H
#define MST_CONFIG_H

/** The numbered configuration that operators patch. */

#include <glib.h>
#include <masticstall/message.h>
#include <stdbool.h>
#include <stdint.h>

/** How a member is chosen for a task. */
enum mst_placement {
	MST_PLACEMENT_FINISH = 0, /* by expected finish */
	MST_PLACEMENT_RANDOM,
	MST_PLACEMENT_ROUND_ROBIN,
	MST_PLACEMENT_LEAST_OUTSTANDING
};

struct mst_team_config {
	double weight;        /* share under contention */
	uint32_t quota_tasks; /* open tasks over all entries */
};

struct mst_policy {
	enum mst_placement placement;
	uint32_t default_timeout_ms;
	uint32_t queue_tasks_max; /* waiting tasks at one entry */
	double queue_share;       /* of a job's timeout, spent in the queue */
	double retry_budget;      /* retries of unknown outcomes per task */
	uint32_t eject_failures;  /* failures in a row that eject a member */
	double eject_share_max;   /* share of the members out at once */
	uint32_t eject_ms;        /* first ejection; doubles when repeated */
	uint32_t settle_ms;       /* wait for a member that fits a task */
	bool withdraw_stragglers; /* move tasks queued behind a straggler */
	double wait_bias;         /* above 1 waits less for fast members */
	bool unknown_teams;       /* accept teams that are not listed */
};

/** A queue: the jobs that callers hand in under one host and path prefix. */
struct mst_queue_config {
	const char *name;
	const char *host;    /* of the request, without a port */
	const char *prefix;  /* the path begins with it */
	const char *service; /* the upstreams that run its tasks */
	uint32_t priority;   /* 0 is the most urgent */
	uint32_t attempts;   /* runs of a task that may end as failed */
	uint32_t timeout_ms;
	double stretch;     /* objective, in times of the longest task */
	uint32_t target_ms; /* objective, added to that */
};

struct mst_config {
	uint64_t version;
	GArray *queues; /* struct mst_queue_config */
	void *json;     /* owns the queues' strings */
	struct mst_policy policy;
	struct mst_team_config default_team;
	GHashTable *teams; /* char * -> struct mst_team_config */
};

#define MST_CONFIG_ERROR mst_config_error_quark()

enum mst_config_error { MST_CONFIG_ERROR_SYNTAX, MST_CONFIG_ERROR_INVALID };

GQuark mst_config_error_quark(void);

/**
 * Parses and checks a configuration document whole.
 *
 * @param out output, freed by mst_config_free()
 * @param document JSON, comments allowed
 * @param version its number
 * @param error an MST_CONFIG_ERROR whose message names each fault by its
 *     JSON pointer, one per line
 * @return 0, or -1 on failure
 */
int mst_config_parse(struct mst_config **out, const char *document,
    uint64_t version, GError **error);

/**
 * Finds the queue that a request belongs to: the one of its host whose prefix
 * is the longest that the path begins with.
 *
 * @param config the configuration
 * @param host the request's host; a port is ignored
 * @param path the request's path
 * @return the queue, or NULL when there is none
 */
const struct mst_queue_config *mst_config_queue_by_path(
    const struct mst_config *config, struct mst_bytes host,
    struct mst_bytes path);

/** Finds a queue by its name; NULL when there is none. */
const struct mst_queue_config *mst_config_queue_by_name(
    const struct mst_config *config, const char *name);

/** Releases a configuration; NULL is allowed. */
void mst_config_free(struct mst_config *config);

#endif
