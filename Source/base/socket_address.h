// Socket addresses from IP addresses; host names are never resolved.

#ifndef SOURCE_BASE_SOCKET_ADDRESS_H_
#define SOURCE_BASE_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace hickoryloft {

// An IPv4 or IPv6 address with a port, in the form used by socket calls.
// Value type.
class SocketAddress {
 public:
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
  int size() const { return m_size; }

 private:
  friend SocketAddress ParseSocketAddress(const std::string& address,
                                          std::uint16_t port);

  sockaddr_storage m_storage{};
  int m_size = 0;
};

// Returns the socket address for `address`, an IPv4 or IPv6 address in text
// form, and `port`. Thread-safe. Throws Error(kInvalidArgument) if `address` is
// not an IP address.
SocketAddress ParseSocketAddress(const std::string& address,
                                 std::uint16_t port);

// Returns whether `address` is an IPv4 or IPv6 address in text form.
// Thread-safe.
bool IsIpNumber(const std::string& address);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_SOCKET_ADDRESS_H_
