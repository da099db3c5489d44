/*
 * Shares of a daemon's machine: the most that clients can make it hold at a
 * time. They leave half of the memory to the daemon's own state, to memory that
 * is freed but not returned, and to copies in use.
 */

#include <masticstall/settings.h>

#include <sys/resource.h>

#define BYTES_PER_MB     (UINT64_C(1) << 20)
#define JOBS_DIVISOR     4
#define INPUT_DIVISOR    8
#define BODY_DIVISOR     16
#define RESULT_DIVISOR   8
#define RESULT_MAX_BYTES (16 * BYTES_PER_MB)
/* Memory for the connections themselves, and of each. */
#define CONNECTIONS_DIVISOR 8
#define CONNECTION_BYTES    16384
/* Of the descriptors. The others are for peers, the store and files. */
#define DESCRIPTORS_FOR_CLIENTS 0.75
/* Descriptors of a process without a limit. */
#define DESCRIPTORS_UNLIMITED (1 << 20)

static uint32_t
count_descriptors(const struct mst_machine_settings *machine)
{
	struct rlimit limit;
	uint32_t own = DESCRIPTORS_UNLIMITED;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
		own = (uint32_t)MIN(limit.rlim_cur, DESCRIPTORS_UNLIMITED);
	return machine->descriptors > 0 ? MIN(machine->descriptors, own) : own;
}

struct mst_shares
mst_settings_shares(const struct mst_settings *settings)
{
	const struct mst_limit_settings *limits = &settings->limits;
	uint64_t memory = settings->machine.memory_mb * BYTES_PER_MB;
	double descriptors = count_descriptors(&settings->machine);
	uint64_t connections = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;

	return (struct mst_shares){.jobs_bytes = MIN(memory / JOBS_DIVISOR,
				       limits->memory_max_mb * BYTES_PER_MB),
	    .input_bytes = memory / INPUT_DIVISOR,
	    .body_bytes = MIN(memory / BODY_DIVISOR, limits->body_max_bytes),
	    .result_bytes = MIN(memory / RESULT_DIVISOR, RESULT_MAX_BYTES),
	    .connections = (uint32_t)MIN(
		(double)connections, descriptors * DESCRIPTORS_FOR_CLIENTS)};
}
