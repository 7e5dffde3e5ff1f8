// loft-load: sends open-loop load to loopback targets.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "base/error.h"
#include "endpoint/pooled_http_client.h"
#include "tools/load/idle_connections.h"
#include "tools/load/load_run.h"

namespace {

using namespace hickoryloft;
using tools::LoadOptions;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr long kMaxSeconds = 600;
constexpr std::uint64_t kMaxRequests = 2'000'000;
constexpr std::size_t kMaxIdleConnections = 20'000;

constexpr char kFooter[] =
    "Requests arrive at planned times, whether earlier ones were answered or "
    "not;\ntimes count from the planned arrival. Targets must be loopback "
    "addresses.\n\n"
    "Exit codes: 0 all requests were sent, 1 the run failed, 2 wrong usage.\n\n"
    "Examples:\n"
    "  loft-load Examples/jarro/load.toml --duration 60 --json\n"
    "  loft-load Examples/jarro/load.toml --target 127.0.0.1:8080 "
    "--rate-scale 5\n"
    "  loft-load load.toml --target 127.0.0.1:9001 --direct "
    "jarro/condition-notes@3\n"
    "  loft-load load.toml --idle-connections 10000 --duration 5\n";

struct CommandLine {
  std::string m_scenario;
  std::vector<std::string> m_targets;
  LoadOptions m_options;
  long m_duration_seconds = 10;
  std::size_t m_idle_connections = 0;
  bool m_json = false;
};

void AddOptions(CLI::App& app, CommandLine& command_line) {
  app.footer(kFooter);
  app.set_version_flag("--version", HICKORYLOFT_VERSION);
  app.add_option("scenario", command_line.m_scenario,
                 "The scenario's TOML file")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--target", command_line.m_targets,
                 "<ip>:<port>, in place of the scenario's targets; repeatable");
  app.add_option("--duration", command_line.m_duration_seconds,
                 "Seconds of arrivals")
      ->check(CLI::Range(1L, kMaxSeconds));
  app.add_option("--max-requests", command_line.m_options.m_max_requests,
                 "Stop after this many requests")
      ->check(CLI::Range(std::uint64_t{1}, kMaxRequests));
  app.add_option("--max-open", command_line.m_options.m_max_open,
                 "Requests in progress at once; more are counted, not sent");
  app.add_option("--rate-scale", command_line.m_options.m_rate_scale,
                 "Factor on every flow's rate")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", command_line.m_options.m_seed,
                 "Seed of the arrivals");
  app.add_option("--direct", command_line.m_options.m_direct_model,
                 "Call an engine without a key for this served name");
  app.add_option("--idle-connections", command_line.m_idle_connections,
                 "Keep-alive connections to hold open beside the load")
      ->check(CLI::Range(std::size_t{0}, kMaxIdleConnections));
  app.add_flag("--json", command_line.m_json, "Print JSON in place of a table");
}

tools::Scenario LoadScenarioForRun(const CommandLine& command_line) {
  tools::Scenario scenario = tools::LoadScenario(command_line.m_scenario);
  if (!command_line.m_targets.empty()) {
    scenario.m_targets.clear();
    for (const std::string& target : command_line.m_targets) {
      scenario.m_targets.push_back(tools::ParseLoopback(target));
    }
  }
  if (scenario.m_targets.empty()) {
    throw Error(ErrorCode::kInvalidArgument,
                "no target; set 'targets' in the scenario or use --target");
  }
  return scenario;
}

void RunLoad(const CommandLine& command_line) {
  const tools::Scenario scenario = LoadScenarioForRun(command_line);
  EventLoop loop;
  endpoint::PooledHttpClient client(loop);
  tools::LoadRun run(loop, client, scenario, command_line.m_options);
  tools::IdleConnections idle(loop);
  loop.Post([&] {
    idle.Open(command_line.m_idle_connections, scenario.m_targets,
              [&] { run.Start([&loop] { loop.Stop(); }); });
  });
  loop.Run();
  std::cout << (command_line.m_json ? run.report().ToJson(run.elapsed())
                                    : run.report().ToTable(run.elapsed()))
            << "\n";
  if (command_line.m_idle_connections > 0) {
    std::cerr << idle.answered() << " of " << command_line.m_idle_connections
              << " idle connections were answered\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Sends an open-loop load to loopback targets and reports it."};
  CommandLine command_line;
  AddOptions(app, command_line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }
  command_line.m_options.m_duration = seconds(command_line.m_duration_seconds);
  command_line.m_options.m_direct =
      !command_line.m_options.m_direct_model.empty();
  try {
    RunLoad(command_line);
  } catch (const Error& failure) {
    std::cerr << "loft-load: " << failure.what() << "\n";
    const bool is_usage_error = failure.code() == ErrorCode::kInvalidArgument ||
                                failure.code() == ErrorCode::kInvalidDocument;
    return is_usage_error ? kExitUsage : kExitFailed;
  }
  return kExitOk;
}
