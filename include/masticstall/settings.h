#ifndef MST_SETTINGS_H
#define MST_SETTINGS_H

/** Settings of the daemons: JSON with comments, checked whole. */

#include <glib.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>

/** Keys of the members' network; all NULL on loopback without keys. */
struct mst_curve_keys {
	const char *public_key; /* Z85, shared by all daemons */
	const char *secret_key;
};

struct mst_table_settings {
	const char *endpoint; /* http://ip:port */
	const char *table;
	const char *region;
	const char *access_key;
	const char *secret_key;
	uint32_t timeout_ms;
};

struct mst_operator_settings {
	const char *name;
	const char *token_sha256;
};

struct mst_trace_settings {
	double sample; /* share of jobs without a sampled parent */
	const char *otlp_endpoint;
};

struct mst_limit_settings {
	uint32_t body_max_bytes; /* of one request */
	uint32_t jobs_max;
	uint32_t memory_max_mb; /* of all jobs */
};

struct mst_upstream_settings {
	const char *address; /* ip:port */
	uint32_t slots;
	uint32_t connections;
	uint32_t result_max_bytes;
};

/** A worker that runs tasks under leases, beside a leased agent. */
struct mst_worker_settings {
	const char *address;       /* ip:port */
	const char *report_listen; /* ip:port, for its reports about itself */
	uint32_t lease_max_ms;     /* longest lease that it grants */
};

/** Where callers hand in jobs by the platform's rules. */
struct mst_frontend_settings {
	const char *listen;       /* ip:port */
	const char *ready_listen; /* ip:port, for the balancer's checks */
	double grace_s;           /* from SIGTERM until the process is killed */
	uint32_t config_ms; /* within which a configuration must be in force */
	double retention_s; /* for which a closed job's state is told */
	double
	    remote_factor; /* work away from its data, in times of it there */
};

enum mst_settings_role { MST_SETTINGS_ENTRY = 1, MST_SETTINGS_AGENT };

/** Settings of one daemon; an entry and an agent use different parts. */
struct mst_settings {
	char *path; /* of the file */
	enum mst_settings_role role;
	const char *name;
	const char *failure_domain;
	const char *rack;
	const char *http_listen;    /* ip:port */
	const char *members_listen; /* ip:port, entry only */
	const char *advertise;      /* ip:port that members use, entry only */
	GPtrArray *entries;         /* ip:port of some entries */
	GPtrArray *entry_hosts;     /* hosts of some entries, ip or ip:port */
	uint32_t members_port;      /* of the entries on entry_hosts */
	uint32_t resend_ms;         /* after it an unanswered job comes again */
	bool trusted_network;       /* members need no keys */
	const char *store; /* ip:port of the platform's store, or NULL */
	struct mst_worker_settings worker;
	struct mst_frontend_settings frontend;
	struct mst_table_settings table;
	GArray *operators; /* struct mst_operator_settings */
	struct mst_curve_keys curve;
	struct mst_trace_settings trace;
	struct mst_limit_settings limits;
	struct mst_upstream_settings upstream;
	struct mst_resources resources;
	int log_level; /* enum mst_log_level */
	void *json;    /* owns the strings */
};

#define MST_SETTINGS_ERROR mst_settings_error_quark()

enum mst_settings_error { MST_SETTINGS_ERROR_READ, MST_SETTINGS_ERROR_INVALID };

GQuark mst_settings_error_quark(void);

/**
 * Reads and checks a settings file whole.
 *
 * @param out output, freed by mst_settings_free()
 * @param path the file
 * @param role whose settings they are; 0 takes it from the file's members
 * @param error an MST_SETTINGS_ERROR whose message names each fault by its
 *     JSON pointer, one per line
 * @return 0, or -1 on failure
 */
int mst_settings_load(struct mst_settings **out, const char *path,
    enum mst_settings_role role, GError **error);

/** Works out the times of the leases from the settings. */
struct mst_lease_times mst_settings_lease_times(
    const struct mst_settings *settings);

/** Releases settings; NULL is allowed. */
void mst_settings_free(struct mst_settings *settings);

#endif
