#ifndef MST_RESOURCES_H
#define MST_RESOURCES_H

/* How resources stand in settings and in jobs. */

#include "settings/schema.h"

/* Fields of a struct mst_resources. */
extern const struct schema_field schema_resource_fields[];

#endif
