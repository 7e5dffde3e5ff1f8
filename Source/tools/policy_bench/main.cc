// loft-policy-bench: replays arrival traces in virtual time through the
// decision code of the daemons.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "base/error.h"
#include "tools/policy_bench/bench_run.h"
#include "tools/policy_bench/trace_spec.h"

namespace {

using namespace hickoryloft;
using tools::Measures;
using tools::PolicySet;
using tools::TraceSpec;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Policies are tuned with the first seeds; reported figures use only the second
// ones.
constexpr std::uint64_t kTuningSeeds[] = {1, 2, 3};
constexpr std::uint64_t kReportedSeeds[] = {101, 102, 103, 104, 105};

constexpr char kFooter[] =
    "Prints the median over the seeds. The reported seeds are never used for "
    "tuning.\n\n"
    "Exit codes: 0 done, 1 a trace cannot be read, 2 wrong usage.\n\n"
    "Examples:\n"
    "  loft-policy-bench Examples/traces/jarro.toml\n"
    "  loft-policy-bench Examples/traces/*.toml --policy product --policy "
    "baseline --json\n";

struct CommandLine {
  std::vector<std::string> m_traces;
  std::vector<std::string> m_policies;
  std::vector<std::string> m_variants;
  bool m_tuning = false;
  bool m_json = false;
};

void DeclareOptions(CLI::App& app, CommandLine& line) {
  app.footer(kFooter);
  app.set_version_flag("--version", HICKORYLOFT_VERSION);
  app.add_option("trace", line.m_traces, "TOML files of traces")
      ->required()
      ->check(CLI::ExistingFile);
  std::set<std::string> names;
  for (const PolicySet& policies : tools::AllPolicySets()) {
    names.insert(policies.m_name);
  }
  app.add_option("--policy", line.m_policies, "Policies; by default all")
      ->check(CLI::IsMember(names));
  app.add_option("--variant", line.m_variants,
                 "Names such as jarro or jarro/store-slow; by default all");
  app.add_flag("--tuning", line.m_tuning, "Use the seeds for tuning");
  app.add_flag("--json", line.m_json, "Print JSON in place of a table");
}

template <typename Names>
bool IsSelected(const Names& names, const std::string& name) {
  return names.empty() ||
         std::find(names.begin(), names.end(), name) != names.end();
}

// Returns the median of each measure over the seeds.
template <std::size_t kCount>
Measures MedianMeasures(const TraceSpec& spec,
                        const PolicySet& policies,
                        const std::uint64_t (&seeds)[kCount]) {
  std::map<std::string, std::vector<double>> values;
  for (const std::uint64_t seed : seeds) {
    const Measures measures =
        tools::BenchRun(spec, policies, seed).Run().ToMeasures();
    for (const auto& [name, value] : measures) {
      values[name].push_back(value);
    }
  }
  Measures medians;
  for (auto& [name, list] : values) {
    std::sort(list.begin(), list.end());
    medians[name] = list[list.size() / 2];
  }
  return medians;
}

void PrintTable(const std::string& trace,
                const std::vector<std::pair<std::string, Measures>>& columns) {
  constexpr int kNameWidth = 28;
  constexpr int kColumnWidth = 20;
  std::cout << std::left << std::setw(kNameWidth) << trace << std::right;
  for (const auto& [policy, measures] : columns) {
    std::cout << std::setw(kColumnWidth) << policy;
  }
  std::cout << "\n" << std::setprecision(5);
  for (const auto& [name, unused] : columns.front().second) {
    std::cout << std::left << std::setw(kNameWidth) << ("  " + name)
              << std::right;
    for (const auto& [policy, measures] : columns) {
      std::cout << std::setw(kColumnWidth) << measures.at(name);
    }
    std::cout << "\n";
  }
  std::cout << "\n";
}

void ReplayTraces(const CommandLine& line) {
  nlohmann::json json = nlohmann::json::object();
  for (const std::string& file : line.m_traces) {
    for (const TraceSpec& spec : tools::LoadTraces(file)) {
      std::vector<std::pair<std::string, Measures>> columns;
      for (const PolicySet& policies : tools::AllPolicySets()) {
        if (!IsSelected(line.m_policies, policies.m_name) ||
            !IsSelected(line.m_variants, spec.m_name)) {
          continue;
        }
        const Measures measures =
            line.m_tuning ? MedianMeasures(spec, policies, kTuningSeeds)
                          : MedianMeasures(spec, policies, kReportedSeeds);
        json[spec.m_name][policies.m_name] = measures;
        columns.emplace_back(policies.m_name, measures);
      }
      if (!line.m_json && !columns.empty()) {
        PrintTable(spec.m_name, columns);
      }
    }
  }
  if (line.m_json) {
    std::cout << json.dump(2) << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Replays arrival traces through the placement decisions."};
  CommandLine line;
  DeclareOptions(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }
  try {
    ReplayTraces(line);
  } catch (const Error& failure) {
    std::cerr << "loft-policy-bench: " << failure.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}
