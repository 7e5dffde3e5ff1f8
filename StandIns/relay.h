// A TCP relay whose traffic can be cut, restored and delayed.

#ifndef STANDINS_RELAY_H_
#define STANDINS_RELAY_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "StandIns/stand_in.h"
#include "base/event_loop.h"

struct evconnlistener;
struct sockaddr;

namespace hickoryloft::standins {

enum class RelayCut {
  kNone,
  kHang,   // Bytes are held back until the relay is restored.
  kClose,  // Open connections are closed, and new ones on accept.
};

// Relays every connection to one target. Use on the loop's thread only.
class Relay {
 public:
  // Starts listening. Throws Error(kInvalidArgument) if an address is not an
  // IPv4 address, Error(kIo) if it cannot listen. Precondition: `loop` outlives
  // the object.
  Relay(EventLoop& loop,
        const ListenAddress& listen,
        const ListenAddress& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t port() const { return m_port; }
  std::uint64_t accepted() const { return m_accepted; }
  std::uint64_t relayed_bytes() const { return m_relayed_bytes; }
  std::size_t open_connections() const { return m_connections.size(); }

  void SetCut(RelayCut cut);
  // Delays the bytes that are received from now on by `delay`.
  void SetDelay(Duration delay) { m_delay = delay; }

 private:
  class RelayedConnection;

  static void OnAccept(evconnlistener* listener,
                       int socket,
                       sockaddr* peer,
                       int peer_size,
                       void* self);
  void Remove(RelayedConnection* connection);

  EventLoop& m_loop;
  ListenAddress m_target;
  evconnlistener* m_listener = nullptr;
  std::uint16_t m_port = 0;
  RelayCut m_cut = RelayCut::kNone;
  Duration m_delay{};
  std::uint64_t m_accepted = 0;
  std::uint64_t m_relayed_bytes = 0;
  std::list<std::unique_ptr<RelayedConnection>> m_connections;
};

// The relay's control server. Faults: "cut" ("hang", "close" or false; true
// means "hang") and "delay_ms" (of relayed bytes). Use on the loop's thread
// only.
class RelayControl : public StandIn {
 public:
  // Precondition: `relay` outlives the object.
  RelayControl(EventLoop& loop, const ListenAddress& listen, Relay& relay)
      : StandIn(loop, listen), m_relay(relay) {}

  nlohmann::json Record() const override;

 private:
  void Handle(const CallPtr& call) override;
  void ApplyFaults(const nlohmann::json& faults) override;

  Relay& m_relay;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_RELAY_H_
