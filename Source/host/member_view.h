// The other hosts of the system, read from their registrations.

#ifndef SOURCE_HOST_MEMBER_VIEW_H_
#define SOURCE_HOST_MEMBER_VIEW_H_

#include <map>
#include <optional>
#include <string>

#include "host/host_settings.h"
#include "host/peer_links.h"
#include "keyvalue/key_value_service.h"
#include "membership/kept_registrations.h"

namespace hickoryloft::host {

// Parses a registration only when its own revision changes, however often other
// keys change. Not thread-safe.
class MemberView {
 public:
  // Prefix of the keys of registrations.
  static constexpr char kPrefix[] = "hickoryloft/members/";

  explicit MemberView(HostId own) : m_own(std::move(own)) {}

  // Applies the product's own keys. Returns whether a registration has changed.
  // `keep_until`: see KeptRegistrations.
  bool Update(const std::map<std::string, keyvalue::KeyValue>& keys,
              std::optional<MonotonicTime> keep_until);
  // Removes the lapsed registrations whose time is over at `now`. Returns
  // whether there were any.
  bool RemoveLapsed(MonotonicTime now);

  // The newest registration of each host except this one.
  const std::map<HostId, PeerAddress>& peers() const { return m_peers; }

 private:
  using Entry = membership::KeptRegistrations::Entry;
  struct Parsed {
    Revision m_revision = 0;
    std::optional<PeerAddress> m_peer;  // Absent if unreadable.
  };

  const std::optional<PeerAddress>& Parse(const std::string& key,
                                          const Entry& entry);
  void BuildPeers();
  void LogChanges(const std::map<HostId, PeerAddress>& before) const;

  HostId m_own;
  membership::KeptRegistrations m_registrations{kPrefix};
  std::map<std::string, Parsed> m_parsed;
  std::map<HostId, PeerAddress> m_peers;
};

// Return the key and the value of a host's registration. Thread-safe.
std::string RegistrationKey(const HostSettings& settings,
                            Incarnation incarnation);
std::string RegistrationText(const HostSettings& settings,
                             Incarnation incarnation);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_MEMBER_VIEW_H_
