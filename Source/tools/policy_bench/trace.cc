#include "tools/policy_bench/trace.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace hickoryloft::tools {
namespace {

constexpr double kBytesPerGb = 1e9;
constexpr double kPeakMemoryFactor = 1.1;
constexpr std::uint64_t kAdapterBytes = 60'000'000;
constexpr std::uint32_t kMaxReplicas = 3;
constexpr double kPeriodJitter = 0.03;
constexpr double kSecondsPerHour = 3600;
// The initial burst of a session arrives within this time.
constexpr double kBurstSpreadSeconds = 0.2;

// Generates the sessions and requests of one trace at random.
class TraceGenerator {
 public:
  TraceGenerator(const TraceSpec& spec, std::uint64_t seed)
      : m_spec(spec), m_demand(spec.m_demand), m_random(seed) {}

  Trace Generate() {
    MakeCatalog();
    double weights = 0;
    for (std::uint32_t rank = 1; rank <= m_demand.m_models; ++rank) {
      weights += PopularityWeight(rank);
    }
    for (std::uint32_t rank = 1; rank <= m_demand.m_models; ++rank) {
      const double rate = m_demand.m_sessions_per_hour *
                          PopularityWeight(rank) / weights / kSecondsPerHour;
      const bool periodic = Uniform(0, 1) < m_demand.m_periodic_share;
      if (periodic) {
        AddPeriodicSessions(rank);
      } else {
        AddRandomSessions(rank, rate);
      }
    }
    std::stable_sort(m_trace.m_arrivals.begin(), m_trace.m_arrivals.end(),
                     [](const Arrival& left, const Arrival& right) {
                       return left.m_at < right.m_at;
                     });
    return std::move(m_trace);
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(m_random);
  }
  double PopularityWeight(std::uint32_t rank) const {
    return 1 / std::pow(rank, m_demand.m_skew);
  }
  double EndSeconds() const { return ToSeconds(m_spec.m_duration); }
  static ModelId ModelAt(std::uint32_t rank) {
    return ModelId("trace/m" + std::to_string(rank));
  }

  void MakeCatalog() {
    for (std::uint32_t rank = 1; rank <= m_demand.m_models; ++rank) {
      const double gb =
          Uniform(m_demand.m_least_model_gb, m_demand.m_most_model_gb);
      const auto bytes = static_cast<std::uint64_t>(gb * kBytesPerGb);
      const ModelId id = ModelAt(rank);
      m_trace.m_catalog[id] = {.m_id = id,
                               .m_version = "1",
                               .m_bytes = bytes,
                               .m_peak_bytes = static_cast<std::uint64_t>(
                                   gb * kBytesPerGb * kPeakMemoryFactor),
                               .m_max_replicas = kMaxReplicas};
    }
    for (std::uint32_t index = 0; index < m_demand.m_adapters; ++index) {
      const auto rank =
          static_cast<std::uint32_t>(Uniform(1, m_demand.m_models / 4.0 + 1));
      m_trace.m_catalog[ModelAt(rank)]
          .m_adapters[AdapterId("a" + std::to_string(index))] = {
          .m_version = "1", .m_bytes = kAdapterBytes};
    }
  }

  // Generates sessions as a Poisson process by thinning; the rate varies over
  // the trace as one period of a cosine.
  void AddRandomSessions(std::uint32_t rank, double rate) {
    double at = 0;
    const double max_rate = rate * (1 + m_demand.m_diurnal);
    while ((at += Exponential(1 / max_rate)) < EndSeconds()) {
      const double phase = 2 * std::numbers::pi * at / EndSeconds();
      const double current_rate =
          rate * (1 - m_demand.m_diurnal * std::cos(phase));
      if (Uniform(0, max_rate) < current_rate) {
        AddSession(rank, at);
      }
    }
  }

  void AddPeriodicSessions(std::uint32_t rank) {
    const double period = m_demand.m_period_s * Uniform(0.5, 1.5);
    for (double at = Uniform(0, period); at < EndSeconds(); at += period) {
      AddSession(rank, at + period * Uniform(-kPeriodJitter, kPeriodJitter));
    }
  }

  void AddSession(std::uint32_t rank, double start) {
    const placement::CatalogModel& model = m_trace.m_catalog[ModelAt(rank)];
    AdapterId adapter;
    if (!model.m_adapters.empty() && Uniform(0, 1) < m_demand.m_adapter_share) {
      const auto index = static_cast<std::ptrdiff_t>(
          Uniform(0, static_cast<double>(model.m_adapters.size())));
      adapter = std::next(model.m_adapters.begin(), index)->first;
    }
    const auto account =
        static_cast<std::uint32_t>(Uniform(0, m_demand.m_accounts));
    double request_factor = 1;
    if (account == 0) {
      request_factor = m_spec.m_faults.m_busy_account_factor;
    }
    const double burst_requests =
        request_factor * (1 + Exponential(m_demand.m_burst));
    for (int index = 0; index < static_cast<int>(burst_requests); ++index) {
      AddArrival(start + Uniform(0, kBurstSpreadSeconds), account, model.m_id,
                 adapter);
    }
    const double later_requests =
        request_factor * Exponential(m_demand.m_session_requests);
    double at = start;
    for (int index = 0; index < static_cast<int>(later_requests); ++index) {
      at += Exponential(m_demand.m_gap_s / request_factor);
      AddArrival(at, account, model.m_id, adapter);
    }
  }

  void AddArrival(double at,
                  std::uint32_t account,
                  const ModelId& model,
                  const AdapterId& adapter) {
    if (at < 0 || at >= EndSeconds()) {
      return;
    }
    m_trace.m_arrivals.push_back(
        {.m_at = FromSeconds(at),
         .m_entry =
             static_cast<std::uint32_t>(Uniform(0, m_spec.m_fleet.m_entries)),
         .m_account = account,
         .m_model = model,
         .m_adapter = adapter,
         .m_patience = FromSeconds(Uniform(m_demand.m_least_patience_s,
                                           m_demand.m_most_patience_s))});
  }

  const TraceSpec& m_spec;
  const DemandSpec& m_demand;
  RandomEngine m_random;
  Trace m_trace;
};

}  // namespace

Trace MakeTrace(const TraceSpec& spec, std::uint64_t seed) {
  return TraceGenerator(spec, seed).Generate();
}

}  // namespace hickoryloft::tools
