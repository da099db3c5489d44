#ifndef MST_CODEC_PAYLOAD_H
#define MST_CODEC_PAYLOAD_H

/*
 * Packs and reads the payloads of messages. The fields of a message never
 * change; new ones are appended, and messages that end before them are valid,
 * so that builds of before and after the change understand each other.
 */

#include "codec/fields.h"

/* payload_member.c */
void codec_put_announce(msgpack_packer *pk, const struct mst_announce *m);
void codec_get_announce(struct codec_reader *r, struct mst_announce *m);
void codec_put_heartbeat(msgpack_packer *pk, const struct mst_heartbeat *m);
void codec_get_heartbeat(struct codec_reader *r, struct mst_heartbeat *m);
void codec_put_peer(msgpack_packer *pk, const struct mst_peer *m);
void codec_get_peer(struct codec_reader *r, struct mst_peer *m);
void codec_put_crashes(msgpack_packer *pk, const struct mst_crashes *m);
void codec_get_crashes(struct codec_reader *r, struct mst_crashes *m);
/* Returns the number of fields that a message has after those of the first
 * format. */
uint32_t codec_count_appended(const struct mst_msg *msg);

/* payload_task.c */
void codec_put_dispatch(msgpack_packer *pk, const struct mst_dispatch *m);
void codec_get_dispatch(struct codec_reader *r, struct mst_dispatch *m);
void codec_put_results(msgpack_packer *pk, const struct mst_results *m);
void codec_get_results(struct codec_reader *r, struct mst_results *m);
/* Returns the number of fields that follow those of the first format. */
uint32_t codec_count_appended_to_results(const struct mst_results *m);
void codec_put_uncertain_starts(
    msgpack_packer *pk, const struct mst_uncertain_starts *m);
void codec_get_uncertain_starts(
    struct codec_reader *r, struct mst_uncertain_starts *m);
/* Packs each job and agent of items in a row once. */
void codec_put_backup_starts(
    msgpack_packer *pk, const struct mst_backup_starts *m);
void codec_get_backup_starts(
    struct codec_reader *r, struct mst_backup_starts *m);
void codec_put_fenced(msgpack_packer *pk, const struct mst_fenced *m);
void codec_get_fenced(struct codec_reader *r, struct mst_fenced *m);

#endif
