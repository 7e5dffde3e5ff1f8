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

// Applies registrations and their removal. An entry that goes missing while the
// key-value service was disturbed is kept for a short while, since endpoints
// that live register again once it is back. Not thread-safe; the times given
// must not decrease.
class EndpointDirectory {
 public:
  // What a change did to an endpoint.
  // kNone: also a registration older than the one known.
  enum class Change { kNone, kAdded, kUpdated, kRestarted, kRemoved, kLapsed };

  // A lapsed entry is kept this long after the service's return: less than the
  // time for which a leaving endpoint may still be sent requests.
  static constexpr Duration kLapsedGrace = milliseconds(1800);

  Change Put(EndpointEntry entry);
  // The registration has been removed. `disturbed`: the key-value service has
  // not worked without a fault lately, so the removal may be a lapse.
  Change Remove(const EndpointId& id, bool disturbed, MonotonicTime now);
  // Treats every entry that `present` does not list as removed.
  std::vector<EndpointId> RetainOnly(
      const std::unordered_set<EndpointId>& present,
      bool disturbed,
      MonotonicTime now);
  // Drops lapsed entries whose grace is over, and returns them.
  std::vector<EndpointId> DropLapsed(MonotonicTime now);

  // The incarnation of the endpoint that started at `started_at_ms` has said
  // that it is leaving. Later registrations of this incarnation do not undo it.
  // Returns whether this is news.
  bool NoteLeaving(const EndpointId& id, std::int64_t started_at_ms);
  // The endpoints that have said so, with the start of the incarnation.
  const std::map<EndpointId, std::int64_t>& leaving() const {
    return m_leaving;
  }

  const EndpointEntry* Find(const EndpointId& id) const;
  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  // The endpoints whose registration lists `model`.
  const std::set<EndpointId>& HoldersOf(const ModelId& model) const;
  const std::set<EndpointId>& EndpointsOf(const ServiceId& service) const;
  // Grows with each change.
  std::uint64_t version() const { return m_version; }

 private:
  // Where in an endpoint's life a registration stands.
  struct Position {
    std::int64_t m_started_at_ms = 0;
    std::int64_t m_number = 0;
    friend bool operator<(const Position& left, const Position& right) {
      return std::tie(left.m_started_at_ms, left.m_number) <
             std::tie(right.m_started_at_ms, right.m_number);
    }
  };

  // Endpoints that are gone are remembered up to this number.
  static constexpr std::size_t kMaxGone = 1024;

  static Position PositionOf(const EndpointEntry& entry) {
    return {entry.m_started_at_ms, entry.m_number};
  }

  void Forget(const EndpointId& id);
  // Enter an entry into the indices, and take it out.
  void Index(const EndpointEntry& entry);
  void Unindex(const EndpointEntry& entry);

  std::map<EndpointId, EndpointEntry> m_entries;
  std::unordered_map<ModelId, std::set<EndpointId>> m_holders;
  std::unordered_map<ServiceId, std::set<EndpointId>> m_by_service;
  std::map<EndpointId, MonotonicTime> m_lapsed_until;
  // The last registration of endpoints that are gone: one that arrives after
  // the removal does not bring them back.
  std::map<EndpointId, Position> m_gone;
  std::map<EndpointId, std::int64_t> m_leaving;
  std::uint64_t m_version = 0;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_ENDPOINT_DIRECTORY_H_
