// Reads the host list over HTTP.

#ifndef SOURCE_KEYVALUE_HTTP_HOST_LIST_H_
#define SOURCE_KEYVALUE_HTTP_HOST_LIST_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/event_loop.h"
#include "base/ids.h"
#include "base/time.h"
#include "keyvalue/host_list.h"
#include "keyvalue/http_client.h"

namespace hickoryloft::keyvalue {

struct HttpHostListSettings {
  std::string m_address;  // An IP number.
  std::uint16_t m_port = 0;
  std::string m_path = "/hosts";
  HostId m_host;  // Sent as User-Agent "hickoryloft/<host>".
  Duration m_timeout = seconds(2);
};

// No callback is called after the list is destroyed. Use on the loop's thread
// only.
class HttpHostList : public HostList {
 public:
  // Precondition: `loop` outlives the list.
  HttpHostList(EventLoop& loop, const HttpHostListSettings& settings);

  void Fetch(
      std::function<void(Result<std::vector<ListedTarget>>)> callback) override;

 private:
  HttpClient m_http;
  std::string m_path;
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_HTTP_HOST_LIST_H_
