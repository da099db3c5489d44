#ifndef MST_RESOURCES_H
#define MST_RESOURCES_H

/* Schema of the resources in settings files and in jobs. */

#include "settings/schema.h"

/* Fields of struct mst_resources; ends with a NULL name. */
extern const struct schema_field schema_resource_fields[];

#endif
