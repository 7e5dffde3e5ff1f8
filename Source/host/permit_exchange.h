// Asks for permits to send requests to endpoints that limit the requests of all
// hosts together, and issues them to the other hosts.

#ifndef SOURCE_HOST_PERMIT_EXCHANGE_H_
#define SOURCE_HOST_PERMIT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "admission/endpoint_limits.h"
#include "admission/held_permits.h"
#include "admission/permit_issuer.h"
#include "base/event_loop.h"
#include "fleet/endpoint_entry.h"
#include "fleet/fleet_state_feed.h"
#include "host/fleet_exchange.h"

namespace hickoryloft::host {

// The permits of an endpoint are issued by one host, which rendezvous hashing
// chooses among the members. A lost message costs a permit. Use on the loop's
// thread only.
class PermitExchange {
 public:
  // `on_permit` is called when a permit has arrived or may be asked for again.
  // `knowledge` and `exchange` must outlive this object.
  PermitExchange(EventLoop& loop,
                 HostId host,
                 const fleet::FleetStateFeed& knowledge,
                 FleetExchange& exchange,
                 std::function<void()> on_permit);

  // Records the limit named in an answer of the endpoint's incarnation; nothing
  // if it named none.
  void RecordAnswer(const EndpointId& endpoint,
                    std::int64_t started_at_ms,
                    std::optional<double> requests_per_second);
  // Returns whether a request may be sent to the endpoint now.
  bool MaySend(const fleet::EndpointEntry& entry) const;
  // Uses the permit, if the endpoint needs one. Precondition: MaySend().
  void Use(const fleet::EndpointEntry& entry) { m_held.Use(entry.m_id); }
  // Asks for a permit unless that was done recently. `urgent`: a request waits
  // for this endpoint.
  void Ask(const fleet::EndpointEntry& entry, bool urgent);
  // The endpoints that name a limit; cold ones are not among them.
  std::vector<EndpointId> LimitedEndpoints() const {
    return m_limits.Limited();
  }

 private:
  // Returns the requests a second that the endpoint takes from all hosts now,
  // since it says so or is cold; nothing: any number.
  std::optional<double> LimitOf(const fleet::EndpointEntry& entry) const;
  HostId IssuerOf(const EndpointId& endpoint) const;
  void HandleMessage(const wire::EnvelopeT& envelope);
  void HandleReply(const EndpointId& endpoint, std::optional<Duration> wait);

  EventLoop& m_loop;
  HostId m_host;
  const fleet::FleetStateFeed& m_knowledge;
  FleetExchange& m_exchange;
  std::function<void()> m_on_permit;
  std::unique_ptr<Timer> m_ask_again;
  admission::EndpointLimits m_limits;
  admission::HeldPermits m_held;
  admission::PermitIssuer m_issuer;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_PERMIT_EXCHANGE_H_
