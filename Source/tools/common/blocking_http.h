// Blocking HTTP calls for command-line tools.

#ifndef SOURCE_TOOLS_COMMON_BLOCKING_HTTP_H_
#define SOURCE_TOOLS_COMMON_BLOCKING_HTTP_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "keyvalue/http_client.h"

namespace hickoryloft::tools {

// An IP address and a port.
struct HostPort {
  std::string m_address;
  std::uint16_t m_port = 0;
};

// Parses "ip:port" or "[ip6]:port". Thread-safe. Throws
// Error(kInvalidArgument).
HostPort ParseHostPort(const std::string& text);

// Sends `request` to `target` and waits for the reply. Throws the errors that
// keyvalue::HttpClient reports.
keyvalue::HttpReply CallAndWait(const HostPort& target,
                                keyvalue::HttpRequest request,
                                Duration timeout);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_COMMON_BLOCKING_HTTP_H_
