#ifndef MST_ENTRY_INTERNAL_H
#define MST_ENTRY_INTERNAL_H

#include <masticstall/entry.h>

#include "core/agent_internal.h"
#include "core/estimate.h"
#include "core/slowness.h"

#define ENTRY_SCAN_US      (50 * 1000) /* between scans of members and jobs */
#define ENTRY_TEAMS_MAX    4096
#define ENTRY_MEMBERS_MAX  16384
#define ENTRY_PEERS_MAX    1024
#define ENTRY_ATTEMPTS_MAX 100  /* attempts of a task */
#define ENTRY_RETRY_BURST  10.0 /* retries saved up in the retry budget */
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
/* One in this number of heartbeats lists the peers. */
#define ENTRY_PEERS_HEARTBEATS 10
/* Time after the start for which a leased entry accepts jobs without knowing a
 * member, because its agents announce themselves soon. */
#define ENTRY_WARM_UP_US     (1000 * 1000)
#define ENTRY_STOP_LINGER_US (30 * G_USEC_PER_SEC) /* unused */

enum task_state {
	/* Waits for the steps that its step depends on, or until the store has
	 * recorded that its last run was abandoned. */
	TASK_BLOCKED = 1,
	TASK_WAITING,
	TASK_SENT,
	TASK_DELAYED, /* waits until its retry is due */
	TASK_CLOSED
};

/* Byte range in a job's arena. */
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
	bool may_have_run; /* an earlier attempt may have started */
	uint8_t failures;  /* number of failed runs */
	uint8_t step;
	uint16_t status;
	uint32_t declared_us;
	uint32_t queue_us;
	uint32_t service_us;
	struct member *member; /* set while sent */
	uint64_t last_member;  /* member incarnation; 0: never sent */
	uint64_t avoid_member; /* incarnation that failed the task, or 0 */
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

/* Contiguous tasks of a job, with their dependencies and constraints. */
struct step {
	uint32_t first;
	uint32_t count;
	uint32_t open;         /* tasks that have not succeeded yet */
	uint64_t dependencies; /* bit set of the steps that it depends on */
	bool blocked; /* some step that it depends on has not succeeded */
	struct span required_label; /* required member label; empty: none */
	struct span rack;           /* rack of the data; empty: any */
	uint32_t per_member_max;    /* concurrent tasks per member; 0: any */
	double max_observed_us;     /* longest observed service time */
	double successors_us; /* longest expected chain of dependent steps */
};

struct job {
	uint64_t handle;
	struct mst_ticket ticket;
	uint64_t fingerprint; /* hash of the request */
	struct team *team;
	enum mst_job_state state;
	enum mst_reason reason;
	int64_t submitted_us;
	int64_t deadline_us;
	int64_t expected_end_us; /* when the tasks sent so far should end */
	int64_t closed_us;
	uint32_t count;    /* number of tasks */
	uint32_t open;     /* tasks that are not closed */
	uint32_t started;  /* tasks that were sent at least once */
	bool cancelled;    /* unused */
	bool may_have_run; /* other owners may have started any task */
	struct task *tasks;
	struct step *steps;
	uint32_t step_count;
	GArray *waiting_tasks; /* uint16_t task indexes, sent from the end */
	GSequenceIter *queue_iter; /* position in the team's queue, or NULL */
	GArray *requests;          /* uint64_t ids of the waiting requests */
	char *arena;
	size_t arena_len;
	struct span traceparent;
	bool restartable;
	char *key;
	GQuark service;         /* 0: any service */
	uint32_t priority;      /* 0 is the highest */
	uint32_t attempts;      /* failed runs after which a task has failed */
	double stretch;         /* objective: factor of the critical path */
	int64_t target_us;      /* objective: added to that product */
	double waiting_load_us; /* expected service time of waiting tasks */
	int64_t soft_deadline_us;    /* time by which the objective is met */
	int64_t expiry_us;           /* time after which an answer is useless */
	int64_t latest_start_us;     /* latest start that meets the objective */
	int64_t virtual_deadline_us; /* queue order: latest start + priority */
	bool demoted;                /* can no longer meet its objective */
	uint32_t retry_after_ms;
	uint64_t bytes;
	GList closed_link;         /* link in the entry's closed_jobs */
	struct adoption *adoption; /* set while being adopted, else NULL */
	struct stored_job *stored; /* NULL unless the job is stored */
};

/* This entry's ownership of stored jobs, and its view of the peer owners. */
struct owner {
	uint64_t id;       /* 0: not an owner */
	uint64_t version;  /* version of its row; 0: not written yet */
	bool confirmed;    /* a renewal has succeeded */
	bool renewing;     /* a renewal is in flight */
	bool handing_over; /* releases its jobs once all are suspended */
	bool polling;
	bool sweeping;
	int64_t valid_until_us; /* end of the lease unless it is renewed */
	int64_t renew_due_us;
	int64_t needed_until_us; /* not retired before, even without jobs */
	int64_t poll_due_us;
	int64_t sweep_due_us;
	uint32_t sweep_partition;        /* partition being read */
	char *sweep_cursor;              /* key to continue after, or NULL */
	uint32_t loads_pending;          /* jobs being read from the store */
	GHashTable *peer_owners;         /* see entry_owner.c */
	GPtrArray *unowned;              /* struct unowned_record */
	GArray *queue_lengths;           /* struct mst_queue_length */
	GQueue expiring;                 /* struct expiring_record, by time */
	struct expiring_record *expired; /* kept while an effect uses its key */
};

struct team {
	char *name;
	struct mst_team_config config;
	GSequence *jobs; /* jobs with waiting tasks, by virtual deadline */
	uint32_t tasks_waiting;
	uint32_t tasks_open; /* tasks that are not closed */
	double virtual_time;
	double waiting_load_us; /* expected service time of waiting tasks */
	double sent_load_us;    /* load sent since the last rate update */
	double dispatch_rate;   /* moving average of load sent per time */
	/* Ratio of observed to declared service time. */
	struct mst_slowness service_time_ratio;
	struct mst_estimate estimate; /* for restartable tasks */
	bool active;                  /* in the entry's active_teams */
	uint32_t skipped_round; /* last round in which no task was placed */
};

enum member_state {
	MEMBER_JOINING = 1, /* its roster entry is not recorded yet */
	MEMBER_ACTIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	/* Lost, but kept: its sequence numbers continue if it returns. */
	MEMBER_GONE
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
	uint32_t description_version; /* version of name, rack and labels */
	int64_t clock_us;             /* the member's clock, last announced */
	int64_t clock_received_us;    /* when clock_us was received */
	uint32_t queued_tasks; /* queued tasks of all entries, last reported */
	bool overdue;          /* many of its tasks are overdue */
	uint32_t free_slots; /* leased: last reported, less tasks sent since */
	uint32_t grant;      /* outstanding tasks that this entry may have */
	uint32_t outstanding;
	uint32_t withdrawing; /* unused */
	uint64_t next_seq;    /* last sequence number used */
	/* Sequence numbers of the dispatches whose results have arrived. */
	struct mst_seqset results_received;
	GHashTable *sent_tasks; /* sequence number -> tag of the task */
	GArray *outbox;         /* uint64_t tags to dispatch */
	GArray *withdrawals;    /* uint64_t sequence numbers */
	int64_t last_heard_us;
	int64_t joined_us;
	int64_t last_progress_us; /* last result, or first dispatch when idle */
	uint64_t join_version;    /* first roster version that lists it */
	uint64_t roster_version;  /* acknowledged by the member */
	uint64_t roster_version_sent; /* last sent to the member */
	bool in_roster;
	bool roster_recorded; /* roster entry recorded: may run tasks and
				 arbitrate */
	int64_t gone_us;
	uint64_t config_version; /* configuration that the member has */
	uint64_t config_sent;    /* unused */
	struct mst_slowness slowness_avg;
	double reported_slowness; /* leased: by the agent; 0: unknown */
	double mean_service_us;   /* moving average */
	double slowness;          /* slowness as of the last ranking */
	double faster_capacity;   /* total capacity of the faster members */
	uint32_t failures;        /* consecutive failed tasks */
	int64_t ejected_until_us;
	uint32_t ejections; /* consecutive ejections */
	bool probing;
	int64_t down_backoff_us; /* current back-off; doubles on failure */
	int64_t down_until_us;   /* no tasks are sent before this time */
};

struct peer {
	uint64_t incarnation;
	char *address;
	int64_t last_heard_us;
	bool leaving;
	uint64_t config_version;
};

struct adoption;

/* A task that waits for its next attempt. */
struct retry {
	uint64_t tag; /* see mst_task_tag */
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
	int64_t last_scan_us;
	uint32_t heartbeat_rounds; /* rounds of heartbeats sent */
	bool draining;
	int64_t drain_us;
	bool stopped; /* drained; all jobs are closed */

	struct mst_config *config;
	char *document;

	GPtrArray *jobs;          /* one struct job or NULL per slot */
	GArray *slot_generations; /* uint32_t per slot */
	GArray *free_job_slots;   /* uint32_t */
	GHashTable *jobs_by_id;   /* struct mst_job_id -> struct job */
	GHashTable *jobs_by_key;  /* key -> open restartable struct job */
	GHashTable *requests;     /* request -> struct job */
	GQueue closed_jobs;       /* closed jobs, oldest first */
	uint32_t jobs_open;
	uint64_t bytes;
	uint64_t next_counter;
	struct mst_seqset used_counters; /* counters of the used tickets */

	GHashTable *teams; /* name -> struct team */
	GPtrArray *active_teams;
	double virtual_time;
	uint32_t tasks_waiting;
	uint32_t tasks_sent;

	GPtrArray *members; /* struct member, in order of joining */
	GPtrArray *ranked;  /* usable members, fastest first */
	GHashTable *members_by_incarnation; /* incarnation -> struct member */
	GArray *roster; /* uint64_t incarnations that may have tasks */
	uint64_t roster_version;
	uint64_t adoption_floor; /* no job up to this counter can be adopted */
	uint32_t round_robin;
	uint32_t place_round;
	double min_slowness; /* slowness of the fastest member */
	double capacity;     /* sum over usable members of slots / slowness */
	double utilization;  /* share of the capacity in use */
	double retry_tokens;
	GArray *retries;             /* struct retry */
	int64_t no_arbiter_since_us; /* 0: joining members can be recorded */

	GHashTable *peers; /* incarnation -> struct peer */

	struct owner owner;
	GHashTable *store_ops;     /* id -> context of the operation */
	GPtrArray *stored_lookups; /* struct stored_lookup */
	uint64_t next_op;
	uint32_t last_update_seq;
	int64_t wall_ms;

	struct mst_entry_counters counters;
	GArray *effects;
	GString *peer_addresses; /* addresses of entries, comma-separated */
	GArray *scratch_items;   /* struct mst_dispatch_item */
	GPtrArray *scratch_withdrawn; /* arrays referenced by effects */
	GArray *scratch_candidates;   /* see entry_place_leased.c */
};

/* entry.c */
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
/* Closes all open jobs as failed and continues as a new incarnation. */
void mst_entry_start_incarnation(struct mst_entry *entry);
/* Returns a random number other than 0, for use as an id. */
uint64_t mst_entry_random_id(struct mst_entry *entry);

/* entry_submit.c */
/* Handles a request for a ticket or the submission of a job. */
void mst_entry_submit(
    struct mst_entry *entry, const struct mst_entry_event *event);
/* Answers a request with the state of a job: at once if poll is set, else when
 * the job is closed. Requests for jobs of live peers are forwarded. */
void mst_entry_wait(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id, bool poll);
/* Closes a job as cancelled and answers the request. */
void mst_entry_cancel(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id);
/* Detaches the request of a caller that has disconnected. A restartable job
 * without a waiting request is closed, unless it is stored. */
void mst_entry_disconnect(struct mst_entry *entry, uint64_t request);

/* entry_job.c */
/* Creates an open job. Its tasks are not queued yet. */
struct job *mst_job_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team);
/* Returns the job with a handle, or NULL if it has been freed. */
struct job *mst_job_find(const struct mst_entry *entry, uint64_t handle);
/* Closes an open job and answers its requests. A stored job is closed only once
 * its final state is recorded. */
void mst_job_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason);
/* Closes a task. The job is closed with it if the task has failed or was the
 * last open one; otherwise the steps that this unblocks are queued. */
void mst_task_close(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_outcome outcome, enum mst_reason reason);
/* Makes a task wait for a member again. */
void mst_task_requeue(struct mst_entry *entry, struct job *job, uint32_t index);
/* Returns false only if it is certain that no task has started. */
bool mst_job_may_have_run(const struct job *job);
/* Checks the time limits of open jobs and frees closed ones after the retention
 * time. */
void mst_entry_expire_jobs(struct mst_entry *entry);
/* Frees a job. The entry is NULL if it is being freed itself. */
void mst_job_free(struct mst_entry *entry, struct job *job);
/* Adds the waiting tasks of a step to the team's queue. */
void mst_job_queue_step(
    struct mst_entry *entry, struct job *job, const struct step *step);
/* Adds the waiting tasks of all steps to the team's queue. */
void mst_job_queue_all(struct mst_entry *entry, struct job *job);
/* Frees an open job without closing it. None of its tasks may be counted as
 * sent. */
void mst_job_drop(struct mst_entry *entry, struct job *job);
/* Removes a job's waiting tasks from its team's queue. */
void mst_job_unqueue(struct mst_entry *entry, struct job *job);
/* Closes all tasks of a job that have not ended and withdraws those sent. */
void mst_job_close_tasks(
    struct mst_entry *entry, struct job *job, enum mst_reason reason);
/* Closes a task that is known to have succeeded, whatever its state here:
 * withdraws it or removes it from the queue first. */
void mst_task_force_done(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Adds a request that is answered when the job is closed. */
void mst_request_attach(
    struct mst_entry *entry, struct job *job, uint64_t request);
/* Stores a copy of the result of a task and closes it. */
void mst_task_set_result(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct mst_result_item *result);

/* entry_step.c */
/* Creates a job's steps from its specification, or a single step with all tasks
 * if it has none. append copies bytes to the job's arena. */
void mst_job_set_steps(struct job *job, const struct mst_job_spec *spec,
    struct span (*append)(struct job *job, struct mst_bytes bytes));
/* Returns the expected service time of a job's critical path, in microseconds,
 * and sets successors_us of each step. */
double mst_job_critical_path_us(struct job *job);
/* Returns the expected service time of the critical path of a job that has not
 * been created yet, in microseconds. */
double mst_spec_critical_path_us(
    const struct mst_job_spec *spec, const struct team *team);
/* Records that a task has succeeded and queues the steps that this unblocks. */
void mst_step_handle_task_done(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Returns true if a member has the label that the task's step requires and is
 * below the step's limit of tasks per member. */
bool mst_member_matches_step(const struct member *member, const struct job *job,
    const struct task *task);
/* Returns true if the members are known and some step of the job fits none of
 * them, even if idle. */
bool mst_spec_is_unplaceable(
    const struct mst_entry *entry, const struct mst_job_spec *spec);
/* Returns the expected service time of a task at a member, in microseconds,
 * before it is scaled by the member's slowness. */
double mst_task_expected_at_us(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);

/* entry_team.c */
/* Returns the team, creating it if necessary; NULL if the name is unknown and
 * unknown teams are not allowed, or if there are too many teams. */
struct team *mst_team_get(struct mst_entry *entry, const char *name);
void mst_team_free(struct team *team);
/* Adds a job to its team's queue unless it is there already. */
void mst_team_enqueue(struct mst_entry *entry, struct job *job);
/* Removes a job from its team's queue if it is there. */
void mst_team_dequeue(struct mst_entry *entry, struct job *job);
/* Adds a task of the given load to the counts of waiting tasks (change is 1) or
 * removes it (change is -1). */
void mst_team_count_waiting(
    struct mst_entry *entry, struct job *job, int change, double load_us);
/* Returns the team to place tasks for next, or NULL if all have been skipped in
 * this round. */
struct team *mst_team_next(const struct mst_entry *entry);
/* Charges a team for the load of a task that is sent. */
void mst_team_charge(
    struct mst_entry *entry, struct team *team, double load_us);
/* Returns the number of open tasks that a team may have at this entry: its
 * quota divided by the number of live entries. */
uint32_t mst_team_quota(const struct mst_entry *entry, const struct team *team);
/* Applies the present configuration to the existing teams. */
void mst_teams_reconfigure(struct mst_entry *entry);
/* Updates each team's dispatch rate from the load sent since the last call. */
void mst_teams_update_rates(struct mst_entry *entry, int64_t elapsed_us);
/* Returns the expected time, in microseconds, until a team's waiting load and
 * an extra load have been sent to members. */
double mst_team_queue_delay_us(
    const struct mst_entry *entry, const struct team *team, double extra_us);

/* entry_dispatch.c */
/* Emits the pending dispatches and withdrawals of all members. */
void mst_entry_flush(struct mst_entry *entry);
/* Withdraws a sent task unless it is being withdrawn already. */
void mst_task_withdraw(struct mst_entry *entry, struct task *task);
/* Withdraws the tasks that members have beyond their slots, if they make no
 * progress while another member has a free slot. */
void mst_entry_withdraw_stragglers(struct mst_entry *entry);

/* Moves a job within its team's queue after its virtual deadline has changed.
 * Defined in entry_team.c. */
void mst_team_reorder(struct mst_entry *entry, struct job *job);

/* entry_objective.c */
/* Sets a job's soft deadline, expiry, virtual deadline and latest start. */
void mst_job_set_objective(struct mst_entry *entry, struct job *job);
/* Returns the expected time until a job with this virtual deadline would be
 * first in the queue, in microseconds. */
double mst_entry_queue_delay_us(
    const struct mst_entry *entry, int64_t virtual_deadline_us);
/* Returns true if a new job is expected to miss its objective. Stores the
 * expected wait. */
bool mst_spec_would_be_late(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team, double *wait_us);
/* Moves a job that can no longer meet its objective behind those that can, and
 * closes it if it would be first in the queue only after it expires. */
void mst_job_demote_late(struct mst_entry *entry, struct job *job);

/* entry_place_leased.c */
GArray *mst_candidates_new(void);
/* Returns the share of the usable members' capacity that is in use, 0 to 1. */
double mst_leased_utilization(const struct mst_entry *entry);
/* Returns the member that a task should be sent to, or NULL if none has room or
 * the task should wait for a better one. */
struct member *mst_choose_leased_member(
    struct mst_entry *entry, const struct job *job, const struct task *task);

/* entry_overdue.c */
/* Marks the members with many overdue tasks and withdraws overdue tasks that
 * may still succeed elsewhere. */
void mst_entry_scan_overdue(struct mst_entry *entry);

/* entry_place.c */
/* Returns true if a task may be sent to a member now. A member that has failed
 * the task before is excluded while other members are usable. */
bool mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);
/* Sends waiting tasks to members while any has room. */
void mst_entry_place_tasks(struct mst_entry *entry);
/* Ranks the usable members by estimated slowness and updates the capacity. */
void mst_entry_rank_members(struct mst_entry *entry);
/* Returns the sum over the usable members of slots divided by slowness. */
double mst_entry_capacity(const struct mst_entry *entry);
/* Returns the number of slots of a member that this entry may use. */
uint32_t mst_member_slots(const struct member *member);
/* Returns true if a member may be sent one more task now. */
bool mst_member_has_room(
    const struct mst_entry *entry, const struct member *member);
/* Returns the expected service time of a task at a member of slowness 1, in
 * microseconds. */
double mst_task_expected_us(const struct job *job, const struct task *task);
/* Returns true if a member has the service that a job requires. */
bool mst_member_has_service(const struct member *member, const struct job *job);
/* Returns true if the total resources of a member suffice for a task. */
bool mst_member_has_resources(
    const struct member *member, const struct task *task);
/* Returns true if a member is active, not ejected and its upstream not down. */
bool mst_member_is_usable(
    const struct mst_entry *entry, const struct member *member);

/* entry_result.c */
void mst_entry_handle_results(struct mst_entry *entry, struct member *member,
    const struct mst_results *results);
/* Schedules another attempt of a sent task if it may be retried and the retry
 * budget allows. */
void mst_task_retry(struct mst_entry *entry, struct job *job, uint32_t index);
/* Queues the tasks whose retry is due. */
void mst_entry_queue_due_retries(struct mst_entry *entry);
/* Handles a run whose outcome is unknown: retries the task or closes it. */
void mst_task_handle_unknown(struct mst_entry *entry, struct job *job,
    uint32_t index, enum mst_reason reason);

/* entry_health.c */
/* Records the success or failure of a run: ejects a member after repeated
 * failures, and ends its probing after a success. */
void mst_member_update_health(
    struct mst_entry *entry, struct member *member, bool failed);
/* Stops sending tasks to a member for a while, because its upstream is down. */
void mst_member_back_off(struct mst_entry *entry, struct member *member);

/* entry_peer.c */
void mst_entry_handle_peer(struct mst_entry *entry, const struct mst_msg *msg);
void mst_peer_free(struct peer *peer);
/* Returns the number of live entries, including this one. */
uint32_t mst_entry_count_live_entries(const struct mst_entry *entry);
/* Rebuilds the list of the entries' addresses and removes peers that have been
 * silent for too long. */
void mst_entry_refresh_peers(struct mst_entry *entry);
/* Replaces a string by a copy of the bytes unless they are equal. */
void mst_string_replace(char **text, struct mst_bytes bytes);

/* entry_member.c */
/* Emits a member's state as an effect. */
void mst_member_report(struct mst_entry *entry, const struct member *member);
/* Returns the member with an incarnation, or NULL if there is none. */
struct member *mst_member_find(
    const struct mst_entry *entry, uint64_t incarnation);
void mst_entry_handle_announce(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Sends the heartbeats to members and peers that are due in this round. */
void mst_entry_send_heartbeats(struct mst_entry *entry);
/* Resets the roster and the sequence numbers for a new incarnation. */
void mst_entry_reset_roster(struct mst_entry *entry);
/* Checks the time limits of all members and ranks them again. */
void mst_entry_scan_members(struct mst_entry *entry);
void mst_member_free(struct member *member);
/* Returns the name of a member's state. The names "ejected" and "probing" are
 * those of active members with this health. */
const char *mst_member_state_name(
    const struct mst_entry *entry, const struct member *member);
/* Shifts the times of the last messages by a pause of this process, so that the
 * pause does not count as silence of members and peers. */
void mst_entry_exclude_pause(struct mst_entry *entry, int64_t paused_us);
/* Sends the configuration to an incarnation, or to every receiver if it is 0.
 */
void mst_entry_send_config(struct mst_entry *entry, uint64_t to);

/* entry_stored.c */
struct stored_job;
/* Handles the submission of a stored job. The request is answered once the job
 * is recorded. */
void mst_stored_submit(
    struct mst_entry *entry, uint64_t request, const struct mst_job_spec *spec);
/* Answers a request for the state of a stored job, which is read from the store
 * if this entry does not own it. */
void mst_stored_report_state(
    struct mst_entry *entry, uint64_t request, const char *key);
/* Cancels a stored job, whichever entry owns it. The request is answered once
 * the cancellation is recorded or has failed. */
void mst_stored_cancel(
    struct mst_entry *entry, uint64_t request, const char *key);
/* Closes an owned job that another entry has cancelled in the store. The key is
 * NULL if notices of cancellations may have been missed. */
void mst_stored_handle_cancelled(struct mst_entry *entry, const char *key);
/* Defers the acknowledgement of a result until it is recorded in the store. */
void mst_stored_defer_ack(struct mst_entry *entry, struct job *job,
    const struct member *member, uint64_t seq);
/* Abandons a run whose outcome is unknown. The task is queued again once the
 * abandoned run is recorded in the store. */
void mst_stored_abandon_run(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Starts recording the final state of a job in the store. Returns true if the
 * job must not be closed yet, false once its final state is recorded. */
bool mst_stored_defer_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason);
/* Returns the number of a task's present run. It increases with each attempt
 * and, for stored jobs, with each term. */
uint32_t mst_stored_run_number(const struct job *job, const struct task *task);
/* Sets the record key, owner and term of a stored job in a dispatch. */
void mst_stored_fill_dispatch(const struct mst_entry *entry,
    const struct job *job, struct mst_dispatch_item *item);
/* Returns a time that is never reached, the deadline of stored jobs. */
int64_t mst_stored_no_deadline_us(const struct mst_entry *entry);
/* Writes the record of a stored job if that is due, and answers the callers of
 * a job that could not be stored in time. */
void mst_stored_tick(struct mst_entry *entry, struct job *job);
void mst_stored_free(struct stored_job *stored);
/* Returns true if the tasks of a job may be queued: it is not stored, or this
 * entry owns its record. */
bool mst_stored_is_owned(const struct job *job);

/* entry_owner.c */
void mst_owner_init(struct mst_entry *entry);
void mst_owner_clear(struct mst_entry *entry);
void mst_owner_tick(struct mst_entry *entry);
/* Relinquishes the ownership if its lease has expired. Must be called before
 * each event is handled, so that none is handled as owner after the expiry. */
void mst_owner_check_lease(struct mst_entry *entry);
/* Suspends all stored jobs and ends the ownership. The reason is the state that
 * is reported. */
void mst_owner_relinquish(struct mst_entry *entry, const char *reason);
/* Suspends all stored jobs and hands them over to the other entries. */
void mst_owner_hand_over(struct mst_entry *entry);
void mst_entry_handle_store_answer(
    struct mst_entry *entry, const struct mst_store_answer *answer);

/* entry_adopt.c */
/* Starts the adoption of a job whose ticket another entry has issued. */
void mst_entry_adopt_job(struct mst_entry *entry, struct job *job);
void mst_entry_handle_fenced(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Fails an adoption that takes too long, or repeats its fences if that is due.
 */
void mst_adoption_tick(struct mst_entry *entry, struct job *job);
void mst_adoption_free(struct adoption *adoption);

/* Returns the tag of a task: the job's handle and, in the low 16 bits, the
 * task's index. */
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

/* Returns the task that was sent to a member under this sequence number, and
 * stores its job; NULL if the task was closed or sent elsewhere since. */
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
