// The connections of the inner protocol: one outgoing connection to each other
// coordinator, and the connections accepted from coordinators and entries.

#ifndef SOURCE_COORDINATOR_PEER_MESH_H_
#define SOURCE_COORDINATOR_PEER_MESH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/log.h"
#include "coordinator/module.h"
#include "metrics/registry.h"
#include "wire/connection.h"
#include "wire/listener.h"

namespace hickoryloft::coordinator {

// Identifies an entry's connection; not reused for a later one.
using EntryId = std::uint64_t;

// Use on the loop's thread only.
class PeerMesh {
 public:
  struct Callbacks {
    // A message from another coordinator. A request (correlation other than 0)
    // requires one reply; for a notice the responder does nothing.
    std::function<void(const HostId& from, wire::EnvelopeT, Responder)>
        m_peer_message;
    // The same for a message from an entry of this host.
    std::function<void(EntryId, wire::EnvelopeT, Responder)> m_entry_message;
    std::function<void(EntryId)> m_entry_connected;
    std::function<void(EntryId)> m_entry_closed;
    // This host's connection to a coordinator was established.
    std::function<void(const HostId&)> m_peer_connected;
  };

  // Listens on the address and port of `self`. Throws Error(kIo) if it cannot.
  PeerMesh(EventLoop& loop,
           metrics::Registry& registry,
           const Member& self,
           Callbacks callbacks);

  // Returns the bound port.
  std::uint16_t port() const { return m_listener.port(); }

  // Connects to new members and closes the connections to members that are
  // gone. Reconnects to a member whose incarnation, address or port changed.
  void SetMembers(const std::vector<Member>& members);

  // Send a message that has no reply; it is lost if there is no connection.
  void Notify(const HostId& host, const wire::EnvelopeT& notice);
  void NotifyAll(const wire::EnvelopeT& notice);
  // Calls `callback` once; with kUnavailable if there is no connection to
  // `host`.
  void Request(const HostId& host,
               wire::EnvelopeT request,
               Duration timeout,
               wire::ReplyCallback callback);

  void NotifyEntry(EntryId entry, const wire::EnvelopeT& notice);
  void NotifyEntries(const wire::EnvelopeT& notice);
  std::vector<EntryId> Entries() const;

  // Adds the bytes sent and received since the last call to the metrics.
  void UpdateMetrics();

 private:
  struct Outgoing {
    Member m_member;
    std::shared_ptr<wire::Connection> m_connection;
    std::unique_ptr<Timer> m_timer;  // Connect timeout or reconnect delay.
  };
  struct Incoming {
    std::shared_ptr<wire::Connection> m_connection;
    std::optional<wire::HelloT> m_hello;
  };
  struct ByteCounts {
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
  };

  void OnAccept(int socket);
  void OnIncomingMessage(std::uint64_t id, wire::EnvelopeT envelope);
  void OnHello(std::uint64_t id, Incoming& incoming, wire::HelloT hello);
  void CloseIncoming(std::uint64_t id);
  Responder MakeResponder(const std::shared_ptr<wire::Connection>& connection,
                          const wire::EnvelopeT& request);
  void Connect(const HostId& host);
  void OnConnected(const HostId& host);
  void ScheduleReconnect(const HostId& host);
  void Send(wire::Connection& connection, const wire::EnvelopeT& envelope);
  void CountMessage(const wire::EnvelopeT& envelope, const char* direction);
  void AddBytes(const wire::Connection& connection, ByteCounts& bytes) const;
  wire::EnvelopeT MakeHello() const;

  EventLoop& m_loop;
  metrics::Registry& m_registry;
  Member m_self;
  Callbacks m_callbacks;
  Logger m_log{"peers"};
  std::map<HostId, Outgoing> m_outgoing;
  std::map<std::uint64_t, Incoming> m_incoming;
  std::uint64_t m_next_id = 1;
  ByteCounts m_closed_bytes;   // Total of closed connections.
  ByteCounts m_counted_bytes;  // Total already added to the metrics.
  wire::Listener m_listener;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_PEER_MESH_H_
