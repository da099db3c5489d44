#include "base/input_fault.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"

#define LOG_INTERVAL_US (60 * G_USEC_PER_SEC) /* between equal lines */
/* Faults that are remembered as logged; while there are more, those that are
 * new are only counted. */
#define LOGGED_MAX 1024

static const char *const kind_names[INPUT_KIND_MAX] = {
    [INPUT_REPORT] = "report",
    [INPUT_ORDER_ANSWER] = "order-answer",
    [INPUT_STORE_ANSWER] = "store-answer",
    [INPUT_CONFIG] = "config",
    [INPUT_DRAIN] = "drain",
    [INPUT_ENTRY_ADDRESS] = "entry-address",
    [INPUT_CANCEL] = "cancel",
    [INPUT_JOB] = "job",
    [INPUT_RECORD] = "record",
    [INPUT_OWNER] = "owner",
    [INPUT_KEPT_REPORT] = "kept-report",
    [INPUT_KEPT_CRASH] = "kept-crash"};

static const char *const fault_names[INPUT_FAULT_KIND_MAX] = {[0] = "none",
    [INPUT_FAULT_SYNTAX] = "syntax",
    [INPUT_FAULT_ENCODING] = "encoding",
    [INPUT_FAULT_MISSING] = "missing",
    [INPUT_FAULT_TYPE] = "type",
    [INPUT_FAULT_RANGE] = "range",
    [INPUT_FAULT_LENGTH] = "length",
    [INPUT_FAULT_NAME] = "name",
    [INPUT_FAULT_ADDRESS] = "address",
    [INPUT_FAULT_METHOD] = "method"};

static uint64_t counts[INPUT_KIND_MAX][INPUT_FAULT_KIND_MAX];
static GHashTable *logged; /* hash of a fault -> time of its line, int64_t * */

const char *
input_kind_name(int kind)
{
	return kind_names[kind];
}

const char *
input_fault_kind_name(int kind)
{
	return fault_names[kind];
}

uint64_t
input_fault_count(int kind, int fault_kind)
{
	return counts[kind][fault_kind];
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer now_us)
{
	return *(int64_t *)now_us - *(int64_t *)value >= LOG_INTERVAL_US;
}

/* Returns whether a line is due for the fault with a hash, and remembers it as
 * logged then. */
static bool
take_line(uint64_t hash)
{
	int64_t now_us = mst_clock_us();
	int64_t *logged_us;

	if (logged == NULL)
		logged = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, g_free);
	logged_us = g_hash_table_lookup(logged, &hash);
	if (logged_us != NULL && now_us - *logged_us < LOG_INTERVAL_US)
		return false;
	if (g_hash_table_size(logged) >= LOGGED_MAX)
		g_hash_table_foreach_remove(logged, is_outdated, &now_us);
	if (g_hash_table_size(logged) >= LOGGED_MAX)
		return false;
	g_hash_table_replace(logged, g_memdup2(&hash, sizeof(hash)),
	    g_memdup2(&now_us, sizeof(now_us)));
	return true;
}

void
input_fault_report(
    enum input_kind kind, const char *name, const struct input_fault *fault)
{
	uint64_t hash = XXH64(
	    name, strlen(name), (uint64_t)kind << 8 | (uint64_t)fault->kind);

	counts[kind][fault->kind]++;
	if (!take_line(hash))
		return;
	mst_log(MST_LOG_WARNING, "input-refused",
	    "input=%s fault=%s field=%s name=%s", kind_names[kind],
	    fault_names[fault->kind], fault->field ? fault->field : "",
	    mst_log_quote(name));
}
