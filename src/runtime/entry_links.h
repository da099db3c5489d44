#ifndef MST_ENTRY_LINKS_H
#define MST_ENTRY_LINKS_H

/* Connections of a daemon to entries: which addresses are known, and which of
 * them the bus connects to. */

#include <masticstall/message.h>
#include <masticstall/settings.h>

#include "net/bus.h"

/* Tells whether an entry, given by its incarnation, is still wanted. */
typedef void (*entry_wanted_cb)(uint64_t entry, bool wanted, void *ctx);

struct entry_links_options {
	struct mst_bus *bus;
	const struct mst_settings *settings;
	uint32_t max;              /* entries to connect to; 0: all */
	entry_wanted_cb on_wanted; /* NULL if max is 0 */
	void *ctx;
};

struct entry_links;

/* Connects to the entries in the settings. */
struct entry_links *entry_links_new(const struct entry_links_options *options);
void entry_links_free(struct entry_links *links);

/* Adds the addresses of a comma-separated list that a member has sent. */
void entry_links_add(struct entry_links *links, struct mst_bytes addresses);

/* Adds addresses, as texts, from rows of the store. */
void entry_links_add_stored(
    struct entry_links *links, const GPtrArray *addresses);

/* Reads the settings file again and adds the entries that it lists now. */
void entry_links_reload(struct entry_links *links);

/* Connects and disconnects as required; to be called regularly. */
void entry_links_update(struct entry_links *links);

/* Closes the connection to an entry that is not wanted. */
void entry_links_release(struct entry_links *links, uint64_t entry);

/* Returns the known addresses, comma-separated; valid until the next call. */
const char *entry_links_addresses(const struct entry_links *links);

#endif
