#include <masticstall.h>

#include "platform.h"

int
main(int argc, char **argv)
{
	return mst_daemon_main(argc, argv, "masticstall-entryd",
	    MST_SETTINGS_ENTRY, mst_entryd_run, platform_drivers());
}
