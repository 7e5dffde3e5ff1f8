// A trace: the models and adapters, and every request with its time.

#ifndef SOURCE_TOOLS_POLICY_BENCH_TRACE_H_
#define SOURCE_TOOLS_POLICY_BENCH_TRACE_H_

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "placement/types.h"
#include "tools/policy_bench/trace_spec.h"

namespace hickoryloft::tools {

// One request of the trace. Times count from the trace's begin.
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
  std::vector<Arrival> m_arrivals;  // In the order of time.
};

// Returns the trace that `spec` and `seed` describe, the same every time.
// Thread-safe.
Trace MakeTrace(const TraceSpec& spec, std::uint64_t seed);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_TRACE_H_
