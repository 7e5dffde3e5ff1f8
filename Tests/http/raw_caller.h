// A caller whose bytes and pauses a test controls.

#ifndef TESTS_HTTP_RAW_CALLER_H_
#define TESTS_HTTP_RAW_CALLER_H_

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "base/event_loop.h"

namespace hickoryloft::http {

// Makes the system drop all segments that arrive at `socket`.
inline void DropInput(int socket) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &drop};
  setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

// A caller with a blocking socket. Use on a thread other than the loop's.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port, int receive_buffer = 0)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0) {
      setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    timeval limit{.tv_sec = 4, .tv_usec = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      Close();
    }
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& text) {
    send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
  }
  // Reads until the connection ends, the input contains `enough` or it has
  // `most` bytes.
  std::string Read(const std::string& enough = "",
                   std::size_t most = std::string::npos) {
    std::string got;
    char buffer[4096];
    for (;;) {
      const ssize_t size = recv(m_socket, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        m_reset = size < 0;
        return got;
      }
      got.append(buffer, static_cast<std::size_t>(size));
      if (!enough.empty() && got.find(enough) != std::string::npos) {
        return got;
      }
      if (got.size() >= most) {
        return got;
      }
    }
  }
  void Close() {
    if (m_socket >= 0) {
      close(std::exchange(m_socket, -1));
    }
  }
  // Drops all that the peer sends from now on, without an acknowledgement, like
  // a machine that has lost its power.
  void Vanish() { DropInput(m_socket); }
  bool reset() const { return m_reset; }

 private:
  int m_socket;
  bool m_reset = false;
};

// Runs `caller` on a thread and the loop until `caller` returns, for `limit` at
// most.
inline void Serve(EventLoop& loop,
                  const std::function<void()>& caller,
                  Duration limit = seconds(5)) {
  std::thread thread([&] {
    caller();
    loop.Post([&] { loop.Stop(); });
  });
  const auto timer = loop.After(limit, [&] { loop.Stop(); });
  loop.Run();
  thread.join();
}

}  // namespace hickoryloft::http

#endif  // TESTS_HTTP_RAW_CALLER_H_
