#ifndef MST_CODEC_H
#define MST_CODEC_H

#include <glib.h>
#include <masticstall/message.h>

#define MST_CODEC_ERROR mst_codec_error_quark()

enum mst_codec_error {
	MST_CODEC_ERROR_MALFORMED,
	MST_CODEC_ERROR_VERSION, /* not MST_MSG_VERSION */
	MST_CODEC_ERROR_TYPE,    /* a type that this build doesn't know */
	MST_CODEC_ERROR_TOO_LONG /* more than MST_MSG_MAX_BYTES */
};

GQuark mst_codec_error_quark(void);

/** Decodes messages; owns the memory that the last message points to. */
struct mst_decoder;

struct mst_decoder *mst_decoder_new(void);
void mst_decoder_free(struct mst_decoder *decoder);

/**
 * Decodes one message. The message points into the input and into the decoder's
 * memory; it is valid until the decoder is used again or the input is freed.
 * Fields after those that this build knows are skipped.
 *
 * @param msg receives the message; cleared first. If the version or the type is
 *     not known, it receives the sender and the receiver nevertheless.
 * @param decoder reused for any number of messages
 * @param data encoded bytes
 * @param len number of encoded bytes, at most MST_MSG_MAX_BYTES
 * @param error an MST_CODEC_ERROR on failure
 * @return 0, or -1 on failure
 */
int mst_decoder_decode(struct mst_msg *msg, struct mst_decoder *decoder,
    const void *data, size_t len, GError **error);

/**
 * Encodes one message.
 *
 * @param out the encoded bytes are appended to it
 * @param msg the message to encode
 */
void mst_msg_encode(GByteArray *out, const struct mst_msg *msg);

#endif
