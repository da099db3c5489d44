#ifndef MST_SETTINGS_H
#define MST_SETTINGS_H

/** Settings of the daemons, read from JSON files with comments. */

#include <glib.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>

/**
 * CURVE keys of the members' network. All are NULL if the members use loopback
 * without keys.
 */
struct mst_curve_keys {
	const char *public_key; /* in Z85, shared by all daemons */
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
	double sample; /* share of jobs without a traceparent that is traced */
	const char *otlp_endpoint;
};

/** Machine that a daemon runs on. */
struct mst_machine_settings {
	uint32_t memory_mb; /* that the daemon may take */
	uint32_t
	    descriptors; /* that it may have open; 0: the process's limit */
};

/**
 * Most that clients can make a daemon hold at a time, as shares of its machine.
 * The rest is for the daemon itself, its peers and the store.
 */
struct mst_shares {
	uint64_t jobs_bytes;   /* jobs, with their answers */
	uint64_t input_bytes;  /* requests and responses under way */
	uint64_t body_bytes;   /* of one request */
	uint64_t result_bytes; /* agent: results that are kept */
	uint32_t connections;
};

struct mst_limit_settings {
	uint32_t body_max_bytes; /* largest body of a request */
	uint32_t jobs_max;
	uint32_t memory_max_mb; /* for all jobs, besides the machine's share */
};

struct mst_upstream_settings {
	const char *address; /* ip:port */
	uint32_t slots;
	uint32_t connections;
	uint32_t result_max_bytes;
};

/** Worker of a leased agent, which runs tasks under leases. */
struct mst_worker_settings {
	const char *address;       /* ip:port */
	const char *report_listen; /* ip:port for its status reports */
	uint32_t lease_max_ms;     /* longest lease that it grants */
};

/** Frontend through which callers submit jobs on the platform. */
struct mst_frontend_settings {
	const char *listen;       /* ip:port */
	const char *ready_listen; /* ip:port for checks of the load balancer */
	double grace_s;           /* time from SIGTERM until SIGKILL */
	uint32_t config_ms;       /* time limit for the first configuration */
	uint32_t deadline_max_ms; /* longest deadline that a caller may set */
	double retention_s;       /* time to keep the state of a closed job */
	double remote_factor;     /* slowdown in racks without the data */
};

enum mst_settings_role { MST_SETTINGS_ENTRY = 1, MST_SETTINGS_AGENT };

/** Settings of one daemon; some apply to entries or to agents only. */
struct mst_settings {
	char *path; /* path of the settings file */
	enum mst_settings_role role;
	const char *name;
	const char *failure_domain;
	const char *rack;
	const char *http_listen;    /* ip:port */
	const char *members_listen; /* ip:port, entry only */
	const char *advertise;      /* ip:port for members, entry only */
	GPtrArray *entries;         /* ip:port of known entries */
	GPtrArray *entry_hosts;     /* hosts of known entries, ip or ip:port */
	uint32_t members_port;      /* port of the entries on entry_hosts */
	/* Entries that each leased agent connects to; the same for all daemons
	 * of a system. */
	uint32_t entries_max;
	uint32_t resend_ms;   /* time until callers repeat a request */
	bool trusted_network; /* members need no keys */
	const char *store;    /* ip:port of the platform's store, or NULL */
	struct mst_worker_settings worker;
	struct mst_frontend_settings frontend;
	struct mst_table_settings table;
	GArray *operators; /* struct mst_operator_settings */
	struct mst_curve_keys curve;
	struct mst_trace_settings trace;
	struct mst_machine_settings machine;
	struct mst_limit_settings limits;
	struct mst_upstream_settings upstream;
	struct mst_resources resources;
	int log_level; /* enum mst_log_level */
	void *json;    /* parsed file; owns the strings */
};

#define MST_SETTINGS_ERROR mst_settings_error_quark()

enum mst_settings_error { MST_SETTINGS_ERROR_READ, MST_SETTINGS_ERROR_INVALID };

GQuark mst_settings_error_quark(void);

/**
 * Reads and validates a settings file and reports all its errors.
 *
 * @param out set to the settings, which mst_settings_free() releases
 * @param path path of the file
 * @param role role of the daemon; 0 derives it from the keys in the file
 * @param error set to an MST_SETTINGS_ERROR whose message has one line for
 *     each error, with its JSON pointer
 * @return 0, or -1 on failure
 */
int mst_settings_load(struct mst_settings **out, const char *path,
    enum mst_settings_role role, GError **error);

/**
 * Loads settings as mst_settings_load() does, but skips names that this build
 * doesn't know: a file may have been written for a newer build.
 *
 * @param out set to the settings, which mst_settings_free() releases
 * @param unknown set to the JSON pointers of the skipped members, separated by
 *     spaces, or to NULL; to be freed with g_free()
 * @param path the file
 * @param role role of the process, or 0 to tell it from the file
 * @param error an MST_SETTINGS_ERROR on failure
 * @return 0, or -1 on failure
 */
int mst_settings_load_known(struct mst_settings **out, char **unknown,
    const char *path, enum mst_settings_role role, GError **error);

/**
 * Checks that two entries can work in one system.
 *
 * @param one settings of an entry
 * @param other settings of the other entry
 * @param error set to an MST_SETTINGS_ERROR whose message has one line for
 *     each conflict, with its JSON pointer
 * @return 0, or -1 if they cannot
 */
int mst_settings_check_pair(const struct mst_settings *one,
    const struct mst_settings *other, GError **error);

/**
 * Derives the durations of the leases from the settings.
 *
 * @param settings validated settings
 * @return durations in microseconds
 */
struct mst_lease_times mst_settings_lease_times(
    const struct mst_settings *settings);

/**
 * Derives from the machine's size what clients can make a daemon hold.
 *
 * @param settings validated settings
 * @return the shares, no greater than the limits that the settings set
 */
struct mst_shares mst_settings_shares(const struct mst_settings *settings);

/** Releases settings; NULL is allowed. */
void mst_settings_free(struct mst_settings *settings);

#endif
