// Counts calls to the key-value service by kind.

#ifndef SOURCE_COORDINATOR_METERED_KEY_VALUES_H_
#define SOURCE_COORDINATOR_METERED_KEY_VALUES_H_

#include <memory>
#include <string>

#include "keyvalue/key_value_service.h"
#include "metrics/registry.h"

namespace hickoryloft::coordinator {

// Forwards every call to another service, which must outlive it. Use on the
// loop's thread only.
class MeteredKeyValues : public keyvalue::KeyValueService {
 public:
  MeteredKeyValues(keyvalue::KeyValueService& service,
                   metrics::Registry& registry);

  void Get(const std::string& key,
           Callback<keyvalue::ReadReply> callback) override;
  void GetPrefix(const std::string& prefix,
                 Callback<keyvalue::ReadReply> callback) override;
  void Swap(keyvalue::CompareAndSwap operation,
            Callback<keyvalue::SwapReply> callback) override;
  void GrantLease(Duration ttl,
                  Callback<keyvalue::LeaseReply> callback) override;
  void KeepAlive(keyvalue::LeaseId lease,
                 Callback<keyvalue::LeaseReply> callback) override;
  void RevokeLease(keyvalue::LeaseId lease, Callback<Done> callback) override;
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string& prefix,
      Revision from_revision,
      std::function<void(keyvalue::WatchBatch)> changed,
      std::function<void(Error)> ended) override;

 private:
  metrics::Counter& CallCounter(const char* kind);

  keyvalue::KeyValueService& m_service;
  metrics::Registry& m_registry;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_METERED_KEY_VALUES_H_
