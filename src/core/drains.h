#ifndef MST_CORE_DRAINS_H
#define MST_CORE_DRAINS_H

/*
 * Failure domains that operators have drained. Nothing is started on the
 * workers of a drained domain. Entries read the set from the store, and entries
 * and agents pass it on to each other; the newest revision wins.
 */

#include <glib.h>
#include <masticstall/message.h>

/* Most names in a set. Heartbeats, announcements and greetings carry them. */
#define MST_DRAINS_MAX 16

struct mst_drains {
	uint64_t revision;  /* as of which the set is known; 0: unknown */
	bool published;     /* the set was not empty at some revision */
	GPtrArray *domains; /* char *, sorted */
	char *text;         /* the domains, comma-separated */
};

void mst_drains_init(struct mst_drains *drains);
void mst_drains_clear(struct mst_drains *drains);
/* Replaces the set if the revision is newer. Names that are empty or contain a
 * comma are ignored, and so are those beyond the maximum in sorted order.
 * Returns true if the set of domains has changed. */
bool mst_drains_update(struct mst_drains *drains, uint64_t revision,
    const char *const *domains, size_t count);
/* Applies a set that another process has sent. Returns true if the set of
 * domains has changed. Sets *outdated if the sender's set is older and differs.
 */
bool mst_drains_merge(struct mst_drains *drains,
    const struct mst_drains_msg *msg, bool *outdated);
bool mst_drains_contains(const struct mst_drains *drains, const char *domain);
/* Returns the set as it is sent to other processes; borrows its text. */
struct mst_drains_msg mst_drains_to_msg(const struct mst_drains *drains);

#endif
