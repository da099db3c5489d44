#ifndef MST_BUS_H
#define MST_BUS_H

/*
 * Messages between the daemons over ZeroMQ, on the libuv loop. An entry
 * listens on one ROUTER socket; entries and agents connect to entries with
 * one DEALER socket each. The way to an incarnation is learnt from what it
 * has sent.
 */

#include <glib.h>
#include <masticstall/message.h>
#include <masticstall/settings.h>
#include <uv.h>

struct mst_bus;

#define MST_BUS_ERROR mst_bus_error_quark()

enum mst_bus_error { MST_BUS_ERROR_LISTEN, MST_BUS_ERROR_CONNECT };

GQuark mst_bus_error_quark(void);

typedef void (*mst_bus_message_cb)(const struct mst_msg *msg, void *ctx);

struct mst_bus_options {
	uv_loop_t *loop;
	const char *listen; /* ip:port, or NULL */
	const char
	    *self_address; /* own advertised ip:port, never connected to */
	struct mst_curve_keys curve;
	mst_bus_message_cb on_message;
	void *ctx;
	/* Announcements to all leave out links that were heard for less than
	 * this time ago; 0: 2.5 s. */
	int64_t announce_idle_us;
};

struct mst_bus_counters {
	uint64_t sent[MST_MSG_MAX];
	uint64_t received[MST_MSG_MAX];
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t unroutable;
	uint64_t dropped; /* malformed, too long or of another version */
};

int mst_bus_new(struct mst_bus **out, const struct mst_bus_options *options,
    GError **error);

/* Closes all sockets; needs the loop to run once more. */
void mst_bus_close(struct mst_bus *bus);
void mst_bus_free(struct mst_bus *bus);

/* Connects to an entry unless that is done already. */
int mst_bus_connect(struct mst_bus *bus, const char *address, GError **error);

/* Connects to the entries that the settings name. */
int mst_bus_connect_entries(
    struct mst_bus *bus, const struct mst_settings *settings, GError **error);

/* Reads the settings again and connects to the entries that they name now; a
 * fault leaves all as it was. */
void mst_bus_reload_entries(
    struct mst_bus *bus, const struct mst_settings *settings);

/*
 * Sends to msg->to, or where that is 0: an announcement to each entry that
 * has not been heard lately, anything else to every entry.
 */
void mst_bus_send(struct mst_bus *bus, const struct mst_msg *msg);

/* Addresses of the connected entries, by commas; owned by the bus. */
const char *mst_bus_entry_addresses(const struct mst_bus *bus);

const struct mst_bus_counters *mst_bus_counters(const struct mst_bus *bus);

#endif
