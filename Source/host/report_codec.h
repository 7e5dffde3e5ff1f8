// Converts reports between hosts to and from the rows of the wire protocol.

#ifndef SOURCE_HOST_REPORT_CODEC_H_
#define SOURCE_HOST_REPORT_CODEC_H_

#include <memory>

#include "fleet/change_log.h"
#include "membership/fleet_counts.h"
#include "placement/placement_state.h"
#include "wire/frame.h"

namespace hickoryloft::host {

// All functions are thread-safe.
std::unique_ptr<wire::FleetCountsRowT> ToRow(
    const membership::FleetCounts& counts);
membership::FleetCounts FromRow(const wire::FleetCountsRowT& row);

std::unique_ptr<wire::EngineDemandRowT> ToRow(
    const membership::EngineDemand& demand);
membership::EngineDemand FromRow(const wire::EngineDemandRowT& row);

wire::PlacementUpdateT ToRow(const placement::PlacementUpdate& update);
// Skips changes whose kind this version does not support.
placement::PlacementUpdate FromRow(const wire::PlacementUpdateT& row);

wire::StoreChangesT ToRow(const fleet::ChangeSpan& span);
fleet::ChangeSpan FromRow(const wire::StoreChangesT& row);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REPORT_CODEC_H_
