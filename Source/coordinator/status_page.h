// The status page for operators.

#ifndef SOURCE_COORDINATOR_STATUS_PAGE_H_
#define SOURCE_COORDINATOR_STATUS_PAGE_H_

#include <nlohmann/json.hpp>

#include "coordinator/coordinator.h"

namespace hickoryloft::coordinator {

// Returns members, claims with holder and fencing number, documents with
// revision, and this host's right to serve.
nlohmann::json MakeStatus(const Coordinator& coordinator);

// Returns the documents in force, by service.
nlohmann::json ListDocuments(const Coordinator& coordinator);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_STATUS_PAGE_H_
