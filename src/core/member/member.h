#ifndef MST_CORE_MEMBER_H
#define MST_CORE_MEMBER_H

/* Members and peers of an entry, as told by their messages. */

#include <masticstall/entry.h>
#include "core/build.h"
#include "core/slowness.h"

enum member_state {
	MEMBER_JOINING = 1, /* its roster entry is not recorded yet */
	MEMBER_ACTIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	/* Lost, but kept: its sequence numbers continue if it returns. */
	MEMBER_GONE
};

/* Which clock of a member may be echoed. Between two ticks the entry handles
 * all waiting input, so by the second tick after a clock was heard it has
 * handled all input that arrived before the member read that clock. */
struct echo {
	int64_t settled_us; /* clock that may be echoed; 0: none yet */
	int64_t waiting_us; /* clock heard before the last tick */
	bool is_refused;    /* a task was returned as too old since then */
};

struct member {
	uint64_t incarnation;
	/* A living member has the same name, and this one has not yet shown
	 * that it is the later incarnation. */
	bool unproven;
	char *name;
	char *failure_domain;
	char *rack;
	char **labels;
	enum member_state state;
	uint32_t slots;
	struct mst_resources resources;
	struct mst_resources resources_max; /* since its worker's start */
	bool leased;
	GQuark service;
	uint32_t description_version; /* version of name, rack and labels */
	int64_t clock_us;             /* the member's clock, last announced */
	int64_t clock_received_us;    /* when clock_us was received */
	struct echo echo;             /* which clock may be echoed */
	uint32_t queued_tasks; /* queued tasks of all entries, last reported */
	bool overdue;          /* many of its tasks are overdue */
	uint32_t free_slots; /* leased: last reported, less tasks sent since */
	uint32_t grant;      /* outstanding tasks that this entry may have */
	uint32_t outstanding;
	uint64_t next_seq; /* last sequence number used */
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
	uint64_t peers_version_sent;  /* addresses last sent to the member */
	int64_t peers_sent_us;
	bool in_roster;
	bool roster_recorded; /* roster entry recorded: may run tasks and
				 arbitrate */
	int64_t gone_us;
	uint64_t crashes_received; /* last crash received from it */
	bool quarantined; /* runs only quarantined jobs; see quarantine.h */
	uint64_t config_version; /* configuration that the member has */
	struct build build;
	struct mst_slowness slowness_avg;
	double reported_slowness; /* leased: by the agent; 0: unknown */
	bool is_cold;             /* its worker is still slow after a start */
	int64_t cold_until_us;
	double warm_slowness;   /* reported before it was cold; 0: unknown */
	uint32_t cold_shown;    /* performance shown while cold, in tasks */
	double mean_service_us; /* moving average */
	double slowness;        /* slowness as of the last ranking */
	double faster_capacity; /* total capacity of the faster members */
	uint32_t failures;      /* consecutive failed tasks */
	int64_t ejected_until_us;
	uint32_t ejections; /* consecutive ejections */
	bool probing;
	unsigned down_failures; /* consecutive refused connections */
	int64_t down_until_us;  /* no tasks are sent before this time */
};

struct peer {
	uint64_t incarnation;
	char *address;
	char *failure_domain; /* empty: not known */
	int64_t last_heard_us;
	bool leaving;
	uint64_t config_version;
	struct build build;
};

/* member.c */
void mst_entry_handle_announce(
    struct mst_entry *entry, const struct mst_msg *msg);

/* echo.c */
/* Records a member's clock. The first one may be echoed at once, unless the
 * entry is behind with its input. */
void mst_member_add_clock(
    struct mst_entry *entry, struct member *member, int64_t clock_us);
/* Records a gap between two events, which may leave input waiting. */
void mst_entry_note_gap(struct mst_entry *entry, int64_t gap_us);
/* Notes that a member has returned a task because its dispatch was too old. The
 * entry takes clocks that waited while it was paused for present ones, and the
 * same would come back at once; nothing is sent there before the next tick. */
void mst_member_refuse_echo(struct member *member);
/* Returns true if a member accepts tasks that are sent with the present echo. A
 * leased one refuses those with an older one than this entry's lease lasts. */
bool mst_member_has_valid_echo(
    const struct mst_entry *entry, const struct member *member);
/* Allows the echo of the clocks that were heard before the last tick. Returns
 * true if this made a further member accept tasks. */
bool mst_entry_settle_echoes(struct mst_entry *entry);

/* state.c */
/* Returns the member with an incarnation, or NULL if there is none. */
struct member *mst_member_find(
    const struct mst_entry *entry, uint64_t incarnation);
void mst_member_free(struct member *member);
/* Returns the name of a member's state. The names "ejected" and "probing" are
 * those of active members with this health. */
const char *mst_member_state_name(
    const struct mst_entry *entry, const struct member *member);
/* Emits a member's state as an effect. */
void mst_member_report(struct mst_entry *entry, const struct member *member);

/* heartbeat.c */
/* Sends the heartbeats to members and peers that are due in this round. */
void mst_entry_send_heartbeats(struct mst_entry *entry);
/* Sends a heartbeat to every member at once, out of turn. */
void mst_entry_notify_members(struct mst_entry *entry);

/* roster.c */
/* Closes all open jobs as failed and continues as a new incarnation. */
void mst_entry_start_incarnation(struct mst_entry *entry);

/* timeout.c */
/* Checks the time limits of all members and ranks them again. */
void mst_entry_scan_members(struct mst_entry *entry);
/* Shifts the times of the last messages by a pause of this process, so that the
 * pause does not count as silence of members and peers. */
void mst_entry_exclude_pause(struct mst_entry *entry, int64_t paused_us);

/* health.c */
/* Records the success or failure of a run: ejects a member after repeated
 * failures, and ends its probing after a success. */
void mst_member_update_health(
    struct mst_entry *entry, struct member *member, bool failed);
/* Stops sending tasks to a member for a while, because its upstream is down. */
void mst_member_back_off(struct mst_entry *entry, struct member *member);

/* live.c */
/* Returns the number of live entries, including this one. */
uint32_t mst_entry_count_live_entries(const struct mst_entry *entry);

/* peer.c */
/* Handles the greeting of another entry. It is answered at once if the sender's
 * set of drained domains is outdated. */
void mst_entry_handle_peer(
    struct mst_entry *entry, const struct mst_msg *msg, bool outdated);
void mst_peer_free(struct peer *peer);
/* Tells all entries that this one connects to its address and state. */
void mst_entry_greet_peers(struct mst_entry *entry);
/* Tells all entries at once of a new configuration or set of drained domains,
 * also the known ones to which there is no connection of this entry's own yet.
 */
void mst_entry_greet_all(struct mst_entry *entry);
/* Rebuilds the list of the entries' addresses and removes peers that have been
 * silent for too long. */
void mst_entry_refresh_peers(struct mst_entry *entry);
/* Replaces a string by a copy of the bytes unless they are equal. */
void mst_string_replace(char **text, struct mst_bytes bytes);

#endif
