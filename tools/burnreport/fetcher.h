#ifndef BURNREPORT_FETCHER_H
#define BURNREPORT_FETCHER_H

#include "burn/burn_report.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <string>
#include <vector>

namespace pistachiowood::burnreport {

struct FetchOptions
{
    std::vector<SocketAddress> daemons; ///< administration ports
    Milliseconds timeout{2000}; ///< per daemon, for the whole response
    std::string token; ///< bearer credential; empty sends none
};

/// Fetches the snapshot of every daemon. A daemon that does not answer with a valid snapshot is
/// returned with the reason; the results are in the order of the addresses.
std::vector<DaemonResult> fetchSnapshots(const FetchOptions &options);

/// 1 when an alarm fires, else 3 when the report is incomplete, else 0.
int exitCodeOf(const BurnReport &report);

} // namespace pistachiowood::burnreport

#endif
