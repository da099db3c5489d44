/* masticstall: the command-line client of callers and operators. */

#include <curl/curl.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define DEFAULT_ENTRY "http://127.0.0.1:8080"

struct command {
	const char *name;
	const char *help;
	enum cli_exit (*run)(const struct cli *cli, int argc, char **argv);
};

static const struct command commands[] = {
    {"check", "check settings files", cli_check},
    {"submit", "submit a job and wait for its result", cli_submit},
    {"status", "wait for the result of a submitted job", cli_status},
    {"cancel", "cancel a job", cli_cancel},
    {"config", "show, patch and compare the configuration", cli_config},
    {"members", "list the agents known to an entry", cli_members},
    {"domains", "list, drain and restore failure domains", cli_domains},
    {"drain", "take an upstream out of service", cli_drain},
    {"trace", "show the spans of a trace", cli_trace},
    {"explain", "explain from the logs how a job was run", cli_explain},
    {"top", "show the main metrics of several daemons", cli_top},
    {"load", "generate load and measure response times", cli_load}, {0}};

/* The manual page and the shell completion are made from the usages by
 * script/help-pages, which relies on their layout. */
static void
print_usage(FILE *out)
{
	const struct command *command;

	fprintf(out,
	    "Usage: masticstall [--entry URL] [--token-file FILE] [--json] "
	    "[--quiet] COMMAND ...\n\n"
	    "Submits jobs to entries, and checks and operates entries and "
	    "agents.\n\nCommands:\n");
	for (command = commands; command->name != NULL; command++)
		fprintf(out, "  %-8s  %s\n", command->name, command->help);
	fprintf(out,
	    "\nOptions:\n"
	    "  -e, --entry URL        entry to connect to; default: "
	    "MASTICSTALL_ENTRY,\n"
	    "                         or " DEFAULT_ENTRY "\n"
	    "  -t, --token-file FILE  file with an operator's token; default: "
	    "MASTICSTALL_TOKEN_FILE\n"
	    "  -j, --json             print JSON\n"
	    "  -q, --quiet            print no progress and no task tables\n"
	    "  -h, --help             print this help; COMMAND --help for that "
	    "of a command\n"
	    "\nExit status: 0 success, 1 failed or refused, 2 wrong usage or "
	    "input,\n3 no entry reached, 4 configuration conflict, 5 outcome "
	    "unknown\n");
}

static char *
read_token(const char *path)
{
	char *token = NULL;

	if (path == NULL)
		return NULL;
	token = cli_read_file(path);
	return token != NULL ? g_strstrip(token) : NULL;
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"entry", required_argument, NULL, 'e'},
	    {"token-file", required_argument, NULL, 't'},
	    {"json", no_argument, NULL, 'j'}, {"quiet", no_argument, NULL, 'q'},
	    {"help", no_argument, NULL, 'h'}, {0}};
	const char *token_file = getenv("MASTICSTALL_TOKEN_FILE");
	struct cli cli = {.entry = getenv("MASTICSTALL_ENTRY")};
	const struct command *command;
	int c;

	while ((c = getopt_long(argc, argv, "+e:t:jqh", options, NULL)) != -1) {
		switch (c) {
		case 'e':
			cli.entry = optarg;
			break;
		case 't':
			token_file = optarg;
			break;
		case 'j':
			cli.json = true;
			break;
		case 'q':
			cli.quiet = true;
			break;
		case 'h':
			print_usage(stdout);
			return CLI_OK;
		default:
			print_usage(stderr);
			return CLI_USAGE;
		}
	}
	if (cli.entry == NULL)
		cli.entry = DEFAULT_ENTRY;
	if (optind == argc) {
		print_usage(stderr);
		return CLI_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	cli.token = read_token(token_file);
	for (command = commands; command->name != NULL; command++) {
		if (strcmp(command->name, argv[optind]) == 0)
			return command->run(&cli, argc - optind, argv + optind);
	}
	fprintf(stderr, "masticstall: unknown command %s\n", argv[optind]);
	print_usage(stderr);
	return CLI_USAGE;
}
