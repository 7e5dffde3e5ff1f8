// Estimates the load of each endpoint from this entry's own calls and from
// delayed load reports.

#ifndef SOURCE_ROUTING_LOAD_TRACKER_H_
#define SOURCE_ROUTING_LOAD_TRACKER_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

// An endpoint's own report of its load, in requests.
struct LoadReport {
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  MonotonicTime m_taken_at{};  // Time of receipt minus the report's age.
};

// Not thread-safe; the times passed in must not decrease.
class LoadTracker {
 public:
  // Reports older than this are ignored.
  static constexpr Duration kMaxReportAge = seconds(5);

  void OnSent(const EndpointId& id, MonotonicTime now);
  void OnFinished(const EndpointId& id, MonotonicTime now);
  // Stores `report` unless it is older than the stored one.
  void OnReport(const EndpointId& id, const LoadReport& report);
  void Forget(const EndpointId& id);

  // Returns the number of this entry's calls in flight at the endpoint.
  std::uint32_t InFlight(const EndpointId& id) const;
  // Returns the estimated number of requests at the endpoint: the last report,
  // plus this entry's calls sent since it was taken, minus those finished
  // since; at least InFlight().
  double Load(const EndpointId& id, MonotonicTime now) const;
  // Returns the estimated number of requests in the endpoint's own queue.
  double Waiting(const EndpointId& id, MonotonicTime now) const;
  // Returns the load of the last report without correction, or 0 without a
  // report.
  double ReportedLoad(const EndpointId& id) const;

 private:
  // Changes of the in-flight count are summed by time slot, so that the changes
  // after a report can be computed.
  static constexpr Duration kSlot = milliseconds(100);
  static constexpr std::size_t kSlots = 64;

  struct Slot {
    std::int64_t m_number = -1;
    std::int32_t m_change = 0;
  };
  struct State {
    std::uint32_t m_in_flight = 0;
    bool m_reported = false;
    LoadReport m_report;
    std::array<Slot, kSlots> m_changes{};
  };

  static std::int64_t SlotNumber(MonotonicTime time);
  static void Count(State& state, std::int32_t change, MonotonicTime now);
  static std::int32_t ChangeSince(const State& state, MonotonicTime time);
  static bool Fresh(const State& state, MonotonicTime now);
  const State* Find(const EndpointId& id) const;

  std::unordered_map<EndpointId, State> m_states;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_LOAD_TRACKER_H_
