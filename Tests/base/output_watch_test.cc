#include "base/output_watch.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "Tests/http/raw_caller.h"
#include "base/socket_address.h"

using namespace hickoryloft;

namespace {

constexpr int kSmallBuffer = 4096;
constexpr std::size_t kMuch = std::size_t{256} * 1024;

// A TCP connection whose near end is a bufferevent that is watched, and whose
// far end is read by the test.
class WatchedConnection {
 public:
  WatchedConnection() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
               sizeof(kSmallBuffer));
    const SocketAddress any = ParseSocketAddress("127.0.0.1", 0);
    REQUIRE(bind(listener, any.get(), static_cast<socklen_t>(any.size())) == 0);
    REQUIRE(listen(listener, 1) == 0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    const int near = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(near, reinterpret_cast<sockaddr*>(&bound), size) == 0);
    m_peer = accept(listener, nullptr, nullptr);
    close(listener);
    REQUIRE(evutil_make_socket_nonblocking(near) == 0);
    m_buffer =
        bufferevent_socket_new(m_loop.base(), near, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
  }
  ~WatchedConnection() {
    m_watch.reset();
    bufferevent_free(m_buffer);
    close(m_peer);
  }
  WatchedConnection(const WatchedConnection&) = delete;
  WatchedConnection& operator=(const WatchedConnection&) = delete;

  void Write(std::size_t bytes) {
    bufferevent_write(m_buffer, std::string(bytes, 'x').data(), bytes);
    m_watch->AddOutput(bytes);
  }
  // Reads `bytes` at the far end.
  void ReadAtPeer(std::size_t bytes) const {
    std::string got(bytes, '\0');
    REQUIRE(recv(m_peer, got.data(), bytes, MSG_WAITALL) ==
            static_cast<ssize_t>(bytes));
  }
  // Runs the loop until there are `checks` checks.
  void RunChecks(std::size_t checks) {
    m_awaited_checks = checks;
    const auto limit =
        m_loop.After((static_cast<int>(checks) + 1) * OutputWatch::kInterval,
                     [this] { m_loop.Stop(); });
    m_loop.Run();
    REQUIRE(m_checks.size() >= checks);
  }

  EventLoop m_loop;
  int m_peer = -1;
  bufferevent* m_buffer = nullptr;
  std::vector<OutputState> m_checks;
  std::unique_ptr<OutputWatch> m_watch =
      std::make_unique<OutputWatch>(m_loop, [this](const OutputState& state) {
        m_checks.push_back(state);
        if (m_checks.size() == m_awaited_checks) {
          m_loop.Stop();
        }
      });

 private:
  std::size_t m_awaited_checks = 0;
};

}  // namespace

TEST_CASE("The checks end when the peer has acknowledged all output") {
  WatchedConnection connection;
  connection.m_watch->Start(connection.m_buffer);
  CHECK_FALSE(connection.m_watch->checking());
  connection.Write(1000);
  CHECK(connection.m_watch->checking());
  connection.RunChecks(1);
  CHECK(connection.m_checks[0].m_unacknowledged == 0);
  CHECK_FALSE(connection.m_watch->checking());
}

TEST_CASE("Output from before the start is watched") {
  WatchedConnection connection;
  connection.Write(kMuch);
  CHECK_FALSE(connection.m_watch->checking());
  connection.m_watch->Start(connection.m_buffer);
  CHECK(connection.m_watch->checking());
  connection.RunChecks(1);
  CHECK(connection.m_checks[0].m_unacknowledged > 0);
}

// Guards against answers that are cut because their callers read slowly (LOST,
// review/12).
TEST_CASE("A peer that reads nothing stalls, but is not gone") {
  WatchedConnection connection;
  connection.m_watch->Start(connection.m_buffer);
  connection.Write(kMuch);
  connection.RunChecks(5);
  for (const OutputState& state : connection.m_checks) {
    CHECK_FALSE(state.m_peer_gone);
  }
  const Duration stalled_for = connection.m_checks[4].m_stalled_for;
  CHECK(stalled_for >= 4 * OutputWatch::kInterval);
  connection.ReadAtPeer(kMuch / 2);
  connection.RunChecks(6);
  CHECK(connection.m_checks[5].m_stalled_for == Duration{});
}

TEST_CASE("A peer that acknowledges nothing is gone in seconds") {
  WatchedConnection connection;
  connection.m_watch->Start(connection.m_buffer);
  http::DropInput(connection.m_peer);
  connection.Write(1000);
  connection.RunChecks(5);
  CHECK_FALSE(connection.m_checks[1].m_peer_gone);
  CHECK(connection.m_checks[4].m_peer_gone);
}

// Guards against sound peers that are taken for gone after a pause of this
// process: the time in which it did not run is no silence of the peer.
TEST_CASE("A pause of the process is no stall") {
  WatchedConnection connection;
  connection.m_watch->Start(connection.m_buffer);
  http::DropInput(connection.m_peer);
  connection.Write(1000);
  const auto pause = connection.m_loop.After(
      milliseconds(100), [] { std::this_thread::sleep_for(seconds(4)); });
  connection.RunChecks(1);
  CHECK(connection.m_checks[0].m_stalled_for == OutputWatch::kInterval);
  CHECK_FALSE(connection.m_checks[0].m_peer_gone);
}

TEST_CASE("A watch may be destroyed by its callback") {
  WatchedConnection connection;
  int calls = 0;
  std::unique_ptr<OutputWatch> watch;
  watch = std::make_unique<OutputWatch>(connection.m_loop,
                                        [&](const OutputState& /*state*/) {
                                          ++calls;
                                          watch.reset();
                                          connection.m_loop.Stop();
                                        });
  watch->Start(connection.m_buffer);
  watch->AddOutput(1);
  const auto limit =
      connection.m_loop.After(seconds(3), [&] { connection.m_loop.Stop(); });
  connection.m_loop.Run();
  CHECK(calls == 1);
  CHECK(watch == nullptr);
}
