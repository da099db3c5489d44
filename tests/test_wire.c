/*
 * Guards the format of messages. Builds of two releases run side by side, so
 * the bytes of the first format never change, fields are only added, and each
 * addition is recorded in wire/current.txt (MST_GOLDEN_UPDATE=1 rewrites it).
 */

#include <glib.h>
#include <string.h>

#include "codec/codec.h"
#include "support/wire_samples.h"

#define VERSION "1.2.3"

/* Appends "name bytes in hexadecimal" to the text. */
static void
append_record(GString *text, const char *name, const GByteArray *bytes)
{
	guint i;

	g_string_append_printf(text, "%s ", name);
	for (i = 0; i < bytes->len; i++)
		g_string_append_printf(text, "%02x", bytes->data[i]);
	g_string_append_c(text, '\n');
}

static GByteArray *
bytes_from_hex(const char *hex)
{
	GByteArray *bytes = g_byte_array_new();
	guint8 byte;

	for (; hex[0] != '\0' && hex[1] != '\0'; hex += 2) {
		byte = (guint8)(g_ascii_xdigit_value(hex[0]) << 4 |
		    g_ascii_xdigit_value(hex[1]));
		g_byte_array_append(bytes, &byte, 1);
	}
	return bytes;
}

/* Decodes a recorded message and encodes it again. */
static void
assert_round_trip(const char *name, const char *hex)
{
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = bytes_from_hex(hex);
	GByteArray *again = g_byte_array_new();
	GError *error = NULL;
	struct mst_msg msg;

	mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, &error);
	g_assert_no_error(error);
	g_assert_cmpstr(mst_msg_type_name(msg.type), ==, name);
	mst_msg_encode(again, &msg);
	g_assert_cmpmem(again->data, again->len, bytes->data, bytes->len);
	g_byte_array_unref(again);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

/* Every type of message as the first build with this format has encoded it. */
static void
wire__first_format_is_unchanged(void)
{
	char *text = NULL;
	char **lines;
	int i;

	g_file_get_contents("wire/first.txt", &text, NULL, NULL);
	g_assert_nonnull(text);
	lines = g_strsplit(g_strchomp(text), "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		char *hex = strchr(lines[i], ' ');

		g_assert_nonnull(hex);
		*hex++ = '\0';
		assert_round_trip(lines[i], hex);
	}
	g_assert_cmpint(i, ==, MST_MSG_CRASHES);
	g_strfreev(lines);
	g_free(text);
}

static void
append_sizes(GString *text)
{
	static const struct {
		const char *name;
		size_t size;
	} sizes[] = {{"announce", sizeof(struct mst_announce)},
	    {"heartbeat", sizeof(struct mst_heartbeat)},
	    {"dispatch", sizeof(struct mst_dispatch)},
	    {"dispatch-item", sizeof(struct mst_dispatch_item)},
	    {"result", sizeof(struct mst_results)},
	    {"result-item", sizeof(struct mst_result_item)},
	    {"withdraw", sizeof(struct mst_withdraw)},
	    {"fence", sizeof(struct mst_fence)},
	    {"fenced", sizeof(struct mst_fenced)},
	    {"fenced-item", sizeof(struct mst_fenced_item)},
	    {"peer", sizeof(struct mst_peer)},
	    {"config", sizeof(struct mst_config_msg)},
	    {"config-request", sizeof(struct mst_config_request)},
	    {"crashes", sizeof(struct mst_crashes)},
	    {"crash", sizeof(struct mst_crash)},
	    {"crashed-run", sizeof(struct mst_crashed_run)},
	    {"forward", sizeof(struct mst_forward)},
	    {"forwarded", sizeof(struct mst_forwarded)},
	    {"drains", sizeof(struct mst_drains_msg)},
	    {"build", sizeof(struct mst_build_msg)},
	    {"uncertain-starts", sizeof(struct mst_uncertain_starts)},
	    {"uncertain-item", sizeof(struct mst_uncertain_item)},
	    {"backup-starts", sizeof(struct mst_backup_starts)},
	    {"backup-item", sizeof(struct mst_backup_item)}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		g_string_append_printf(
		    text, "size %s %zu\n", sizes[i].name, sizes[i].size);
}

static void
append_numbers(GString *text)
{
	int i;

	g_string_append_printf(text, "version %d\n", MST_MSG_VERSION);
	g_string_append_printf(text, "features %x\n", MST_FEATURES);
	for (i = 1; i < MST_MSG_MAX; i++)
		g_string_append_printf(
		    text, "type %d %s\n", i, mst_msg_type_name(i));
	for (i = 0; i < MST_REASON_MAX; i++)
		g_string_append_printf(
		    text, "reason %d %s\n", i, mst_reason_name(i));
}

/* Sets the times for which the runs of a crash have lasted. */
static void
set_lasted_times(struct mst_crashes *crashes)
{
	static struct mst_crashed_run runs[4];
	static struct mst_crash items[4];
	uint32_t i, k, used = 0;

	for (i = 0; i < crashes->count; i++) {
		items[i] = crashes->items[i];
		items[i].runs = &runs[used];
		for (k = 0; k < items[i].run_count; k++) {
			runs[used] = crashes->items[i].runs[k];
			runs[used++].lasted_ms = 10 * (i + 1) + k;
		}
	}
	crashes->items = items;
}

static void
add_announce_fields(struct mst_announce *announce, struct mst_build_msg build)
{
	static const uint64_t seqs[] = {11, 12};

	announce->build = build;
	announce->uncertain_seqs = seqs;
	announce->uncertain_count = G_N_ELEMENTS(seqs);
}

static void
add_result_fields(struct mst_results *results)
{
	static const uint64_t seqs[] = {21, 22};
	struct mst_result_item *items =
	    (struct mst_result_item *)results->items;

	items[1].start_uncertain = true;
	results->confirmed_seqs = seqs;
	results->confirmed_count = G_N_ELEMENTS(seqs);
}

static void
add_peer_fields(struct mst_peer *peer, struct mst_build_msg build)
{
	peer->build = build;
	peer->failure_domain = mst_bytes_from_str("east");
}

/* Appends every type of message with the added fields. */
static void
append_messages(GString *text)
{
	const struct mst_build_msg build = {
	    .version = mst_bytes_from_str(VERSION), .features = 5};
	int type;

	for (type = 1; type < MST_MSG_MAX; type++) {
		GByteArray *bytes = g_byte_array_new();
		struct mst_msg msg;

		wire_sample(&msg, (enum mst_msg_type)type);
		if (type == MST_MSG_ANNOUNCE)
			add_announce_fields(&msg.announce, build);
		else if (type == MST_MSG_HEARTBEAT)
			msg.heartbeat.build = build;
		else if (type == MST_MSG_PEER)
			add_peer_fields(&msg.peer, build);
		else if (type == MST_MSG_CRASHES)
			set_lasted_times(&msg.crashes);
		else if (type == MST_MSG_RESULT)
			add_result_fields(&msg.results);
		mst_msg_encode(bytes, &msg);
		append_record(text, mst_msg_type_name(type), bytes);
		g_byte_array_unref(bytes);
	}
}

/*
 * Fails if a structure, a type, a reason, a feature or an encoded field has
 * changed without its record. Whoever records a change also says in
 * docs/design/upgrades.md what builds without it do.
 */
static void
wire__changes_are_recorded(void)
{
	GString *text = g_string_new(NULL);
	char *recorded = NULL;

	append_numbers(text);
	append_sizes(text);
	append_messages(text);
	if (g_getenv("MST_GOLDEN_UPDATE") != NULL)
		g_file_set_contents(
		    "wire/current.txt", text->str, (gssize)text->len, NULL);
	g_file_get_contents("wire/current.txt", &recorded, NULL, NULL);
	g_assert_cmpstr(text->str, ==, recorded);
	g_free(recorded);
	g_string_free(text, TRUE);
}

/* Encodes an array of numbers: version, type, from, to, and further fields. */
static int
decode_numbers(struct mst_msg *msg, struct mst_decoder *decoder,
    const uint8_t *numbers, size_t count, GError **error)
{
	uint8_t bytes[16];

	g_assert_cmpuint(count, <, sizeof(bytes));
	bytes[0] = (uint8_t)(0x90 | count);
	memcpy(bytes + 1, numbers, count);
	return mst_decoder_decode(msg, decoder, bytes, count + 1, error);
}

/* A newer build may append fields to a message. */
static void
wire__further_fields_are_skipped(void)
{
	static const uint8_t numbers[] = {
	    MST_MSG_VERSION, MST_MSG_CONFIG_REQUEST, 1, 2, 17, 99, 98};
	struct mst_decoder *decoder = mst_decoder_new();
	struct mst_msg msg;

	g_assert_cmpint(
	    decode_numbers(&msg, decoder, numbers, G_N_ELEMENTS(numbers), NULL),
	    ==, 0);
	g_assert_cmpuint(msg.config_request.version, ==, 17);
	mst_decoder_free(decoder);
}

/* Each run gets the time at its place in the list, over all crashes. */
static void
wire__lasted_times_belong_to_their_runs(void)
{
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();
	struct mst_msg msg;

	wire_sample(&msg, MST_MSG_CRASHES);
	set_lasted_times(&msg.crashes);
	mst_msg_encode(bytes, &msg);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	g_assert_cmpuint(msg.crashes.items[0].runs[0].lasted_ms, ==, 10);
	g_assert_cmpuint(msg.crashes.items[0].runs[1].lasted_ms, ==, 11);
	g_assert_cmpuint(msg.crashes.items[1].runs[0].lasted_ms, ==, 20);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

/* A type that this build doesn't know is told from a malformed message, and its
 * sender is known, so that it is logged once for each sender. */
static void
wire__unknown_types_name_their_sender(void)
{
	static const uint8_t numbers[] = {
	    MST_MSG_VERSION, MST_MSG_MAX, 11, 12, 17};
	struct mst_decoder *decoder = mst_decoder_new();
	GError *error = NULL;
	struct mst_msg msg;

	g_assert_cmpint(decode_numbers(&msg, decoder, numbers,
			    G_N_ELEMENTS(numbers), &error),
	    ==, -1);
	g_assert_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_TYPE);
	g_assert_cmpuint(msg.from, ==, 11);
	g_clear_error(&error);
	mst_decoder_free(decoder);
}

/* What a newer build has added to outcomes and reasons must not make a whole
 * message of results undecodable: they would be repeated for ever. */
static void
wire__unknown_outcomes_may_have_run(void)
{
	struct mst_result_item item = {.seq = 1,
	    .outcome = MST_OUTCOME_UNKNOWN + 1,
	    .reason = MST_REASON_MAX};
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .from = 1,
	    .to = 2,
	    .results = {.count = 1, .items = &item}};
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();

	mst_msg_encode(bytes, &msg);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	g_assert_cmpint(msg.results.items[0].outcome, ==, MST_OUTCOME_UNKNOWN);
	g_assert_cmpint(msg.results.items[0].reason, ==, MST_REASON_OTHER);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

/* Confirmed starts go out alone if there are no results, and without flags a
 * reader would take them for those of the results. */
static void
wire__confirmed_starts_need_no_results(void)
{
	static const uint64_t seqs[] = {3, 9};
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .from = 1,
	    .to = 2,
	    .results = {
		.confirmed_count = G_N_ELEMENTS(seqs), .confirmed_seqs = seqs}};
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();

	mst_msg_encode(bytes, &msg);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	g_assert_cmpuint(msg.results.count, ==, 0);
	g_assert_cmpuint(msg.results.confirmed_count, ==, 2);
	g_assert_cmpuint(msg.results.confirmed_seqs[1], ==, 9);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

/* What an item leaves empty is that of the item before. */
static void
wire__backup_items_share_job_and_agent(void)
{
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();
	const struct mst_backup_item *items;
	struct mst_msg msg;

	wire_sample(&msg, MST_MSG_BACKUP_STARTS);
	mst_msg_encode(bytes, &msg);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	items = msg.backup_starts.items;
	g_assert_cmpuint(msg.backup_starts.count, ==, 4);
	g_assert_cmpuint(items[1].agent, ==, items[0].agent);
	g_assert_true(mst_bytes_equal_str(items[1].host, "agent1"));
	g_assert_true(mst_bytes_equal_str(items[2].host, "agent2"));
	g_assert_true(mst_bytes_equal_str(items[2].job, "5c0e7a21d94b36f8"));
	g_assert_true(mst_bytes_equal_str(items[3].host, "agent2"));
	g_assert_true(mst_bytes_equal_str(items[3].job, "x"));
	g_assert_cmpuint(msg.backup_starts.settled[1], ==, 19);
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

static void
wire__first_backup_item_is_complete(void)
{
	static const uint8_t bytes[] = {0x97, MST_MSG_VERSION,
	    MST_MSG_BACKUP_STARTS, 1, 2, 1, 0x95, 0, 0xc4, 0, 0xc4, 0, 0, 0,
	    0x90};
	struct mst_decoder *decoder = mst_decoder_new();
	GError *error = NULL;
	struct mst_msg msg;

	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes, sizeof(bytes), &error), ==,
	    -1);
	g_assert_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_MALFORMED);
	g_clear_error(&error);
	mst_decoder_free(decoder);
}

static void
wire__domain_needs_no_build(void)
{
	struct mst_msg msg = {.type = MST_MSG_PEER,
	    .from = 1,
	    .to = 2,
	    .peer = {.address = mst_bytes_from_str("a:1"),
		.failure_domain = mst_bytes_from_str("east")}};
	struct mst_decoder *decoder = mst_decoder_new();
	GByteArray *bytes = g_byte_array_new();

	mst_msg_encode(bytes, &msg);
	g_assert_cmpint(
	    mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL),
	    ==, 0);
	g_assert_cmpuint(msg.peer.build.version.len, ==, 0);
	g_assert_true(mst_bytes_equal_str(msg.peer.failure_domain, "east"));
	g_byte_array_unref(bytes);
	mst_decoder_free(decoder);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/first-format", wire__first_format_is_unchanged);
	g_test_add_func("/wire/recorded", wire__changes_are_recorded);
	g_test_add_func(
	    "/wire/further-fields", wire__further_fields_are_skipped);
	g_test_add_func(
	    "/wire/unknown-type", wire__unknown_types_name_their_sender);
	g_test_add_func(
	    "/wire/lasted-times", wire__lasted_times_belong_to_their_runs);
	g_test_add_func(
	    "/wire/confirmed-starts", wire__confirmed_starts_need_no_results);
	g_test_add_func(
	    "/wire/unknown-outcome", wire__unknown_outcomes_may_have_run);
	g_test_add_func(
	    "/wire/backup-items", wire__backup_items_share_job_and_agent);
	g_test_add_func(
	    "/wire/first-backup-item", wire__first_backup_item_is_complete);
	g_test_add_func("/wire/domain", wire__domain_needs_no_build);
	return g_test_run();
}
