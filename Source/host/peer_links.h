// Connections to the other hosts.

#ifndef SOURCE_HOST_PEER_LINKS_H_
#define SOURCE_HOST_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "base/ids.h"
#include "wire/connection.h"
#include "wire/listener.h"

namespace hickoryloft::host {

// Another host, as its registration describes it.
struct PeerAddress {
  HostId m_host;
  Incarnation m_incarnation = 0;
  FailureDomainId m_failure_domain;
  double m_capacity = 0;  // Processor cores.
  std::string m_address;  // IP number.
  std::uint16_t m_port = 0;
};

// Keeps one outgoing connection to each peer, opened by the first message to
// it, and accepts the peers' connections. Messages may be lost when their
// connection ends. Use on the loop's thread only.
class PeerLinks {
 public:
  // Throws Error(kIo) if `port` of `address` cannot be bound.
  PeerLinks(EventLoop& loop,
            const std::string& address,
            std::uint16_t port,
            std::function<void(const wire::EnvelopeT&)> message);

  // Replaces the peers and closes the connections to peers that left or
  // restarted.
  void SetPeers(const std::map<HostId, PeerAddress>& peers);
  const std::map<HostId, PeerAddress>& peers() const { return m_peers; }

  // Sends to a peer; does nothing if it is not among the peers.
  void Send(const HostId& peer, const wire::EnvelopeT& message);
  // Sends one message to several peers.
  void Send(const std::vector<HostId>& peers, const wire::EnvelopeT& message);
  // Opens a connection to the peer if there is none, and returns its number.
  // While the number stays the same, no message to the peer has been lost. 0:
  // not among the peers.
  std::uint64_t EnsureConnection(const HostId& peer);

 private:
  struct Link {
    std::shared_ptr<wire::Connection> m_connection;
    std::uint64_t m_number = 0;
  };

  // Returns a link with an open connection; null if `peer` is not among the
  // peers.
  Link* Open(const HostId& peer);
  void Connect(const PeerAddress& peer, Link& link);
  void Accept(int socket);

  EventLoop& m_loop;
  std::function<void(const wire::EnvelopeT&)> m_message;
  wire::Listener m_listener;
  std::map<HostId, PeerAddress> m_peers;
  std::map<HostId, Link> m_connections;
  std::uint64_t m_last_number = 0;
  std::unordered_set<std::shared_ptr<wire::Connection>> m_accepted;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_PEER_LINKS_H_
