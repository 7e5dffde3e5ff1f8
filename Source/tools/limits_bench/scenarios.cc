#include "tools/limits_bench/scenarios.h"

namespace hickoryloft::tools {

namespace {

// Offered load as a share of the account's rate.
constexpr double kSteadyLoadShare = 0.95;
constexpr std::size_t kAccounts = 5;
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kMinute = seconds(60);
constexpr Duration kOutageDuration = std::chrono::minutes(10);

MonotonicTime TimeAt(Duration time) {
  return MonotonicTime(time);
}

void AddSteadyAccounts(FleetSimulation& fleet,
                       const FleetOptions& options,
                       Duration end) {
  for (std::size_t i = 0; i < kAccounts; ++i) {
    fleet.AddAccount(
        {.m_tokens_per_second =
             kSteadyLoadShare * options.m_limit.m_tokens_per_second},
        TimeAt({}), TimeAt(end));
  }
}

std::vector<AccountCounts> RunAndFetchCounts(FleetSimulation& fleet,
                                             Duration end) {
  fleet.queue().RunUntil(TimeAt(end));
  return fleet.FetchAndResetCounts();
}

std::vector<AccountCounts> Steady(const limits::SharePlan& plan,
                                  const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + 5 * kMinute;
  AddSteadyAccounts(fleet, options, end);
  RunAndFetchCounts(fleet, kWarmUp);
  return RunAndFetchCounts(fleet, end);
}

std::vector<AccountCounts> OneHostKilled(const limits::SharePlan& plan,
                                         const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  AddSteadyAccounts(fleet, options, kWarmUp + kMinute);
  RunAndFetchCounts(fleet, kWarmUp);
  fleet.Kill(fleet.FirstShareHost(0));
  return RunAndFetchCounts(fleet, kWarmUp + kMinute);
}

std::vector<AccountCounts> RollingRestart(const limits::SharePlan& plan,
                                          const FleetOptions& options) {
  constexpr Duration kStopInterval = seconds(10);
  constexpr Duration kDowntime = seconds(5);
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + (options.m_hosts + 1) * kStopInterval;
  AddSteadyAccounts(fleet, options, end);
  for (std::uint32_t host = 0; host < options.m_hosts; ++host) {
    const Duration stop = kWarmUp + host * kStopInterval;
    fleet.queue().RunAt(TimeAt(stop), [&fleet, host] { fleet.Stop(host); });
    fleet.queue().RunAt(TimeAt(stop + kDowntime),
                        [&fleet, host] { fleet.Start(host); });
  }
  RunAndFetchCounts(fleet, kWarmUp);
  return RunAndFetchCounts(fleet, end);
}

std::vector<AccountCounts> Outage(const limits::SharePlan& plan,
                                  const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + kOutageDuration;
  AddSteadyAccounts(fleet, options, end);
  RunAndFetchCounts(fleet, kWarmUp);
  fleet.SuspendTakeover(true);
  return RunAndFetchCounts(fleet, end);
}

std::vector<AccountCounts> OutageAndKill(const limits::SharePlan& plan,
                                         const FleetOptions& options) {
  FleetSimulation fleet(plan, options);
  const Duration end = kWarmUp + kOutageDuration + kMinute;
  AddSteadyAccounts(fleet, options, end);
  RunAndFetchCounts(fleet, kWarmUp);
  fleet.SuspendTakeover(true);
  fleet.queue().RunAt(TimeAt(kWarmUp + kMinute),
                      [&fleet] { fleet.Kill(fleet.FirstShareHost(0)); });
  fleet.queue().RunAt(TimeAt(kWarmUp + kOutageDuration),
                      [&fleet] { fleet.SuspendTakeover(false); });
  return RunAndFetchCounts(fleet, end);
}

std::vector<AccountCounts> OneAccountFivefold(const limits::SharePlan& plan,
                                              const FleetOptions& options) {
  constexpr double kExcessFactor = 5;
  constexpr double kNormalLoadShare = 0.5;
  FleetSimulation fleet(plan, options);
  const double rate = options.m_limit.m_tokens_per_second;
  const Duration end = kWarmUp + 5 * kMinute;
  fleet.AddAccount({.m_tokens_per_second = kExcessFactor * rate}, TimeAt({}),
                   TimeAt(end));
  for (std::size_t i = 1; i < kAccounts; ++i) {
    fleet.AddAccount({.m_tokens_per_second = kNormalLoadShare * rate},
                     TimeAt({}), TimeAt(end));
  }
  RunAndFetchCounts(fleet, kWarmUp);
  return RunAndFetchCounts(fleet, end);
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
