// Reports as messages of the inner protocol.

#ifndef SOURCE_HOST_REPORT_CODEC_H_
#define SOURCE_HOST_REPORT_CODEC_H_

#include <memory>

#include "host/replica_map.h"
#include "membership/fleet_counts.h"
#include "wire/frame.h"

namespace hickoryloft::host {

// Thread-safe.
std::unique_ptr<wire::FleetCountsRowT> ToRow(
    const membership::FleetCounts& counts);
membership::FleetCounts FromRow(const wire::FleetCountsRowT& row);

std::unique_ptr<wire::PlacementNewsT> ToRow(const PlacementNews& news);
PlacementNews FromRow(const wire::PlacementNewsT& row);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REPORT_CODEC_H_
