#include "net/bus.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "codec/codec.h"
#include "net/bus_auth.h"

G_DEFINE_QUARK(mst_bus_error, mst_bus_error)

#define BUS_LINKS_MAX  1024
#define BUS_ROUTES_MAX 32768
/* A connection attempt to a host without power gets no response. The timeouts
 * are short because the host may be back within a second. */
#define BUS_CONNECT_TIMEOUT_MS 100
#define BUS_TCP_MAXRT_MS       700 /* limit for unacknowledged data */
#define BUS_DRAIN_MESSAGES_MAX 256
#define BUS_ANNOUNCE_IDLE_US   (2500 * 1000) /* default of announce_idle_us */
/* Least time between two broadcast announcements on one connection. */
#define BUS_ANNOUNCE_INTERVAL_US (100 * 1000)
#define BUS_HWM_MESSAGES         100000
#define BUS_ID_BYTES             9 /* length of a routing id */
/* Senders of undecodable messages that are remembered as logged. */
#define BUS_REPORTED_MAX 4096

/* One ZeroMQ socket with its poll handle. */
struct link {
	struct mst_bus *bus;
	void *socket;
	uv_poll_t poll;
	bool is_router;
	bool dirty;     /* must be drained before the loop blocks */
	char *address;  /* ip:port connected to or listened on */
	uint64_t entry; /* DEALER: incarnation of the entry; 0: not known yet */
	int64_t last_received_us; /* DEALER: time of the entry's last message */
	bool connected;           /* DEALER: messages can be sent */
	/* DEALER: time of the last announcement on this connection; 0: none. */
	int64_t announced_us;
};

/* Route by which messages are sent to one incarnation. */
struct route {
	struct link *link;
	char identity[BUS_ID_BYTES]; /* routing id, if the link is the ROUTER */
	size_t identity_len;
	int64_t last_used_us;
};

struct mst_bus {
	struct mst_bus_options options;
	void *context;               /* of ZeroMQ */
	struct mst_bus_auth *auth;   /* NULL without keys */
	char identity[BUS_ID_BYTES]; /* routing id of the DEALERs */
	struct link *listener; /* ROUTER; NULL if the bus doesn't listen */
	GPtrArray *links;      /* DEALERs */
	GHashTable *routes;    /* incarnation -> struct route */
	uv_prepare_t prepare;
	uv_idle_t idle;
	struct mst_decoder *decoder;
	GHashTable *reported; /* incarnations whose messages are not known */
	GByteArray *buffer;   /* the message to be sent, encoded */
	struct mst_bus_counters counters;
};

static int64_t
bus_now_us(void)
{
	return mst_clock_us();
}

/*
 * Records the link and the routing id by which a message of an incarnation came
 * as its route. All routes are dropped when there are too many; they are
 * recorded again with the next messages.
 */
static void
route_record(struct mst_bus *bus, struct link *link, uint64_t incarnation,
    const char *identity, size_t len)
{
	struct route *route =
	    g_hash_table_lookup(bus->routes, (gpointer)incarnation);

	if (route == NULL) {
		if (g_hash_table_size(bus->routes) >= BUS_ROUTES_MAX)
			g_hash_table_remove_all(bus->routes);
		route = g_new0(struct route, 1);
		g_hash_table_insert(bus->routes, (gpointer)incarnation, route);
	}
	route->last_used_us = bus_now_us();
	/* A route through a DEALER takes precedence over one through the
	 * ROUTER. */
	if (route->link != NULL && !route->link->is_router && link->is_router)
		return;
	route->link = link;
	route->identity_len = MIN(len, sizeof(route->identity));
	if (route->identity_len > 0)
		memcpy(route->identity, identity, route->identity_len);
}

/* Logs the first message of a sender whose version or type is not known; it
 * sends more of them, as it is of a newer build. */
static void
report_undecoded(struct mst_bus *bus, uint64_t from, const GError *error)
{
	if (g_hash_table_size(bus->reported) >= BUS_REPORTED_MAX)
		g_hash_table_remove_all(bus->reported);
	if (g_hash_table_add(bus->reported, (gpointer)from))
		mst_log(MST_LOG_WARNING, "messages-not-known",
		    "from=%016" PRIx64 " reason=%s", from,
		    mst_log_quote(error->message));
}

static void
report_dropped(
    struct mst_bus *bus, uint64_t from, size_t len, const GError *error)
{
	bus->counters.dropped++;
	if (g_error_matches(error, MST_CODEC_ERROR, MST_CODEC_ERROR_VERSION) ||
	    g_error_matches(error, MST_CODEC_ERROR, MST_CODEC_ERROR_TYPE)) {
		report_undecoded(bus, from, error);
		return;
	}
	mst_log(MST_LOG_WARNING, "message-dropped", "bytes=%zu reason=%s", len,
	    mst_log_quote(error->message));
}

/* Decodes a message, records the route to its sender and calls on_message. */
static void
link_deliver(struct link *link, const char *identity, size_t identity_len,
    const void *data, size_t len)
{
	struct mst_bus *bus = link->bus;
	GError *error = NULL;
	struct mst_msg msg;

	bus->counters.bytes_received += len;
	if (mst_decoder_decode(&msg, bus->decoder, data, len, &error) < 0) {
		report_dropped(bus, msg.from, len, error);
		g_clear_error(&error);
		return;
	}
	bus->counters.received[msg.type]++;
	route_record(bus, link, msg.from, identity, identity_len);
	if (!link->is_router) {
		link->entry = msg.from;
		link->last_received_us = bus_now_us();
	}
	bus->options.on_message(&msg, bus->options.ctx);
}

/*
 * Receives and delivers one message; one with the wrong number of frames is
 * dropped. Returns false if there was no message.
 */
static bool
link_receive(struct link *link)
{
	char identity[256];
	int identity_len = 0;
	zmq_msg_t frame;

	if (link->is_router) {
		identity_len = zmq_recv(
		    link->socket, identity, sizeof(identity), ZMQ_DONTWAIT);
		if (identity_len < 0)
			return false;
	}
	zmq_msg_init(&frame);
	if (zmq_msg_recv(&frame, link->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&frame);
		return false;
	}
	if (!zmq_msg_more(&frame) && (size_t)identity_len <= BUS_ID_BYTES) {
		link_deliver(link, identity, (size_t)identity_len,
		    zmq_msg_data(&frame), zmq_msg_size(&frame));
	} else {
		link->bus->counters.dropped++;
		while (zmq_msg_more(&frame) &&
		    zmq_msg_recv(&frame, link->socket, ZMQ_DONTWAIT) >= 0)
			continue;
	}
	zmq_msg_close(&frame);
	return true;
}

/*
 * Notes whether messages can be sent. A new connection may lead to a new
 * incarnation, so the entry counts as silent and is announced to at once.
 */
static void
link_update_connected(struct link *link)
{
	struct mst_bus *bus = link->bus;
	bool was_connected = link->connected;
	int events = 0;
	size_t len = sizeof(events);

	zmq_getsockopt(link->socket, ZMQ_EVENTS, &events, &len);
	link->connected = (events & ZMQ_POLLOUT) != 0;
	if (was_connected || !link->connected)
		return;
	link->last_received_us = 0;
	link->announced_us = 0;
	if (bus->options.on_connected != NULL)
		bus->options.on_connected(bus->options.ctx);
}

/*
 * Receives the pending messages, at most BUS_DRAIN_MESSAGES_MAX of them so that
 * the loop can serve its other handles; the link stays dirty if there may be
 * more. Returns whether a message was received.
 */
static bool
link_drain(struct link *link)
{
	int n;

	link->dirty = false;
	for (n = 0; n < BUS_DRAIN_MESSAGES_MAX; n++) {
		if (!link_receive(link))
			return n > 0;
	}
	link->dirty = true;
	return true;
}

static void
on_link_poll(uv_poll_t *poll, int status, int events)
{
	struct link *link = poll->data;

	if (!link->is_router)
		link_update_connected(link);
	link_drain(link);
}

static void
on_idle(uv_idle_t *idle)
{
	uv_idle_stop(idle);
}

/*
 * Drains the dirty links before the loop blocks. The file descriptor of a
 * ZeroMQ socket is edge-triggered, and a send can consume the edge, so that the
 * poll handle would not report the messages that have arrived meanwhile.
 */
static void
on_prepare(uv_prepare_t *prepare)
{
	struct mst_bus *bus = prepare->data;
	bool received = false;
	guint i;

	if (bus->listener != NULL && bus->listener->dirty)
		received |= link_drain(bus->listener);
	for (i = 0; i < bus->links->len; i++) {
		struct link *link = bus->links->pdata[i];

		if (link->dirty)
			received |= link_drain(link);
	}
	/* Handling the messages may have left output that must be flushed
	 * before the loop blocks: the idle handle makes it run once more. */
	if (received)
		uv_idle_start(&bus->idle, on_idle);
}

static void
socket_set_options(void *socket)
{
	int linger = 200;
	int hwm = BUS_HWM_MESSAGES;
	int heartbeat_ms = 10000;
	int timeout_ms = 20000;
	int reconnect_ms = 20;
	int reconnect_max_ms = 100;
	int connect_timeout_ms = BUS_CONNECT_TIMEOUT_MS;
	int tcp_maxrt_ms = BUS_TCP_MAXRT_MS;
	int64_t size = MST_MSG_MAX_BYTES;

	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_SNDHWM, &hwm, sizeof(hwm));
	zmq_setsockopt(socket, ZMQ_RCVHWM, &hwm, sizeof(hwm));
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &size, sizeof(size));
	zmq_setsockopt(
	    socket, ZMQ_HEARTBEAT_IVL, &heartbeat_ms, sizeof(heartbeat_ms));
	zmq_setsockopt(
	    socket, ZMQ_HEARTBEAT_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	zmq_setsockopt(socket, ZMQ_CONNECT_TIMEOUT, &connect_timeout_ms,
	    sizeof(connect_timeout_ms));
	zmq_setsockopt(
	    socket, ZMQ_TCP_MAXRT, &tcp_maxrt_ms, sizeof(tcp_maxrt_ms));
	zmq_setsockopt(
	    socket, ZMQ_RECONNECT_IVL, &reconnect_ms, sizeof(reconnect_ms));
	zmq_setsockopt(socket, ZMQ_RECONNECT_IVL_MAX, &reconnect_max_ms,
	    sizeof(reconnect_max_ms));
}

static void
link_poll_start(struct link *link)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(link->socket, ZMQ_FD, &fd, &len);
	uv_poll_init(link->bus->options.loop, &link->poll, fd);
	link->poll.data = link;
	uv_poll_start(&link->poll, UV_READABLE, on_link_poll);
	link->dirty = true;
}

static struct link *
link_new(struct mst_bus *bus, int type, const char *address)
{
	struct link *link = g_new0(struct link, 1);

	link->bus = bus;
	link->is_router = type == ZMQ_ROUTER;
	link->address = g_strdup(address);
	link->socket = zmq_socket(bus->context, type);
	socket_set_options(link->socket);
	return link;
}

static int
bus_listen(struct mst_bus *bus, GError **error)
{
	char *endpoint = g_strdup_printf("tcp://%s", bus->options.listen);
	struct link *link = link_new(bus, ZMQ_ROUTER, bus->options.listen);
	int on = 1;
	int rc;

	zmq_setsockopt(link->socket, ZMQ_ROUTER_MANDATORY, &on, sizeof(on));
	zmq_setsockopt(link->socket, ZMQ_ROUTER_HANDOVER, &on, sizeof(on));
	mst_bus_auth_set_server(link->socket, &bus->options.curve);
	rc = zmq_bind(link->socket, endpoint);
	if (rc < 0)
		g_set_error(error, MST_BUS_ERROR, MST_BUS_ERROR_LISTEN,
		    "%s: %s", endpoint, zmq_strerror(errno));
	bus->listener = link;
	link_poll_start(link);
	g_free(endpoint);
	return rc < 0 ? -1 : 0;
}

int
mst_bus_new(
    struct mst_bus **out, const struct mst_bus_options *options, GError **error)
{
	struct mst_bus *bus = g_new0(struct mst_bus, 1);
	uint64_t id = mst_random_u64();

	bus->options = *options;
	bus->context = zmq_ctx_new();
	/* ZeroMQ reserves the routing ids that begin with a zero byte. */
	bus->identity[0] = 'M';
	memcpy(bus->identity + 1, &id, sizeof(id));
	bus->links = g_ptr_array_new();
	bus->routes =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	bus->decoder = mst_decoder_new();
	bus->reported = g_hash_table_new(g_direct_hash, g_direct_equal);
	bus->buffer = g_byte_array_new();
	uv_prepare_init(options->loop, &bus->prepare);
	bus->prepare.data = bus;
	uv_prepare_start(&bus->prepare, on_prepare);
	uv_idle_init(options->loop, &bus->idle);
	bus->auth =
	    mst_bus_auth_new(bus->context, options->loop, &bus->options.curve);
	*out = bus;
	if (options->listen != NULL)
		return bus_listen(bus, error);
	return 0;
}

static struct link *
find_link(const struct mst_bus *bus, const char *address)
{
	guint i;

	for (i = 0; i < bus->links->len; i++) {
		struct link *link = bus->links->pdata[i];

		if (strcmp(link->address, address) == 0)
			return link;
	}
	return NULL;
}

int
mst_bus_connect(struct mst_bus *bus, const char *address, GError **error)
{
	char *endpoint;
	struct link *link;
	int on = 1;
	int rc;

	if (g_strcmp0(address, bus->options.self_address) == 0)
		return 0;
	if (find_link(bus, address) != NULL)
		return 0;
	if (bus->links->len >= BUS_LINKS_MAX) {
		g_set_error(error, MST_BUS_ERROR, MST_BUS_ERROR_CONNECT,
		    "cannot connect to more than %d entries", BUS_LINKS_MAX);
		return -1;
	}
	link = link_new(bus, ZMQ_DEALER, address);
	zmq_setsockopt(
	    link->socket, ZMQ_ROUTING_ID, bus->identity, sizeof(bus->identity));
	/* Announcements for an entry that is down would otherwise be queued and
	 * all be sent when it is back. */
	zmq_setsockopt(link->socket, ZMQ_IMMEDIATE, &on, sizeof(on));
	mst_bus_auth_set_client(link->socket, &bus->options.curve);
	endpoint = g_strdup_printf("tcp://%s", address);
	rc = zmq_connect(link->socket, endpoint);
	if (rc < 0)
		g_set_error(error, MST_BUS_ERROR, MST_BUS_ERROR_CONNECT,
		    "%s: %s", endpoint, zmq_strerror(errno));
	g_free(endpoint);
	if (rc < 0) {
		zmq_close(link->socket);
		g_free(link->address);
		g_free(link);
		return -1;
	}
	g_ptr_array_add(bus->links, link);
	link_poll_start(link);
	return 0;
}

static void
link_free(struct link *link)
{
	if (link == NULL)
		return;
	zmq_close(link->socket);
	g_free(link->address);
	g_free(link);
}

static gboolean
route_uses_link(gpointer key, gpointer value, gpointer link)
{
	const struct route *route = value;

	return route->link == link;
}

static void
on_link_closed(uv_handle_t *handle)
{
	link_free(handle->data);
}

void
mst_bus_disconnect(struct mst_bus *bus, const char *address)
{
	struct link *link = find_link(bus, address);

	if (link == NULL)
		return;
	g_hash_table_foreach_remove(bus->routes, route_uses_link, link);
	g_ptr_array_remove(bus->links, link);
	uv_close((uv_handle_t *)&link->poll, on_link_closed);
}

void
mst_bus_foreach_entry(
    const struct mst_bus *bus, mst_bus_entry_cb callback, void *ctx)
{
	guint i;

	for (i = 0; i < bus->links->len; i++) {
		const struct link *link = bus->links->pdata[i];
		const struct mst_bus_entry entry = {.address = link->address,
		    .incarnation = link->entry,
		    .connected = link->connected,
		    .received_us = link->last_received_us};

		callback(&entry, ctx);
	}
}

uint64_t
mst_bus_entry_at(const struct mst_bus *bus, const char *address)
{
	const struct link *link = find_link(bus, address);

	return link != NULL ? link->entry : 0;
}

static void
link_send(struct link *link, const char *identity, size_t identity_len,
    const GByteArray *bytes)
{
	struct mst_bus *bus = link->bus;

	link->dirty = true;
	if (identity_len > 0 &&
	    zmq_send(link->socket, identity, identity_len,
		ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
		bus->counters.unroutable++;
		return;
	}
	if (zmq_send(link->socket, bytes->data, bytes->len, ZMQ_DONTWAIT) < 0) {
		bus->counters.unroutable++;
		return;
	}
	bus->counters.bytes_sent += bytes->len;
}

/*
 * Returns for how long announcements to an entry are left out after it has sent
 * a message. An entry that sends messages knows this agent already.
 */
static int64_t
get_announce_idle_us(const struct mst_bus *bus)
{
	return bus->options.announce_idle_us > 0 ? bus->options.announce_idle_us
						 : BUS_ANNOUNCE_IDLE_US;
}

/*
 * Returns true if a broadcast announcement is left out for an entry: it has
 * sent something within the idle time, or has just been announced to.
 */
static bool
skips_announcement(const struct link *link, int64_t now_us)
{
	int64_t idle_us = get_announce_idle_us(link->bus);

	return (link->last_received_us > 0 &&
		   now_us - link->last_received_us < idle_us) ||
	    (link->announced_us > 0 &&
		now_us - link->announced_us < BUS_ANNOUNCE_INTERVAL_US);
}

/* Sends the encoded message to every entry; an announcement only to those that
 * have sent nothing for the idle time. */
static void
bus_broadcast(struct mst_bus *bus, const struct mst_msg *msg)
{
	int64_t now_us = bus_now_us();
	guint i;

	for (i = 0; i < bus->links->len; i++) {
		struct link *link = bus->links->pdata[i];

		if (msg->type == MST_MSG_ANNOUNCE) {
			if (skips_announcement(link, now_us))
				continue;
			link->announced_us = now_us;
		}
		bus->counters.sent[msg->type]++;
		link_send(link, NULL, 0, bus->buffer);
	}
}

void
mst_bus_send(struct mst_bus *bus, const struct mst_msg *msg)
{
	struct route *route;

	g_byte_array_set_size(bus->buffer, 0);
	mst_msg_encode(bus->buffer, msg);
	if (msg->to == 0) {
		bus_broadcast(bus, msg);
		return;
	}
	bus->counters.sent[msg->type]++;
	route = g_hash_table_lookup(bus->routes, (gpointer)msg->to);
	if (route == NULL) {
		bus->counters.unroutable++;
		return;
	}
	route->last_used_us = bus_now_us();
	link_send(
	    route->link, route->identity, route->identity_len, bus->buffer);
}

const struct mst_bus_counters *
mst_bus_counters(const struct mst_bus *bus)
{
	return &bus->counters;
}

void
mst_bus_close(struct mst_bus *bus)
{
	guint i;

	uv_close((uv_handle_t *)&bus->prepare, NULL);
	uv_close((uv_handle_t *)&bus->idle, NULL);
	mst_bus_auth_close(bus->auth);
	if (bus->listener != NULL)
		uv_close((uv_handle_t *)&bus->listener->poll, NULL);
	for (i = 0; i < bus->links->len; i++) {
		struct link *link = bus->links->pdata[i];

		uv_close((uv_handle_t *)&link->poll, NULL);
	}
}

void
mst_bus_free(struct mst_bus *bus)
{
	guint i;

	if (bus == NULL)
		return;
	for (i = 0; i < bus->links->len; i++)
		link_free(bus->links->pdata[i]);
	link_free(bus->listener);
	mst_bus_auth_free(bus->auth);
	zmq_ctx_term(bus->context);
	g_ptr_array_unref(bus->links);
	g_hash_table_unref(bus->routes);
	mst_decoder_free(bus->decoder);
	g_hash_table_unref(bus->reported);
	g_byte_array_unref(bus->buffer);
	g_free(bus);
}
