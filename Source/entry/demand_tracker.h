// Requests that wait until a replica of an artifact is ready.

#ifndef SOURCE_ENTRY_DEMAND_TRACKER_H_
#define SOURCE_ENTRY_DEMAND_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "endpoint/orders.h"
#include "entry/coordinator_link.h"

namespace hickoryloft::entry {

// The outcome of a wait.
struct DemandResult {
  bool m_ready = false;      // A replica is ready now.
  bool m_too_late = false;   // A replica would be ready after the deadline.
  Duration m_retry_after{};  // When not ready.
  std::string m_reason;      // The coordinator's reason, if it refused.
};

// A request that waits for a replica.
struct DemandWait {
  std::uint64_t m_id = 0;
  std::string m_served_name;
  endpoint::Artifact m_artifact;
  ClientAccountId m_account;
  double m_weight = 1;
  MonotonicTime m_deadline{};
  std::function<void(const DemandResult&)> m_callback;
};

// Sends the coordinator one demand for all requests that wait for the same
// artifact, and repeats it while they wait. Use on the loop's thread only;
// `loop` and `link` must outlive it.
class DemandTracker {
 public:
  static constexpr Duration kDemandInterval = milliseconds(500);
  static constexpr Duration kFailureRetryDelay = milliseconds(100);
  static constexpr Duration kReplyTimeout = seconds(2);
  static constexpr Duration kUseReportInterval = seconds(1);

  DemandTracker(EventLoop& loop, CoordinatorLink& link)
      : m_loop(loop), m_link(link) {}

  // Starts a wait. Its callback is called once, possibly before this returns,
  // unless the wait is cancelled.
  void Wait(DemandWait wait);
  void Cancel(std::uint64_t id);

  // Reports to the coordinator, at most once every kUseReportInterval per
  // artifact, that a caller uses a ready replica, so that the replica is
  // retained.
  void ReportUse(const std::string& served_name,
                 const endpoint::Artifact& artifact,
                 const ClientAccountId& account);

  // Ends the waits for artifacts for which `is_ready` returns true.
  void OnEndpointsChanged(
      const std::function<bool(const std::string&)>& is_ready);

  std::size_t waiting() const { return m_served_name_by_id.size(); }

 private:
  struct Demand {
    std::vector<DemandWait> m_waits;
    bool m_reply_pending = false;
    MonotonicTime m_demanded_deadline{};  // Latest deadline in the last demand.
    std::optional<MonotonicTime> m_ready_at;
    std::unique_ptr<Timer> m_resend_timer;
  };

  void SendDemand(const std::string& served_name);
  void OnReply(const std::string& served_name,
               const Result<wire::EnvelopeT>& reply);
  void OnLoading(const std::string& served_name, Duration ready_in);
  void OnRefused(const std::string& served_name,
                 const wire::DemandReplyT& reply);
  void ScheduleDemand(const std::string& served_name, Duration delay);
  // Ends the waits for `served_name` for which `matches` returns true.
  void EndWaits(const std::string& served_name,
                const std::function<bool(const DemandWait&)>& matches,
                const DemandResult& result);

  EventLoop& m_loop;
  CoordinatorLink& m_link;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::map<std::string, Demand> m_demands;
  std::map<std::uint64_t, std::string> m_served_name_by_id;
  std::map<std::string, MonotonicTime> m_last_use_reports;  // By served name.
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DEMAND_TRACKER_H_
