// Converts the coordinator's endpoint updates to the types of routing.

#ifndef SOURCE_ENTRY_ENDPOINT_VIEW_H_
#define SOURCE_ENTRY_ENDPOINT_VIEW_H_

#include "messages_generated.h"
#include "routing/endpoint_table.h"
#include "routing/load_tracker.h"

namespace hickoryloft::entry {

// Applies `update`, received at `now`, to `table` and `loads`. Not thread-safe.
void ApplyEndpointUpdate(const wire::EndpointUpdateT& update,
                         MonotonicTime now,
                         routing::EndpointTable& table,
                         routing::LoadTracker& loads);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENDPOINT_VIEW_H_
