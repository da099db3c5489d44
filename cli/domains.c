/* The subcommand domains: lists, drains and restores failure domains. */

#include <getopt.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"

static bool
is_known(const cJSON *domains, const char *name)
{
	const cJSON *domain;

	cJSON_ArrayForEach (domain, domains) {
		if (strcmp(cli_json_string(domain, "name"), name) == 0)
			return true;
	}
	return false;
}

static void
print_domains(const cJSON *json)
{
	const cJSON *domains =
	    cJSON_GetObjectItemCaseSensitive(json, "domains");
	const cJSON *item;

	printf(
	    "%-24s %-8s %8s %8s\n", "DOMAIN", "DRAINED", "MEMBERS", "RUNNING");
	cJSON_ArrayForEach (item, domains)
		printf("%-24s %-8s %8.0f %8.0f\n",
		    cli_json_string(item, "name"),
		    cJSON_IsTrue(
			cJSON_GetObjectItemCaseSensitive(item, "drained"))
			? "yes"
			: "no",
		    cli_json_number(item, "members"),
		    cli_json_number(item, "running"));
	/* A drained domain without members may be a mistyped name. */
	cJSON_ArrayForEach (
	    item, cJSON_GetObjectItemCaseSensitive(json, "drained_domains")) {
		const char *name = cJSON_GetStringValue(item);

		if (name != NULL && !is_known(domains, name))
			printf("%-24s %-8s %8d %8d\n", name, "yes", 0, 0);
	}
}

static enum cli_exit
list_domains(const struct cli *cli)
{
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;

	cli_call(&answer, cli, "GET", "/v1/drains", NULL, NULL);
	if (answer.status != 200)
		rc = cli_report(cli, &answer);
	else if (cli->json)
		cli_print_json(&answer);
	else
		print_domains(answer.json);
	cli_response_clear(&answer);
	return rc;
}

static enum cli_exit
set_drained(
    const struct cli *cli, const char *name, const char *reason, bool drained)
{
	char *reason_header = g_strdup_printf("Masticstall-Reason: %s", reason);
	const char *const headers[] = {reason_header, NULL};
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strdup_printf("/v1/drains/%s", escaped);
	struct cli_response answer;
	enum cli_exit rc = CLI_OK;

	cli_call(&answer, cli, drained ? "PUT" : "DELETE", path, headers, NULL);
	if (answer.status != 200)
		rc = cli_report(cli, &answer);
	else if (cli->json)
		cli_print_json(&answer);
	else
		printf("%s is %s as of version %.0f\n", name,
		    drained ? "drained" : "not drained",
		    cli_json_number(answer.json, "version"));
	cli_response_clear(&answer);
	g_free(path);
	g_free(escaped);
	g_free(reason_header);
	return rc;
}

static void
print_domains_usage(FILE *out)
{
	fprintf(out,
	    "Usage: masticstall domains\n"
	    "       masticstall domains drain NAME --reason TEXT\n"
	    "       masticstall domains restore NAME --reason TEXT\n\n"
	    "Lists the failure domains, or drains or restores one. Tasks that "
	    "run in a\ndrained domain finish; no new ones start there. drain "
	    "and restore need an\noperator's token and may be repeated. On the "
	    "platform, its operator sets\nthe drains.\n");
}

enum cli_exit
cli_domains(const struct cli *cli, int argc, char **argv)
{
	static const struct option options[] = {
	    {"reason", required_argument, NULL, 'r'},
	    {"help", no_argument, NULL, 'h'}, {0}};
	const char *reason = NULL;
	bool drains, restores;
	int c;

	if (argc == 1)
		return list_domains(cli);
	/* 0 resets getopt_long(), which main() has used with a leading '+'. */
	optind = 0;
	while ((c = getopt_long(argc, argv, "r:h", options, NULL)) != -1) {
		if (c == 'r') {
			reason = optarg;
			continue;
		}
		print_domains_usage(c == 'h' ? stdout : stderr);
		return c == 'h' ? CLI_OK : CLI_USAGE;
	}
	drains = optind < argc && strcmp(argv[optind], "drain") == 0;
	restores = optind < argc && strcmp(argv[optind], "restore") == 0;
	if (optind + 2 != argc || reason == NULL || (!drains && !restores)) {
		print_domains_usage(stderr);
		return CLI_USAGE;
	}
	return set_drained(cli, argv[optind + 1], reason, drains);
}
