#include "base/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

#include "base/error.h"

namespace hickoryloft {

SocketAddress ParseSocketAddress(const std::string& address,
                                 std::uint16_t port) {
  SocketAddress result;
  sockaddr_in v4{};
  if (inet_pton(AF_INET, address.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    std::memcpy(&result.m_storage, &v4, sizeof(v4));
    result.m_size = sizeof(v4);
    return result;
  }
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, address.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    std::memcpy(&result.m_storage, &v6, sizeof(v6));
    result.m_size = sizeof(v6);
    return result;
  }
  throw Error(ErrorCode::kInvalidArgument,
              "'" + address + "' is not an IP number");
}

bool IsIpNumber(const std::string& address) {
  in6_addr bytes{};
  return inet_pton(AF_INET, address.c_str(), &bytes) == 1 ||
         inet_pton(AF_INET6, address.c_str(), &bytes) == 1;
}

}  // namespace hickoryloft
