/* Command line shared by both daemons. */

#include <getopt.h>
#include <malloc.h>
#include <masticstall/daemon.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"

static const char *
role_description(enum mst_settings_role role)
{
	return role == MST_SETTINGS_ENTRY
	    ? "Accepts jobs from callers and places their tasks on agents."
	    : "Runs tasks of entries on the upstream or worker beside it.";
}

/* The manual pages and the shell completion are made from this text by
 * script/help-pages, which relies on its layout. */
static void
print_usage(FILE *out, const char *program, enum mst_settings_role role)
{
	fprintf(out,
	    "Usage: %s [--check] --settings FILE\n"
	    "\n"
	    "%s\n"
	    "\n"
	    "Options:\n"
	    "  -s, --settings FILE  settings file (JSON with comments)\n"
	    "  -c, --check          validate the settings and exit\n"
	    "  -h, --help           print this help and exit\n"
	    "\n"
	    "SIGTERM stops gracefully, without interrupting open requests.\n"
	    "What clients can make it hold is a share of its machine, whose "
	    "size\n"
	    "is machine.memory_mb and machine.descriptors in the settings.\n"
	    "\n"
	    "Exit status: 0 stopped or settings valid, 1 failed,\n"
	    "2 invalid usage or settings.\n",
	    program, role_description(role));
}

/* Validates all names only if the settings are to be checked: those of a newer
 * build must not keep this one from starting after a rollback. */
static int
load_settings(struct mst_settings **out, char **unknown, const char *path,
    bool check, enum mst_settings_role role, GError **error)
{
	*unknown = NULL;
	if (check)
		return mst_settings_load(out, path, role, error);
	return mst_settings_load_known(out, unknown, path, role, error);
}

/* Large blocks, which input of clients makes, are returned to the system when
 * they are freed. Without this the C library moves both bounds up by itself. */
#define LARGE_BLOCK_BYTES (128 * 1024)
#define FREE_TOP_BYTES    (1024 * 1024)

static void
set_up_memory(void)
{
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, FREE_TOP_BYTES);
}

static int
load_and_run(const char *path, bool check, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *drivers)
{
	struct mst_settings *settings;
	GError *error = NULL;
	char *unknown;
	int exit_status = EXIT_SUCCESS;

	if (load_settings(&settings, &unknown, path, check, role, &error) < 0) {
		fprintf(stderr, "%s: cannot load the settings:\n%s\n", path,
		    error->message);
		g_clear_error(&error);
		g_free(unknown);
		return 2;
	}
	set_up_memory();
	mst_log_open(program, (enum mst_log_level)settings->log_level);
	if (unknown != NULL)
		mst_log(MST_LOG_WARNING, "settings-unknown", "names=%s",
		    mst_log_quote(unknown));
	g_free(unknown);
	if (!check && run(settings, drivers, &error) < 0) {
		mst_log(MST_LOG_ERROR, "failed", "reason=%s",
		    mst_log_quote(error->message));
		g_clear_error(&error);
		exit_status = EXIT_FAILURE;
	}
	mst_log_close();
	mst_settings_free(settings);
	return exit_status;
}

int
mst_daemon_main(int argc, char **argv, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *drivers)
{
	static const struct option options[] = {
	    {"settings", required_argument, NULL, 's'},
	    {"check", no_argument, NULL, 'c'}, {"help", no_argument, NULL, 'h'},
	    {0}};
	const char *path = NULL;
	bool check = false;
	int option;

	while (
	    (option = getopt_long(argc, argv, "s:ch", options, NULL)) != -1) {
		switch (option) {
		case 's':
			path = optarg;
			break;
		case 'c':
			check = true;
			break;
		case 'h':
			print_usage(stdout, program, role);
			return EXIT_SUCCESS;
		default:
			print_usage(stderr, program, role);
			return 2;
		}
	}
	if (path == NULL || optind != argc) {
		print_usage(stderr, program, role);
		return 2;
	}
	return load_and_run(path, check, program, role, run, drivers);
}
