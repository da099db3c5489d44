#ifndef MST_ENTRY_INTERNAL_H
#define MST_ENTRY_INTERNAL_H

#include <masticstall/entry.h>

#include "core/agent_internal.h"
#include "core/estimate.h"
#include "core/slowness.h"

#define ENTRY_SCAN_US      (50 * 1000)
#define ENTRY_TEAMS_MAX    4096
#define ENTRY_MEMBERS_MAX  16384
#define ENTRY_PEERS_MAX    1024
#define ENTRY_ATTEMPTS_MAX 100
#define ENTRY_DEFAULT_DECLARED_US                                              \
	(100 * 1000) /* of a task that declares none */
#define ENTRY_PAUSE_MIN_US       (500 * 1000)
#define ENTRY_ARBITER_TIMEOUT_US (2 * G_USEC_PER_SEC)
#define ENTRY_GONE_EVICT_US      (600 * G_USEC_PER_SEC)
#define ENTRY_PEERS_HEARTBEATS   10 /* heartbeats between two lists of peers */
#define ENTRY_RETRY_BURST        10.0
#define ENTRY_GONE_KEEP_US       (60 * G_USEC_PER_SEC) /* leased */
#define ENTRY_WARM_UP_US         (1000 * 1000) /* agents are heard of by then */
#define ENTRY_STOP_LINGER_US     (30 * G_USEC_PER_SEC)

enum task_state {
	TASK_BLOCKED = 1, /* its step waits for others */
	TASK_WAITING,
	TASK_SENT,
	TASK_DELAYED, /* waits for its retry */
	TASK_CLOSED
};

/* Place of some bytes in a job's arena. */
struct span {
	uint32_t offset;
	uint32_t len;
};

struct task {
	uint8_t state;
	uint8_t outcome;
	uint8_t reason;
	uint8_t flags;
	uint8_t attempts;
	bool withdrawing;
	bool maybe_started; /* an earlier attempt has, or may have */
	uint8_t failures;   /* runs that ended as failed */
	uint8_t step;
	uint16_t status;
	uint32_t declared_us;
	uint32_t queue_us;
	uint32_t service_us;
	struct member *member; /* while sent */
	uint64_t last_member;  /* incarnation; 0: never sent */
	uint64_t avoid_member; /* member that has failed it, or 0 */
	uint64_t seq;
	int64_t sent_us;
	int64_t closed_us;
	int64_t withdrawn_us;
	struct mst_resources needs;
	struct span method;
	struct span path;
	struct span content_type;
	struct span body;
	struct mst_bytes result_type; /* owned */
	struct mst_bytes result_body; /* owned */
};

/* Some tasks of a job in a row, and their conditions. */
struct step {
	uint32_t first;
	uint32_t count;
	uint32_t open;  /* tasks that have not ended well */
	uint64_t after; /* steps that must have ended well before, as bits */
	bool blocked;   /* some of those have not */
	struct span requires;    /* label of the member; empty: any */
	struct span rack;        /* where its data is; empty: anywhere */
	uint32_t per_member_max; /* tasks at one member at once; 0: any */
	double max_observed_us;  /* longest work of a task that has ended */
	double successors_us;    /* expected work of what waits for it */
};

struct job {
	uint64_t handle;
	struct mst_ticket ticket;
	uint64_t fingerprint;
	struct team *team;
	enum mst_job_state state;
	enum mst_reason reason;
	int64_t submitted_us;
	int64_t deadline_us;
	int64_t expected_end_us; /* of the tasks sent so far */
	int64_t closed_us;
	uint32_t count;
	uint32_t open;
	uint32_t started;
	bool cancelled;
	bool maybe_started;
	struct task *tasks;
	struct step *steps;
	uint32_t step_count;
	GArray *waiting;           /* uint16_t task indexes; the next is last */
	GSequenceIter *queue_iter; /* in the team's queue */
	GArray *requests;          /* uint64_t, callers that wait */
	char *arena;
	size_t arena_len;
	struct span traceparent;
	bool restartable;
	char *key;
	GQuark service; /* 0: any */
	uint32_t priority;
	uint32_t attempts;
	double stretch;
	int64_t target_us;
	double waiting_load_us;      /* expected work of its waiting tasks */
	int64_t soft_deadline_us;    /* the objective */
	int64_t expiry_us;           /* answers after this are worth nothing */
	int64_t latest_start_us;     /* latest start for the objective */
	int64_t virtual_deadline_us; /* order of jobs: the same, by priority */
	bool demoted;                /* can't be in time any more */
	uint32_t retry_after_ms;
	uint64_t bytes;
	GList closed_link; /* in the list of closed jobs */
	struct adoption *adoption;
	struct stored_job *stored; /* or NULL */
};

/* This entry's ownership of stored jobs, and what it sees of others'. */
struct owner {
	uint64_t id; /* 0: owns nothing */
	uint64_t version;
	bool confirmed;
	bool renewing;
	bool handing_over; /* gives its jobs back as soon as they rest */
	bool polling;
	bool sweeping;
	int64_t valid_until_us; /* without another renewal */
	int64_t renew_due_us;
	int64_t needed_until_us;
	int64_t poll_due_us;
	int64_t sweep_due_us;
	uint32_t sweep_partition; /* of the sweep */
	char *sweep_cursor;       /* key that it goes on from, or NULL */
	uint32_t loads_pending;
	GHashTable *peer_owners; /* see entry_owner.c */
	GPtrArray *unowned;
	GArray *queue_lengths; /* struct mst_queue_length */
	GQueue expiring;
	struct expiring_record *expired; /* that an effect refers to */
};

struct team {
	char *name;
	struct mst_team_config config;
	GSequence *jobs; /* jobs with waiting tasks, by deadline */
	uint32_t waiting;
	uint32_t open; /* waiting and sent */
	double virtual_time;
	double waiting_load_us; /* expected work of its waiting tasks */
	double sent_load_us;    /* work sent since the last measure */
	double dispatch_rate;   /* moving average of work sent a unit of time */
	struct mst_slowness bias;     /* observed over declared time */
	struct mst_estimate estimate; /* leased: the same, for rough ones */
	bool active; /* in the list of teams with waiting tasks */
	uint32_t skipped_round;
};

enum member_state {
	MEMBER_JOINING = 1, /* its roster entry is not recorded yet */
	MEMBER_ACTIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_GONE /* kept so that its sequences go on if it returns */
};

struct member {
	uint64_t incarnation;
	char *name;
	char *failure_domain;
	char *rack;
	char **labels;
	enum member_state state;
	uint32_t slots;
	struct mst_resources resources;
	bool leased;
	GQuark service;
	uint32_t description_version; /* of the texts that it has told */
	int64_t clock_us;             /* its clock, as last announced */
	int64_t clock_received_us;    /* and when that was heard */
	uint32_t queued;              /* over all entries, as last told */
	bool overdue;                 /* most of its tasks take too long */
	uint32_t free_slots; /* leased: as last told, less what was sent */
	uint32_t grant;
	uint32_t outstanding;
	uint32_t withdrawing;
	uint64_t next_seq;
	struct mst_seqset received;
	GHashTable *sent;    /* seq -> tag of the task */
	GArray *outbox;      /* uint64_t tags to dispatch */
	GArray *withdrawals; /* uint64_t sequences */
	int64_t last_heard_us;
	int64_t joined_us;
	int64_t last_progress_us; /* last result, or first dispatch after it */
	uint64_t join_version;    /* roster version that names it first */
	uint64_t roster_version;  /* acknowledged by it */
	uint64_t roster_version_sent; /* last sent to it */
	bool in_roster;
	bool recorded; /* may get work and be a witness */
	int64_t gone_us;
	uint64_t config_version;
	uint64_t config_sent;
	struct mst_slowness slowness_avg;
	double reported_slowness; /* leased: by its agent; 0: not known */
	double mean_service_us;   /* moving average */
	double slowness;          /* as of the last ranking */
	double faster_capacity;   /* work a unit of time of the faster ones */
	uint32_t failures;        /* in a row */
	int64_t ejected_until_us;
	uint32_t ejections; /* in a row */
	bool probing;
	int64_t down_backoff_us; /* how long it is left alone */
	int64_t down_until_us;
};

struct peer {
	uint64_t incarnation;
	char *address;
	int64_t last_heard_us;
	bool leaving;
	uint64_t config_version;
};

struct adoption;

/* A task that is tried again later. */
struct retry {
	uint64_t tag;
	int64_t due_us;
};

struct mst_entry {
	struct mst_entry_options options;
	char *address;
	uint64_t incarnation;
	GRand *rand;
	int64_t now_us;
	int64_t started_us;
	int64_t next_heartbeat_us;
	int64_t next_scan_us;
	int64_t scanned_us;
	uint32_t heartbeats;
	bool draining;
	int64_t drain_us;
	bool stopped;

	struct mst_config *config;
	char *document;

	GPtrArray *jobs;          /* slots: struct job or NULL */
	GArray *slot_generations; /* uint32_t per slot */
	GArray *free_job_slots;   /* uint32_t */
	GHashTable *by_id;        /* struct mst_job_id -> struct job */
	GHashTable *by_key;       /* char * -> open restartable struct job */
	GHashTable *requests;     /* request -> struct job */
	GQueue closed_jobs;       /* closed jobs, oldest first */
	uint32_t jobs_open;
	uint64_t bytes;
	uint64_t next_counter;
	struct mst_seqset used_counters; /* counters of this incarnation */

	GHashTable *teams; /* name -> struct team */
	GPtrArray *active_teams;
	double virtual_time;
	uint32_t waiting;
	uint32_t sent;

	GPtrArray *members;         /* struct member, in order of joining */
	GPtrArray *ranked;          /* usable members, the fastest first */
	GHashTable *by_incarnation; /* incarnation -> struct member */
	GArray *roster;             /* uint64_t, members that may have work */
	uint64_t roster_version;
	uint64_t roster_floor; /* jobs up to here can't be adopted */
	uint32_t round_robin;
	uint32_t place_round;
	double min_slowness; /* slowness of the fastest member */
	double capacity;     /* work a unit of time */
	double utilization;  /* share of the capacity in use */
	double retry_tokens;
	GArray *retries; /* struct retry */
	int64_t no_arbiter_since_us;

	GHashTable *peers; /* incarnation -> struct peer */

	struct owner owner;
	GHashTable *store_ops;     /* id -> what it is for */
	GPtrArray *stored_lookups; /* struct stored_lookup */
	uint64_t next_op;
	uint32_t last_update_seq;
	int64_t wall_ms;

	struct mst_entry_counters counters;
	GArray *effects;
	GString *peer_addresses;      /* addresses, by commas */
	GArray *scratch_items;        /* struct mst_dispatch_item */
	GPtrArray *scratch_withdrawn; /* GArrays that effects refer to */
	GArray *scratch_candidates;   /* see entry_place_leased.c */
};

/* entry.c */
struct mst_entry_effect *mst_entry_emit(
    struct mst_entry *entry, enum mst_entry_effect_type type);
struct mst_msg *mst_entry_emit_msg(
    struct mst_entry *entry, uint64_t to, enum mst_msg_type type);
void mst_entry_refuse(struct mst_entry *entry, uint64_t request,
    enum mst_reason reason, uint32_t retry_after_ms);
void mst_entry_new_incarnation(struct mst_entry *entry);
uint64_t mst_entry_random_id(struct mst_entry *entry);

/* entry_submit.c */
void mst_entry_submit(
    struct mst_entry *entry, const struct mst_entry_event *event);
void mst_entry_wait(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id, bool poll);
void mst_entry_cancel(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id);
void mst_entry_disconnect(struct mst_entry *entry, uint64_t request);

/* entry_job.c */
struct job *mst_job_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team);
struct job *mst_job_find(const struct mst_entry *entry, uint64_t handle);
void mst_job_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason);
void mst_task_close(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_outcome outcome, enum mst_reason reason);
void mst_task_requeue(struct mst_entry *entry, struct job *job, uint32_t index);
/* True unless every task is proved not to have started. */
bool mst_job_may_have_run(const struct job *job);
void mst_entry_expire_jobs(struct mst_entry *entry);
void mst_job_free(struct mst_entry *entry, struct job *job);
/* Queues a step's tasks that wait. */
void mst_job_queue_step(
    struct mst_entry *entry, struct job *job, const struct step *step);
void mst_job_queue_all(struct mst_entry *entry, struct job *job);
void mst_job_drop(struct mst_entry *entry, struct job *job);
/* Takes a job's waiting tasks out of its team's queue. */
void mst_job_unqueue(struct mst_entry *entry, struct job *job);
/* Takes back all of a job that has not ended. */
void mst_job_close_tasks(
    struct mst_entry *entry, struct job *job, enum mst_reason reason);
/* Closes a task that is known to have ended well, whatever it does here. */
void mst_task_force_done(
    struct mst_entry *entry, struct job *job, uint32_t index);
void mst_request_attach(
    struct mst_entry *entry, struct job *job, uint64_t request);
void mst_task_set_result(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct mst_result_item *result);

/* entry_step.c */
/* Takes over the steps of a job's specification, or makes the only one. */
void mst_job_set_steps(struct job *job, const struct mst_job_spec *spec,
    struct span (*put)(struct job *job, struct mst_bytes bytes));
/* Expected work of a job's longest chain of steps; notes what of it comes after
 * each step. */
double mst_job_critical_path_us(struct job *job);
double mst_spec_critical_path_us(
    const struct mst_job_spec *spec, const struct team *team);
/* Takes note of a task that ended well; queues the steps that waited for it. */
void mst_step_task_done(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* True when a member has what the task's step asks for. */
bool mst_member_matches_step(const struct member *member, const struct job *job,
    const struct task *task);
/* True when the members are known and none of them could ever run a step. */
bool mst_spec_is_unplaceable(
    const struct mst_entry *entry, const struct mst_job_spec *spec);
/* Work of a task at a member, before its slowness. */
double mst_task_expected_at_us(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);

/* entry_team.c */
struct team *mst_team_get(struct mst_entry *entry, const char *name);
void mst_team_free(struct team *team);
void mst_team_enqueue(struct mst_entry *entry, struct job *job);
void mst_team_dequeue(struct mst_entry *entry, struct job *job);
void mst_team_count_waiting(
    struct mst_entry *entry, struct job *job, int change, double work_us);
struct team *mst_team_next(const struct mst_entry *entry);
void mst_team_charge(
    struct mst_entry *entry, struct team *team, double work_us);
uint32_t mst_team_quota(const struct mst_entry *entry, const struct team *t);
void mst_teams_reconfigure(struct mst_entry *entry);
/* Measures each team's rate over the time since the last call. */
void mst_teams_update_rates(struct mst_entry *entry, int64_t elapsed_us);
/* Time until a team's waiting work, and some more, would be worked off. */
double mst_team_queue_delay_us(
    const struct mst_entry *entry, const struct team *team, double more_us);

/* entry_dispatch.c */
void mst_entry_flush(struct mst_entry *entry);
/* Takes back a task that was sent, unless that was done before. */
void mst_task_withdraw(struct mst_entry *entry, struct task *task);
void mst_entry_withdraw_stragglers(struct mst_entry *entry);

/* Puts a job whose urgency has changed in its place. */
void mst_team_reorder(struct mst_entry *entry, struct job *job);

/* entry_objective.c */
void mst_job_set_objective(struct mst_entry *entry, struct job *job);
/* Expected time until a job of some urgency would have its turn. */
double mst_entry_queue_delay_us(
    const struct mst_entry *entry, int64_t urgent_us);
/* True when a new job can't be expected to end in time. */
bool mst_job_would_be_late(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team, double *wait_us);
/* Lets jobs that can still be in time go before one that can't, and closes it
 * when its turn would come too late for any use. */
void mst_job_demote_late(struct mst_entry *entry, struct job *job);

/* entry_place_leased.c */
GArray *mst_candidates_new(void);
/* Share of the members' speed that is in use. */
double mst_leased_utilization(const struct mst_entry *entry);
/* The member for a task, or NULL when it should wait for a better one. */
struct member *mst_choose_leased(
    struct mst_entry *entry, const struct job *job, const struct task *task);

/* entry_overdue.c */
void mst_entry_scan_overdue(struct mst_entry *entry);

/* entry_place.c */
/* True when a task may be sent to a member now. A member that has failed the
 * task before is left out while there are others. */
bool mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);
void mst_entry_place(struct mst_entry *entry);
/* Orders the members by what is learnt of their speeds. */
void mst_entry_rank_members(struct mst_entry *entry);
double mst_entry_capacity(const struct mst_entry *entry);
uint32_t mst_member_slots(const struct member *member);
bool mst_member_has_room(
    const struct mst_entry *entry, const struct member *member);
double mst_task_expected_us(const struct job *job, const struct task *task);
bool mst_member_serves(const struct member *member, const struct job *job);
bool mst_member_has_resources(
    const struct member *member, const struct task *task);
bool mst_member_usable(
    const struct mst_entry *entry, const struct member *member);

/* entry_result.c */
void mst_entry_handle_results(struct mst_entry *entry, struct member *member,
    const struct mst_results *results);
/* Sends a task again, unless it must not be or the budget is used up. */
void mst_task_retry(struct mst_entry *entry, struct job *job, uint32_t index);
void mst_entry_run_retries(struct mst_entry *entry);
void mst_task_handle_unknown(struct mst_entry *entry, struct job *job,
    uint32_t index, enum mst_reason reason);

/* entry_health.c */
void mst_member_update_health(
    struct mst_entry *entry, struct member *member, bool failed);
void mst_member_back_off(struct mst_entry *entry, struct member *member);

/* entry_peer.c */
void mst_entry_handle_peer(struct mst_entry *entry, const struct mst_msg *msg);
void mst_peer_free(struct peer *peer);
uint32_t mst_entry_count_live(const struct mst_entry *entry);
/* Lists the entries' addresses and forgets those long silent. */
void mst_entry_refresh_peers(struct mst_entry *entry);
/* Replaces a string unless it is the same. */
void mst_string_replace(char **text, struct mst_bytes bytes);

/* entry_member.c */
void mst_member_report(struct mst_entry *entry, const struct member *member);
struct member *mst_member_find(const struct mst_entry *entry, uint64_t inc);
void mst_entry_handle_announce(
    struct mst_entry *entry, const struct mst_msg *msg);
void mst_entry_heartbeat(struct mst_entry *entry);
void mst_entry_reset_roster(struct mst_entry *entry);
void mst_entry_scan_members(struct mst_entry *entry);
void mst_member_free(struct member *member);
const char *mst_member_state_name(
    const struct mst_entry *entry, const struct member *member);
/* Doesn't count this process's own pause as the others' silence. */
void mst_entry_exclude_pause(struct mst_entry *entry, int64_t paused_us);
void mst_entry_send_config(struct mst_entry *entry, uint64_t to);

/* entry_stored.c */
struct stored_job;
void mst_stored_submit(
    struct mst_entry *entry, uint64_t request, const struct mst_job_spec *spec);
void mst_stored_report_state(
    struct mst_entry *entry, uint64_t request, const char *key);
void mst_stored_cancel(
    struct mst_entry *entry, uint64_t request, const char *key);
void mst_stored_handle_cancelled(struct mst_entry *entry, const char *key);
/* Takes note of a result that is acknowledged once it is recorded. */
void mst_stored_defer_ack(struct mst_entry *entry, struct job *job,
    const struct member *member, uint64_t seq);
/* Gives up a run whose end is unknown: its task runs again once that is
 * recorded. */
void mst_stored_abandon_run(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Records a job's end before it is closed; true while that is to be done. */
bool mst_stored_defer_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason);
uint32_t mst_stored_run_number(const struct job *job, const struct task *task);
/* Names a stored job's record in a dispatch. */
void mst_stored_fill_dispatch(const struct mst_entry *entry,
    const struct job *job, struct mst_dispatch_item *item);
int64_t mst_stored_no_deadline_us(const struct mst_entry *entry);
void mst_stored_tick(struct mst_entry *entry, struct job *job);
void mst_stored_free(struct stored_job *stored);
bool mst_stored_is_owned(const struct job *job);

/* entry_owner.c */
void mst_owner_init(struct mst_entry *entry);
void mst_owner_clear(struct mst_entry *entry);
void mst_owner_tick(struct mst_entry *entry);
/* Gives up an ownership that has lapsed: before anything else is done. */
void mst_owner_check_lease(struct mst_entry *entry);
void mst_owner_relinquish(struct mst_entry *entry, const char *why);
/* Lets all jobs rest, then hands them over to the other entries. */
void mst_owner_hand_over(struct mst_entry *entry);
void mst_entry_handle_store(
    struct mst_entry *entry, const struct mst_store_answer *answer);

/* entry_adopt.c */
void mst_entry_adopt(struct mst_entry *entry, struct job *job);
void mst_entry_handle_fenced(
    struct mst_entry *entry, const struct mst_msg *msg);
void mst_adoption_tick(struct mst_entry *entry, struct job *job);
void mst_adoption_free(struct adoption *adoption);

static inline uint64_t
mst_task_tag(const struct job *job, uint32_t index)
{
	return job->handle << 16 | index;
}

static inline struct mst_bytes
mst_span_bytes(const struct job *job, struct span span)
{
	return (struct mst_bytes){
	    .data = job->arena + span.offset, .len = span.len};
}

/* The task that a member holds under a sequence, with its job; NULL when the
 * task has ended or moved on since. */
static inline struct task *
mst_find_sent_task(const struct mst_entry *entry, const struct member *member,
    uint64_t seq, uint64_t tag, struct job **job)
{
	struct task *task;

	*job = mst_job_find(entry, tag >> 16);
	if (*job == NULL)
		return NULL;
	task = &(*job)->tasks[tag & 0xffff];
	if (task->state != TASK_SENT || task->member != member ||
	    task->seq != seq)
		return NULL;
	return task;
}

#endif
