// The operators' status page.

#ifndef SOURCE_COORDINATOR_STATUS_PAGE_H_
#define SOURCE_COORDINATOR_STATUS_PAGE_H_

#include <nlohmann/json.hpp>

#include "coordinator/coordinator.h"

namespace hickoryloft::coordinator {

// Returns the members, the claims with holder and fencing number, the documents
// with revision, and for how long this host may serve.
nlohmann::json MakeStatus(const Coordinator& coordinator);

// Returns the documents in force, by service.
nlohmann::json ListDocuments(const Coordinator& coordinator);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_STATUS_PAGE_H_
