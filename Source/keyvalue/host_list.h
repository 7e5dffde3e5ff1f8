// Interface to the platform's host list, which lists the hosts and whether they
// are leaving. The list is updated with a delay.

#ifndef SOURCE_KEYVALUE_HOST_LIST_H_
#define SOURCE_KEYVALUE_HOST_LIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace hickoryloft::keyvalue {

enum class ListedRole { kHost, kEngine, kService };

// One entry of the host list. For engines and plain services it is an endpoint.
struct ListedTarget {
  std::string m_name;
  std::string m_address;  // An IP number.
  std::uint16_t m_port = 0;
  ListedRole m_role = ListedRole::kHost;
  FailureDomainId m_failure_domain;
  ServiceId m_service;  // For kService: the plain service's name.
  bool m_leaving = false;
};

// Reads the host list. Use on the loop's thread only.
class HostList {
 public:
  virtual ~HostList() = default;

  // Calls `callback` once with the current list, or with kUnavailable,
  // kTimedOut or kProtocol.
  virtual void Fetch(
      std::function<void(Result<std::vector<ListedTarget>>)> callback) = 0;
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_HOST_LIST_H_
