#ifndef MST_CORE_BACKUP_H
#define MST_CORE_BACKUP_H

/*
 * Backup of the starts that are not confirmed. An agent and the entry that sent
 * a task to it may be lost together, before either has told that its start may
 * still be executed. Each entry therefore has a backup, another entry, which it
 * tells of each best-effort task in the step that sends it, and later of each
 * start that is settled. The backup uses what it keeps only once the entry is
 * lost: it tells all others of the starts at agents that are lost as well. The
 * agents that live tell their starts themselves.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct mst_entry;
struct mst_msg;
struct task;

/* The starts of this entry at its backup. */
struct backup {
	uint64_t peer;        /* incarnation of the backup; 0: none */
	bool is_new;          /* nothing has been sent to it yet */
	uint64_t last_number; /* of a start */
	GArray *items;        /* struct mst_backup_item; effects refer to it */
	GArray *settled;      /* uint64_t numbers, to be sent */
	GArray *settled_sent; /* the last ones; effects refer to it */
	int64_t settled_us;   /* when the first of them was settled */
};

/* Start that this entry keeps for another one. */
struct kept_start {
	uint64_t number; /* of the start at its entry */
	uint64_t agent;
	char *host; /* reference-counted, like the job's key */
	char *job;
	uint32_t index;
	uint32_t run;
	int64_t expires_us;
	bool is_told; /* the others know it */
	GList link;
};

/* Starts that this entry keeps for another one. */
struct kept_starts {
	uint64_t entry; /* its incarnation */
	int64_t heard_us;
	int64_t lost_us; /* when it was found to be silent; 0: it is not */
	GHashTable *by_number; /* number -> struct kept_start */
	GQueue by_age;         /* struct kept_start, oldest first */
};

/* Starts that this entry keeps for others. */
struct kept_backups {
	GHashTable *by_entry; /* incarnation -> struct kept_starts */
	uint32_t count;       /* starts, of all entries */
	GArray *items; /* struct mst_uncertain_item; effects refer to it */
};

/* backup.c */
void mst_backup_init(struct backup *backup);
void mst_backup_clear(struct backup *backup);
/* Chooses the backup of this entry: a live entry that keeps starts, in another
 * failure domain if there is one. It stays while it lives. */
void mst_backup_choose(struct mst_entry *entry);
/* Forgets the backup, because the incarnation of this entry has changed. */
void mst_backup_reset(struct mst_entry *entry);
/* Records that no start of a task may still be executed. */
void mst_backup_settle(struct mst_entry *entry, struct task *task);
/* Tells the backup of the tasks that are about to be sent, and of the starts
 * that are settled if that is due. */
void mst_backup_flush(struct mst_entry *entry);

/* backup_kept.c */
void mst_kept_init(struct kept_backups *kept);
void mst_kept_clear(struct kept_backups *kept);
/* Handles what another entry tells this one, as its backup. */
void mst_kept_handle(struct mst_entry *entry, const struct mst_msg *msg);
/* Tells all entries of the starts of an entry and an agent that are lost, and
 * forgets what is too old. */
void mst_kept_check(struct mst_entry *entry);
/* Shifts the times of the last messages by a pause of this process. */
void mst_kept_exclude_pause(struct mst_entry *entry, int64_t paused_us);

#endif
