#ifndef MST_ENTRY_CHOICE_H
#define MST_ENTRY_CHOICE_H

/*
 * Which of the known entries a process connects to. An agent serves a subset of
 * them, so that the cost of an entry and of an agent does not grow with the
 * fleet. Each agent ranks the addresses by rendezvous hashing: agents spread
 * evenly over the entries, and an entry that comes or goes moves few of them.
 * An entry that is silent keeps its place for a while; meanwhile the next in
 * rank is used in addition.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Who has named an address. */
enum mst_entry_source {
	/* A row of the store, which others may have written: the address need
	 * not be that of an entry. */
	MST_ENTRY_STORED = 1,
	MST_ENTRY_NAMED, /* a member, which has reached it */
	MST_ENTRY_CONFIGURED
};

struct mst_entry_choice;

struct mst_entry_choice_options {
	const char *name; /* of the process, for its ranking */
	uint32_t max;     /* live entries to connect to; 0: all */
	/* Connects to an entry. */
	void (*connect)(const char *address, void *ctx);
	/* Closes the connection to an entry that is lost. */
	void (*disconnect)(const char *address, void *ctx);
	/* Tells whether an entry that is connected to is still wanted. One that
	 * is not is to be disconnected from once no work of it is left, and
	 * mst_entry_choice_release() is to be called then. */
	void (*set_wanted)(const char *address, bool wanted, void *ctx);
	void *ctx;
};

/* Copies the options and the name. */
struct mst_entry_choice *mst_entry_choice_new(
    const struct mst_entry_choice_options *options);
void mst_entry_choice_free(struct mst_entry_choice *choice);

/* Adds an address, or records that it was named again. A configured one is
 * never forgotten. Stored ones are tried a few at a time until they are
 * reached, and take no other's place. Returns false if too many are known. */
bool mst_entry_choice_add(struct mst_entry_choice *choice, const char *address,
    enum mst_entry_source source, int64_t now_us);

/* Records that a connection to an address was accepted. */
void mst_entry_choice_reach(
    struct mst_entry_choice *choice, const char *address);

/* Records when the entry at an address was last heard from, in microseconds; 0:
 * not yet. */
void mst_entry_choice_hear(
    struct mst_entry_choice *choice, const char *address, int64_t heard_us);

/* Notes that an entry was disconnected from, because it was not wanted. */
void mst_entry_choice_release(
    struct mst_entry_choice *choice, const char *address);

/* Connects and disconnects as the choice requires now, and forgets addresses
 * that have been silent and unnamed for long. */
void mst_entry_choice_update(struct mst_entry_choice *choice, int64_t now_us);

/* Returns the number of known addresses. */
guint mst_entry_choice_count(const struct mst_entry_choice *choice);

/* Returns the known addresses but for stored ones that were never reached,
 * comma-separated and in the order in which they were learnt; owned by the
 * choice. */
const char *mst_entry_choice_addresses(const struct mst_entry_choice *choice);

#endif
