#include "wire/connection.h"

#include <sys/socket.h>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "Tests/http/raw_caller.h"
#include "base/socket_address.h"
#include "wire/listener.h"

using namespace hickoryloft;
using namespace hickoryloft::wire;

namespace {

constexpr Duration kTestLimit = seconds(5);

// A server that answers every ServingQuery and ignores every FreshnessQuery.
struct EchoServer {
  explicit EchoServer(EventLoop& loop)
      : m_listener(loop, "127.0.0.1", 0, [this, &loop](int socket) {
          Accept(loop, socket);
        }) {}

  void Accept(EventLoop& loop, int socket) {
    const std::size_t index = m_connections.size();
    m_connections.push_back(Connection::Accepted(
        loop, socket,
        {.m_connected = {},
         .m_message =
             [this, index](const EnvelopeT& request) {
               if (request.body.AsServingQuery() != nullptr) {
                 ServingReplyT reply;
                 reply.documents_revision =
                     request.body.AsServingQuery()->documents_revision;
                 m_connections[index]->Send(MakeReply(request, reply));
               }
             },
         .m_closed =
             [this](const Error& error) {
               m_closed_with.push_back(error.code());
             }}));
  }

  std::vector<std::shared_ptr<Connection>> m_connections;
  std::vector<ErrorCode> m_closed_with;
  Listener m_listener;
};

EnvelopeT MakeServingQuery(std::int64_t revision) {
  ServingQueryT query;
  query.documents_revision = revision;
  return MakeEnvelope(query);
}

}  // namespace

TEST_CASE(
    "Replies are matched to their requests, and a missing reply times out") {
  EventLoop loop;
  EchoServer server(loop);
  const auto client =
      Connection::Connect(loop, "127.0.0.1", server.m_listener.port(), {});
  std::vector<std::int64_t> revisions;
  std::optional<ErrorCode> timeout;
  for (std::int64_t i = 1; i <= 3; ++i) {
    client->Request(
        MakeServingQuery(i), kTestLimit, [&](const Result<EnvelopeT>& reply) {
          revisions.push_back(
              reply.value().body.AsServingReply()->documents_revision);
        });
  }
  client->Request(MakeEnvelope(FreshnessQueryT{}), milliseconds(50),
                  [&](const Result<EnvelopeT>& reply) {
                    timeout = reply.error().code();
                    loop.Stop();
                  });
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(revisions == std::vector<std::int64_t>{1, 2, 3});
  CHECK(timeout == ErrorCode::kTimedOut);
}

TEST_CASE("A malformed frame closes its own connection only") {
  EventLoop loop;
  EchoServer server(loop);
  const auto good =
      Connection::Connect(loop, "127.0.0.1", server.m_listener.port(), {});
  std::optional<ErrorCode> bad_closed;
  std::shared_ptr<Connection> bad;
  bad = Connection::Connect(
      loop, "127.0.0.1", server.m_listener.port(),
      {.m_connected = [&] { server.m_connections.back()->Close(); },
       .m_message = {},
       .m_closed = [&](const Error& error) { bad_closed = error.code(); }});
  bool answered = false;
  std::unique_ptr<Timer> later = loop.After(milliseconds(50), [&] {
    good->Request(MakeServingQuery(1), kTestLimit,
                  [&](const Result<EnvelopeT>& reply) {
                    answered = reply.ok();
                    loop.Stop();
                  });
  });
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(answered);
  CHECK(bad_closed == ErrorCode::kOutcomeUnknown);
}

TEST_CASE(
    "Bytes outside the protocol close the connection with kMalformedFrame") {
  EventLoop loop;
  EchoServer server(loop);
  int sockets[2] = {-1, -1};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) == 0);
  std::optional<ErrorCode> closed_with;
  const auto reader = Connection::Accepted(
      loop, sockets[0],
      {.m_connected = {},
       .m_message = [](const EnvelopeT&) { FAIL("no message was sent"); },
       .m_closed =
           [&](const Error& error) {
             closed_with = error.code();
             loop.Stop();
           }});
  REQUIRE(send(sockets[1], "GET / HTTP/1.1\r\n", 16, 0) == 16);
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(closed_with == ErrorCode::kMalformedFrame);
}

TEST_CASE(
    "A request on a connection that cannot be made fails with kUnavailable") {
  EventLoop loop;
  std::uint16_t free_port = 0;
  {
    const Listener listener(loop, "127.0.0.1", 0, [](int) {});
    free_port = listener.port();
  }
  const auto client = Connection::Connect(loop, "127.0.0.1", free_port, {});
  std::optional<ErrorCode> failure;
  client->Request(MakeServingQuery(1), kTestLimit,
                  [&](const Result<EnvelopeT>& reply) {
                    failure = reply.error().code();
                    loop.Stop();
                  });
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(failure == ErrorCode::kUnavailable);
}

// Guards against messages that go to a host which is gone, or over a connection
// that has fallen silent for good: the system gives up after many minutes only.
TEST_CASE("A connection whose peer acknowledges nothing is closed in seconds") {
  EventLoop loop;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const SocketAddress any = ParseSocketAddress("127.0.0.1", 0);
  REQUIRE(bind(listener, any.get(), static_cast<socklen_t>(any.size())) == 0);
  REQUIRE(listen(listener, 1) == 0);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
  int peer = -1;
  std::optional<ErrorCode> closed_with;
  std::shared_ptr<Connection> connection;
  connection =
      Connection::Connect(loop, "127.0.0.1", ntohs(bound.sin_port),
                          {.m_connected =
                               [&] {
                                 peer = accept(listener, nullptr, nullptr);
                                 http::DropInput(peer);
                                 connection->Send(MakeServingQuery(1));
                               },
                           .m_message = {},
                           .m_closed =
                               [&](const Error& error) {
                                 closed_with = error.code();
                                 loop.Stop();
                               }});
  const auto limit = loop.After(seconds(8), [&] { loop.Stop(); });
  loop.Run();
  close(peer);
  close(listener);
  CHECK(closed_with == ErrorCode::kOutcomeUnknown);
}
