// Describes an arrival trace and the fleet that serves it.

#ifndef SOURCE_TOOLS_POLICY_BENCH_TRACE_SPEC_H_
#define SOURCE_TOOLS_POLICY_BENCH_TRACE_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

struct FleetSpec {
  std::uint32_t m_entries = 8;
  std::uint32_t m_failure_domains = 4;
  std::uint32_t m_engines = 20;
  double m_engine_memory_gb = 24;
  double m_disk_cache_gb = 100;   // Checkpoints on an engine's disk.
  double m_memory_cache_gb = 24;  // Checkpoints in its host memory.
  double m_memory_gb_per_second = 12;
  double m_disk_gb_per_second = 3;
  double m_store_gb_per_second = 2;  // Per load, without contention.
  std::uint32_t m_store_loads_per_second = 7;
  std::uint32_t m_store_full_speed_loads = 4;
  std::uint32_t m_adapter_loads_in_flight = 30;
};

struct DemandSpec {
  std::uint32_t m_models = 100;
  std::uint32_t m_adapters = 115;
  double m_least_model_gb = 3;
  double m_most_model_gb = 12;
  double m_sessions_per_hour = 240;
  double m_skew = 1;               // Exponent of the models' Zipf popularity.
  double m_diurnal = 0.7;          // Relative amplitude of the rate, 0 to 1.
  double m_burst = 5;              // Mean extra requests in the initial burst.
  double m_session_requests = 10;  // Mean requests after the burst.
  double m_gap_s = 15;             // Mean time between these requests.
  double m_periodic_share = 0.3;   // Share of models with periodic sessions.
  double m_period_s = 1200;
  // Share of sessions that use an adapter, where the model has any.
  double m_adapter_share = 0.4;
  double m_least_patience_s = 5;
  double m_most_patience_s = 12;
  std::uint32_t m_accounts = 5;
};

// Faults injected during the trace.
struct FaultSpec {
  double m_store_slowdown = 1;    // Load time factor after 1/3 of the trace.
  bool m_domain_lost = false;     // One failure domain fails halfway through.
  double m_holder_restart_s = 0;  // Interval of replacing a holder; 0: never.
  double m_report_lag_s = 0;      // Delay of inventory reports.
  double m_busy_account_factor = 1;  // Multiplies the first account's rate.
};

struct TraceSpec {
  std::string m_name;
  Duration m_duration = std::chrono::hours(4);
  FleetSpec m_fleet;
  DemandSpec m_demand;
  FaultSpec m_faults;
};

// Reads the trace at `path` and its variants, which differ from it only in
// their faults. The trace itself is the first element. Throws Error(kIo) or
// Error(kInvalidDocument) that names file, line and key.
std::vector<TraceSpec> LoadTraces(const std::string& path);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_TRACE_SPEC_H_
