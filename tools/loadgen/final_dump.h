#ifndef LOADGEN_FINAL_DUMP_H
#define LOADGEN_FINAL_DUMP_H

#include "net/event_loop.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <string>
#include <vector>

namespace pistachiowood::loadgen {

struct DumpOptions
{
    std::vector<SocketAddress> daemons;
    std::vector<std::string> services;
    std::uint64_t seed = 1;
    std::size_t keys = 100;
    Milliseconds deadline{2000};
    Milliseconds patience{60000}; ///< time for the whole dump, including repeated requests
};

/// Writes the content of every key as JSON lines. Commits an append to a key of its own per service
/// first: its token makes the reads contain every write that was committed before.
Result<void> dumpFinal(const DumpOptions &options, const std::string &fileName);

} // namespace pistachiowood::loadgen

#endif
