#ifndef MASTICSTALL_H
#define MASTICSTALL_H

/** Includes all public headers of the library. */

#include <masticstall/agent.h>
#include <masticstall/config.h>
#include <masticstall/daemon.h>
#include <masticstall/entry.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>
#include <masticstall/record.h>
#include <masticstall/seqset.h>
#include <masticstall/settings.h>
#include <masticstall/tuning.h>
#include <masticstall/version.h>
#include <masticstall/worker.h>

#endif
