// The registrations of hosts that count: those in the key-value service, and
// for a while those that may have lapsed in an outage while their hosts went
// on.

#ifndef SOURCE_MEMBERSHIP_KEPT_REGISTRATIONS_H_
#define SOURCE_MEMBERSHIP_KEPT_REGISTRATIONS_H_

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::membership {

// Not thread-safe.
class KeptRegistrations {
 public:
  struct Entry {
    Revision m_revision = 0;
    std::string m_value;
    // Set if the registration has lapsed.
    std::optional<MonotonicTime> m_kept_until;

    // Whether this registration of a host goes before `other`, of the same
    // host. A restored service may give a new registration a lower revision
    // than a lapsed one.
    bool Supersedes(const Entry& other) const;
  };

  // `prefix`: of the keys of registrations.
  explicit KeptRegistrations(std::string prefix)
      : m_prefix(std::move(prefix)) {}

  // Applies the keys of the service. Returns whether an entry has changed.
  // Registrations that are gone are kept until `keep_until`, because they may
  // have lapsed in an outage; without it they are removed.
  bool Update(const std::map<std::string, keyvalue::KeyValue>& keys,
              std::optional<MonotonicTime> keep_until);
  // Removes the lapsed registrations whose time is over at `now`. Returns
  // whether there were any.
  bool RemoveLapsed(MonotonicTime now);

  // By key.
  const std::map<std::string, Entry>& entries() const { return m_entries; }

 private:
  bool RemoveMissing(const std::map<std::string, keyvalue::KeyValue>& keys,
                     std::optional<MonotonicTime> keep_until);

  std::string m_prefix;
  std::map<std::string, Entry> m_entries;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_KEPT_REGISTRATIONS_H_
