#include "coordinator/metered_key_values.h"

#include <utility>

namespace hickoryloft::coordinator {

MeteredKeyValues::MeteredKeyValues(keyvalue::KeyValueService& service,
                                   metrics::Registry& registry)
    : m_service(service), m_registry(registry) {}

void MeteredKeyValues::Get(const std::string& key,
                           Callback<keyvalue::ReadReply> callback) {
  CallCounter("get").Add();
  m_service.Get(key, std::move(callback));
}

void MeteredKeyValues::GetPrefix(const std::string& prefix,
                                 Callback<keyvalue::ReadReply> callback) {
  CallCounter("get_prefix").Add();
  m_service.GetPrefix(prefix, std::move(callback));
}

void MeteredKeyValues::Swap(keyvalue::CompareAndSwap operation,
                            Callback<keyvalue::SwapReply> callback) {
  CallCounter("swap").Add();
  m_service.Swap(std::move(operation), std::move(callback));
}

void MeteredKeyValues::GrantLease(Duration ttl,
                                  Callback<keyvalue::LeaseReply> callback) {
  CallCounter("grant_lease").Add();
  m_service.GrantLease(ttl, std::move(callback));
}

void MeteredKeyValues::KeepAlive(keyvalue::LeaseId lease,
                                 Callback<keyvalue::LeaseReply> callback) {
  CallCounter("keep_alive").Add();
  m_service.KeepAlive(lease, std::move(callback));
}

void MeteredKeyValues::RevokeLease(keyvalue::LeaseId lease,
                                   Callback<Done> callback) {
  CallCounter("revoke_lease").Add();
  m_service.RevokeLease(lease, std::move(callback));
}

std::unique_ptr<keyvalue::Watch> MeteredKeyValues::WatchPrefix(
    const std::string& prefix,
    Revision from_revision,
    std::function<void(keyvalue::WatchBatch)> changed,
    std::function<void(Error)> ended) {
  CallCounter("watch").Add();
  return m_service.WatchPrefix(prefix, from_revision, std::move(changed),
                               std::move(ended));
}

metrics::Counter& MeteredKeyValues::CallCounter(const char* kind) {
  return m_registry.GetCounter("loft_coordinator_key_value_calls_total",
                               "Calls to the key-value service by kind.",
                               {{"kind", kind}});
}

}  // namespace hickoryloft::coordinator
