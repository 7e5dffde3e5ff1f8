#include "host/report_exchange.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

// Between reports: an account may use more than its rate for about this long
// before the others notice.
constexpr Duration kInterval = milliseconds(250);
// Urgent reports that come together go out as one.
constexpr Duration kUrgentDelay = milliseconds(3);
// At least between urgent reports.
constexpr Duration kUrgentPause = milliseconds(20);
// A peer that leaves this much unread is stuck; its connection is renewed.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;

const Logger kLog("reports");

}  // namespace

ReportExchange::ReportExchange(EventLoop& loop,
                               const std::string& address,
                               std::uint16_t port,
                               Events events)
    : m_loop(loop),
      m_events(std::move(events)),
      m_listener(loop, address, port, [this](int socket) { Accept(socket); }) {
  m_regular = loop.Every(kInterval, [this] { SendAll(); });
}

void ReportExchange::Accept(int socket) {
  // The callbacks hold the connection weakly, and the set keeps it.
  const auto slot = std::make_shared<std::weak_ptr<wire::Connection>>();
  const auto connection = wire::Connection::Accepted(
      m_loop, socket,
      {.m_message =
           [this](const wire::EnvelopeT& envelope) {
             if (const auto* report = envelope.body.AsHostReport()) {
               m_events.m_report(*report);
             }
           },
       .m_closed =
           [this, slot](const Error& /*error*/) {
             m_loop.Post([this, slot] { m_accepted.erase(slot->lock()); });
           }});
  *slot = connection;
  m_accepted.insert(connection);
}

void ReportExchange::SetPeers(const std::map<HostId, PeerAddress>& peers) {
  for (const auto& [host, peer] : m_peers) {
    const auto now = peers.find(host);
    const bool same = now != peers.end() &&
                      now->second.m_incarnation == peer.m_incarnation;
    const auto connection = m_connections.find(host);
    if (!same && connection != m_connections.end()) {
      connection->second->Close();
      m_connections.erase(connection);
    }
  }
  m_peers = peers;
}

void ReportExchange::Connect(const PeerAddress& peer) {
  m_connections[peer.m_host] = wire::Connection::Connect(
      m_loop, peer.m_address, peer.m_port,
      {.m_message = [](const wire::EnvelopeT& /*unexpected*/) {},
       .m_closed =
           [this, host = peer.m_host](const Error& error) {
             kLog.Info("connection to a host ended",
                       {{"host", host.value()}, {"reason", error.what()}});
             m_loop.Post([this, host] {
               const auto known = m_connections.find(host);
               if (known != m_connections.end() && !known->second->open()) {
                 m_connections.erase(known);
               }
             });
           }});
}

void ReportExchange::SendTo(const HostId& peer,
                            const wire::EnvelopeT& report) {
  const auto address = m_peers.find(peer);
  if (address == m_peers.end()) {
    return;
  }
  auto known = m_connections.find(peer);
  if (known != m_connections.end() &&
      (!known->second->open() ||
       known->second->PendingBytes() > kMaxPendingBytes)) {
    known->second->Close();
    m_connections.erase(known);
    known = m_connections.end();
  }
  if (known == m_connections.end()) {
    Connect(address->second);
    known = m_connections.find(peer);
  }
  known->second->Send(report);
}

void ReportExchange::SendAll() {
  if (m_peers.empty()) {
    return;
  }
  const wire::EnvelopeT report = wire::MakeEnvelope(m_events.m_make_report());
  for (const auto& [host, peer] : m_peers) {
    SendTo(host, report);
  }
}

void ReportExchange::SendUrgent() {
  m_soon.reset();
  m_last_urgent = m_loop.Now();
  const auto urgent = std::exchange(m_urgent, {});
  const wire::EnvelopeT report = wire::MakeEnvelope(m_events.m_make_report());
  for (const HostId& host : urgent) {
    SendTo(host, report);
  }
}

void ReportExchange::SendSoon() {
  for (const auto& [host, peer] : m_peers) {
    SendSoonTo(host);
  }
}

void ReportExchange::SendSoonTo(const HostId& peer) {
  m_urgent.insert(peer);
  if (!m_soon) {
    const MonotonicTime earliest = m_last_urgent + kUrgentPause;
    const Duration delay =
        std::max(kUrgentDelay, earliest - m_loop.Now());
    m_soon = m_loop.After(delay, [this] { SendUrgent(); });
  }
}

}  // namespace hickoryloft::host
