// loft-limits-bench: measures wrongful refusals by the rate shares under
// failures, in virtual time.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "tools/limits_bench/scenarios.h"

namespace {

namespace limits = hickoryloft::limits;
namespace tools = hickoryloft::tools;

struct Options {
  std::uint64_t m_seed_count = 3;
  std::uint64_t m_first_seed = 1;
  long long m_takeover_delay_ms = 10000;
  double m_rate = 1000;
  double m_burst = 5000;
  std::uint32_t m_hosts = 8;
};

struct NamedPlan {
  std::string m_name;
  std::unique_ptr<limits::SharePlan> m_plan;
};

std::vector<NamedPlan> MakePlans(std::uint32_t hosts) {
  std::vector<NamedPlan> plans;
  for (const std::uint32_t shares : {1U, 2U, 3U, 4U, 6U}) {
    plans.push_back({std::to_string(shares) + " homes",
                     std::make_unique<limits::SharedSlots>(shares)});
  }
  plans.push_back({"equal split", std::make_unique<limits::EqualSplit>(hosts)});
  return plans;
}

tools::AccountCounts Sum(const std::vector<tools::AccountCounts>& accounts) {
  tools::AccountCounts sum;
  for (const tools::AccountCounts& counts : accounts) {
    sum.m_requests += counts.m_requests;
    sum.m_refused += counts.m_refused;
    // The shares and the exact bucket may refuse different requests, so only
    // their counts are compared, per account.
    sum.m_exact_refused += std::min(counts.m_exact_refused, counts.m_refused);
    sum.m_admitted_tokens += counts.m_admitted_tokens;
    sum.m_exact_admitted_tokens += counts.m_exact_admitted_tokens;
    sum.m_token_requests += counts.m_token_requests;
    sum.m_lowest_level = std::min(sum.m_lowest_level, counts.m_lowest_level);
  }
  return sum;
}

void PrintRow(const tools::Scenario& scenario,
              const NamedPlan& plan,
              const Options& options) {
  std::vector<tools::AccountCounts> all;
  for (std::uint64_t i = 0; i < options.m_seed_count; ++i) {
    const tools::FleetOptions fleet{
        .m_hosts = options.m_hosts,
        .m_takeover_delay =
            hickoryloft::milliseconds(options.m_takeover_delay_ms),
        .m_limit = {.m_tokens_per_second = options.m_rate,
                    .m_burst_tokens = options.m_burst},
        .m_seed = options.m_first_seed + i};
    const auto counts = scenario.m_run(*plan.m_plan, fleet);
    all.insert(all.end(), counts.begin(), counts.end());
  }
  const tools::AccountCounts sum = Sum(all);
  const auto requests =
      static_cast<double>(std::max<std::uint64_t>(sum.m_requests, 1));
  const std::uint64_t wrongful = sum.m_refused - sum.m_exact_refused;
  std::printf("%-30s %-12s %9llu %8llu %9llu %9.4f %9.4f %8.2f %9.1f\n",
              scenario.m_name.c_str(), plan.m_name.c_str(),
              static_cast<unsigned long long>(sum.m_requests),
              static_cast<unsigned long long>(sum.m_refused),
              static_cast<unsigned long long>(wrongful),
              100 * static_cast<double>(wrongful) / requests,
              sum.m_admitted_tokens / sum.m_exact_admitted_tokens,
              static_cast<double>(sum.m_token_requests) / requests,
              sum.m_lowest_level);
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app(
      "Measures requests refused although one exact token bucket had room,\n"
      "for rate shares on one or more homes, and split equally over all\n"
      "hosts. Virtual time; the same seeds give the same figures.\n"
      "Example: loft-limits-bench --seeds 5 --burst 5000\n"
      "Exit codes: 0 done; 2 wrong usage.");
  app.set_version_flag("--version", HICKORYLOFT_VERSION);
  app.add_option("--seeds", options.m_seed_count, "Number of seeds")
      ->check(CLI::Range(1, 1000));
  app.add_option("--first-seed", options.m_first_seed, "First seed");
  app.add_option("--take-over-ms", options.m_takeover_delay_ms,
                 "From the loss of a home until another host holds its shares")
      ->check(CLI::Range(0, 600000));
  app.add_option("--rate", options.m_rate, "Tokens a second of an account")
      ->check(CLI::PositiveNumber);
  app.add_option("--burst", options.m_burst, "Burst of an account, in tokens")
      ->check(CLI::PositiveNumber);
  app.add_option("--hosts", options.m_hosts, "Number of hosts")
      ->check(CLI::Range(3, 64));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  std::printf("%-30s %-12s %9s %8s %9s %9s %9s %8s %9s\n", "scenario", "plan",
              "requests", "refused", "wrongful", "wrongful%", "tokens",
              "draws/rq", "lowest");
  const std::vector<NamedPlan> plans = MakePlans(options.m_hosts);
  for (const tools::Scenario& scenario : tools::Scenarios()) {
    for (const NamedPlan& plan : plans) {
      PrintRow(scenario, plan, options);
    }
  }
  return 0;
}
