/*
 * Tests of the message codec: a heartbeat survives encoding and decoding, and
 * messages of other versions or with malformed content are rejected.
 */

#include <glib.h>
#include <string.h>

#include "codec/codec.h"

#define SEED               20261203
#define CORRUPTED_MESSAGES 20000

static void
encode_heartbeat(GByteArray *out)
{
	static const uint64_t agents[] = {7, 9};
	static struct mst_range ranges[] = {{5, 6}, {8, 8}};
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT, .from = 1, .to = 2};

	msg.heartbeat.roster_version = 3;
	msg.heartbeat.agents = agents;
	msg.heartbeat.agent_count = 2;
	msg.heartbeat.sent_through = 10;
	msg.heartbeat.results_received =
	    (struct mst_seqset){.frontier = 2, .ranges = ranges, .count = 2};
	msg.heartbeat.peers = mst_bytes_from_str("127.0.0.1:1");
	mst_msg_encode(out, &msg);
}

static void
codec__heartbeat_round_trip(void)
{
	GByteArray *bytes = g_byte_array_new();
	struct mst_decoder *decoder = mst_decoder_new();
	struct mst_msg msg;

	encode_heartbeat(bytes);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	g_assert_cmpuint(msg.from, ==, 1);
	g_assert_cmpuint(msg.heartbeat.agents[1], ==, 9);
	g_assert_cmpuint(msg.heartbeat.results_received.ranges[0].last, ==, 6);
	g_assert_true(mst_seqset_contains(&msg.heartbeat.results_received, 8));
	g_assert_false(mst_seqset_contains(&msg.heartbeat.results_received, 7));
	mst_decoder_free(decoder);
	g_byte_array_unref(bytes);
}

static void
codec__rejects_other_versions(void)
{
	/* MessagePack arrays: [version, type, from, to] */
	static const uint8_t messages[][5] = {
	    {0x94, MST_MSG_VERSION - 1, 2, 1, 2},
	    {0x94, MST_MSG_VERSION + 1, 2, 1, 2}};
	struct mst_decoder *decoder = mst_decoder_new();
	GError *error = NULL;
	struct mst_msg msg;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(messages); i++) {
		g_assert_cmpint(mst_decoder_decode(&msg, decoder, messages[i],
				    sizeof(messages[i]), &error),
		    ==, -1);
		g_assert_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_VERSION);
		g_clear_error(&error);
	}
	mst_decoder_free(decoder);
}

/*
 * Guards against trusting lengths declared by the sender: the messages declare
 * 2^32 - 1 elements or bytes, but end after their headers.
 */
static void
codec__rejects_oversized_lengths(void)
{
	static const uint8_t array[] = {0xdd, 0xff, 0xff, 0xff, 0xff};
	static const uint8_t binary[] = {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff};
	struct mst_decoder *decoder = mst_decoder_new();
	struct mst_msg msg;

	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, array, sizeof(array), NULL), ==,
	    -1);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, binary, sizeof(binary), NULL), ==,
	    -1);
	mst_decoder_free(decoder);
}

/*
 * Overwrites three random bytes of a message and truncates half of the messages
 * at a random length. Decoding must not crash, and must reject more than half.
 */
static void
codec__corrupted_messages_do_not_crash(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();
	struct mst_msg msg;
	unsigned rejected = 0;
	int i, j;

	for (i = 0; i < CORRUPTED_MESSAGES; i++) {
		g_byte_array_set_size(bytes, 0);
		encode_heartbeat(bytes);
		for (j = 0; j < 3; j++)
			bytes->data[g_rand_int_range(
			    rand, 0, (gint32)bytes->len)] =
			    (guint8)g_rand_int_range(rand, 0, 256);
		if (g_rand_boolean(rand))
			g_byte_array_set_size(bytes,
			    (guint)g_rand_int_range(
				rand, 0, (gint32)bytes->len));
		rejected += mst_decoder_decode(&msg, decoder, bytes->data,
				bytes->len, NULL) < 0;
	}
	g_assert_cmpuint(rejected, >, CORRUPTED_MESSAGES / 2);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
	g_rand_free(rand);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/codec/heartbeat", codec__heartbeat_round_trip);
	g_test_add_func("/codec/version", codec__rejects_other_versions);
	g_test_add_func("/codec/sizes", codec__rejects_oversized_lengths);
	g_test_add_func(
	    "/codec/corrupted", codec__corrupted_messages_do_not_crash);
	return g_test_run();
}
