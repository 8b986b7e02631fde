#ifndef PISTACHIOWOOD_BURN_SNAPSHOT_CODEC_H
#define PISTACHIOWOOD_BURN_SNAPSHOT_CODEC_H

#include "burn/service_metrics.h"

#include <pistachiowood/error.h>

#include <string>
#include <string_view>

namespace pistachiowood {

inline constexpr std::size_t maxSnapshotBytes = 32 * 1024 * 1024;

/// JSON form of a snapshot, as served at GET /v1/burn/local.
std::string encodeSnapshot(const MetricsSnapshot &snapshot);

/// Parses a snapshot of another daemon. Unknown fields, values outside their limits and repeated
/// services are refused; the error names the field.
Result<MetricsSnapshot> decodeSnapshot(std::string_view text);

} // namespace pistachiowood

#endif
