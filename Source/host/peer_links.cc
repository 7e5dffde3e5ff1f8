#include "host/peer_links.h"

#include <utility>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

// A peer with more unread bytes than this is stuck; its connection is replaced.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;

const Logger kLog("peers");

}  // namespace

PeerLinks::PeerLinks(EventLoop& loop,
                     const std::string& address,
                     std::uint16_t port,
                     std::function<void(const wire::EnvelopeT&)> message)
    : m_loop(loop),
      m_message(std::move(message)),
      m_listener(loop, address, port, [this](int socket) { Accept(socket); }) {}

void PeerLinks::Accept(int socket) {
  // The callback refers to the connection weakly; m_accepted owns it.
  const auto slot = std::make_shared<std::weak_ptr<wire::Connection>>();
  const auto connection = wire::Connection::Accepted(
      m_loop, socket,
      {.m_message =
           [this](const wire::EnvelopeT& envelope) { m_message(envelope); },
       .m_closed =
           [this, slot](const Error& /*error*/) {
             m_loop.Post([this, slot] { m_accepted.erase(slot->lock()); });
           }});
  *slot = connection;
  m_accepted.insert(connection);
}

void PeerLinks::SetPeers(const std::map<HostId, PeerAddress>& peers) {
  std::erase_if(m_connections, [&](const auto& entry) {
    const auto before = m_peers.find(entry.first);
    const auto now = peers.find(entry.first);
    const bool same = before != m_peers.end() && now != peers.end() &&
                      before->second.m_incarnation == now->second.m_incarnation;
    if (!same) {
      entry.second.m_connection->Close();
    }
    return !same;
  });
  m_peers = peers;
}

void PeerLinks::Connect(const PeerAddress& peer, Link& link) {
  link.m_number = ++m_last_number;
  link.m_connection = wire::Connection::Connect(
      m_loop, peer.m_address, peer.m_port,
      {.m_message = [](const wire::EnvelopeT& /*unexpected*/) {},
       .m_closed =
           [host = peer.m_host](const Error& error) {
             kLog.Info(
                 "connection to a host closed; it is reopened by the next "
                 "message",
                 {{"host", host.value()}, {"reason", error.what()}});
           }});
}

PeerLinks::Link* PeerLinks::Open(const HostId& peer) {
  const auto address = m_peers.find(peer);
  if (address == m_peers.end()) {
    return nullptr;
  }
  Link& link = m_connections[peer];
  const bool usable = link.m_connection && link.m_connection->open() &&
                      link.m_connection->PendingBytes() <= kMaxPendingBytes;
  if (!usable) {
    if (link.m_connection) {
      link.m_connection->Close();
    }
    Connect(address->second, link);
  }
  return &link;
}

std::uint64_t PeerLinks::EnsureConnection(const HostId& peer) {
  const Link* link = Open(peer);
  return link == nullptr ? 0 : link->m_number;
}

void PeerLinks::Send(const HostId& peer, const wire::EnvelopeT& message) {
  if (const Link* link = Open(peer)) {
    link->m_connection->Send(message);
  }
}

void PeerLinks::Send(const std::vector<HostId>& peers,
                     const wire::EnvelopeT& message) {
  const std::string frame = wire::EncodeFrame(message);
  for (const HostId& peer : peers) {
    if (const Link* link = Open(peer)) {
      link->m_connection->SendFrame(frame);
    }
  }
}

}  // namespace hickoryloft::host
