#ifndef MST_TEST_WIRE_SAMPLES_H
#define MST_TEST_WIRE_SAMPLES_H

/* One message of each type with a value in every field of the first format. */

#include <masticstall/message.h>

/* Fills in the message of a type. Its pointers refer to static data. */
void wire_sample(struct mst_msg *out, enum mst_msg_type type);

#endif
