// Requests that wait for a replica of an idle artifact.

#ifndef SOURCE_ENTRY_DEMAND_BOARD_H_
#define SOURCE_ENTRY_DEMAND_BOARD_H_

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

// How a wait ended.
struct DemandResult {
  bool m_ready = false;      // A replica is ready now.
  bool m_too_late = false;   // It would be ready after the deadline.
  Duration m_retry_after{};  // When not ready.
  std::string m_reason;      // The coordinator's, when it refused.
};

// A request's wish for a replica.
struct DemandWait {
  std::uint64_t m_id = 0;
  std::string m_served_name;
  endpoint::Artifact m_artifact;
  ClientAccountId m_account;
  double m_weight = 1;
  MonotonicTime m_deadline{};
  std::function<void(const DemandResult&)> m_callback;
};

// Asks the coordinator once for all requests that wait for one artifact, and
// again while they wait. Use on the loop's thread only; `loop` and `link` must
// outlive it.
class DemandBoard {
 public:
  static constexpr Duration kAskAgain = milliseconds(500);
  static constexpr Duration kAskAfterFailure = milliseconds(100);
  static constexpr Duration kReplyLimit = seconds(2);
  static constexpr Duration kUseInterval = seconds(1);

  DemandBoard(EventLoop& loop, CoordinatorLink& link)
      : m_loop(loop), m_link(link) {}

  // Starts a wait. Its callback is called once, possibly before this returns,
  // unless the wait is cancelled.
  void Wait(DemandWait wait);
  void Cancel(std::uint64_t id);

  // Tells the coordinator, at most once every kUseInterval for an artifact,
  // that a caller uses a replica that is ready, so that it is kept.
  void NoteUse(const std::string& served_name,
               const endpoint::Artifact& artifact,
               const ClientAccountId& account);

  // Ends the waits for artifacts that `is_ready` now.
  void OnEndpointsChanged(
      const std::function<bool(const std::string&)>& is_ready);

  std::size_t waiting() const { return m_artifact_of.size(); }

 private:
  struct Demand {
    std::vector<DemandWait> m_waits;
    bool m_asking = false;
    MonotonicTime m_asked_deadline{};  // The latest one that was asked for.
    std::optional<MonotonicTime> m_ready_at;
    std::unique_ptr<Timer> m_again;
  };

  void Ask(const std::string& served_name);
  void OnReply(const std::string& served_name,
               const Result<wire::EnvelopeT>& reply);
  void OnLoading(const std::string& served_name, Duration ready_in);
  void OnRefused(const std::string& served_name,
                 const wire::DemandReplyT& reply);
  void AskLater(const std::string& served_name, Duration delay);
  // Ends the waits of `served_name` that match; the others stay.
  void EndWaits(const std::string& served_name,
                const std::function<bool(const DemandWait&)>& matches,
                const DemandResult& result);

  EventLoop& m_loop;
  CoordinatorLink& m_link;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::map<std::string, Demand> m_demands;
  std::map<std::uint64_t, std::string> m_artifact_of;
  std::map<std::string, MonotonicTime> m_noted;  // Last use by served name.
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DEMAND_BOARD_H_
