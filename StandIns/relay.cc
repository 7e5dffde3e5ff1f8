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
class Relay::Pair {
 public:
  Pair(Relay& relay, int socket)
      : m_relay(relay), m_sides{Side{.m_pair = this}, Side{.m_pair = this}} {
    event_base* base = relay.m_loop.base();
    m_sides[0].m_buffer =
        bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    m_sides[1].m_buffer =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (Side& side : m_sides) {
      bufferevent_setcb(side.m_buffer, &Pair::OnReadable, &Pair::OnDrained,
                        &Pair::OnEvent, &side);
      bufferevent_enable(side.m_buffer, EV_READ | EV_WRITE);
    }
    const sockaddr_in target = ToSocketAddress(relay.m_target);
    bufferevent_socket_connect(m_sides[1].m_buffer,
                               reinterpret_cast<const sockaddr*>(&target),
                               sizeof(target));
  }

  ~Pair() {
    for (Side& side : m_sides) {
      bufferevent_free(side.m_buffer);
    }
  }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  // Forwards the chunks that are due, unless the relay is cut.
  void Flush() {
    if (m_relay.m_cut != RelayCut::kNone) {
      return;
    }
    const MonotonicTime now = m_relay.m_loop.Now();
    while (!m_chunks.empty() && m_chunks.front().m_due <= now) {
      const Chunk chunk = std::move(m_chunks.front());
      m_chunks.pop_front();
      if (chunk.m_end && (m_closing || IsDrained(chunk.m_to))) {
        m_relay.Remove(this);
        return;
      }
      if (chunk.m_end) {
        m_closing = true;
        continue;
      }
      m_relay.m_relayed_bytes += chunk.m_bytes.size();
      bufferevent_write(chunk.m_to, chunk.m_bytes.data(), chunk.m_bytes.size());
    }
    m_timer.reset();
    if (!m_chunks.empty()) {
      m_timer = m_relay.m_loop.After(m_chunks.front().m_due - now,
                                     [this] { Flush(); });
    }
  }

 private:
  struct Side {
    Pair* m_pair = nullptr;
    bufferevent* m_buffer = nullptr;
  };
  struct Chunk {
    MonotonicTime m_due;
    bufferevent* m_to = nullptr;
    std::string m_bytes;
    bool m_end = false;  // The sender closed its connection.
  };

  static void OnReadable(bufferevent* buffer, void* context) {
    auto* side = static_cast<Side*>(context);
    side->m_pair->Receive(*side, buffer);
  }

  static void OnEvent(bufferevent* /*buffer*/, short what, void* context) {
    auto* side = static_cast<Side*>(context);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      Pair* pair = side->m_pair;
      pair->Queue({.m_to = pair->Opposite(*side).m_buffer, .m_end = true});
    }
  }

  // Called when all pending bytes of a side have been sent.
  static void OnDrained(bufferevent* buffer, void* context) {
    Pair* pair = static_cast<Side*>(context)->m_pair;
    if (pair->m_closing) {
      pair->Queue({.m_to = buffer, .m_end = true});
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
    Queue({.m_to = Opposite(from).m_buffer, .m_bytes = std::move(bytes)});
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
  m_pairs.clear();
  evconnlistener_free(m_listener);
}

void Relay::SetCut(RelayCut cut) {
  m_cut = cut;
  if (cut == RelayCut::kClose) {
    m_pairs.clear();
  }
  for (auto at = m_pairs.begin(); at != m_pairs.end();) {
    // Flush() may remove the element.
    Pair* pair = (at++)->get();
    pair->Flush();
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
  relay->m_pairs.push_back(std::make_unique<Pair>(*relay, socket));
}

void Relay::Remove(Pair* pair) {
  m_pairs.remove_if([&](const auto& entry) { return entry.get() == pair; });
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
