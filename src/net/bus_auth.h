#ifndef MST_BUS_AUTH_H
#define MST_BUS_AUTH_H

/*
 * Authentication of the bus: CURVE keys of its sockets, and the handler that
 * accepts only daemons with the shared key (ZAP, ZeroMQ RFC 27).
 */

#include <uv.h>

#include "net/bus.h"

struct mst_bus_auth;

/* Sets the keys of a socket that connects to others; has no effect without
 * keys. */
void mst_bus_auth_set_client(void *socket, const struct mst_curve_keys *keys);
/* The same for a socket that others connect to. */
void mst_bus_auth_set_server(void *socket, const struct mst_curve_keys *keys);

/* Handles the authentication requests of a ZeroMQ context. Returns NULL without
 * keys. The keys must stay valid. */
struct mst_bus_auth *mst_bus_auth_new(
    void *context, uv_loop_t *loop, const struct mst_curve_keys *keys);
/* Closes the handle in the loop. */
void mst_bus_auth_close(struct mst_bus_auth *auth);
/* Frees a handler that was closed; may be NULL. */
void mst_bus_auth_free(struct mst_bus_auth *auth);

#endif
