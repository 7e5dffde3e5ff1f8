#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

// A peer that answers each connection with fixed bytes.
struct RawPeer {
  RawPeer(EventLoop& loop, std::string bytes)
      : m_bytes(std::move(bytes)),
        m_listener(loop, "127.0.0.1", 0, [this](int socket) {
          ++m_accepted;
          send(socket, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
          shutdown(socket, SHUT_WR);
          m_sockets.push_back(socket);
        }) {}
  ~RawPeer() {
    for (const int socket : m_sockets) {
      close(socket);
    }
  }

  std::string m_bytes;
  int m_accepted = 0;
  std::vector<int> m_sockets;
  wire::Listener m_listener;
};

std::string MakeFrame(std::uint16_t version, std::uint32_t length) {
  std::string frame = wire::EncodeFrame(wire::MakeEnvelope(wire::HelloT{}));
  frame[2] = static_cast<char>(version >> 8U);
  frame[3] = static_cast<char>(version);
  for (int i = 0; i < 4; ++i) {
    frame[4 + i] = static_cast<char>(length >> (24U - 8U * i));
  }
  return frame;
}

}  // namespace

TEST_CASE("Invalid frames from a coordinator close only that connection") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const std::string good =
      wire::EncodeFrame(wire::MakeEnvelope(wire::HelloT{}));
  const std::string truncated = good.substr(0, good.size() - 3);
  for (const std::string& bytes :
       {truncated, MakeFrame(wire::kProtocolVersion, 0x7FFFFFFF),
        MakeFrame(99, 16), std::string("GET / HTTP/1.1\r\n\r\n")}) {
    RawPeer peer(fixture.m_loop, bytes);
    EntrySettings settings;
    settings.m_coordinator = {"127.0.0.1", peer.m_listener.port()};
    int notices = 0;
    CoordinatorClient client(
        fixture.m_loop, settings,
        {.m_connected = [] {}, .m_notice = [&](const auto&) { ++notices; }});
    client.Start();
    fixture.RunUntil([&] { return peer.m_accepted >= 2; });
    CHECK(notices == 0);
    // The entry's own connection and its callers are not affected.
    CHECK(fixture.Run(fixture.Completion()).m_head.m_status == 200);
  }
}
