#ifndef MST_EXPERIMENT_H
#define MST_EXPERIMENT_H

/* Shapes and variants of an experiment. */

#include "sim/load.h"

/* Parameters that a play uses. */
struct variant {
	const char *name;
	struct mst_tuning tuning;
	char *config; /* JSON of the configuration, or NULL */
};

/* shapes.c */
/* Reads a shape from a JSON file. Aborts if the file is invalid. */
struct load_shape *shape_load(const char *path);
/* Adds the shapes of all files in a directory, in the order of their names. */
void shapes_load_all(GPtrArray *shapes, const char *directory);
/* Adds two shapes that are drawn from a seed. */
void shapes_draw(GPtrArray *shapes, uint32_t seed);

/* variant.c */
/* Names of the parameters that switch a mechanism on; ends with NULL. */
extern const char *const experiment_switches[];

void variant_init(struct variant *variant, const char *name);
/* Sets a parameter by its name. Returns false if the name or value is
 * invalid. */
bool variant_set(struct variant *variant, const char *name, const char *value);

#endif
