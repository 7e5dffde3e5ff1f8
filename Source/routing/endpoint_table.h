// The endpoints that requests can be sent to, indexed by what they serve.

#ifndef SOURCE_ROUTING_ENDPOINT_TABLE_H_
#define SOURCE_ROUTING_ENDPOINT_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

enum class EndpointRole { kEngine, kService };

// An artifact on an engine, under its served name.
struct Replica {
  std::string m_served_name;
  bool m_ready = false;
  std::optional<MonotonicTime> m_ready_at;  // Estimated, while loading.
};

struct EndpointRecord {
  EndpointId m_id;
  EndpointRole m_role = EndpointRole::kEngine;
  ServiceId m_service;    // For kService: the plain service.
  std::string m_address;  // An IP address.
  std::uint16_t m_port = 0;
  FailureDomainId m_failure_domain;
  bool m_leaving = false;
  std::vector<Replica> m_replicas;
};

// Indexes endpoints by the artifact or plain service that they serve. Lookups
// never return an endpoint that is leaving or draining. Not thread-safe.
// Pointers to records stay valid until the next change of the table.
class EndpointTable {
 public:
  using Candidates = std::vector<const EndpointRecord*>;

  // How long MarkLeaving() takes precedence over updates, which may be older
  // than the endpoint's own announcement.
  static constexpr Duration kLeavingHintHold = seconds(60);

  // Replaces all endpoints.
  void ReplaceAll(std::vector<EndpointRecord> records);
  // Adds or replaces one endpoint.
  void Update(EndpointRecord record);
  void Remove(const EndpointId& id);

  // Records that the endpoint itself announced that it is leaving.
  void MarkLeaving(const EndpointId& id, MonotonicTime now);
  // Removes the replica of `served_name` until the next update of the endpoint,
  // after the engine answered that the artifact is not loaded.
  void MarkNotLoaded(const EndpointId& id, const std::string& served_name);
  // Sets the endpoints that the documents mark as draining.
  void SetDraining(std::set<EndpointId> draining);
  // Drops MarkLeaving() entries older than kLeavingHintHold.
  void ExpireHints(MonotonicTime now);

  // Returns the endpoints with a ready replica of `served_name`.
  const Candidates& Ready(const std::string& served_name) const;
  // Returns the endpoints of a plain service.
  const Candidates& Service(const ServiceId& service) const;
  // Returns when a loading replica of `served_name` is expected to be ready.
  std::optional<MonotonicTime> ReadyAt(const std::string& served_name) const;

  const EndpointRecord* Find(const EndpointId& id) const;
  std::size_t size() const { return m_records.size(); }

 private:
  bool Offered(const EndpointRecord& record) const;
  void Index(const EndpointRecord& record);
  void Unindex(const EndpointRecord& record);
  void Reindex();

  std::unordered_map<EndpointId, std::unique_ptr<EndpointRecord>> m_records;
  std::unordered_map<std::string, Candidates> m_ready;
  std::unordered_map<std::string, Candidates> m_loading;
  std::unordered_map<ServiceId, Candidates> m_services;
  std::unordered_map<EndpointId, MonotonicTime> m_leaving_hints;
  std::set<EndpointId> m_draining;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_TABLE_H_
