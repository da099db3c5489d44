#include "net/bus_auth.h"

#include <string.h>
#include <zmq.h>

#include "base/log.h"

#define ZAP_ENDPOINT  "inproc://zeromq.zap.01"
#define ZAP_FRAME_MAX 256
/* Frames of a request with a CURVE key, which is the last one. */
#define ZAP_FRAMES      7
#define ZAP_REQUEST_ID  1 /* index of the frame that the reply repeats */
#define CURVE_KEY_BYTES 32

struct mst_bus_auth {
	const struct mst_curve_keys *keys;
	void *socket; /* REP */
	uv_poll_t poll;
};

void
mst_bus_auth_set_client(void *socket, const struct mst_curve_keys *keys)
{
	if (keys->secret_key == NULL)
		return;
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, keys->public_key,
	    strlen(keys->public_key) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
	    strlen(keys->public_key) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
	    strlen(keys->secret_key) + 1);
}

void
mst_bus_auth_set_server(void *socket, const struct mst_curve_keys *keys)
{
	int on = 1;

	if (keys->secret_key == NULL)
		return;
	zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof(on));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
	    strlen(keys->secret_key) + 1);
}

/* Returns true if a frame is the shared key. */
static bool
is_shared_key(const struct mst_bus_auth *auth, const char *frame, int frame_len)
{
	uint8_t key[CURVE_KEY_BYTES];

	return frame_len == CURVE_KEY_BYTES &&
	    zmq_z85_decode(key, auth->keys->public_key) != NULL &&
	    memcmp(key, frame, CURVE_KEY_BYTES) == 0;
}

static void
handle_request(struct mst_bus_auth *auth)
{
	char frames[ZAP_FRAMES][ZAP_FRAME_MAX];
	int frame_lens[ZAP_FRAMES] = {0};
	int has_more = 1;
	size_t size = sizeof(has_more);
	bool allowed;
	int n = 0;

	while (has_more && n < ZAP_FRAMES) {
		frame_lens[n] = zmq_recv(auth->socket, frames[n],
		    sizeof(frames[n]) - 1, ZMQ_DONTWAIT);
		if (frame_lens[n] < 0)
			return;
		n++;
		zmq_getsockopt(auth->socket, ZMQ_RCVMORE, &has_more, &size);
	}
	allowed = n == ZAP_FRAMES &&
	    is_shared_key(
		auth, frames[ZAP_FRAMES - 1], frame_lens[ZAP_FRAMES - 1]);
	if (!allowed)
		mst_log(MST_LOG_WARNING, "member-key-refused", "parts=%d", n);
	zmq_send(auth->socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(auth->socket, frames[ZAP_REQUEST_ID],
	    (size_t)MAX(frame_lens[ZAP_REQUEST_ID], 0), ZMQ_SNDMORE);
	zmq_send(auth->socket, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(auth->socket, "", 0, ZMQ_SNDMORE);
	zmq_send(auth->socket, "", 0, ZMQ_SNDMORE);
	zmq_send(auth->socket, "", 0, 0);
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct mst_bus_auth *auth = poll->data;
	int zmq_events = 0;
	size_t len = sizeof(zmq_events);

	for (;;) {
		zmq_getsockopt(auth->socket, ZMQ_EVENTS, &zmq_events, &len);
		if (!(zmq_events & ZMQ_POLLIN))
			return;
		handle_request(auth);
	}
}

struct mst_bus_auth *
mst_bus_auth_new(
    void *context, uv_loop_t *loop, const struct mst_curve_keys *keys)
{
	struct mst_bus_auth *auth;
	int fd = -1;
	size_t len = sizeof(fd);

	if (keys->secret_key == NULL)
		return NULL;
	auth = g_new0(struct mst_bus_auth, 1);
	auth->keys = keys;
	auth->socket = zmq_socket(context, ZMQ_REP);
	zmq_bind(auth->socket, ZAP_ENDPOINT);
	zmq_getsockopt(auth->socket, ZMQ_FD, &fd, &len);
	uv_poll_init(loop, &auth->poll, fd);
	auth->poll.data = auth;
	uv_poll_start(&auth->poll, UV_READABLE, on_poll);
	return auth;
}

void
mst_bus_auth_close(struct mst_bus_auth *auth)
{
	if (auth != NULL)
		uv_close((uv_handle_t *)&auth->poll, NULL);
}

void
mst_bus_auth_free(struct mst_bus_auth *auth)
{
	if (auth == NULL)
		return;
	zmq_close(auth->socket);
	g_free(auth);
}
