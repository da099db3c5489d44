/* masticstall: the operators' command. */

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
    {"submit", "hand in a job and wait for its answer", cli_submit},
    {"status", "wait for a job handed in before", cli_status},
    {"cancel", "cancel a job", cli_cancel},
    {"config", "show, patch and compare the configuration", cli_config},
    {"members", "list the agents that an entry knows", cli_members},
    {"drain", "take an upstream out of service", cli_drain},
    {"trace", "show the spans of a trace", cli_trace},
    {"explain", "tell a job's story from the logs", cli_explain},
    {"top", "show what several daemons do", cli_top},
    {"load", "put load on a system and measure it", cli_load}, {0}};

static void
usage(FILE *out)
{
	const struct command *command;

	fprintf(out,
	    "Usage: masticstall [--entry URL] [--token-file FILE] [--json] "
	    "[--quiet] COMMAND ...\n\nCommands:\n");
	for (command = commands; command->name != NULL; command++)
		fprintf(out, "  %-8s  %s\n", command->name, command->help);
	fprintf(out,
	    "\nOptions:\n"
	    "  -e, --entry URL        an entry, default " DEFAULT_ENTRY
	    "; or MASTICSTALL_ENTRY\n"
	    "  -t, --token-file FILE  an operator's token; or "
	    "MASTICSTALL_TOKEN_FILE\n"
	    "  -j, --json             answers for machines\n"
	    "  -q, --quiet            no progress, no task tables\n"
	    "  -h, --help             this text; COMMAND --help for more\n"
	    "\nExit: 0 done, 1 failed or refused, 2 wrong usage or input,\n"
	    "3 no entry reached, 4 configuration conflict, 5 outcome not "
	    "known\n");
}

static char *
token_read(const char *path)
{
	char *text = NULL;

	if (path == NULL)
		return NULL;
	text = cli_read_file(path);
	return text != NULL ? g_strstrip(text) : NULL;
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
			usage(stdout);
			return CLI_OK;
		default:
			usage(stderr);
			return CLI_USAGE;
		}
	}
	if (cli.entry == NULL)
		cli.entry = DEFAULT_ENTRY;
	if (optind == argc) {
		usage(stderr);
		return CLI_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	cli.token = token_read(token_file);
	for (command = commands; command->name != NULL; command++) {
		if (strcmp(command->name, argv[optind]) == 0)
			return command->run(&cli, argc - optind, argv + optind);
	}
	fprintf(stderr, "masticstall: there is no command %s\n", argv[optind]);
	usage(stderr);
	return CLI_USAGE;
}
