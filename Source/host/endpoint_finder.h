// Finds the endpoint that a request can be sent to now.

#ifndef SOURCE_HOST_ENDPOINT_FINDER_H_
#define SOURCE_HOST_ENDPOINT_FINDER_H_

#include <functional>
#include <set>
#include <string>

#include "fleet/endpoint_entry.h"
#include "host/request_context.h"

namespace hickoryloft::host {

// What a request needs of an endpoint.
struct EndpointNeed {
  ServiceId m_service;
  ModelId m_model;      // Empty for plain services.
  AdapterId m_adapter;  // Empty: the base model.
  // Endpoints that it has been sent to.
  std::set<EndpointId> m_tried;
};

// Looks at the few endpoints that may hold the model, whatever the fleet has.
// Refers to parts of the daemon; make one where it is needed. Use on the loop's
// thread only.
class EndpointFinder {
 public:
  EndpointFinder(const RequestContext& context, const EndpointNeed& need)
      : m_context(context), m_need(need) {}

  // Returns the endpoint to send to; null if none has room. One that was tried
  // comes last, and only after a pause.
  const fleet::EndpointEntry* Choose() const;
  // Says why there may be none, for the log.
  std::string Describe() const;

 private:
  // Calls `take` for each endpoint of the service that takes requests and may
  // hold the model.
  void ForEachHolder(
      const std::function<void(const fleet::EndpointEntry&)>& take) const;
  bool Serves(const fleet::EndpointEntry& entry) const;
  // Chooses among the endpoints that were tried, or among the others.
  const fleet::EndpointEntry* ChooseAmong(bool tried) const;

  const RequestContext& m_context;
  const EndpointNeed& m_need;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_ENDPOINT_FINDER_H_
