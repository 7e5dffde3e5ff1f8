// Selects the endpoint that a request is sent to.

#ifndef SOURCE_HOST_ENDPOINT_FINDER_H_
#define SOURCE_HOST_ENDPOINT_FINDER_H_

#include <functional>
#include <set>
#include <string>

#include "fleet/endpoint_entry.h"
#include "host/request_context.h"
#include "routing/service_reach.h"

namespace hickoryloft::host {

// What a request requires of an endpoint.
struct EndpointRequirements {
  ServiceId m_service;
  ModelId m_model;      // Empty for plain services.
  AdapterId m_adapter;  // Empty: the base model.
  routing::HomeRegions m_homes;
  // Endpoints that the request has already been sent to.
  std::set<EndpointId> m_tried;
};

// Examines only the endpoints that may hold the model, so the cost does not
// grow with the fleet. Keeps references to its arguments, so create one for
// each use. Use on the loop's thread only.
class EndpointFinder {
 public:
  EndpointFinder(const RequestContext& context,
                 const EndpointRequirements& requirements)
      : m_context(context), m_requirements(requirements) {}

  // Returns the endpoint to send to; null if none has a free slot. An endpoint
  // that was tried is chosen only if no other one is available and it is not
  // being avoided.
  const fleet::EndpointEntry* Choose() const;
  // Returns whether the request can be sent to any endpoint of the service.
  routing::ServiceReach Reach() const;
  // Returns whether the endpoint may ever serve the request: it is in an
  // allowed region and not in an evacuated failure domain.
  bool IsEligible(const fleet::EndpointEntry& entry) const;
  // Returns counts of the service's endpoints by availability, for the log.
  std::string Describe() const;

 private:
  routing::EndpointPlace PlaceOf(const fleet::EndpointEntry& entry) const;
  // Calls `visit` for each endpoint of the service that accepts requests and
  // may hold the model.
  void ForEachReadyEndpoint(
      const std::function<void(const fleet::EndpointEntry&)>& visit) const;
  bool CanServe(const fleet::EndpointEntry& entry) const;
  // Chooses among the endpoints that were tried (`tried`), or among those that
  // were not.
  const fleet::EndpointEntry* ChooseAmong(bool tried) const;

  const RequestContext& m_context;
  const EndpointRequirements& m_requirements;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_ENDPOINT_FINDER_H_
