#include "core/config_pull.h"

/* Time after which another sender is asked. The first one may be lost. */
#define PULL_TIMEOUT_US (300 * 1000)

bool
mst_config_pull_ask(struct mst_config_pull *pull, int64_t now_us,
    uint64_t present, uint64_t offered)
{
	if (offered <= present)
		return false;
	if (pull->waiting && now_us - pull->asked_us < PULL_TIMEOUT_US)
		return false;
	pull->waiting = true;
	pull->asked_us = now_us;
	return true;
}

void
mst_config_pull_finish(struct mst_config_pull *pull)
{
	pull->waiting = false;
}
