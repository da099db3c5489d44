#ifndef MST_DAEMON_H
#define MST_DAEMON_H

/** Entry points of the daemons, called by their programs. */

#include <glib.h>
#include <masticstall/settings.h>

/** Drivers of the platform that a daemon runs on. */
struct mst_drivers;

/**
 * Runs an entry until it has stopped gracefully.
 *
 * @param settings validated settings of an entry
 * @param drivers drivers of the platform; unused if the settings name no
 *     platform
 * @param error set on failure
 * @return 0 after a graceful stop, or -1 if the entry could not start
 */
int mst_entryd_run(const struct mst_settings *settings,
    const struct mst_drivers *drivers, GError **error);

/**
 * Runs an agent until it has stopped gracefully.
 *
 * @param settings validated settings of an agent
 * @param drivers drivers of the platform; unused if the settings name no
 *     platform
 * @param error set on failure
 * @return 0 after a graceful stop, or -1 if the agent could not start
 */
int mst_agentd_run(const struct mst_settings *settings,
    const struct mst_drivers *drivers, GError **error);

/** Function that runs a daemon: mst_entryd_run() or mst_agentd_run(). */
typedef int (*mst_daemon_run_cb)(const struct mst_settings *settings,
    const struct mst_drivers *drivers, GError **error);

/**
 * Parses the command line of a daemon, loads its settings and runs it.
 *
 * @param argc number of arguments, as passed to main()
 * @param argv arguments, as passed to main()
 * @param program name of the program in messages and logs
 * @param role role whose settings are loaded
 * @param run function that runs the daemon
 * @param drivers drivers of the platform
 * @return the exit status: 0 if the daemon stopped gracefully or the checked
 *     settings are valid, 1 on failure, 2 on wrong usage or if the settings
 *     cannot be loaded
 */
int mst_daemon_main(int argc, char **argv, const char *program,
    enum mst_settings_role role, mst_daemon_run_cb run,
    const struct mst_drivers *drivers);

#endif
