#ifndef MST_MEMBER_INTERNAL_H
#define MST_MEMBER_INTERNAL_H

/* Functions shared by the parts of an entry that track its members. */

#include "core/member/member.h"

/* state.c */
/* Adds a member that is joining; returns NULL if there are too many. */
struct member *mst_member_new(struct mst_entry *entry, uint64_t incarnation);
/* Changes the state of a member and reports the change. */
void mst_member_set_state(
    struct mst_entry *entry, struct member *member, enum member_state state);

/* heartbeat.c */
void mst_member_send_heartbeat(struct mst_entry *entry, struct member *member);

/* sync.c */
/* Sends again what an announcement shows not to have arrived at a member:
 * dispatches and withdrawals. */
void mst_member_repair(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce);

/* roster.c */
/* Adds a member to the roster and sends the roster to it. */
void mst_roster_add(struct mst_entry *entry, struct member *member);
/* Removes a member from the roster long after its loss. */
void mst_roster_remove(struct mst_entry *entry, struct member *member);
/* Activates the joining members whose roster entry is recorded. */
void mst_roster_activate_recorded(struct mst_entry *entry);
/* Starts a new incarnation if members have waited too long to be recorded. */
void mst_roster_check_arbiter(struct mst_entry *entry);

/* build.c */
/* Records the build that a process has announced, and reports one of another
 * version. */
void mst_entry_update_build(struct mst_entry *entry, uint64_t incarnation,
    enum mst_process_kind kind, struct build *build,
    const struct mst_build_msg *msg);
/* Reports that a process is gone if its build is of another version. */
void mst_entry_forget_build(struct mst_entry *entry, uint64_t incarnation,
    enum mst_process_kind kind, const struct build *build);

/* timeout.c */
/* Marks a member as lost. The outcome of its runs is unknown. */
void mst_member_mark_lost(struct mst_entry *entry, struct member *member);

/* warm_up.c */
/* Records the announced time until a member is warm, 0 if it is. */
void mst_member_set_cold(
    struct mst_entry *entry, struct member *member, uint32_t cold_ms);
/* Ends a warm-up whose time is over. */
void mst_member_check_warm_up(struct mst_entry *entry, struct member *member);

#endif
