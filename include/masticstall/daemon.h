#ifndef MST_DAEMON_H
#define MST_DAEMON_H

/** The daemons as functions; the programs only read the command line. */

#include <glib.h>
#include <masticstall/settings.h>

/** The platform that a daemon runs on, beside its own interfaces. */
struct mst_drivers;

/**
 * Runs an entry until it has stopped gracefully.
 *
 * @param settings checked settings of an entry
 * @param ports the platform, for settings that name one
 * @param error set on failure
 * @return 0 after a graceful stop, or -1 when it could not start
 */
int mst_entryd_run(const struct mst_settings *settings,
    const struct mst_drivers *ports, GError **error);

/**
 * Runs an agent until it has stopped gracefully.
 *
 * @param settings checked settings of an agent
 * @param ports the platform, for settings that name one
 * @param error set on failure
 * @return 0 after a graceful stop, or -1 when it could not start
 */
int mst_agentd_run(const struct mst_settings *settings,
    const struct mst_drivers *ports, GError **error);

/** Runs a daemon by its settings; see the two functions above. */
typedef int (*mst_daemon_run_cb)(const struct mst_settings *settings,
    const struct mst_drivers *ports, GError **error);

/**
 * Reads a daemon's command line and settings, and runs it.
 *
 * @param argc as of main()
 * @param argv as of main()
 * @param program name for messages and logs
 * @param role whose settings are read
 * @param run the daemon
 * @param ports the platform
 * @return the exit code: 0 stopped or valid, 1 failed, 2 wrong usage
 */
int mst_daemon_main(int argc, char **argv, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *ports);

#endif
