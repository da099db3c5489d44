/* The subcommands members, config, drain, trace and check. */

#include <getopt.h>
#include <inttypes.h>
#include <limits.h>
#include <masticstall/settings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"

enum cli_exit
cli_members(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] = "Usage: masticstall members\n"
				    "\n"
				    "Lists the agents known to an entry.\n";
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;
	const cJSON *member;

	if (!cli_parse_operands(&rc, argc, argv, 0, 0, usage))
		return rc;
	cli_call(&answer, cli, "GET", "/v1/members", NULL, NULL);
	if (answer.status != 200) {
		rc = cli_report(cli, &answer);
	} else if (cli->json) {
		cli_print_json(&answer);
	} else {
		printf("%-16s %-12s %-10s %-8s %-9s %5s %5s %5s %8s %6s %s\n",
		    "INCARNATION", "NAME", "DOMAIN", "RACK", "STATE", "SLOTS",
		    "GRANT", "SENT", "SLOWNESS", "CONFIG", "VERSION");
		cJSON_ArrayForEach (member,
		    cJSON_GetObjectItemCaseSensitive(answer.json, "members"))
			printf("%-16s %-12s %-10s %-8s %-9s %5.0f %5.0f %5.0f "
			       "%8.2f %6.0f %s\n",
			    cli_json_string(member, "incarnation"),
			    cli_json_string(member, "name"),
			    cli_json_string(member, "failure_domain"),
			    cli_json_string(member, "rack"),
			    cli_json_string(member, "state"),
			    cli_json_number(member, "slots"),
			    cli_json_number(member, "grant"),
			    cli_json_number(member, "outstanding"),
			    cli_json_number(member, "slowness"),
			    cli_json_number(member, "config_version"),
			    cli_json_string(member, "version"));
	}
	cli_response_clear(&answer);
	return rc;
}

static enum cli_exit
show_config(const struct cli *cli)
{
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;
	char *document;

	cli_call(&answer, cli, "GET", "/v1/config", NULL, NULL);
	if (answer.status != 200) {
		rc = cli_report(cli, &answer);
	} else if (cli->json) {
		cli_print_json(&answer);
	} else {
		document = cJSON_Print(
		    cJSON_GetObjectItemCaseSensitive(answer.json, "document"));
		printf("version %.0f\n%s\n",
		    cli_json_number(answer.json, "version"), document);
		cJSON_free(document);
	}
	cli_response_clear(&answer);
	return rc;
}

static enum cli_exit
show_config_history(const struct cli *cli, bool with_patches)
{
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;
	const cJSON *version;
	char *patch;

	cli_call(&answer, cli, "GET", "/v1/config/history", NULL, NULL);
	if (answer.status != 200) {
		rc = cli_report(cli, &answer);
	} else if (cli->json) {
		cli_print_json(&answer);
	} else {
		printf("%-8s %-21s %-16s %-18s %s\n", "VERSION", "AT", "AUTHOR",
		    "PATCH", "REASON");
		cJSON_ArrayForEach (version,
		    cJSON_GetObjectItemCaseSensitive(answer.json, "versions")) {
			printf("%-8.0f %-21s %-16s %-18s %s\n",
			    cli_json_number(version, "version"),
			    cli_json_string(version, "at"),
			    cli_json_string(version, "author"),
			    cli_json_string(version, "patch_id"),
			    cli_json_string(version, "reason"));
			if (!with_patches)
				continue;
			patch = cJSON_PrintUnformatted(
			    cJSON_GetObjectItemCaseSensitive(version, "patch"));
			printf("         %s\n", patch);
			cJSON_free(patch);
		}
	}
	cli_response_clear(&answer);
	return rc;
}

static enum cli_exit
patch_config(const struct cli *cli, const char *base, const char *reason,
    const char *patch_id, const char *path)
{
	char *match_header = g_strdup_printf("If-Match: \"%s\"", base);
	char *reason_header = g_strdup_printf("Masticstall-Reason: %s", reason);
	char *id_header = g_strdup_printf(
	    "Masticstall-Patch-Id: %s", patch_id ? patch_id : "");
	const char *const headers[] = {match_header, reason_header,
	    "Content-Type: application/json-patch+json",
	    patch_id ? id_header : NULL, NULL};
	struct cli_response answer;
	char *patch = cli_read_file(path);
	enum cli_exit rc = CLI_USAGE;

	if (patch != NULL) {
		cli_call(&answer, cli, "PATCH", "/v1/config", headers, patch);
		if (answer.status != 200)
			rc = cli_report(cli, &answer);
		else if (cli->json)
			rc = (cli_print_json(&answer), CLI_OK);
		else
			rc = (printf("version %.0f is accepted, patch %s\n",
				  cli_json_number(answer.json, "version"),
				  cli_json_string(answer.json, "patch_id")),
			    CLI_OK);
		cli_response_clear(&answer);
	}
	g_free(patch);
	g_free(match_header);
	g_free(reason_header);
	g_free(id_header);
	return rc;
}

static const char config_usage[] =
    "Usage: masticstall config show\n"
    "       masticstall config history\n"
    "       masticstall config diff\n"
    "       masticstall config patch --version N --reason TEXT [--id ID] "
    "FILE\n"
    "\n"
    "Shows the configuration, its versions, or its versions with their "
    "patches.\n"
    "FILE holds a JSON Patch (RFC 6902) for version N; the first patch is for\n"
    "version 0. patch needs an operator's token. Exit status 4: the "
    "configuration\n"
    "is no longer at version N.\n"
    "\n"
    "Options of patch:\n"
    "  -v, --version N    version that the patch is for\n"
    "  -r, --reason TEXT  reason, for the history\n"
    "  -i, --id ID        id of the patch; a repeated patch is applied once\n"
    "  -h, --help         print this help\n";

static enum cli_exit
run_config_patch(const struct cli *cli, int argc, char **argv)
{
	static const struct option options[] = {
	    {"version", required_argument, NULL, 'v'},
	    {"reason", required_argument, NULL, 'r'},
	    {"id", required_argument, NULL, 'i'},
	    {"help", no_argument, NULL, 'h'}, {0}};
	const char *version = NULL, *reason = NULL, *patch_id = NULL;
	int c;

	optind = 1;
	while ((c = getopt_long(argc, argv, "v:r:i:h", options, NULL)) != -1) {
		if (c == 'v')
			version = optarg;
		else if (c == 'r')
			reason = optarg;
		else if (c == 'i')
			patch_id = optarg;
		else
			return cli_usage(config_usage, c == 'h');
	}
	if (version == NULL || reason == NULL || optind + 1 != argc)
		return cli_usage(config_usage, false);
	return patch_config(cli, version, reason, patch_id, argv[optind]);
}

enum cli_exit
cli_config(const struct cli *cli, int argc, char **argv)
{
	const char *action = argc > 1 ? argv[1] : "";
	enum cli_exit rc;

	if (strcmp(action, "patch") == 0)
		return run_config_patch(cli, argc - 1, argv + 1);
	if (!cli_parse_operands(&rc, argc, argv, 1, INT_MAX, config_usage) ||
	    !cli_parse_operands(&rc, argc - 1, argv + 1, 0, 0, config_usage))
		return rc;
	if (strcmp(action, "show") == 0)
		return show_config(cli);
	if (strcmp(action, "history") == 0)
		return show_config_history(cli, false);
	if (strcmp(action, "diff") == 0)
		return show_config_history(cli, true);
	return cli_usage(config_usage, false);
}

enum cli_exit
cli_drain(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall drain http://AGENT-IP:PORT\n"
	    "\n"
	    "The agent accepts no new tasks, finishes those that run and "
	    "exits.\n"
	    "Needs an operator's token.\n";
	struct cli agent = *cli;
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;

	if (!cli_parse_operands(&rc, argc, argv, 1, 1, usage))
		return rc;
	agent.entry = argv[optind];
	cli_call(&answer, &agent, "POST", "/v1/drain", NULL, "");
	if (answer.status == 202)
		printf("%s", answer.body->str);
	else
		rc = cli_report(&agent, &answer);
	cli_response_clear(&answer);
	return rc;
}

static void
print_spans(const cJSON *trace)
{
	const cJSON *resource = cJSON_GetArrayItem(
	    cJSON_GetObjectItemCaseSensitive(trace, "resourceSpans"), 0);
	const cJSON *scope = cJSON_GetArrayItem(
	    cJSON_GetObjectItemCaseSensitive(resource, "scopeSpans"), 0);
	const cJSON *span;
	const cJSON *attribute;
	double first_ms = 0, start_ms, end_ms;

	printf("%10s %10s  %-12s %s\n", "START MS", "TOOK MS", "SPAN",
	    "ATTRIBUTES");
	cJSON_ArrayForEach (
	    span, cJSON_GetObjectItemCaseSensitive(scope, "spans")) {
		start_ms =
		    g_ascii_strtod(
			cli_json_string(span, "startTimeUnixNano"), NULL) /
		    1e6;
		end_ms = g_ascii_strtod(
			     cli_json_string(span, "endTimeUnixNano"), NULL) /
		    1e6;
		if (first_ms == 0)
			first_ms = start_ms;
		printf("%10.3f %10.3f  %-12s", start_ms - first_ms,
		    end_ms - start_ms, cli_json_string(span, "name"));
		cJSON_ArrayForEach (attribute,
		    cJSON_GetObjectItemCaseSensitive(span, "attributes"))
			printf(" %s=%s", cli_json_string(attribute, "key"),
			    cli_json_string(cJSON_GetObjectItemCaseSensitive(
						attribute, "value"),
				"stringValue"));
		printf("\n");
	}
}

enum cli_exit
cli_trace(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] = "Usage: masticstall trace TRACE-ID\n"
				    "\n"
				    "Shows the spans of a sampled trace.\n";
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;
	char *path;

	if (!cli_parse_operands(&rc, argc, argv, 1, 1, usage))
		return rc;
	path = g_strdup_printf("/v1/traces/%s", argv[optind]);
	cli_call(&answer, cli, "GET", path, NULL, NULL);
	if (answer.status != 200)
		rc = cli_report(cli, &answer);
	else if (cli->json)
		cli_print_json(&answer);
	else
		print_spans(answer.json);
	cli_response_clear(&answer);
	g_free(path);
	return rc;
}

/* Checks an entry's settings against those of the entries checked before. */
static enum cli_exit
check_with_entries(GPtrArray *entries, struct mst_settings *settings)
{
	enum cli_exit rc = CLI_OK;
	const struct mst_settings *other;
	GError *error = NULL;
	guint i;

	for (i = 0; i < entries->len; i++) {
		other = entries->pdata[i];
		if (mst_settings_check_pair(other, settings, &error) == 0)
			continue;
		printf("%s and %s: cannot work together\n%s", other->path,
		    settings->path, error->message);
		g_clear_error(&error);
		rc = CLI_USAGE;
	}
	return rc;
}

/* Checks a file, and the settings of an entry also against the earlier entries,
 * to which they are added. */
static enum cli_exit
check_file(GPtrArray *entries, const char *path)
{
	struct mst_settings *settings;
	GError *error = NULL;
	enum cli_exit rc = CLI_OK;

	if (mst_settings_load(&settings, path, 0, &error) < 0) {
		printf("%s: invalid\n%s", path, error->message);
		g_clear_error(&error);
		return CLI_USAGE;
	}
	printf("%s: valid\n", path);
	if (settings->role != MST_SETTINGS_ENTRY) {
		mst_settings_free(settings);
		return CLI_OK;
	}
	rc = check_with_entries(entries, settings);
	g_ptr_array_add(entries, settings);
	return rc;
}

enum cli_exit
cli_check(const struct cli *cli, int argc, char **argv)
{
	static const char usage[] =
	    "Usage: masticstall check FILE...\n"
	    "\n"
	    "Checks settings files and names every error by its JSON pointer. "
	    "Settings of\n"
	    "several entries are also checked for differences with which the "
	    "entries cannot\n"
	    "work together. Exit status 2: there is an error.\n";
	GPtrArray *entries;
	enum cli_exit rc = CLI_OK;
	int i;

	if (!cli_parse_operands(&rc, argc, argv, 1, INT_MAX, usage))
		return rc;
	entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)mst_settings_free);
	for (i = optind; i < argc; i++) {
		if (check_file(entries, argv[i]) != CLI_OK)
			rc = CLI_USAGE;
	}
	g_ptr_array_unref(entries);
	return rc;
}
