#include "StandIns/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <deque>
#include <utility>

#include "base/error.h"

namespace hickoryloft::standins {

namespace {

sockaddr_in ToSocketAddress(const ListenAddress& address) {
  sockaddr_in storage{};
  storage.sin_family = AF_INET;
  storage.sin_port = htons(address.m_port);
  if (inet_pton(AF_INET, address.m_address.c_str(), &storage.sin_addr) != 1) {
    throw Error(ErrorCode::kInvalidArgument,
                address.m_address + " is not an IPv4 address");
  }
  return storage;
}

std::uint16_t PortOf(evconnlistener* listener) {
  sockaddr_in storage{};
  socklen_t size = sizeof(storage);
  getsockname(evconnlistener_get_fd(listener),
              reinterpret_cast<sockaddr*>(&storage), &size);
  return ntohs(storage.sin_port);
}

}  // namespace

// A relayed connection: its two sockets and the bytes in transit between them.
class Relay::RelayedConnection {
 public:
  RelayedConnection(Relay& relay, int socket)
      : m_relay(relay),
        m_sides{Side{.m_connection = this}, Side{.m_connection = this}} {
    event_base* base = relay.m_loop.base();
    m_sides[0].m_buffer =
        bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    m_sides[1].m_buffer =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (Side& side : m_sides) {
      bufferevent_setcb(side.m_buffer, &RelayedConnection::OnReadable,
                        &RelayedConnection::OnDrained,
                        &RelayedConnection::OnEvent, &side);
      bufferevent_enable(side.m_buffer, EV_READ | EV_WRITE);
    }
    const sockaddr_in target = ToSocketAddress(relay.m_target);
    bufferevent_socket_connect(m_sides[1].m_buffer,
                               reinterpret_cast<const sockaddr*>(&target),
                               sizeof(target));
  }

  ~RelayedConnection() {
    for (Side& side : m_sides) {
      bufferevent_free(side.m_buffer);
    }
  }
  RelayedConnection(const RelayedConnection&) = delete;
  RelayedConnection& operator=(const RelayedConnection&) = delete;

  // Forwards the chunks that are due, unless the relay is cut.
  void Flush() {
    if (m_relay.m_cut != RelayCut::kNone) {
      return;
    }
    const MonotonicTime now = m_relay.m_loop.Now();
    while (!m_chunks.empty() && m_chunks.front().m_due <= now) {
      const Chunk chunk = std::move(m_chunks.front());
      m_chunks.pop_front();
      if (chunk.m_sender_closed &&
          (m_closing || IsDrained(chunk.m_destination))) {
        m_relay.Remove(this);
        return;
      }
      if (chunk.m_sender_closed) {
        m_closing = true;
        continue;
      }
      m_relay.m_relayed_bytes += chunk.m_bytes.size();
      bufferevent_write(chunk.m_destination, chunk.m_bytes.data(),
                        chunk.m_bytes.size());
    }
    m_timer.reset();
    if (!m_chunks.empty()) {
      m_timer = m_relay.m_loop.After(m_chunks.front().m_due - now,
                                     [this] { Flush(); });
    }
  }

 private:
  struct Side {
    RelayedConnection* m_connection = nullptr;
    bufferevent* m_buffer = nullptr;
  };
  struct Chunk {
    MonotonicTime m_due;
    bufferevent* m_destination = nullptr;
    std::string m_bytes;
    bool m_sender_closed = false;
  };

  static void OnReadable(bufferevent* buffer, void* context) {
    auto* side = static_cast<Side*>(context);
    side->m_connection->Receive(*side, buffer);
  }

  static void OnEvent(bufferevent* /*buffer*/, short events, void* context) {
    auto* side = static_cast<Side*>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      RelayedConnection* connection = side->m_connection;
      connection->Queue({.m_destination = connection->Opposite(*side).m_buffer,
                         .m_sender_closed = true});
    }
  }

  // Called when all pending bytes of a side have been sent.
  static void OnDrained(bufferevent* buffer, void* context) {
    RelayedConnection* connection = static_cast<Side*>(context)->m_connection;
    if (connection->m_closing) {
      connection->Queue({.m_destination = buffer, .m_sender_closed = true});
    }
  }

  static bool IsDrained(bufferevent* buffer) {
    return evbuffer_get_length(bufferevent_get_output(buffer)) == 0;
  }

  const Side& Opposite(const Side& side) const {
    return &side == &m_sides[0] ? m_sides[1] : m_sides[0];
  }

  void Receive(const Side& from, bufferevent* buffer) {
    evbuffer* input = bufferevent_get_input(buffer);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    Queue({.m_destination = Opposite(from).m_buffer,
           .m_bytes = std::move(bytes)});
  }

  // Forwarding runs in a timer, because it may free the bufferevent whose
  // callback is running.
  void Queue(Chunk chunk) {
    chunk.m_due = m_relay.m_loop.Now() + m_relay.m_delay;
    m_chunks.push_back(std::move(chunk));
    if (!m_timer) {
      m_timer = m_relay.m_loop.After(m_relay.m_delay, [this] { Flush(); });
    }
  }

  Relay& m_relay;
  std::array<Side, 2> m_sides;
  std::deque<Chunk> m_chunks;
  bool m_closing = false;  // One side has closed; the other still gets bytes.
  std::unique_ptr<Timer> m_timer;
};

Relay::Relay(EventLoop& loop,
             const ListenAddress& listen,
             const ListenAddress& target)
    : m_loop(loop), m_target(target) {
  const sockaddr_in address = ToSocketAddress(listen);
  ToSocketAddress(target);
  constexpr int kSystemBacklog = -1;
  m_listener = evconnlistener_new_bind(
      loop.base(), &Relay::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kSystemBacklog,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (m_listener == nullptr) {
    throw Error(ErrorCode::kIo, "cannot listen on " + listen.m_address);
  }
  m_port = PortOf(m_listener);
}

Relay::~Relay() {
  m_connections.clear();
  evconnlistener_free(m_listener);
}

void Relay::SetCut(RelayCut cut) {
  m_cut = cut;
  if (cut == RelayCut::kClose) {
    m_connections.clear();
  }
  for (auto at = m_connections.begin(); at != m_connections.end();) {
    // Flush() may remove the element.
    RelayedConnection* connection = (at++)->get();
    connection->Flush();
  }
}

void Relay::OnAccept(evconnlistener* /*listener*/,
                     int socket,
                     sockaddr* /*peer*/,
                     int /*peer_size*/,
                     void* self) {
  auto* relay = static_cast<Relay*>(self);
  ++relay->m_accepted;
  if (relay->m_cut == RelayCut::kClose) {
    evutil_closesocket(socket);
    return;
  }
  relay->m_connections.push_back(
      std::make_unique<RelayedConnection>(*relay, socket));
}

void Relay::Remove(RelayedConnection* connection) {
  m_connections.remove_if(
      [&](const auto& entry) { return entry.get() == connection; });
}

nlohmann::json RelayControl::Record() const {
  return {{"accepted", m_relay.accepted()},
          {"relayed_bytes", m_relay.relayed_bytes()},
          {"open_connections", m_relay.open_connections()}};
}

void RelayControl::Handle(const CallPtr& call) {
  constexpr int kNotFound = 404;
  call->Send(kNotFound, {{"error", "no such route"}});
}

void RelayControl::ApplyFaults(const nlohmann::json& faults) {
  if (faults.contains("delay_ms")) {
    m_relay.SetDelay(milliseconds(faults["delay_ms"].get<std::int64_t>()));
  }
  if (!faults.contains("cut")) {
    return;
  }
  const nlohmann::json& cut = faults["cut"];
  if (cut == "close") {
    m_relay.SetCut(RelayCut::kClose);
  } else if (cut == "hang" || cut == true) {
    m_relay.SetCut(RelayCut::kHang);
  } else {
    m_relay.SetCut(RelayCut::kNone);
  }
}

}  // namespace hickoryloft::standins
