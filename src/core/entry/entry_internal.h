#ifndef MST_ENTRY_INTERNAL_H
#define MST_ENTRY_INTERNAL_H

/* State of an entry, which its parts share. */

#include <masticstall/entry.h>

#include "core/config_pull.h"
#include "core/crash/crash.h"
#include "core/drains.h"
#include "core/job/backup.h"
#include "core/job/uncertain.h"
#include "core/stored/stored.h"

#define ENTRY_SCAN_US     (50 * 1000) /* between scans of members and jobs */
#define ENTRY_TEAMS_MAX   4096
#define ENTRY_MEMBERS_MAX 16384
#define ENTRY_PEERS_MAX   1024
/* Least time between two greetings on new connections. Many are made at once
 * when a fleet starts. */
#define ENTRY_GREET_INTERVAL_US (20 * 1000)
#define ENTRY_ATTEMPTS_MAX      100  /* of a task that is not restartable */
#define ENTRY_RETRY_BURST       10.0 /* retries saved up in the retry budget */
/* Expected service time of a task without a declared time. */
#define ENTRY_DEFAULT_DECLARED_US (100 * 1000)
/* A longer gap between two events is a pause of this process, which does not
 * count as silence of members and peers. */
#define ENTRY_PAUSE_MIN_US (500 * 1000)
/* Time for which members may wait to join while no live member can record them.
 * Then the entry starts a new incarnation, whose first roster lists them. */
#define ENTRY_ARBITER_TIMEOUT_US (2 * G_USEC_PER_SEC)
/* Time after its loss until a member is removed from the roster. */
#define ENTRY_GONE_EVICT_US (600 * G_USEC_PER_SEC)
/* Time after its loss until a leased member is freed. */
#define ENTRY_GONE_KEEP_US (60 * G_USEC_PER_SEC)
/* Time after the start for which a leased entry accepts jobs without knowing a
 * member, because its agents announce themselves soon. */
#define ENTRY_WARM_UP_US (1000 * 1000)

struct job;
struct team;

struct mst_entry {
	struct mst_entry_options options;
	char *address;
	char *failure_domain;
	uint64_t incarnation;
	GRand *rand;
	int64_t now_us;
	int64_t started_us;
	int64_t next_heartbeat_us;
	int64_t next_scan_us;
	int64_t last_scan_us;
	uint32_t heartbeat_rounds; /* rounds of heartbeats sent */
	double shed_share;         /* of the new jobs, refused; see shed.c */
	double shed_lasting;       /* its part that changes slowly */
	double last_excess;        /* of the age of input over the target */
	int64_t shed_updated_us;
	int64_t in_time_us;    /* when input was last read in time */
	unsigned ticks_behind; /* ticks until all waiting input is handled */
	bool draining;
	int64_t drain_us;
	int64_t stop_us; /* the open jobs are closed then; 0: not set */
	bool stopped;    /* drained; all jobs are closed */

	struct mst_config *config;
	struct mst_config_pull config_pull;
	char *document;
	struct mst_drains drains;

	GPtrArray *jobs;          /* one struct job or NULL per slot */
	GArray *slot_generations; /* uint32_t per slot */
	GArray *free_job_slots;   /* uint32_t */
	GHashTable *jobs_by_id;   /* struct mst_job_id -> struct job */
	GHashTable *jobs_by_key;  /* key -> open restartable struct job */
	GHashTable *requests;     /* request -> struct job */
	GQueue closed_jobs;       /* closed jobs, oldest first */
	struct uncertain_jobs uncertain;
	struct backup backup;
	struct kept_backups kept;
	uint32_t jobs_open;
	uint64_t bytes;
	uint64_t next_counter;
	struct mst_seqset used_counters; /* counters of the used tickets */

	GHashTable *teams; /* name -> struct team */
	GPtrArray *active_teams;
	double virtual_time;
	uint32_t tasks_waiting;
	uint32_t tasks_sent;
	bool place_due; /* tasks or members have changed since the last pass */
	uint32_t tasks_tried; /* tasks that waited after the last pass */

	GPtrArray *members; /* struct member, in order of joining */
	GPtrArray *ranked;  /* usable members, fastest first */
	GHashTable *members_by_incarnation; /* incarnation -> struct member */
	GArray *roster; /* uint64_t incarnations that may have tasks */
	uint64_t roster_version;
	uint64_t adoption_floor; /* no job up to this counter can be adopted */
	uint32_t round_robin;
	uint32_t place_round;
	double min_slowness; /* slowness of the fastest member */
	bool mostly_warm;    /* warm members can serve for cold ones */
	/* Warm members can serve the few tasks that cold ones might end too
	 * late. */
	bool half_warm;
	double capacity;    /* sum over usable members of slots / slowness */
	double utilization; /* share of the capacity in use */
	struct mst_crash_history *crash_history;
	bool has_suspects; /* some open job may be a suspect */
	uint32_t quarantined_members;
	int64_t next_quarantine_growth_us;
	double others_busy; /* average load of the other members, in slots */
	double retry_tokens;
	GArray *retries;             /* struct retry */
	int64_t no_arbiter_since_us; /* 0: joining members can be recorded */

	GHashTable *peers; /* incarnation -> struct peer */
	bool greeting_due; /* a new connection has not been greeted on */
	int64_t greeted_us;

	struct owner owner;
	GHashTable *store_ops;     /* id -> context of the operation */
	GPtrArray *stored_lookups; /* struct stored_lookup */
	uint64_t next_op;
	uint32_t last_update_seq;
	int64_t wall_ms;

	struct mst_entry_counters counters;
	GArray *effects;
	GString *peer_addresses; /* addresses of entries, comma-separated */
	uint64_t peers_version;  /* increases when peer_addresses changes */
	GArray *scratch_items;   /* struct mst_dispatch_item */
	GPtrArray *scratch_withdrawn; /* arrays referenced by effects */
	GArray *scratch_candidates;   /* see place/place_leased.c */
	GArray *scratch_starts;       /* struct mst_uncertain_item */
};

/* effect.c */
/* Appends an empty effect of a type. The pointer is valid until the next effect
 * is appended. */
struct mst_entry_effect *mst_entry_emit(
    struct mst_entry *entry, enum mst_entry_effect_type type);
/* Appends an effect that sends a message, and returns the message for the
 * caller to fill in. The pointer is valid until the next effect is appended. */
struct mst_msg *mst_entry_emit_msg(
    struct mst_entry *entry, uint64_t to, enum mst_msg_type type);
/* Refuses a request for a job and counts the reason. */
void mst_entry_refuse(struct mst_entry *entry, uint64_t request,
    enum mst_reason reason, uint32_t retry_after_ms);
/* Returns a random number other than 0, for use as an id. */
uint64_t mst_entry_random_id(struct mst_entry *entry);
/* Sends the configuration to an incarnation. */
void mst_entry_send_config(struct mst_entry *entry, uint64_t to);
/* Returns the version of the configuration, or 0 if there is none. */
uint64_t mst_entry_config_version(const struct mst_entry *entry);
/* Asks the sender of a message for its configuration if that is newer. */
void mst_entry_pull_config(
    struct mst_entry *entry, uint64_t from, uint64_t offered);

/* shed.c */
/* Notes for how long the loop has handled events since it last waited. */
void mst_entry_note_iteration(struct mst_entry *entry, int64_t busy_us);
/* Returns whether to refuse a new job because the entry is short of processor.
 */
bool mst_entry_sheds(struct mst_entry *entry);

/* drains.c */
/* Replaces the set of drained domains if the revision is newer. */
void mst_entry_set_drains(struct mst_entry *entry, uint64_t revision,
    const char *const *domains, size_t count, const char *source);
/* Applies a set that another process has sent. Returns true if the sender is
 * out of date. */
bool mst_entry_merge_drains(struct mst_entry *entry,
    const struct mst_drains_msg *msg, const char *source);
/* Applies the drained domains that the present configuration names. */
void mst_entry_apply_config_drains(struct mst_entry *entry);

#endif
