#include "coordinator/peer_mesh.h"

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kConnectTimeout = seconds(2);
constexpr Duration kReconnectDelay = milliseconds(500);
// A connection with more unsent bytes is closed, since its peer reads too
// slowly; the peer queries the state again.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

PeerMesh::PeerMesh(EventLoop& loop,
                   metrics::Registry& registry,
                   const Member& self,
                   Callbacks callbacks)
    : m_loop(loop),
      m_registry(registry),
      m_self(self),
      m_callbacks(std::move(callbacks)),
      m_listener(loop, self.m_address, self.m_port, [this](int socket) {
        OnAccept(socket);
      }) {}

void PeerMesh::SetMembers(const std::vector<Member>& members) {
  std::map<HostId, Member> wanted;
  for (const Member& member : members) {
    if (member.m_host != m_self.m_host) {
      wanted[member.m_host] = member;
    }
  }
  for (auto item = m_outgoing.begin(); item != m_outgoing.end();) {
    const auto found = wanted.find(item->first);
    const Member& current = item->second.m_member;
    const bool same = found != wanted.end() &&
                      found->second.m_incarnation == current.m_incarnation &&
                      found->second.m_address == current.m_address &&
                      found->second.m_port == current.m_port;
    if (same) {
      ++item;
      continue;
    }
    const std::shared_ptr<wire::Connection> connection =
        item->second.m_connection;
    item = m_outgoing.erase(item);
    if (connection) {
      AddBytes(*connection, m_closed_bytes);
      connection->Close();
    }
  }
  for (const auto& [host, member] : wanted) {
    const auto [found, added] = m_outgoing.try_emplace(host);
    if (added) {
      found->second.m_member = member;
      Connect(host);
    }
  }
}

void PeerMesh::Notify(const HostId& host, const wire::EnvelopeT& notice) {
  const auto found = m_outgoing.find(host);
  if (found != m_outgoing.end() && found->second.m_connection) {
    Send(*found->second.m_connection, notice);
  }
}

void PeerMesh::NotifyAll(const wire::EnvelopeT& notice) {
  for (const auto& [host, outgoing] : m_outgoing) {
    if (outgoing.m_connection) {
      Send(*outgoing.m_connection, notice);
    }
  }
}

void PeerMesh::Request(const HostId& host,
                       wire::EnvelopeT request,
                       Duration timeout,
                       wire::ReplyCallback callback) {
  const auto found = m_outgoing.find(host);
  if (found == m_outgoing.end() || !found->second.m_connection) {
    callback(Error(ErrorCode::kUnavailable,
                   "there is no connection to host " + host.value()));
    return;
  }
  CountMessage(request, "sent");
  const std::shared_ptr<wire::Connection> connection =
      found->second.m_connection;
  connection->Request(
      std::move(request), timeout,
      [this, callback = std::move(callback)](Result<wire::EnvelopeT> result) {
        if (result) {
          CountMessage(result.value(), "received");
        }
        callback(std::move(result));
      });
}

void PeerMesh::NotifyEntry(EntryId entry, const wire::EnvelopeT& notice) {
  const auto found = m_incoming.find(entry);
  if (found != m_incoming.end()) {
    Send(*found->second.m_connection, notice);
  }
}

void PeerMesh::NotifyEntries(const wire::EnvelopeT& notice) {
  for (const EntryId entry : Entries()) {
    NotifyEntry(entry, notice);
  }
}

std::vector<EntryId> PeerMesh::Entries() const {
  std::vector<EntryId> entries;
  for (const auto& [id, incoming] : m_incoming) {
    if (incoming.m_hello && incoming.m_hello->role == wire::Role::Entry) {
      entries.push_back(id);
    }
  }
  return entries;
}

void PeerMesh::UpdateMetrics() {
  ByteCounts total = m_closed_bytes;
  for (const auto& [host, outgoing] : m_outgoing) {
    if (outgoing.m_connection) {
      AddBytes(*outgoing.m_connection, total);
    }
  }
  for (const auto& [id, incoming] : m_incoming) {
    AddBytes(*incoming.m_connection, total);
  }
  constexpr char kName[] = "loft_coordinator_bytes_total";
  constexpr char kHelp[] = "Bytes of the inner protocol by direction.";
  m_registry.GetCounter(kName, kHelp, {{"direction", "sent"}})
      .Add(static_cast<double>(total.m_sent - m_counted_bytes.m_sent));
  m_registry.GetCounter(kName, kHelp, {{"direction", "received"}})
      .Add(static_cast<double>(total.m_received - m_counted_bytes.m_received));
  m_counted_bytes = total;
}

void PeerMesh::OnAccept(int socket) {
  const std::uint64_t id = m_next_id++;
  const auto connection = wire::Connection::Accepted(
      m_loop, socket,
      {.m_connected = nullptr,
       .m_message =
           [this, id](wire::EnvelopeT envelope) {
             OnIncomingMessage(id, std::move(envelope));
           },
       .m_closed = [this, id](const Error&) { CloseIncoming(id); }});
  m_incoming[id].m_connection = connection;
  Send(*connection, MakeHello());
}

void PeerMesh::OnIncomingMessage(std::uint64_t id, wire::EnvelopeT envelope) {
  const auto found = m_incoming.find(id);
  if (found == m_incoming.end()) {
    return;
  }
  CountMessage(envelope, "received");
  Incoming& incoming = found->second;
  if (const wire::HelloT* hello = envelope.body.AsHello()) {
    OnHello(id, incoming, *hello);
    return;
  }
  if (!incoming.m_hello) {
    m_log.Warn("Closing a connection whose first message is not Hello.");
    CloseIncoming(id);
    return;
  }
  Responder respond = MakeResponder(incoming.m_connection, envelope);
  if (incoming.m_hello->role == wire::Role::Entry) {
    m_callbacks.m_entry_message(id, std::move(envelope), std::move(respond));
    return;
  }
  const HostId from(incoming.m_hello->host);
  m_callbacks.m_peer_message(from, std::move(envelope), std::move(respond));
}

void PeerMesh::OnHello(std::uint64_t id,
                       Incoming& incoming,
                       wire::HelloT hello) {
  if (incoming.m_hello) {
    return;
  }
  const bool entry = hello.role == wire::Role::Entry;
  incoming.m_hello = std::move(hello);
  if (entry) {
    m_callbacks.m_entry_connected(id);
  }
}

void PeerMesh::CloseIncoming(std::uint64_t id) {
  const auto found = m_incoming.find(id);
  if (found == m_incoming.end()) {
    return;
  }
  const Incoming incoming = std::move(found->second);
  m_incoming.erase(found);
  AddBytes(*incoming.m_connection, m_closed_bytes);
  incoming.m_connection->Close();
  if (incoming.m_hello && incoming.m_hello->role == wire::Role::Entry) {
    m_callbacks.m_entry_closed(id);
  }
}

Responder PeerMesh::MakeResponder(
    const std::shared_ptr<wire::Connection>& connection,
    const wire::EnvelopeT& request) {
  if (request.correlation == 0) {
    return [](const wire::EnvelopeT&) {};
  }
  return [this, weak = std::weak_ptr<wire::Connection>(connection),
          correlation = request.correlation](wire::EnvelopeT reply) {
    const auto alive = weak.lock();
    if (!alive) {
      return;
    }
    reply.correlation = correlation;
    reply.is_reply = true;
    Send(*alive, reply);
  };
}

void PeerMesh::Connect(const HostId& host) {
  Outgoing& outgoing = m_outgoing.at(host);
  outgoing.m_connection = wire::Connection::Connect(
      m_loop, outgoing.m_member.m_address, outgoing.m_member.m_port,
      {.m_connected = [this, host] { OnConnected(host); },
       .m_message =
           [this, host](wire::EnvelopeT envelope) {
             CountMessage(envelope, "received");
             if (const wire::HelloT* hello = envelope.body.AsHello()) {
               if (hello->host != host.value()) {
                 m_log.Warn(
                     "Another host answers at a member's address; keeping the "
                     "connection.",
                     {{"expected", host.value()}, {"found", hello->host}});
               }
             }
           },
       .m_closed = [this, host](const Error&) { ScheduleReconnect(host); }});
  Send(*outgoing.m_connection, MakeHello());
  outgoing.m_timer = m_loop.After(kConnectTimeout, [this, host] {
    const auto found = m_outgoing.find(host);
    if (found != m_outgoing.end() && !found->second.m_connection->connected()) {
      found->second.m_connection->Close();
      ScheduleReconnect(host);
    }
  });
}

void PeerMesh::OnConnected(const HostId& host) {
  m_outgoing.at(host).m_timer.reset();
  m_callbacks.m_peer_connected(host);
}

void PeerMesh::ScheduleReconnect(const HostId& host) {
  const auto found = m_outgoing.find(host);
  if (found == m_outgoing.end() || !found->second.m_connection) {
    return;
  }
  Outgoing& outgoing = found->second;
  AddBytes(*outgoing.m_connection, m_closed_bytes);
  outgoing.m_connection.reset();
  outgoing.m_timer = m_loop.After(kReconnectDelay, [this, host] {
    if (m_outgoing.contains(host)) {
      Connect(host);
    }
  });
}

void PeerMesh::Send(wire::Connection& connection,
                    const wire::EnvelopeT& envelope) {
  if (connection.PendingBytes() > kMaxPendingBytes) {
    m_log.Warn("Closing a connection with too many unsent bytes.");
    connection.Close();
    return;
  }
  CountMessage(envelope, "sent");
  connection.Send(envelope);
}

void PeerMesh::CountMessage(const wire::EnvelopeT& envelope,
                            const char* direction) {
  m_registry
      .GetCounter("loft_coordinator_messages_total",
                  "Messages of the inner protocol by type and direction.",
                  {{"type", wire::EnumNameBody(envelope.body.type)},
                   {"direction", direction}})
      .Add();
}

void PeerMesh::AddBytes(const wire::Connection& connection,
                        ByteCounts& bytes) const {
  bytes.m_sent += connection.bytes_sent();
  bytes.m_received += connection.bytes_received();
}

wire::EnvelopeT PeerMesh::MakeHello() const {
  wire::HelloT hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.role = wire::Role::Coordinator;
  hello.host = m_self.m_host.value();
  hello.incarnation = m_self.m_incarnation;
  hello.failure_domain = m_self.m_failure_domain.value();
  return wire::MakeEnvelope(std::move(hello));
}

}  // namespace hickoryloft::coordinator
