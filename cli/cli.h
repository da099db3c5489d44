#ifndef MST_CLI_H
#define MST_CLI_H

/* The operators' command: shared parts of its subcommands. */

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>

/* Exit codes; scripts rely on them. */
enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,      /* the job failed, or the request was refused */
	CLI_USAGE = 2,       /* wrong usage or invalid input */
	CLI_UNREACHABLE = 3, /* no entry answered */
	CLI_CONFLICT = 4,    /* the configuration has changed since */
	CLI_UNKNOWN = 5      /* the outcome is not known */
};

struct cli {
	const char *entry; /* http://ip:port */
	const char *token;
	bool json;
	bool quiet;
};

struct cli_answer {
	long status; /* 0: no answer */
	GString *body;
	cJSON *json; /* parsed body, or NULL */
	long retry_after_s;
	char *error;
};

/* Sends one request; headers ends with NULL. Clear the answer after use. */
void cli_call(struct cli_answer *answer, const struct cli *cli,
    const char *method, const char *path, const char *const *headers,
    const char *body);
void cli_answer_clear(struct cli_answer *answer);

/* Prints what went wrong and gives the exit code for it. */
enum cli_exit cli_report(
    const struct cli *cli, const struct cli_answer *answer);

/* Prints the answer's JSON as it came, with a newline. */
void cli_print_json(const struct cli_answer *answer);

/* Reads a member of an object as text; "" when absent. */
const char *cli_text(const cJSON *object, const char *name);
double cli_number(const cJSON *object, const char *name);

/* Reads a file, or standard input for "-"; NULL after a message. */
char *cli_read_file(const char *path);

/* Subcommands; argv[0] is the subcommand's name. */
enum cli_exit cli_submit(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_status(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_cancel(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_members(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_config(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_drain(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_trace(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_check(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_explain(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_top(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_load(const struct cli *cli, int argc, char **argv);

#endif
