// Sends this host's report to the other hosts and receives theirs.

#ifndef SOURCE_HOST_REPORT_EXCHANGE_H_
#define SOURCE_HOST_REPORT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/event_loop.h"
#include "base/ids.h"
#include "wire/connection.h"
#include "wire/listener.h"

namespace hickoryloft::host {

// Another host, as its registration describes it.
struct PeerAddress {
  HostId m_host;
  Incarnation m_incarnation = 0;
  std::string m_address;  // IP number.
  std::uint16_t m_port = 0;
};

// One outgoing connection a peer. A report lost with its connection makes
// decisions worse, never wrong: the next one holds everything. Use on the
// loop's thread only.
class ReportExchange {
 public:
  struct Events {
    std::function<wire::HostReportT()> m_make_report;
    std::function<void(const wire::HostReportT&)> m_report;
  };

  // Throws Error(kIo) if `port` of `address` cannot be bound.
  ReportExchange(EventLoop& loop,
                 const std::string& address,
                 std::uint16_t port,
                 Events events);

  // Replaces the peers. Connections to those that remain are kept.
  void SetPeers(const std::map<HostId, PeerAddress>& peers);
  const std::map<HostId, PeerAddress>& peers() const { return m_peers; }

  // Sends a report to all peers shortly, besides the regular ones.
  void SendSoon();
  // Sends a report to `peer` shortly, besides the regular ones.
  void SendSoonTo(const HostId& peer);

 private:
  void SendAll();
  void SendUrgent();
  void SendTo(const HostId& peer, const wire::EnvelopeT& report);
  void Connect(const PeerAddress& peer);
  void Accept(int socket);

  EventLoop& m_loop;
  Events m_events;
  wire::Listener m_listener;
  std::map<HostId, PeerAddress> m_peers;
  std::map<HostId, std::shared_ptr<wire::Connection>> m_connections;
  std::unordered_set<std::shared_ptr<wire::Connection>> m_accepted;
  std::unordered_set<HostId> m_urgent;
  MonotonicTime m_last_urgent;
  std::unique_ptr<Timer> m_regular;
  std::unique_ptr<Timer> m_soon;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REPORT_EXCHANGE_H_
