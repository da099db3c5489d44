#ifndef MST_CONFIG_H
#define MST_CONFIG_H

/** The versioned configuration, which operators change by patches. */

#include <glib.h>
#include <masticstall/message.h>
#include <stdbool.h>
#include <stdint.h>

/** Strategy by which the member for a task is selected. */
enum mst_placement {
	MST_PLACEMENT_FINISH = 0, /* earliest expected finish */
	MST_PLACEMENT_RANDOM,
	MST_PLACEMENT_ROUND_ROBIN,
	MST_PLACEMENT_LEAST_OUTSTANDING
};

struct mst_team_config {
	double weight;        /* relative share under contention */
	uint32_t quota_tasks; /* most open tasks over all entries */
};

struct mst_policy {
	enum mst_placement placement;
	uint32_t default_timeout_ms;
	uint32_t queue_tasks_max; /* most tasks that wait at one entry */
	double queue_share;  /* share of a job's timeout allowed for queueing */
	double retry_budget; /* retries allowed per dispatched task */
	uint32_t eject_failures; /* consecutive failures before ejection */
	double eject_share_max;  /* largest share of ejected members */
	uint32_t eject_ms;  /* first ejection; doubled at each repetition */
	uint32_t settle_ms; /* time to wait for a member that fits a task */
	bool withdraw_stragglers; /* withdraw tasks queued behind a straggler */
	double wait_bias;         /* above 1: waits less for fast members */
	bool unknown_teams;       /* accept teams that are not configured */
};

/** A queue of the jobs that are submitted under one host and path prefix. */
struct mst_queue_config {
	const char *name;
	const char *host;    /* host of the request, without a port */
	const char *prefix;  /* prefix of the request's path */
	const char *service; /* service of the upstreams that run its tasks */
	uint32_t priority;   /* 0 is the highest */
	uint32_t attempts;   /* failed runs after which a task has failed */
	uint32_t timeout_ms;
	/*
	 * A job should complete within stretch times the service time of its
	 * critical path (without steps: of its longest task), plus target_ms.
	 */
	double stretch;
	uint32_t target_ms;
};

/** Limits for the clients of the entries. 0: the entry's own. */
struct mst_client_limits {
	uint32_t body_bytes; /* longest body of a request */
	uint32_t header_ms;  /* for the header of a request */
	uint32_t idle_ms;    /* for a connection on which nothing happens */
};

/** Bounds of these limits. */
#define MST_CLIENT_BODY_MIN_BYTES 1024
#define MST_CLIENT_BODY_MAX_BYTES (1 << 30)
#define MST_CLIENT_TIME_MIN_MS    100
#define MST_CLIENT_TIME_MAX_MS    3600000

struct mst_config {
	uint64_t version;
	struct mst_client_limits clients;
	GArray *queues; /* struct mst_queue_config */
	void *json;     /* parsed document; owns the strings of the queues */
	struct mst_policy policy;
	struct mst_team_config default_team;
	GHashTable *teams; /* char * -> struct mst_team_config */
	/* Names of the drained failure domains, owned by json; NULL: absent. */
	GPtrArray *drained_domains;
};

/** Most names in drained_domains. */
#define MST_DRAINED_DOMAINS_MAX 16

#define MST_CONFIG_ERROR mst_config_error_quark()

enum mst_config_error { MST_CONFIG_ERROR_SYNTAX, MST_CONFIG_ERROR_INVALID };

GQuark mst_config_error_quark(void);

/**
 * Parses and validates a configuration document and reports all its errors.
 *
 * @param out set to the configuration, which mst_config_free() releases
 * @param document JSON text, which may contain comments
 * @param version version of the document
 * @param error set to an MST_CONFIG_ERROR whose message has one line for each
 *     error, with its JSON pointer
 * @return 0, or -1 on failure
 */
int mst_config_parse(struct mst_config **out, const char *document,
    uint64_t version, GError **error);

/**
 * Parses a configuration that another process has accepted. Names that this
 * build doesn't know are skipped, as that process may be of a newer one.
 *
 * @param out set to the configuration, which mst_config_free() releases
 * @param unknown set to the JSON pointers of the skipped members, separated by
 *     spaces, or to NULL; to be freed with g_free()
 * @param document JSON text
 * @param version version of the document
 * @param error an MST_CONFIG_ERROR on failure
 * @return 0, or -1 on failure
 */
int mst_config_parse_known(struct mst_config **out, char **unknown,
    const char *document, uint64_t version, GError **error);

/**
 * Finds the queue for a request: among the queues of its host the one with
 * the longest prefix that matches the path.
 *
 * @param config the configuration
 * @param host host of the request; a port is ignored
 * @param path path of the request
 * @return the queue, or NULL if none matches
 */
const struct mst_queue_config *mst_config_queue_by_path(
    const struct mst_config *config, struct mst_bytes host,
    struct mst_bytes path);

/**
 * Finds a queue by its name.
 *
 * @param config the configuration
 * @param name name of the queue
 * @return the queue, or NULL if there is none of this name
 */
const struct mst_queue_config *mst_config_queue_by_name(
    const struct mst_config *config, const char *name);

/**
 * Checks whether a failure domain of this name can be drained.
 *
 * @param name the name
 * @return true if it has 1 to 64 bytes of valid UTF-8 without commas, which
 *     separate names in messages, and without control characters
 */
bool mst_config_is_domain_name(const char *name);

/** Releases a configuration; NULL is allowed. */
void mst_config_free(struct mst_config *config);

#endif
