#include "settings/resources.h"

#include <masticstall/message.h>
#include <math.h>

#define CORES_MAX           4096
#define MILLICORES_PER_CORE 1000

/* Reads a number of cores, possibly a fraction, as thousandths of a core. */
static void
read_cores(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	uint32_t *millicores = out;

	if (!cJSON_IsNumber(value) || value->valuedouble < 0 ||
	    value->valuedouble > CORES_MAX) {
		schema_add_error(
		    errors, pointer, "is not a number from 0 to %d", CORES_MAX);
		return;
	}
	*millicores =
	    (uint32_t)lround(value->valuedouble * MILLICORES_PER_CORE);
}

const struct schema_field schema_resource_fields[] = {
    {.name = "cores",
	.kind = SCHEMA_CUSTOM,
	.offset = offsetof(struct mst_resources, millicores),
	.custom = read_cores},
    SCHEMA_UINT_FIELD("memory_mb", struct mst_resources, memory_mb, 0, 1 << 30),
    SCHEMA_UINT_FIELD(
	"accelerators", struct mst_resources, accelerators, 0, 1024),
    {0}};
