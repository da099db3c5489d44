#include "experiment.h"

#include <cjson/cJSON.h>
#include <math.h>
#include <string.h>

static double
get_number(const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (!cJSON_IsNumber(item))
		g_error("the number \"%s\" is missing", name);
	return item->valuedouble;
}

static void
copy_string(char *out, size_t size, const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (!cJSON_IsString(item))
		g_error("the text \"%s\" is missing", name);
	g_strlcpy(out, item->valuestring, size);
}

/* Returns an optional number, or 0. */
static double
get_optional(const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	return cJSON_IsNumber(item) ? item->valuedouble : 0;
}

/* Reads up to LOAD_SPEEDS_MAX numbers. Returns their count. */
static unsigned
read_factors(double *factors, const cJSON *json, const char *name)
{
	const cJSON *item;
	unsigned count = 0;

	cJSON_ArrayForEach (
	    item, cJSON_GetObjectItemCaseSensitive(json, name)) {
		if (count < LOAD_SPEEDS_MAX)
			factors[count++] = item->valuedouble;
	}
	return count;
}

static void
read_kinds(struct load_shape *shape, const cJSON *json)
{
	const cJSON *item;

	cJSON_ArrayForEach (
	    item, cJSON_GetObjectItemCaseSensitive(json, "kinds")) {
		struct load_kind *kind = &shape->kinds[shape->kind_count];

		if (shape->kind_count == LOAD_KINDS_MAX)
			break;
		shape->kind_count++;
		copy_string(kind->queue, sizeof(kind->queue), item, "queue");
		kind->tasks = (uint32_t)get_number(item, "tasks");
		kind->service_ms = get_number(item, "service_ms");
		kind->weight = get_number(item, "weight");
		kind->priority = (uint32_t)get_number(item, "priority");
		kind->deadline_ms = get_optional(item, "deadline_ms");
	}
}

static void
read_optional(struct load_shape *shape, const cJSON *json)
{
	const cJSON *waves = cJSON_GetObjectItemCaseSensitive(json, "waves");

	shape->entry_weight_count =
	    read_factors(shape->entry_weights, json, "entry_weights");
	shape->slot_factor_count =
	    read_factors(shape->slot_factors, json, "slot_factors");
	shape->straggler_share = get_optional(json, "straggler_share");
	shape->straggler_factor = get_optional(json, "straggler_factor");
	shape->useless_stretch = get_optional(json, "useless_stretch");
	if (waves == NULL)
		return;
	shape->waves.domains = (unsigned)get_number(waves, "domains");
	shape->waves.period_ms = get_number(waves, "period_ms");
}

static struct load_shape *
shape_from_json(const cJSON *json)
{
	struct load_shape *shape = g_new0(struct load_shape, 1);

	copy_string(shape->name, sizeof(shape->name), json, "name");
	shape->entries = (int)get_number(json, "entries");
	shape->workers = (int)get_number(json, "workers");
	shape->slots = (unsigned)get_number(json, "slots");
	shape->factor_count =
	    read_factors(shape->service_factors, json, "service_factors");
	read_kinds(shape, json);
	shape->service_sigma = get_number(json, "service_sigma");
	shape->declared_sigma = get_number(json, "declared_sigma");
	shape->base_load = get_number(json, "base_load");
	shape->peak_load = get_number(json, "peak_load");
	shape->stretch = get_number(json, "stretch");
	shape->target_ms = get_number(json, "target_ms");
	shape->deadline_ms = get_number(json, "deadline_ms");
	read_optional(shape, json);
	return shape;
}

struct load_shape *
shape_load(const char *path)
{
	struct load_shape *shape;
	GError *error = NULL;
	char *text = NULL;
	cJSON *json;

	if (!g_file_get_contents(path, &text, NULL, &error))
		g_error("%s", error->message);
	json = cJSON_Parse(text);
	if (json == NULL)
		g_error("%s is not valid JSON", path);
	shape = shape_from_json(json);
	cJSON_Delete(json);
	g_free(text);
	return shape;
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void
shapes_load_all(GPtrArray *shapes, const char *directory)
{
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	GError *error = NULL;
	GDir *dir = g_dir_open(directory, 0, &error);
	const char *name;
	guint i;

	if (dir == NULL)
		g_error("%s", error->message);
	while ((name = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(name, ".json"))
			g_ptr_array_add(
			    paths, g_build_filename(directory, name, NULL));
	}
	g_dir_close(dir);
	g_ptr_array_sort(paths, compare_names);
	for (i = 0; i < paths->len; i++)
		g_ptr_array_add(shapes, shape_load(paths->pdata[i]));
	g_ptr_array_unref(paths);
}

/* Returns a value between two positive bounds, uniform in its logarithm. */
static double
draw_between(GRand *rand, double min, double max)
{
	return min * pow(max / min, g_rand_double(rand));
}

static struct load_shape *
draw_shape(GRand *rand, uint32_t seed, int number)
{
	struct load_shape *shape = g_new0(struct load_shape, 1);
	unsigned i;

	g_snprintf(
	    shape->name, sizeof(shape->name), "drawn-%u-%d", seed, number);
	shape->entries = g_rand_int_range(rand, 2, 9);
	shape->workers = g_rand_int_range(rand, 6, 31);
	shape->slots = (unsigned)g_rand_int_range(rand, 5, 17);
	shape->factor_count = (unsigned)g_rand_int_range(rand, 1, 6);
	for (i = 0; i < shape->factor_count; i++)
		shape->service_factors[i] = draw_between(rand, 0.5, 2);
	shape->kind_count = (unsigned)g_rand_int_range(rand, 1, 5);
	for (i = 0; i < shape->kind_count; i++) {
		struct load_kind *kind = &shape->kinds[i];

		g_snprintf(kind->queue, sizeof(kind->queue), "kind%u", i);
		kind->tasks = (uint32_t)g_rand_int_range(rand, 1, 17);
		kind->service_ms = draw_between(rand, 30, 1000);
		kind->weight = draw_between(rand, 1, 100);
		kind->priority = (uint32_t)g_rand_int_range(rand, 0, 4);
	}
	shape->service_sigma = g_rand_double_range(rand, 0.1, 0.6);
	shape->declared_sigma = g_rand_double_range(rand, 0.1, 0.6);
	shape->base_load = g_rand_double_range(rand, 0.4, 0.7);
	shape->peak_load = g_rand_double_range(rand, 0.7, 1.2);
	shape->stretch = g_rand_double_range(rand, 1.4, 3);
	shape->target_ms = draw_between(rand, 30, 200);
	shape->deadline_ms = draw_between(rand, 1000, 6000);
	return shape;
}

void
shapes_draw(GPtrArray *shapes, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);

	g_ptr_array_add(shapes, draw_shape(rand, seed, 1));
	g_ptr_array_add(shapes, draw_shape(rand, seed, 2));
	g_rand_free(rand);
}
