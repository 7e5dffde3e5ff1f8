// The other hosts of the system, read from their registrations.

#ifndef SOURCE_HOST_MEMBER_VIEW_H_
#define SOURCE_HOST_MEMBER_VIEW_H_

#include <map>
#include <optional>
#include <string>

#include "host/host_settings.h"
#include "host/peer_links.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::host {

// Parses a registration only when its own revision changes, however often other
// keys change. Not thread-safe.
class MemberView {
 public:
  // Prefix of the keys of registrations.
  static constexpr char kPrefix[] = "hickoryloft/members/";

  explicit MemberView(HostId own) : m_own(std::move(own)) {}

  // Applies the product's own keys. Returns whether a registration has changed.
  // `keep_until`: registrations that are gone are kept until then, because they
  // may have lapsed in an outage of the key-value service while their hosts
  // went on. Without it they are removed.
  bool Update(const std::map<std::string, keyvalue::KeyValue>& keys,
              std::optional<MonotonicTime> keep_until);
  // Removes the kept registrations whose time is over at `now`. Returns whether
  // there were any.
  bool RemoveLapsed(MonotonicTime now);

  // The newest registration of each host except this one.
  const std::map<HostId, PeerAddress>& peers() const { return m_peers; }

 private:
  struct Registered {
    Revision m_revision = 0;
    std::optional<PeerAddress> m_peer;  // Absent if unreadable.
    std::optional<MonotonicTime> m_kept_until;
  };

  bool RemoveMissing(const std::map<std::string, keyvalue::KeyValue>& keys,
                     std::optional<MonotonicTime> keep_until);
  void BuildPeers();
  void LogChanges(const std::map<HostId, PeerAddress>& before) const;

  HostId m_own;
  std::map<std::string, Registered> m_registered;
  std::map<HostId, PeerAddress> m_peers;
};

// Return the key and the value of a host's registration. Thread-safe.
std::string RegistrationKey(const HostSettings& settings,
                            Incarnation incarnation);
std::string RegistrationText(const HostSettings& settings,
                             Incarnation incarnation);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_MEMBER_VIEW_H_
