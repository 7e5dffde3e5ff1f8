// Stand-in for the platform's key-value service and host list, with fault
// injection.

#ifndef STANDINS_PLATFORM_STAND_IN_H_
#define STANDINS_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "StandIns/etcd_gateway.h"
#include "StandIns/stand_in.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::standins {

// Serves a subset of the etcd v3 JSON gateway and `GET /hosts` (`POST /hosts`
// replaces the list). Faults besides the common ones: "outage" ("close",
// "hang" or false; true means "close"), "cut_hosts" (host names whose calls get
// no response), "watch_delay_ms", "drop_watch_events" (a count).
// "drop_replies" applies to replies to writes. Use on the loop's thread only.
class PlatformStandIn : public StandIn {
 public:
  PlatformStandIn(EventLoop& loop, const ListenAddress& listen);

  nlohmann::json Record() const override;

 private:
  enum class Outage { kNone, kClose, kHang };
  struct WaitingWatch {
    CallPtr m_call;
    std::string m_host;
    std::string m_range_start;
    std::string m_range_end;
    Revision m_sent_revision = 0;  // All events up to it were sent or dropped.
  };
  using Counts = std::map<std::string, std::int64_t>;

  void Handle(const CallPtr& call) override;
  void ApplyFaults(const nlohmann::json& faults) override;

  void Count(const std::string& host, CallKind kind);
  void HoldUnanswered(const CallPtr& call);
  void HandleUnary(const CallPtr& call, const nlohmann::json& body);
  void StartWatch(const CallPtr& call,
                  const std::string& host,
                  const nlohmann::json& body);
  void ScheduleDelivery();
  void DeliverAll();
  void Deliver(WaitingWatch& watch);
  void SendProgress();
  void ApplyOutage(const nlohmann::json& value);

  keyvalue::MemoryStore m_store;
  nlohmann::json m_hosts = nlohmann::json::array();
  Counts m_calls_by_kind;
  std::map<std::string, Counts> m_calls_by_host;
  std::size_t m_most_watches = 0;

  Outage m_outage = Outage::kNone;
  std::set<std::string> m_cut_hosts;
  Duration m_watch_delay{};
  std::int64_t m_events_to_drop = 0;

  std::list<WaitingWatch> m_watches;
  std::set<CallPtr> m_unanswered;
  std::unique_ptr<Timer> m_delivery_timer;
  std::unique_ptr<Timer> m_expiry_timer;
  std::unique_ptr<Timer> m_progress_timer;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_PLATFORM_STAND_IN_H_
