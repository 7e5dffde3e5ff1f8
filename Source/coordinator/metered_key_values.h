// Counts the calls to the key-value service by kind.

#ifndef SOURCE_COORDINATOR_METERED_KEY_VALUES_H_
#define SOURCE_COORDINATOR_METERED_KEY_VALUES_H_

#include <memory>
#include <string>

#include "metrics/registry.h"
#include "platform/key_value_service.h"

namespace hickoryloft::coordinator {

// Passes every call on to another service, which must outlive it. Use on the
// loop's thread only.
class MeteredKeyValues : public platform::KeyValueService {
 public:
  MeteredKeyValues(platform::KeyValueService& service,
                   metrics::Registry& registry);

  void Get(const std::string& key,
           Callback<platform::ReadReply> callback) override;
  void GetPrefix(const std::string& prefix,
                 Callback<platform::ReadReply> callback) override;
  void Swap(platform::CompareAndSwap operation,
            Callback<platform::SwapReply> callback) override;
  void GrantLease(Duration ttl,
                  Callback<platform::LeaseReply> callback) override;
  void KeepAlive(platform::LeaseId lease,
                 Callback<platform::LeaseReply> callback) override;
  void RevokeLease(platform::LeaseId lease, Callback<Done> callback) override;
  std::unique_ptr<platform::Watch> WatchPrefix(
      const std::string& prefix,
      Revision from_revision,
      std::function<void(platform::WatchBatch)> changed,
      std::function<void(Error)> ended) override;

 private:
  metrics::Counter& CallsOf(const char* kind);

  platform::KeyValueService& m_service;
  metrics::Registry& m_registry;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_METERED_KEY_VALUES_H_
