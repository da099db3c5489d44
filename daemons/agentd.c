#include <masticstall.h>

#include "platform.h"

int
main(int argc, char **argv)
{
	return mst_daemon_main(argc, argv, "masticstall-agentd",
	    MST_SETTINGS_AGENT, mst_agentd_run, platform_drivers());
}
