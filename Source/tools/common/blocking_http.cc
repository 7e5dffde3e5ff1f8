#include "tools/common/blocking_http.h"

#include <charconv>
#include <optional>
#include <utility>

#include "base/event_loop.h"

namespace hickoryloft::tools {

HostPort ParseHostPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  HostPort result;
  if (colon != std::string::npos) {
    result.m_address = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] =
        std::from_chars(text.data() + colon + 1, end, result.m_port);
    if (error == std::errc{} && parsed_end == end &&
        !result.m_address.empty()) {
      if (result.m_address.front() == '[' && result.m_address.back() == ']') {
        result.m_address =
            result.m_address.substr(1, result.m_address.size() - 2);
      }
      return result;
    }
  }
  throw Error(ErrorCode::kInvalidArgument,
              "'" + text + "' is not an address of the form ip:port");
}

keyvalue::HttpReply CallAndWait(const HostPort& target,
                                keyvalue::HttpRequest request,
                                Duration timeout) {
  EventLoop loop;
  keyvalue::HttpClient client(loop, {.m_address = target.m_address,
                                     .m_port = target.m_port,
                                     .m_user_agent = "loftctl",
                                     .m_timeout = timeout});
  std::optional<Result<keyvalue::HttpReply>> result;
  client.Send(std::move(request), [&](Result<keyvalue::HttpReply> reply) {
    result.emplace(std::move(reply));
    loop.Stop();
  });
  loop.Run();
  return std::move(result->value());
}

}  // namespace hickoryloft::tools
