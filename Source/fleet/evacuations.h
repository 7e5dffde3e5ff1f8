// The failure domains that operators have asked to empty.

#ifndef SOURCE_FLEET_EVACUATIONS_H_
#define SOURCE_FLEET_EVACUATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/endpoint_entry.h"

namespace hickoryloft::fleet {

// Decides how far each of these failure domains is emptied. In the first part
// of the bound, other domains load what only this one holds, and requests that
// no other domain can serve still go there. Not thread-safe; the times passed
// in must not decrease.
class Evacuations {
 public:
  // Share of the bound in which a domain is a last resort. The rest covers
  // requests on their way to endpoints and a busy host.
  static constexpr double kEmptyingShare = 0.6;

  // `bound`: the time from an operator's request after which no request may
  // reach the domain.
  explicit Evacuations(Duration bound) : m_bound(bound) {}
  void SetBound(Duration bound) { m_bound = bound; }

  // Records the request to empty `domain`, made after `not_before`; nothing if
  // it may have been made any time ago. A repeated request changes nothing.
  // Returns whether the domain was not being emptied.
  bool Begin(const FailureDomainId& domain,
             std::optional<MonotonicTime> not_before);
  // Records that the domain is taken back. Returns whether it was evacuated.
  bool End(const FailureDomainId& domain);
  // Handles the domains without a request in a complete read. `keep_until`: the
  // read came from an older copy of the service's data, and operators write
  // again what it lacks, so a domain stays evacuated until then. Returns the
  // domains that are taken back at once.
  std::vector<FailureDomainId> RetainOnly(
      const std::set<FailureDomainId>& requested,
      std::optional<MonotonicTime> keep_until);
  // Takes back the domains whose time in RetainOnly() is over, and returns
  // them.
  std::vector<FailureDomainId> DropUnconfirmed(MonotonicTime now);

  // Returns the state of each domain with a request.
  std::map<FailureDomainId, Evacuation> States(MonotonicTime now) const;

 private:
  struct Request {
    // The request was made after this time; nothing: any time ago.
    std::optional<MonotonicTime> m_not_before;
    // The service may have lost the request; it ends then if it is not
    // repeated.
    std::optional<MonotonicTime> m_keep_until;
  };

  Duration m_bound;
  std::map<FailureDomainId, Request> m_requests;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_EVACUATIONS_H_
