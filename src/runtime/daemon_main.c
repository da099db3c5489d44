/* The command line that both daemons share. */

#include <getopt.h>
#include <masticstall/daemon.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"

static void
usage(FILE *out, const char *program)
{
	fprintf(out,
	    "Usage: %s --settings FILE\n"
	    "\n"
	    "  -s, --settings FILE  settings, JSON with comments\n"
	    "  -c, --check          check the settings and exit\n"
	    "  -h, --help           this text\n"
	    "\n"
	    "SIGTERM stops gracefully: no request is cut short.\n"
	    "Exit: 0 stopped or valid, 1 failed, 2 wrong usage or settings.\n",
	    program);
}

static int
load_and_run(const char *path, bool check, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *ports)
{
	struct mst_settings *settings;
	GError *error = NULL;
	int rc = EXIT_SUCCESS;

	if (mst_settings_load(&settings, path, role, &error) < 0) {
		fprintf(stderr, "%s: settings are invalid\n%s\n", path,
		    error->message);
		g_clear_error(&error);
		return 2;
	}
	mst_log_open(program, (enum mst_log_level)settings->log_level);
	if (!check && run(settings, ports, &error) < 0) {
		mst_log(MST_LOG_ERROR, "failed", "reason=%s",
		    mst_log_quote(error->message));
		g_clear_error(&error);
		rc = EXIT_FAILURE;
	}
	mst_log_close();
	mst_settings_free(settings);
	return rc;
}

int
mst_daemon_main(int argc, char **argv, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *ports)
{
	static const struct option options[] = {
	    {"settings", required_argument, NULL, 's'},
	    {"check", no_argument, NULL, 'c'}, {"help", no_argument, NULL, 'h'},
	    {0}};
	const char *path = NULL;
	bool check = false;
	int c;

	while ((c = getopt_long(argc, argv, "s:ch", options, NULL)) != -1) {
		switch (c) {
		case 's':
			path = optarg;
			break;
		case 'c':
			check = true;
			break;
		case 'h':
			usage(stdout, program);
			return EXIT_SUCCESS;
		default:
			usage(stderr, program);
			return 2;
		}
	}
	if (path == NULL || optind != argc) {
		usage(stderr, program);
		return 2;
	}
	return load_and_run(path, check, program, role, run, ports);
}
