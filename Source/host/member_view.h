// The other hosts of the system, as their registrations describe them.

#ifndef SOURCE_HOST_MEMBER_VIEW_H_
#define SOURCE_HOST_MEMBER_VIEW_H_

#include <map>
#include <optional>
#include <string>

#include "host/host_settings.h"
#include "host/peer_links.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::host {

// Reads each registration once, however often other keys change. Not
// thread-safe.
class MemberView {
 public:
  // Every registration's key begins with this.
  static constexpr char kPrefix[] = "hickoryloft/members/";

  explicit MemberView(HostId own) : m_own(std::move(own)) {}

  // Takes the system's own keys. Returns whether the peers have changed.
  bool Follow(const std::map<std::string, keyvalue::KeyValue>& keys);

  // The newest registration of each host but this one.
  const std::map<HostId, PeerAddress>& peers() const { return m_peers; }

 private:
  struct Registered {
    Revision m_revision = 0;
    std::optional<PeerAddress> m_peer;  // Absent if unreadable.
  };

  void LogChanges(const std::map<HostId, PeerAddress>& before) const;

  HostId m_own;
  std::map<std::string, Registered> m_registered;
  std::map<HostId, PeerAddress> m_peers;
};

// Returns the registration of the host of `settings`. Thread-safe.
std::string RegistrationKey(const HostSettings& settings,
                            Incarnation incarnation);
std::string RegistrationText(const HostSettings& settings,
                             Incarnation incarnation);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_MEMBER_VIEW_H_
