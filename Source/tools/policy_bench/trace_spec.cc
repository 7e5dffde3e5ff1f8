#include "tools/policy_bench/trace_spec.h"

#include <filesystem>
#include <limits>
#include <sstream>

#include "base/error.h"
#include "documents/table_reader.h"
#include "settings/settings_file.h"
#include "settings/toml_text.h"

namespace hickoryloft::tools {
namespace {

using documents::TableReader;

constexpr double kMaxNumber = 1e9;
constexpr std::uint64_t kMaxCount = 1'000'000;

// Reads `key` into `value`, which is left unchanged if the key is absent.
void Read(TableReader& reader, const std::string& key, double& value) {
  value = reader.Number(key, {0, kMaxNumber}, value);
}

void Read(TableReader& reader, const std::string& key, std::uint32_t& value) {
  value =
      static_cast<std::uint32_t>(reader.Unsigned(key, {1, kMaxCount}, value));
}

void ReadFleet(TableReader reader, FleetSpec& fleet) {
  Read(reader, "entries", fleet.m_entries);
  Read(reader, "failure_domains", fleet.m_failure_domains);
  Read(reader, "engines", fleet.m_engines);
  Read(reader, "engine_memory_gb", fleet.m_engine_memory_gb);
  Read(reader, "disk_cache_gb", fleet.m_disk_cache_gb);
  Read(reader, "memory_cache_gb", fleet.m_memory_cache_gb);
  Read(reader, "memory_gb_per_second", fleet.m_memory_gb_per_second);
  Read(reader, "disk_gb_per_second", fleet.m_disk_gb_per_second);
  Read(reader, "store_gb_per_second", fleet.m_store_gb_per_second);
  Read(reader, "store_loads_per_second", fleet.m_store_loads_per_second);
  Read(reader, "store_full_speed_loads", fleet.m_store_full_speed_loads);
  Read(reader, "adapter_loads_in_flight", fleet.m_adapter_loads_in_flight);
  reader.RejectUnknownKeys();
}

void ReadDemand(TableReader reader, DemandSpec& demand) {
  Read(reader, "models", demand.m_models);
  Read(reader, "adapters", demand.m_adapters);
  Read(reader, "least_model_gb", demand.m_least_model_gb);
  Read(reader, "most_model_gb", demand.m_most_model_gb);
  Read(reader, "sessions_per_hour", demand.m_sessions_per_hour);
  Read(reader, "skew", demand.m_skew);
  Read(reader, "diurnal", demand.m_diurnal);
  Read(reader, "burst", demand.m_burst);
  Read(reader, "session_requests", demand.m_session_requests);
  Read(reader, "gap_s", demand.m_gap_s);
  Read(reader, "periodic_share", demand.m_periodic_share);
  Read(reader, "period_s", demand.m_period_s);
  Read(reader, "adapter_share", demand.m_adapter_share);
  Read(reader, "least_patience_s", demand.m_least_patience_s);
  Read(reader, "most_patience_s", demand.m_most_patience_s);
  Read(reader, "accounts", demand.m_accounts);
  reader.RejectUnknownKeys();
}

void ReadFaults(TableReader& reader, FaultSpec& faults) {
  Read(reader, "store_slowdown", faults.m_store_slowdown);
  faults.m_domain_lost = reader.Boolean("domain_lost", faults.m_domain_lost);
  Read(reader, "holder_restart_s", faults.m_holder_restart_s);
  Read(reader, "report_lag_s", faults.m_report_lag_s);
  Read(reader, "busy_account_factor", faults.m_busy_account_factor);
  reader.RejectUnknownKeys();
}

}  // namespace

std::vector<TraceSpec> LoadTraces(const std::string& path) {
  const toml::table root = settings::ParseTomlText(
      settings::ReadFile(path), path, ErrorCode::kInvalidDocument);
  TableReader reader(root, "", path);
  TraceSpec trace{.m_name = std::filesystem::path(path).stem().string()};
  trace.m_duration = seconds(
      reader.Unsigned("duration_s", {1, kMaxCount},
                      duration_cast<seconds>(trace.m_duration).count()));
  if (auto fleet = reader.Table("fleet")) {
    ReadFleet(std::move(*fleet), trace.m_fleet);
  }
  if (auto demand = reader.Table("demand")) {
    ReadDemand(std::move(*demand), trace.m_demand);
  }
  std::vector<TraceSpec> traces = {trace};
  for (TableReader variant : reader.NamedTables("variants")) {
    traces.push_back(trace);
    traces.back().m_name += "/" + variant.name();
    ReadFaults(variant, traces.back().m_faults);
  }
  reader.RejectUnknownKeys();
  return traces;
}

}  // namespace hickoryloft::tools
