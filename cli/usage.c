/* Usage texts and arguments of the subcommands. */

#include <getopt.h>
#include <math.h>
#include <stdio.h>

#include "cli.h"

enum cli_exit
cli_usage(const char *usage, bool requested)
{
	fputs(usage, requested ? stdout : stderr);
	return requested ? CLI_OK : CLI_USAGE;
}

bool
cli_parse_operands(enum cli_exit *rc, int argc, char **argv, int min, int max,
    const char *usage)
{
	static const struct option options[] = {
	    {"help", no_argument, NULL, 'h'}, {0}};
	int option;

	optind = 1;
	option = getopt_long(argc, argv, "h", options, NULL);
	if (option == -1 && argc - optind >= min && argc - optind <= max)
		return true;
	*rc = cli_usage(usage, option == 'h');
	return false;
}

bool
cli_parse_number(double *number, const char *text, double min, double max)
{
	char *end;

	*number = g_ascii_strtod(text, &end);
	return end != text && *end == '\0' && isfinite(*number) &&
	    *number >= min && *number <= max;
}

bool
cli_parse_uint(uint32_t *number, const char *text)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}
