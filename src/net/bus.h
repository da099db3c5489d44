#ifndef MST_BUS_H
#define MST_BUS_H

/*
 * Messages between the daemons over ZeroMQ, on the libuv loop. An entry listens
 * on one ROUTER socket; entries and agents open one DEALER socket for each
 * entry that they connect to. The route to an incarnation is recorded when a
 * message from it arrives.
 */

#include <glib.h>
#include <masticstall/message.h>
#include <masticstall/settings.h>
#include <uv.h>

struct mst_bus;

#define MST_BUS_ERROR mst_bus_error_quark()

enum mst_bus_error { MST_BUS_ERROR_LISTEN, MST_BUS_ERROR_CONNECT };

GQuark mst_bus_error_quark(void);

/* msg and the bytes that it refers to are valid during the callback only. */
typedef void (*mst_bus_message_cb)(const struct mst_msg *msg, void *ctx);

typedef void (*mst_bus_connected_cb)(void *ctx);

struct mst_bus_options {
	uv_loop_t *loop;
	const char *listen; /* ip:port, or NULL */
	/* Advertised ip:port of this entry, to which the bus never connects, or
	 * NULL. */
	const char *self_address;
	struct mst_curve_keys curve;
	mst_bus_message_cb on_message;
	/* Called when a connection to an entry has been made, or NULL. */
	mst_bus_connected_cb on_connected;
	void *ctx;
	/* Broadcast announcements leave out entries that have sent something
	 * within this time; 0: 2.5 s. */
	int64_t announce_idle_us;
};

struct mst_bus_counters {
	uint64_t sent[MST_MSG_MAX];     /* messages by type */
	uint64_t received[MST_MSG_MAX]; /* messages by type */
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t unroutable; /* not sent: no route, or ZeroMQ refused */
	uint64_t dropped;    /* malformed, too long or of another version */
};

/**
 * Creates a bus, which listens if options->listen is set.
 *
 * @param out receives the bus, also on failure; to be closed and freed
 * @param options copied; the strings must outlive the bus
 * @param error an MST_BUS_ERROR on failure
 * @return 0, or -1 on failure
 */
int mst_bus_new(struct mst_bus **out, const struct mst_bus_options *options,
    GError **error);

/* Closes the handles on the loop, which must run once more before the bus is
 * freed. */
void mst_bus_close(struct mst_bus *bus);
/* Closes the sockets and frees the bus; must follow mst_bus_close(). */
void mst_bus_free(struct mst_bus *bus);

/**
 * Connects to an entry, unless the bus is connected to it already or it is this
 * entry. ZeroMQ makes the connection in the background.
 *
 * @param address ip:port of the entry
 * @param error an MST_BUS_ERROR on failure
 * @return 0, or -1 if the address is invalid or there are too many entries
 */
int mst_bus_connect(struct mst_bus *bus, const char *address, GError **error);

/* Closes the connection to an entry, if there is one. What was sent last may
 * get lost. */
void mst_bus_disconnect(struct mst_bus *bus, const char *address);

/* What the bus knows of an entry that it connects to. */
struct mst_bus_entry {
	const char *address;
	uint64_t incarnation; /* 0: not known yet */
	bool connected;       /* messages can be sent */
	int64_t received_us;  /* time of the last message; 0: none */
};

typedef void (*mst_bus_entry_cb)(const struct mst_bus_entry *entry, void *ctx);

/* Calls back for each entry that the bus connects to. */
void mst_bus_foreach_entry(
    const struct mst_bus *bus, mst_bus_entry_cb callback, void *ctx);

/* Returns the incarnation of the entry at an address, or 0 if it is not known.
 */
uint64_t mst_bus_entry_at(const struct mst_bus *bus, const char *address);

/**
 * Sends a message to the incarnation msg->to. If that is 0, sends it to every
 * connected entry; an announcement only to those that have sent nothing within
 * announce_idle_us. Never blocks; a message that can't be sent is dropped and
 * counted as unroutable.
 */
void mst_bus_send(struct mst_bus *bus, const struct mst_msg *msg);

/* Returns the counters since the bus was created; owned by the bus. */
const struct mst_bus_counters *mst_bus_counters(const struct mst_bus *bus);

#endif
