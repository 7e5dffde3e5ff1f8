// An arrival trace: the catalog of models and adapters, and all requests.

#ifndef SOURCE_TOOLS_POLICY_BENCH_TRACE_H_
#define SOURCE_TOOLS_POLICY_BENCH_TRACE_H_

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "placement/types.h"
#include "tools/policy_bench/trace_spec.h"

namespace hickoryloft::tools {

// One request of the trace. Times are relative to the start of the trace.
struct Arrival {
  Duration m_at{};
  std::uint32_t m_entry = 0;
  std::uint32_t m_account = 0;
  ModelId m_model;
  AdapterId m_adapter;
  Duration m_patience{};
};

struct Trace {
  placement::Catalog m_catalog;
  std::vector<Arrival> m_arrivals;  // Sorted by time.
};

// Generates the trace that `spec` describes. Deterministic for the same `spec`
// and `seed`. Thread-safe.
Trace MakeTrace(const TraceSpec& spec, std::uint64_t seed);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_TRACE_H_
