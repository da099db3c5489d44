#ifndef MST_CLI_H
#define MST_CLI_H

/* Declarations shared by the subcommands of the masticstall program. */

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit statuses of the program; scripts depend on these values. */
enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,      /* the job failed, or the request was refused */
	CLI_USAGE = 2,       /* wrong usage or invalid input */
	CLI_UNREACHABLE = 3, /* no entry answered */
	CLI_CONFLICT = 4,    /* the configuration has another version */
	CLI_UNKNOWN = 5      /* the request may or may not have taken effect */
};

struct cli {
	const char *entry; /* http://ip:port */
	const char *token; /* operator's token, or NULL */
	bool json;         /* print responses as JSON */
	bool quiet;        /* print no progress and no task tables */
};

struct cli_response {
	long status; /* HTTP status; 0: no response */
	GString *body;
	cJSON *json;        /* the parsed body; NULL: not JSON */
	long retry_after_s; /* 0: no Retry-After header */
	char *error;        /* transport error; NULL unless status is 0 */
};

/**
 * Sends an HTTP request to cli->entry and waits for the response.
 *
 * @param answer receives the response, or the error if there was none; release
 *   it with cli_response_clear()
 * @param cli the options of the command line; its token, if any, is sent too
 * @param method HTTP method
 * @param path path of the URL, from the first slash
 * @param headers "Name: value" strings, ended by NULL; may be NULL
 * @param body a string, or NULL for a request without a body
 */
void cli_call(struct cli_response *answer, const struct cli *cli,
    const char *method, const char *path, const char *const *headers,
    const char *body);

/** Releases the memory of a response. */
void cli_response_clear(struct cli_response *answer);

/**
 * Prints the error of a failed request: the body on standard output with
 * --json, otherwise a message on standard error.
 *
 * @return the exit status for this error
 */
enum cli_exit cli_report(
    const struct cli *cli, const struct cli_response *answer);

/** Prints the response body unchanged, ended by a newline. */
void cli_print_json(const struct cli_response *answer);

/** Returns a string member of a JSON object; "" if it has no such string. */
const char *cli_json_string(const cJSON *object, const char *name);
/** Returns a number member of a JSON object; 0 if it has no such number. */
double cli_json_number(const cJSON *object, const char *name);

/**
 * Reads a file, or standard input for "-".
 *
 * @return the contents, to be freed with g_free(); NULL after an error, which
 *   has been printed
 */
char *cli_read_file(const char *path);

/**
 * Prints the usage of a subcommand: on standard output if it was requested,
 * otherwise, after an error, on standard error.
 *
 * @return the exit status
 */
enum cli_exit cli_usage(const char *usage, bool requested);

/**
 * Parses the arguments of a subcommand whose only option is --help. The
 * operands start at argv[optind].
 *
 * @param rc set to the exit status if the subcommand is not to be run
 * @param argc number of arguments, with the name of the subcommand
 * @param argv the arguments
 * @param min least number of operands
 * @param max greatest number of operands
 * @param usage the usage, printed for --help and after an error
 * @return true if the subcommand is to be run
 */
bool cli_parse_operands(enum cli_exit *rc, int argc, char **argv, int min,
    int max, const char *usage);

/** Parses a finite number; returns false unless it is in min to max. */
bool cli_parse_number(double *number, const char *text, double min, double max);

/** Parses a whole number; returns false if it is invalid. */
bool cli_parse_uint(uint32_t *number, const char *text);

/* Subcommands. argv[0] is the name of the subcommand. */
enum cli_exit cli_submit(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_status(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_cancel(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_members(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_config(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_domains(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_drain(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_trace(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_check(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_explain(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_top(const struct cli *cli, int argc, char **argv);
enum cli_exit cli_load(const struct cli *cli, int argc, char **argv);

#endif
