#include "core/entry_choice.h"

#include <string.h>
#include <xxhash.h>

/* Silence after which the next entry in rank is used in addition. Longer than
 * the restart of a process. */
#define CANDIDATE_SILENT_US (3 * G_USEC_PER_SEC)
/* Time after which a silent address that nobody names is forgotten. */
#define CANDIDATE_FORGET_US (60 * G_USEC_PER_SEC)
/* Addresses that are known at a time; more are ignored. */
#define CANDIDATES_MAX 1024
/* Of these, those that only the store names and that were never reached. */
#define UNPROVEN_MAX 512
/* Unproven ones that are connected to at a time. */
#define TRIALS_MAX 16
/* Connections, lost ones included, for each live entry that is wanted. */
#define CONNECTIONS_PER_ENTRY 2

struct candidate {
	char *address;
	uint64_t rank; /* the lowest is used first */
	bool configured;
	bool proven; /* reached, or not named by the store alone */
	bool connected;
	bool wanted;
	bool on_trial;        /* not proven, but may be connected to now */
	int64_t connected_us; /* 0: never */
	int64_t heard_us;     /* 0: never */
	int64_t named_us;
};

struct mst_entry_choice {
	struct mst_entry_choice_options options;
	uint64_t seed;
	GPtrArray *ranked;  /* struct candidate, by rank */
	GPtrArray *learnt;  /* struct candidate, in the order of their names */
	GPtrArray *trials;  /* struct candidate, all that are not proven */
	GString *addresses; /* proven ones of learnt, comma-separated */
};

struct mst_entry_choice *
mst_entry_choice_new(const struct mst_entry_choice_options *options)
{
	struct mst_entry_choice *choice = g_new0(struct mst_entry_choice, 1);

	choice->options = *options;
	choice->seed = XXH64(options->name, strlen(options->name), 0);
	choice->ranked = g_ptr_array_new();
	choice->learnt = g_ptr_array_new();
	choice->trials = g_ptr_array_new();
	choice->addresses = g_string_new(NULL);
	return choice;
}

static void
candidate_free(struct candidate *candidate)
{
	g_free(candidate->address);
	g_free(candidate);
}

void
mst_entry_choice_free(struct mst_entry_choice *choice)
{
	guint i;

	if (choice == NULL)
		return;
	for (i = 0; i < choice->learnt->len; i++)
		candidate_free(choice->learnt->pdata[i]);
	g_ptr_array_unref(choice->ranked);
	g_ptr_array_unref(choice->learnt);
	g_ptr_array_unref(choice->trials);
	g_string_free(choice->addresses, TRUE);
	g_free(choice);
}

static struct candidate *
find_candidate(const struct mst_entry_choice *choice, const char *address)
{
	guint i;

	for (i = 0; i < choice->learnt->len; i++) {
		struct candidate *candidate = choice->learnt->pdata[i];

		if (strcmp(candidate->address, address) == 0)
			return candidate;
	}
	return NULL;
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = *(const struct candidate *const *)a;
	const struct candidate *right = *(const struct candidate *const *)b;

	return left->rank < right->rank ? -1 : left->rank > right->rank;
}

static void
append_address(GString *addresses, const char *address)
{
	if (addresses->len > 0)
		g_string_append_c(addresses, ',');
	g_string_append(addresses, address);
}

static struct candidate *
add_candidate(struct mst_entry_choice *choice, const char *address)
{
	struct candidate *candidate = g_new0(struct candidate, 1);

	candidate->address = g_strdup(address);
	candidate->rank = XXH64(address, strlen(address), choice->seed);
	g_ptr_array_add(choice->learnt, candidate);
	g_ptr_array_add(choice->ranked, candidate);
	g_ptr_array_sort(choice->ranked, compare_ranks);
	g_ptr_array_add(choice->trials, candidate);
	return candidate;
}

static void
set_proven(struct mst_entry_choice *choice, struct candidate *candidate)
{
	if (candidate->proven)
		return;
	candidate->proven = true;
	g_ptr_array_remove(choice->trials, candidate);
	append_address(choice->addresses, candidate->address);
}

bool
mst_entry_choice_add(struct mst_entry_choice *choice, const char *address,
    enum mst_entry_source source, int64_t now_us)
{
	struct candidate *candidate = find_candidate(choice, address);

	if (candidate == NULL &&
	    (choice->learnt->len >= CANDIDATES_MAX ||
		(source == MST_ENTRY_STORED &&
		    choice->trials->len >= UNPROVEN_MAX)))
		return false;
	if (candidate == NULL)
		candidate = add_candidate(choice, address);
	if (source != MST_ENTRY_STORED)
		set_proven(choice, candidate);
	candidate->configured |= source == MST_ENTRY_CONFIGURED;
	candidate->named_us = now_us;
	return true;
}

void
mst_entry_choice_reach(struct mst_entry_choice *choice, const char *address)
{
	struct candidate *candidate = find_candidate(choice, address);

	if (candidate != NULL)
		set_proven(choice, candidate);
}

void
mst_entry_choice_hear(
    struct mst_entry_choice *choice, const char *address, int64_t heard_us)
{
	struct candidate *candidate = find_candidate(choice, address);

	if (candidate == NULL)
		return;
	candidate->heard_us = MAX(candidate->heard_us, heard_us);
	if (heard_us > 0)
		set_proven(choice, candidate);
}

void
mst_entry_choice_release(struct mst_entry_choice *choice, const char *address)
{
	struct candidate *candidate = find_candidate(choice, address);

	if (candidate != NULL)
		candidate->connected = false;
}

/* Returns true if an entry has been heard from lately, or may be soon. */
static bool
is_live(const struct candidate *candidate, int64_t now_us)
{
	int64_t since_us = MAX(candidate->heard_us, candidate->connected_us);

	return !candidate->connected || now_us - since_us < CANDIDATE_SILENT_US;
}

static bool
is_forgotten(const struct candidate *candidate, int64_t now_us)
{
	return !candidate->configured &&
	    now_us - MAX(candidate->heard_us, candidate->named_us) >=
	    CANDIDATE_FORGET_US;
}

static void
forget_candidates(struct mst_entry_choice *choice, int64_t now_us)
{
	GPtrArray *learnt = choice->learnt;
	guint i = 0;

	while (i < learnt->len) {
		struct candidate *candidate = learnt->pdata[i];

		if (!is_forgotten(candidate, now_us)) {
			i++;
			continue;
		}
		if (candidate->connected)
			choice->options.disconnect(
			    candidate->address, choice->options.ctx);
		g_ptr_array_remove(choice->ranked, candidate);
		g_ptr_array_remove(choice->trials, candidate);
		g_ptr_array_remove_index(learnt, i);
		candidate_free(candidate);
	}
	g_string_truncate(choice->addresses, 0);
	for (i = 0; i < learnt->len; i++) {
		const struct candidate *candidate = learnt->pdata[i];

		if (candidate->proven)
			append_address(choice->addresses, candidate->address);
	}
}

/* Orders candidates that are not proven: first those whose trial goes on, then
 * those that were never tried, then the others by the time of their last trial.
 */
static gint
compare_trials(gconstpointer a, gconstpointer b, gpointer now_us)
{
	const struct candidate *left = *(const struct candidate *const *)a;
	const struct candidate *right = *(const struct candidate *const *)b;
	bool left_goes_on =
	    left->connected && is_live(left, *(int64_t *)now_us);
	bool right_goes_on =
	    right->connected && is_live(right, *(int64_t *)now_us);

	if (left_goes_on != right_goes_on)
		return left_goes_on ? -1 : 1;
	if (left->connected_us != right->connected_us)
		return left->connected_us < right->connected_us ? -1 : 1;
	return compare_ranks(a, b);
}

/* Chooses which candidates that are not proven may be connected to. If there
 * are more than TRIALS_MAX, they take turns. */
static void
choose_trials(struct mst_entry_choice *choice, int64_t now_us)
{
	guint i;

	if (choice->trials->len > TRIALS_MAX)
		g_ptr_array_sort_with_data(
		    choice->trials, compare_trials, &now_us);
	for (i = 0; i < choice->trials->len; i++) {
		struct candidate *candidate = choice->trials->pdata[i];

		candidate->on_trial = i < TRIALS_MAX;
	}
}

static void
connect_candidate(struct mst_entry_choice *choice, struct candidate *candidate,
    int64_t now_us)
{
	candidate->connected = true;
	candidate->wanted = true;
	candidate->connected_us = now_us;
	candidate->heard_us = 0;
	choice->options.connect(candidate->address, choice->options.ctx);
}

static void
apply_choice(struct mst_entry_choice *choice, struct candidate *candidate,
    bool wanted, int64_t now_us)
{
	bool was_wanted = candidate->wanted;

	if (wanted && !candidate->connected) {
		connect_candidate(choice, candidate, now_us);
		return;
	}
	candidate->wanted = wanted;
	/* Told again until it is released: a new incarnation may have taken
	 * the place of the one that was told. */
	if (candidate->connected && (!wanted || !was_wanted))
		choice->options.set_wanted(
		    candidate->address, wanted, choice->options.ctx);
}

void
mst_entry_choice_update(struct mst_entry_choice *choice, int64_t now_us)
{
	uint32_t max = choice->options.max;
	uint32_t live = 0, used = 0, tried = 0;
	guint i;

	forget_candidates(choice, now_us);
	choose_trials(choice, now_us);
	for (i = 0; i < choice->ranked->len; i++) {
		struct candidate *candidate = choice->ranked->pdata[i];
		bool wanted;

		if (candidate->proven) {
			wanted = max == 0 ||
			    (live < max && used < max * CONNECTIONS_PER_ENTRY);
			live += wanted && is_live(candidate, now_us);
			used += wanted;
		} else {
			wanted = candidate->on_trial &&
			    (max == 0 || live + tried < max);
			tried += wanted && is_live(candidate, now_us);
		}
		apply_choice(choice, candidate, wanted, now_us);
	}
}

guint
mst_entry_choice_count(const struct mst_entry_choice *choice)
{
	return choice->learnt->len;
}

const char *
mst_entry_choice_addresses(const struct mst_entry_choice *choice)
{
	return choice->addresses->str;
}
