/*
 * Tests of JSON received from outside: JSON patches, jobs, configuration and
 * settings. Errors must name the faulty element, so that it can be found.
 */

#include <cjson/cJSON.h>
#include <glib.h>
#include <masticstall.h>
#include <string.h>
#include <unistd.h>

#include "api/job_json.h"
#include "api/json_size.h"
#include "settings/drain_patch.h"
#include "settings/json_patch.h"

/*
 * Document, patch and expected result. NULL as the result: the patch must be
 * rejected and leave the document unchanged.
 */
static const char *const patch_cases[][3] = {
    {"{\"foo\":\"bar\"}", "[{\"op\":\"add\",\"path\":\"/baz\",\"value\":1}]",
	"{\"foo\":\"bar\",\"baz\":1}"},
    {"{\"foo\":[1,3]}", "[{\"op\":\"add\",\"path\":\"/foo/1\",\"value\":2}]",
	"{\"foo\":[1,2,3]}"},
    {"{\"foo\":[1]}", "[{\"op\":\"add\",\"path\":\"/foo/-\",\"value\":2}]",
	"{\"foo\":[1,2]}"},
    {"{\"a\":1,\"b\":2}", "[{\"op\":\"remove\",\"path\":\"/a\"}]", "{\"b\":2}"},
    {"{\"a\":[1,2,3]}", "[{\"op\":\"remove\",\"path\":\"/a/1\"}]",
	"{\"a\":[1,3]}"},
    {"{\"a\":[1,2]}", "[{\"op\":\"replace\",\"path\":\"/a/0\",\"value\":9}]",
	"{\"a\":[9,2]}"},
    {"{\"a\":{\"b\":1},\"c\":{}}",
	"[{\"op\":\"move\",\"from\":\"/a/b\",\"path\":\"/c/d\"}]",
	"{\"a\":{},\"c\":{\"d\":1}}"},
    {"{\"a\":{\"b\":1}}", "[{\"op\":\"copy\",\"from\":\"/a\",\"path\":\"/c\"}]",
	"{\"a\":{\"b\":1},\"c\":{\"b\":1}}"},
    {"{\"a/b\":1,\"m~n\":2}",
	"[{\"op\":\"test\",\"path\":\"/a~1b\",\"value\":1},"
	"{\"op\":\"replace\",\"path\":\"/m~0n\",\"value\":3}]",
	"{\"a/b\":1,\"m~n\":3}"},
    {"{\"a\":1}", "[{\"op\":\"replace\",\"path\":\"\",\"value\":{\"z\":0}}]",
	"{\"z\":0}"},
    {"{\"a\":1}", "[{\"op\":\"test\",\"path\":\"/a\",\"value\":2}]", NULL},
    {"{\"a\":1}", "[{\"op\":\"add\",\"path\":\"/b/c\",\"value\":2}]", NULL},
    {"{\"a\":[]}", "[{\"op\":\"add\",\"path\":\"/a/1\",\"value\":2}]", NULL},
    {"{\"a\":[1]}", "[{\"op\":\"remove\",\"path\":\"/a/01\"}]", NULL},
    {"{\"a\":1}", "[{\"op\":\"remove\",\"path\":\"/b\"}]", NULL},
    {"{\"a\":1}", "[{\"op\":\"replace\",\"path\":\"/b\",\"value\":1}]", NULL},
    {"{\"a\":{\"b\":1}}",
	"[{\"op\":\"move\",\"from\":\"/a\",\"path\":\"/a/b\"}]", NULL},
    {"{\"a\":1}", "[{\"op\":\"frob\",\"path\":\"/a\"}]", NULL},
    {"{\"a\":1}",
	"[{\"op\":\"remove\",\"path\":\"/a\"},"
	"{\"op\":\"remove\",\"path\":\"/a\"}]",
	NULL},
    {"{\"a\":1}", "{\"op\":\"remove\",\"path\":\"/a\"}", NULL},
};

static void
json__patch_follows_rfc_6902(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(patch_cases); i++) {
		cJSON *document = cJSON_Parse(patch_cases[i][0]);
		cJSON *patch = cJSON_Parse(patch_cases[i][1]);
		const char *expected_text =
		    patch_cases[i][2] ? patch_cases[i][2] : patch_cases[i][0];
		cJSON *expected = cJSON_Parse(expected_text);
		int rc = json_patch_apply(&document, patch, NULL);

		g_test_message("%s", patch_cases[i][1]);
		g_assert_cmpint(rc, ==, patch_cases[i][2] ? 0 : -1);
		g_assert_true(cJSON_Compare(document, expected, 1));
		cJSON_Delete(document);
		cJSON_Delete(patch);
		cJSON_Delete(expected);
	}
}

/* Checks that a job is rejected with an error that contains a message. */
static void
assert_job_rejected(const char *text, const char *message)
{
	struct mst_job_request *request;
	GError *error = NULL;

	g_test_message("%s", text);
	g_assert_cmpint(
	    mst_job_request_parse(&request, mst_bytes_from_str(text), &error),
	    ==, -1);
	g_assert_nonnull(strstr(error->message, message));
	g_clear_error(&error);
}

static void
json__job_errors_name_location(void)
{
	char *nested = g_strnfill(4000, '[');

	assert_job_rejected("", "not valid JSON");
	assert_job_rejected("{\"team\":\"t\"}", "/tasks: is missing");
	assert_job_rejected("{\"tasks\":[{\"path\":\"/a\"}]}", "/team");
	assert_job_rejected("{\"team\":\"t\",\"tasks\":[]}", "/tasks");
	assert_job_rejected("{\"team\":\"t\",\"tasks\":[{\"path\":\"a\"}]}",
	    "/tasks/0: has a malformed path");
	assert_job_rejected(
	    "{\"team\":\"t\",\"tasks\":[{\"path\":\"/a\\r\\nx: y\"}]}",
	    "/tasks/0: has a malformed path");
	assert_job_rejected("{\"team\":\"t\",\"tasks\":[{\"path\":\"/\","
			    "\"method\":\"G ET\"}]}",
	    "malformed method");
	assert_job_rejected("{\"team\":\"t\",\"tasks\":[{\"path\":\"/\","
			    "\"content_type\":\"a\\nb\"}]}",
	    "malformed content type");
	assert_job_rejected("{\"team\":\"t\",\"timeout_ms\":1.5,\"tasks\":"
			    "[{\"path\":\"/\",\"frob\":1}]}",
	    "/tasks/0/frob: is not a known name");
	assert_job_rejected("{\"team\":\"t\xff\",\"tasks\":[]}", "UTF-8");
	assert_job_rejected(nested, "not valid JSON");
	g_free(nested);
}

static void
json__config_errors_name_location(void)
{
	struct mst_config *config;
	GError *error = NULL;

	g_assert_cmpint(
	    mst_config_parse(&config,
		"{\"policy\":{\"placement\":\"best\",\"eject_ms\":0},"
		"\"teams\":{\"a/b\":{\"weight\":\"x\"}},\"z\":1}",
		2, &error),
	    ==, -1);
	g_assert_nonnull(strstr(error->message, "/policy/placement: "));
	g_assert_nonnull(strstr(error->message, "/policy/eject_ms: "));
	g_assert_nonnull(strstr(error->message, "/teams/a~1b/weight: "));
	g_assert_nonnull(strstr(error->message, "/z: is not a known name"));
	g_clear_error(&error);
	g_assert_cmpint(
	    mst_config_parse(&config, "{} // none", 1, &error), ==, 0);
	g_assert_cmpuint(config->policy.default_timeout_ms, ==, 30000);
	mst_config_free(config);
}

/* A configuration that a newer build has accepted is applied without what this
 * build doesn't know; errors in what it knows are still errors. */
static void
json__accepted_config_may_have_unknown_names(void)
{
	struct mst_config *config;
	char *unknown;

	g_assert_cmpint(mst_config_parse_known(&config, &unknown,
			    "{\"policy\":{\"eject_ms\":700,\"new\":1},"
			    "\"z\":{}}",
			    3, NULL),
	    ==, 0);
	g_assert_cmpuint(config->policy.eject_ms, ==, 700);
	g_assert_cmpstr(unknown, ==, "/policy/new /z");
	mst_config_free(config);
	g_free(unknown);
	g_assert_cmpint(mst_config_parse_known(
			    &config, &unknown, "{\"default_team\":7}", 3, NULL),
	    ==, -1);
	g_assert_null(unknown);
}

/* Guards against a set of drains that can't be sent to other processes, and
 * against an absent field that is taken for an empty set. */
static void
json__config_reads_drained_domains(void)
{
	struct mst_config *config;
	GError *error = NULL;

	g_assert_cmpint(mst_config_parse(&config, "{}", 1, &error), ==, 0);
	g_assert_null(config->drained_domains);
	mst_config_free(config);
	g_assert_cmpint(
	    mst_config_parse(
		&config, "{\"drained_domains\":[\"fd 1\",\"b\"]}", 1, &error),
	    ==, 0);
	g_assert_cmpuint(config->drained_domains->len, ==, 2);
	g_assert_cmpstr(config->drained_domains->pdata[0], ==, "fd 1");
	mst_config_free(config);
	g_assert_cmpint(
	    mst_config_parse(&config,
		"{\"drained_domains\":[\"b\",\"a,b\",7,\"\",\"b\","
		"\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
		"aaaaa\"]}",
		1, &error),
	    ==, -1);
	g_assert_null(strstr(error->message, "/drained_domains/0"));
	g_assert_nonnull(strstr(error->message, "/drained_domains/1: "));
	g_assert_nonnull(strstr(error->message, "/drained_domains/2: "));
	g_assert_nonnull(strstr(error->message, "/drained_domains/3: "));
	g_assert_nonnull(strstr(error->message, "/drained_domains/4: "));
	g_assert_nonnull(strstr(error->message, "/drained_domains/5: "));
	g_clear_error(&error);
	g_assert_cmpint(
	    mst_config_parse(&config,
		"{\"drained_domains\":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,"
		"17]}",
		1, &error),
	    ==, -1);
	g_assert_cmpstr(error->message, ==,
	    "/drained_domains: is not an array of at most 16 names\n");
	g_clear_error(&error);
}

/* Applies the patch that drains or restores a domain and returns the resulting
 * document, or NULL if there is nothing to change. */
static char *
apply_drain_patch(const char *document, const char *domain, bool drained)
{
	char *patch = drain_patch_new(document, domain, drained);
	cJSON *operations = patch != NULL ? cJSON_Parse(patch) : NULL;
	cJSON *json = cJSON_Parse(document);
	GError *error = NULL;
	char *result = NULL;

	if (operations != NULL) {
		json_patch_apply(&json, operations, &error);
		g_assert_no_error(error);
		result = cJSON_PrintUnformatted(json);
	}
	cJSON_Delete(operations);
	cJSON_Delete(json);
	g_free(patch);
	return result;
}

/* Guards against a patch that changes other domains, or that makes a version
 * without a change; an empty list must stay, as an absent one is no set. */
static void
json__drain_patch_changes_one_domain(void)
{
	static const struct {
		const char *document;
		const char *domain;
		bool drained;
		const char *expected;
	} cases[] = {{"{}", "a/b", true, "{\"drained_domains\":[\"a/b\"]}"},
	    {"{\"z\":1,\"drained_domains\":[]}", "a", true,
		"{\"z\":1,\"drained_domains\":[\"a\"]}"},
	    {"{\"drained_domains\":[\"a\",\"b\"]}", "c", true,
		"{\"drained_domains\":[\"a\",\"b\",\"c\"]}"},
	    {"{\"drained_domains\":[\"a\",\"b\",\"c\"]}", "b", false,
		"{\"drained_domains\":[\"a\",\"c\"]}"},
	    {"{\"drained_domains\":[\"a\"]}", "a", false,
		"{\"drained_domains\":[]}"},
	    {"{\"drained_domains\":[\"a\"]}", "a", true, NULL},
	    {"{\"drained_domains\":[\"a\"]}", "b", false, NULL},
	    {"{}", "a", false, NULL}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *result = apply_drain_patch(
		    cases[i].document, cases[i].domain, cases[i].drained);

		g_assert_cmpstr(result, ==, cases[i].expected);
		cJSON_free(result);
	}
}

static void
json__settings_errors_name_location(void)
{
	struct mst_settings *settings;
	GError *error = NULL;

	g_assert_cmpint(
	    mst_settings_load(&settings, "golden/settings_invalid.json",
		MST_SETTINGS_AGENT, &error),
	    ==, -1);
	g_assert_nonnull(strstr(error->message, "/http_listen: "));
	g_assert_nonnull(strstr(error->message, "/entries/1: "));
	g_assert_nonnull(strstr(error->message, "/upstream/slots: "));
	g_assert_nonnull(strstr(error->message, "/upstream/address: "));
	g_assert_nonnull(strstr(error->message, "/curve: is required"));
	g_assert_nonnull(strstr(error->message, "/colour: "));
	g_clear_error(&error);
	g_assert_cmpint(mst_settings_load(&settings,
			    "../examples/local/entry1.json", 0, &error),
	    ==, 0);
	g_assert_cmpstr(settings->advertise, ==, "127.0.0.1:17071");
	mst_settings_free(settings);
}

/* A build that is started with the settings of a newer one, after a rollback,
 * starts without the settings that it doesn't know. */
static void
json__settings_of_newer_build_are_read(void)
{
	struct mst_settings *settings;
	GError *error = NULL;
	char *unknown;

	mst_settings_load_known(&settings, &unknown,
	    "golden/settings_newer.json", MST_SETTINGS_AGENT, &error);
	g_assert_no_error(error);
	g_assert_cmpstr(unknown, ==, "/upstream/colour /shade");
	g_assert_cmpuint(settings->upstream.slots, ==, 3);
	mst_settings_free(settings);
	g_free(unknown);
	g_assert_cmpint(
	    mst_settings_load(&settings, "golden/settings_newer.json",
		MST_SETTINGS_AGENT, &error),
	    ==, -1);
	g_clear_error(&error);
}

/* Loads settings from a text; returns the error's message, or NULL. */
static char *
load_settings_text(const char *text)
{
	struct mst_settings *settings;
	GError *error = NULL;
	char *path = NULL;
	char *message = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	if (mst_settings_load(&settings, path, MST_SETTINGS_AGENT, &error) < 0)
		message = g_strdup(error->message);
	else
		mst_settings_free(settings);
	g_clear_error(&error);
	unlink(path);
	g_free(path);
	return message;
}

/* Entries outside loopback need keys, or a network that is trusted, in
 * whichever way they are listed. */
static void
test_hosts_need_keys(void)
{
	static const char format[] =
	    "{\"name\":\"a\",\"failure_domain\":\"d\","
	    "\"http_listen\":\"127.0.0.1:1\",\"members_port\":7000,"
	    "\"upstream\":{\"address\":\"127.0.0.1:2\"},"
	    "\"entry_hosts\":[\"%s\"]%s}";
	char *local = g_strdup_printf(format, "127.0.0.1", "");
	char *remote = g_strdup_printf(format, "10.1.0.1:7000", "");
	char *trusted =
	    g_strdup_printf(format, "10.1.0.1", ",\"trusted_network\":true");
	char *message;

	g_assert_null(load_settings_text(local));
	g_assert_null(load_settings_text(trusted));
	message = load_settings_text(remote);
	g_assert_nonnull(message);
	g_assert_nonnull(strstr(message, "/curve: is required"));
	g_free(message);
	g_free(local);
	g_free(remote);
	g_free(trusted);
}

static void
size__counts_values_outside_strings(void)
{
	static const struct {
		const char *text;
		size_t values;
	} cases[] = {{"0", 1}, {"{\"a\":0}", 2}, {"[0,0,0]", 4},
	    {"[\"a,[b\",{\"c,\":\"\\\",[\"}]", 4}, {"[[[[", 5}, {",,", 3},
	    {"\"a,b", 1}, {"\"a\\", 1}, {"", 1}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *text = cases[i].text;
		size_t values = cases[i].values;

		g_assert_true(json_has_at_most(text, strlen(text), values));
		g_assert_false(
		    json_has_at_most(text, strlen(text), values - 1));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json/patch", json__patch_follows_rfc_6902);
	g_test_add_func("/json/job", json__job_errors_name_location);
	g_test_add_func("/json/config", json__config_errors_name_location);
	g_test_add_func(
	    "/json/drained-domains", json__config_reads_drained_domains);
	g_test_add_func(
	    "/json/drain-patch", json__drain_patch_changes_one_domain);
	g_test_add_func("/json/settings", json__settings_errors_name_location);
	g_test_add_func("/json/accepted-config",
	    json__accepted_config_may_have_unknown_names);
	g_test_add_func("/json/settings-of-newer-build",
	    json__settings_of_newer_build_are_read);
	g_test_add_func("/json/hosts-need-keys", test_hosts_need_keys);
	g_test_add_func("/json/size", size__counts_values_outside_strings);
	return g_test_run();
}
