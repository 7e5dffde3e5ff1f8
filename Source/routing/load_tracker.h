// Estimates how loaded each endpoint is, from this entry's own calls and from
// reports that lag.

#ifndef SOURCE_ROUTING_LOAD_TRACKER_H_
#define SOURCE_ROUTING_LOAD_TRACKER_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

// What an endpoint said of its load.
struct LoadReport {
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  MonotonicTime m_taken_at{};  // Receipt minus the report's age.
};

// Not thread-safe. Times must not decrease from call to call.
class LoadTracker {
 public:
  // Reports older than this say nothing.
  static constexpr Duration kMaxReportAge = seconds(5);

  void OnSent(const EndpointId& id, MonotonicTime now);
  void OnFinished(const EndpointId& id, MonotonicTime now);
  // Keeps `report` if it is newer than the one at hand.
  void OnReport(const EndpointId& id, const LoadReport& report);
  void Forget(const EndpointId& id);

  // Returns the calls of this entry that run at the endpoint.
  std::uint32_t InFlight(const EndpointId& id) const;
  // Returns the estimated number of requests at the endpoint: the last report,
  // corrected by what this entry has sent and seen finish since it was taken;
  // at least InFlight().
  double Load(const EndpointId& id, MonotonicTime now) const;
  // Returns the estimated number of requests that wait inside the endpoint.
  double Waiting(const EndpointId& id, MonotonicTime now) const;
  // Returns the last report's load without any correction, or 0.
  double ReportedLoad(const EndpointId& id) const;

 private:
  // Changes of the in-flight count, summed by slot of time, so that those after
  // a report can be told.
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
