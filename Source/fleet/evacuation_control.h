// Applies operators' requests to empty failure domains to the endpoints.

#ifndef SOURCE_FLEET_EVACUATION_CONTROL_H_
#define SOURCE_FLEET_EVACUATION_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "fleet/configuration_view.h"
#include "fleet/endpoint_directory.h"
#include "fleet/evacuations.h"
#include "fleet/protocols.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// Decodes the requests, keeps the state of each failure domain on its
// endpoints, and logs each change. Not thread-safe; the times passed in must
// not decrease.
class EvacuationControl {
 public:
  // What the host knew when it heard of changes.
  struct Knowledge {
    MonotonicTime m_now;
    // The changes were made after this time; nothing: any time ago.
    std::optional<MonotonicTime> m_complete_until;
    const ConfigurationView* m_configuration = nullptr;  // Null: none yet.
    const char* m_source = "";  // From where it heard, for the log.
  };

  // `endpoint_changed` is called for each endpoint whose state has changed. The
  // references must outlive the object.
  EvacuationControl(const FleetDecoder& decoder,
                    EndpointDirectory& directory,
                    std::function<void(const EndpointId&)> endpoint_changed);

  // Sets the time after which no request may reach a domain that is emptied.
  void SetBound(Duration bound) { m_evacuations.SetBound(bound); }

  // Apply a request that was written or removed. Keys that name no failure
  // domain are logged and ignored.
  void Put(const keyvalue::KeyValue& item, const Knowledge& knowledge);
  void Remove(const keyvalue::KeyValue& item, const Knowledge& knowledge);
  // Applies a complete read: `items` are all requests. `keep_until`: see
  // Evacuations::RetainOnly().
  void ReplaceAll(const std::vector<keyvalue::KeyValue>& items,
                  std::optional<MonotonicTime> keep_until,
                  const Knowledge& knowledge);
  // Applies what the passing of time changes; call several times a second.
  void Tick(const Knowledge& knowledge);

  // The state of each failure domain with a request.
  const std::map<FailureDomainId, Evacuation>& states() const {
    return m_states;
  }

 private:
  static constexpr Duration kDefaultBound = seconds(5);

  // Returns the failure domain that the key names, or nothing if it names none.
  std::optional<FailureDomainId> DomainOf(const keyvalue::KeyValue& item) const;
  void Begin(const FailureDomainId& domain,
             const keyvalue::KeyValue& item,
             const Knowledge& knowledge);
  // Lets the endpoints of `domain` be used again, as if they had just started.
  void TakeBack(const FailureDomainId& domain, const Knowledge& knowledge);
  std::uint64_t EndpointsIn(const FailureDomainId& domain) const;
  // Puts the present state of each domain on its endpoints.
  void UpdateEndpoints(MonotonicTime now);

  const FleetDecoder& m_decoder;
  EndpointDirectory& m_directory;
  std::function<void(const EndpointId&)> m_endpoint_changed;
  Evacuations m_evacuations{kDefaultBound};
  std::map<FailureDomainId, Evacuation> m_states;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_EVACUATION_CONTROL_H_
