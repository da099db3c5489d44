#ifndef MST_CONFIG_PULL_H
#define MST_CONFIG_PULL_H

/*
 * When to ask for a newer configuration. Messages that flow anyway name the
 * version of their sender. A process that hears of a newer one asks one sender
 * at a time for it, so that a change costs one copy for each process, however
 * many senders tell of it.
 */

#include <stdbool.h>
#include <stdint.h>

struct mst_config_pull {
	bool waiting;     /* a request has not been answered yet */
	int64_t asked_us; /* time of that request */
};

/* Returns true if the sender that offers a version should be asked for it now,
 * and remembers that it is. */
bool mst_config_pull_ask(struct mst_config_pull *pull, int64_t now_us,
    uint64_t present, uint64_t offered);

/* Ends the wait for an answer, because a configuration has arrived. */
void mst_config_pull_finish(struct mst_config_pull *pull);

#endif
