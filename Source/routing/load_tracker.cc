#include "routing/load_tracker.h"

#include <algorithm>

namespace hickoryloft::routing {

std::int64_t LoadTracker::SlotNumber(MonotonicTime time) {
  return time.time_since_epoch() / kSlot;
}

void LoadTracker::Count(State& state, std::int32_t change, MonotonicTime now) {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = state.m_changes[static_cast<std::size_t>(number) % kSlots];
  if (slot.m_number != number) {
    slot = {number, 0};
  }
  slot.m_change += change;
}

void LoadTracker::OnSent(const EndpointId& id, MonotonicTime now) {
  State& state = m_states[id];
  ++state.m_in_flight;
  Count(state, 1, now);
}

void LoadTracker::OnFinished(const EndpointId& id, MonotonicTime now) {
  const auto found = m_states.find(id);
  if (found == m_states.end() || found->second.m_in_flight == 0) {
    return;
  }
  --found->second.m_in_flight;
  Count(found->second, -1, now);
}

void LoadTracker::OnReport(const EndpointId& id, const LoadReport& report) {
  State& state = m_states[id];
  if (!state.m_reported || report.m_taken_at >= state.m_report.m_taken_at) {
    state.m_reported = true;
    state.m_report = report;
  }
}

void LoadTracker::Forget(const EndpointId& id) {
  // While calls are in flight the entry is kept, so that OnFinished() brings
  // its count back to zero.
  const auto found = m_states.find(id);
  if (found != m_states.end() && found->second.m_in_flight == 0) {
    m_states.erase(found);
  }
}

std::uint32_t LoadTracker::InFlight(const EndpointId& id) const {
  const State* state = Find(id);
  return state == nullptr ? 0 : state->m_in_flight;
}

double LoadTracker::Load(const EndpointId& id, MonotonicTime now) const {
  const State* state = Find(id);
  if (state == nullptr) {
    return 0;
  }
  const double own = state->m_in_flight;
  if (!Fresh(*state, now)) {
    return own;
  }
  const LoadReport& report = state->m_report;
  const double corrected = static_cast<double>(report.m_waiting) +
                           report.m_running +
                           ChangeSince(*state, report.m_taken_at);
  return std::max(own, corrected);
}

double LoadTracker::Waiting(const EndpointId& id, MonotonicTime now) const {
  const State* state = Find(id);
  if (state == nullptr || !Fresh(*state, now)) {
    return 0;
  }
  const LoadReport& report = state->m_report;
  if (report.m_waiting == 0) {
    // Nothing waited, so the endpoint has capacity for at least the requests
    // that were running; those sent since may fit too.
    return 0;
  }
  return std::max(0.0, static_cast<double>(report.m_waiting) +
                           ChangeSince(*state, report.m_taken_at));
}

double LoadTracker::ReportedLoad(const EndpointId& id) const {
  const State* state = Find(id);
  if (state == nullptr || !state->m_reported) {
    return 0;
  }
  return static_cast<double>(state->m_report.m_waiting) +
         state->m_report.m_running;
}

std::int32_t LoadTracker::ChangeSince(const State& state, MonotonicTime time) {
  const std::int64_t first = SlotNumber(time) + 1;
  std::int32_t change = 0;
  for (const Slot& slot : state.m_changes) {
    if (slot.m_number >= first) {
      change += slot.m_change;
    }
  }
  return change;
}

bool LoadTracker::Fresh(const State& state, MonotonicTime now) {
  return state.m_reported && now - state.m_report.m_taken_at < kMaxReportAge;
}

const LoadTracker::State* LoadTracker::Find(const EndpointId& id) const {
  const auto found = m_states.find(id);
  return found == m_states.end() ? nullptr : &found->second;
}

}  // namespace hickoryloft::routing
