#include "tools/limits_bench/scenarios.h"

namespace hickoryloft::tools {

namespace {

constexpr double kSteadyShare = 0.95;  // Offered load per account rate.
constexpr std::size_t kAccounts = 5;
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kMinute = seconds(60);
constexpr Duration kOutage = std::chrono::minutes(10);

MonotonicTime At(Duration time) {
  return MonotonicTime(time);
}

void AddSteadyAccounts(FleetSimulation& fleet,
                       const FleetOptions& options,
                       Duration end) {
  for (std::size_t i = 0; i < kAccounts; ++i) {
    fleet.AddAccount({.m_tokens_per_second =
                          kSteadyShare * options.m_limit.m_tokens_per_second},
                     At({}), At(end));
  }
}

std::vector<AccountCounts> Measure(FleetSimulation& fleet, Duration end) {
  fleet.queue().RunUntil(At(end));
  return fleet.TakeCounts();
}

std::vector<AccountCounts> Steady(const limits::SharePlan& plan,
                                  const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + 5 * kMinute;
  AddSteadyAccounts(fleet, options, end);
  Measure(fleet, kWarmUp);
  return Measure(fleet, end);
}

std::vector<AccountCounts> OneHostKilled(const limits::SharePlan& plan,
                                         const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  AddSteadyAccounts(fleet, options, kWarmUp + kMinute);
  Measure(fleet, kWarmUp);
  fleet.Kill(fleet.HomeOf(0));
  return Measure(fleet, kWarmUp + kMinute);
}

std::vector<AccountCounts> RollingRestart(const limits::SharePlan& plan,
                                          const FleetOptions& options) {
  constexpr Duration kBetween = seconds(10);
  constexpr Duration kAbsent = seconds(5);
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + (options.m_hosts + 1) * kBetween;
  AddSteadyAccounts(fleet, options, end);
  for (std::uint32_t host = 0; host < options.m_hosts; ++host) {
    const Duration stop = kWarmUp + host * kBetween;
    fleet.queue().At(At(stop), [&fleet, host] { fleet.Stop(host); });
    fleet.queue().At(At(stop + kAbsent), [&fleet, host] { fleet.Start(host); });
  }
  Measure(fleet, kWarmUp);
  return Measure(fleet, end);
}

std::vector<AccountCounts> Outage(const limits::SharePlan& plan,
                                  const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + kOutage;
  AddSteadyAccounts(fleet, options, end);
  Measure(fleet, kWarmUp);
  fleet.SuspendTakeOver(true);
  return Measure(fleet, end);
}

std::vector<AccountCounts> OutageAndKill(const limits::SharePlan& plan,
                                         const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + kOutage + kMinute;
  AddSteadyAccounts(fleet, options, end);
  Measure(fleet, kWarmUp);
  fleet.SuspendTakeOver(true);
  fleet.queue().At(At(kWarmUp + kMinute),
                   [&fleet] { fleet.Kill(fleet.HomeOf(0)); });
  fleet.queue().At(At(kWarmUp + kOutage),
                   [&fleet] { fleet.SuspendTakeOver(false); });
  return Measure(fleet, end);
}

std::vector<AccountCounts> OneAccountFivefold(const limits::SharePlan& plan,
                                              const FleetOptions& options) {
  constexpr double kExcess = 5;
  constexpr double kQuietShare = 0.5;
  FleetSimulation fleet(plan, options);
  const double rate = options.m_limit.m_tokens_per_second;
  const Duration end = kWarmUp + 5 * kMinute;
  fleet.AddAccount({.m_tokens_per_second = kExcess * rate}, At({}), At(end));
  for (std::size_t i = 1; i < kAccounts; ++i) {
    fleet.AddAccount({.m_tokens_per_second = kQuietShare * rate}, At({}),
                     At(end));
  }
  Measure(fleet, kWarmUp);
  return Measure(fleet, end);
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {.m_name = "steady, 95 % of the rate", .m_run = &Steady},
      {.m_name = "one host killed, next minute", .m_run = &OneHostKilled},
      {.m_name = "rolling restart", .m_run = &RollingRestart},
      {.m_name = "outage of 10 min", .m_run = &Outage},
      {.m_name = "outage and a host killed", .m_run = &OutageAndKill},
      {.m_name = "one account at 5x its rate", .m_run = &OneAccountFivefold},
  };
  return kScenarios;
}

}  // namespace hickoryloft::tools
