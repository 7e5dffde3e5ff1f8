// Client of the key-value service over the etcd v3 JSON gateway.

#ifndef SOURCE_KEYVALUE_ETCD_CLIENT_H_
#define SOURCE_KEYVALUE_ETCD_CLIENT_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/event_loop.h"
#include "base/ids.h"
#include "base/time.h"
#include "keyvalue/http_client.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::keyvalue {

struct EtcdClientSettings {
  std::string m_address;  // An IP number.
  std::uint16_t m_port = 0;
  HostId m_host;  // Sent as User-Agent "hickoryloft/<host>".
  Duration m_timeout = seconds(2);
  std::size_t m_max_connections = 8;
  // A watch that receives nothing for this long counts as broken. The service
  // sends progress notifications more often.
  Duration m_watch_idle_timeout = seconds(900);
};

// The service counts lease times in whole seconds: GrantLease() rounds up, and
// its reply has the granted time. No callback is called after the client is
// destroyed. Use on the loop's thread only.
class EtcdClient : public KeyValueService {
 public:
  // Precondition: `loop` outlives the client.
  EtcdClient(EventLoop& loop, const EtcdClientSettings& settings);

  void Get(const std::string& key, Callback<ReadReply> callback) override;
  void GetPrefix(const std::string& prefix,
                 Callback<ReadReply> callback) override;
  void Swap(CompareAndSwap operation, Callback<SwapReply> callback) override;
  void GrantLease(Duration ttl, Callback<LeaseReply> callback) override;
  void KeepAlive(LeaseId lease, Callback<LeaseReply> callback) override;
  void RevokeLease(LeaseId lease, Callback<Done> callback) override;
  // Precondition: the client outlives the watch.
  std::unique_ptr<Watch> WatchPrefix(const std::string& prefix,
                                     Revision from_revision,
                                     std::function<void(WatchBatch)> changed,
                                     std::function<void(Error)> ended) override;

 private:
  template <typename T>
  void Call(const char* path,
            const nlohmann::json& body,
            std::function<T(const nlohmann::json&)> parse,
            Callback<T> callback);

  HttpClient m_http;
  Duration m_watch_idle_timeout;
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_ETCD_CLIENT_H_
