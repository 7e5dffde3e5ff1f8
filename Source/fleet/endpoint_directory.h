// The endpoints that hosts may send requests to.

#ifndef SOURCE_FLEET_ENDPOINT_DIRECTORY_H_
#define SOURCE_FLEET_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "fleet/endpoint_entry.h"

namespace hickoryloft::fleet {

// Applies registrations and their removal. An entry whose registration may
// merely have lapsed in an outage of the key-value service is kept for a while,
// since running endpoints register again once the service works. Not
// thread-safe; the times passed in must not decrease.
class EndpointDirectory {
 public:
  // The effect of a change on an endpoint. kNone includes a registration that
  // is older than the current one.
  enum class Change { kNone, kAdded, kUpdated, kRestarted, kRemoved, kLapsed };

  // Why a registration that was known is missing from all registrations read.
  enum class Absence {
    kRemoved,      // It was removed, or lapsed.
    kHistoryLost,  // The service may have lost it, with other late changes.
  };

  Change Put(EndpointEntry entry);
  // Handles the removal of a registration. `keep_until`: the registration may
  // merely have lapsed; the entry is kept until then unless the endpoint
  // registers again. Nothing: the endpoint has left.
  Change Remove(const EndpointId& id, std::optional<MonotonicTime> keep_until);
  // Handles every entry that is missing from `present` as removed. Returns the
  // endpoints that were removed at once, with the start of their incarnation.
  std::map<EndpointId, std::int64_t> RetainOnly(
      const std::unordered_set<EndpointId>& present,
      std::optional<MonotonicTime> keep_until,
      Absence absence);
  // Removes lapsed entries that are not to be kept any longer, and returns
  // their ids, with the start of their incarnation.
  std::map<EndpointId, std::int64_t> DropLapsed(MonotonicTime now);

  // Records that the incarnation of the endpoint that started at
  // `started_at_ms` is leaving. Later registrations of this incarnation do not
  // undo it. Returns whether this was not recorded yet.
  bool MarkLeaving(const EndpointId& id, std::int64_t started_at_ms);
  // Records that the incarnation of the endpoint says that it is cold until
  // `until`.
  void MarkCold(const EndpointId& id,
                std::int64_t started_at_ms,
                MonotonicTime until);
  // Records that the endpoint's failure domain has been taken back and that the
  // endpoint is taken for cold until `until`.
  void MarkReturning(const EndpointId& id, MonotonicTime until);
  // Replaces the failure domains that are emptied, for present endpoints and
  // for those that register later. Returns the endpoints that it changes.
  std::vector<EndpointId> SetEvacuations(
      std::map<FailureDomainId, Evacuation> evacuations);
  // The endpoints recorded as leaving, with the start of their incarnation
  // (Unix time in milliseconds).
  const std::map<EndpointId, std::int64_t>& leaving() const {
    return m_leaving;
  }

  const EndpointEntry* Find(const EndpointId& id) const;
  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  // The endpoints whose registration lists `model`.
  const std::set<EndpointId>& EndpointsWithModel(const ModelId& model) const;
  const std::set<EndpointId>& EndpointsOf(const ServiceId& service) const;
  // Increases with each change.
  std::uint64_t version() const { return m_version; }

 private:
  // Orders the registrations of one endpoint.
  struct RegistrationVersion {
    std::int64_t m_started_at_ms = 0;
    std::int64_t m_number = 0;
    friend bool operator<(const RegistrationVersion& left,
                          const RegistrationVersion& right) {
      return std::tie(left.m_started_at_ms, left.m_number) <
             std::tie(right.m_started_at_ms, right.m_number);
    }
  };

  struct Lapse {
    MonotonicTime m_until;
    Absence m_absence = Absence::kRemoved;
  };

  // Limit of the records of removed endpoints, and of those of leaving ones.
  static constexpr std::size_t kMaxRemoved = 1024;

  static RegistrationVersion VersionOf(const EndpointEntry& entry) {
    return {entry.m_started_at_ms, entry.m_number};
  }

  Evacuation EvacuationOf(const FailureDomainId& domain) const;
  void RemoveEntry(const EndpointId& id, Absence absence);
  // Add an entry to the indices, and remove it from them.
  void AddToIndices(const EndpointEntry& entry);
  void RemoveFromIndices(const EndpointEntry& entry);

  std::map<EndpointId, EndpointEntry> m_entries;
  std::unordered_map<ModelId, std::set<EndpointId>> m_by_model;
  std::unordered_map<ServiceId, std::set<EndpointId>> m_by_service;
  std::map<EndpointId, Lapse> m_lapsed;
  // The last registration of removed endpoints. A registration that is not
  // newer and arrives after the removal is ignored: it was written late, or is
  // back with an older copy of the service's data.
  std::map<EndpointId, RegistrationVersion> m_removed;
  std::map<EndpointId, std::int64_t> m_leaving;
  std::map<FailureDomainId, Evacuation> m_evacuations;
  std::uint64_t m_version = 0;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_ENDPOINT_DIRECTORY_H_
