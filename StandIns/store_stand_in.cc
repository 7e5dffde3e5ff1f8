#include "StandIns/store_stand_in.h"

#include <algorithm>

#include "base/hashing.h"

namespace hickoryloft::standins {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// Returns how long the fetch of an adapter takes at full speed: 5 to 10 ms,
// derived from its name so that it is the same in every run.
Duration AdapterFetchTime(const std::string& artifact) {
  constexpr microseconds kShortest(5000);
  constexpr std::uint64_t kSpreadMicros = 5001;
  return kShortest + microseconds(StableHash(artifact) % kSpreadMicros);
}

}  // namespace

StoreStandIn::StoreStandIn(EventLoop& loop,
                           const ListenAddress& listen,
                           const StoreSettings& settings)
    : StandIn(loop, listen),
      m_settings(settings),
      m_loads(loop, settings.m_loads_at_full_speed),
      m_adapters(loop, settings.m_adapters_at_full_speed) {}

nlohmann::json StoreStandIn::Record() const {
  return {{"loads", m_load_count},
          {"adapters", m_adapter_count},
          {"waiting", m_waiting.size()},
          {"most_loads_at_once", m_loads.most_active()},
          {"most_adapters_at_once", m_adapters.most_active()},
          {"by_artifact", m_by_artifact}};
}

void StoreStandIn::Handle(const CallPtr& call) {
  const nlohmann::json body = call->Json();
  if (call->path() != "/fetch" || !body.is_object() ||
      !body.contains("artifact") || !body["artifact"].is_string()) {
    call->Send(kBadRequest, {{"error", "expected POST /fetch"}});
    return;
  }
  const Fetch fetch{.m_call = call,
                    .m_artifact = body["artifact"].get<std::string>(),
                    .m_bytes = body.value("bytes", std::uint64_t{0})};
  ++m_by_artifact[fetch.m_artifact];
  if (body.value("adapter", false)) {
    StartAdapter(fetch);
    return;
  }
  m_waiting.push_back(fetch);
  StartNextLoad();
}

void StoreStandIn::ApplyFaults(const nlohmann::json& faults) {
  if (faults.contains("slowdown")) {
    const auto factor = faults["slowdown"].get<double>();
    m_loads.SetSlowdown(factor);
    m_adapters.SetSlowdown(factor);
  }
}

void StoreStandIn::StartAdapter(const Fetch& fetch) {
  ++m_adapter_count;
  m_adapters.Start(AdapterFetchTime(fetch.m_artifact),
                   [this, fetch] { Answer(fetch); });
}

void StoreStandIn::StartNextLoad() {
  if (m_waiting.empty() || m_start_timer) {
    return;
  }
  const MonotonicTime now = loop().Now();
  if (now < m_next_start) {
    m_start_timer = loop().After(m_next_start - now, [this] {
      m_start_timer.reset();
      StartNextLoad();
    });
    return;
  }
  m_next_start = now + FromSeconds(1 / m_settings.m_loads_per_second);
  const Fetch fetch = m_waiting.front();
  m_waiting.pop_front();
  ++m_load_count;
  const double full_speed_seconds =
      static_cast<double>(fetch.m_bytes) / m_settings.m_bytes_per_second;
  m_loads.Start(FromSeconds(full_speed_seconds),
                [this, fetch] { Answer(fetch); });
  StartNextLoad();
}

void StoreStandIn::Answer(const Fetch& fetch) {
  if (ConsumeDroppedReply()) {
    fetch.m_call->Drop();
    return;
  }
  fetch.m_call->Send(kOk, {{"artifact", fetch.m_artifact}});
}

}  // namespace hickoryloft::standins
