// loft-report: collects the metrics of a fleet's entries and reports the burn
// rates of its service-level objectives.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/error.h"
#include "documents/parse_document.h"
#include "report/html_report.h"
#include "report/text_report.h"
#include "settings/settings_file.h"
#include "tools/common/blocking_http.h"

namespace {

using hickoryloft::Error;
using hickoryloft::ErrorCode;
using hickoryloft::milliseconds;
namespace report = hickoryloft::report;
namespace tools = hickoryloft::tools;

constexpr char kExamples[] =
    "Examples:\n"
    "  loft-report collect --history burn.jsonl --interval-ms 15000 --count "
    "240 "
    "127.0.0.1:8080 127.0.0.2:8080\n"
    "  loft-report show --history burn.jsonl --document jarro.toml --html "
    "burn.html\n"
    "Exit codes: 0 done; 1 failed; 2 wrong usage.";

struct Options {
  std::string m_history;
  std::vector<std::string> m_entries;
  long long m_interval_ms = 15000;
  long long m_count = 1;
  std::string m_document;
  std::string m_html;
  std::size_t m_points = 60;
  long long m_step_ms = 60000;
};

// Appends one sample of each entry to the history file. Failures are printed.
void CollectOnce(const Options& options) {
  constexpr milliseconds kTimeout{2000};
  for (const std::string& entry : options.m_entries) {
    try {
      const auto reply = tools::CallAndWait(
          tools::ParseHostPort(entry),
          {.m_method = hickoryloft::keyvalue::HttpMethod::kGet,
           .m_path = "/metrics.json"},
          kTimeout);
      report::AppendToFile(options.m_history,
                           report::ParseSample(std::chrono::system_clock::now(),
                                               entry, reply.m_body));
    } catch (const Error& error) {
      // Other entries are sampled even if this one is unavailable.
      std::cerr << "loft-report: " << entry << ": " << error.what() << '\n';
    }
  }
}

void RunCollect(const Options& options) {
  for (long long i = 0; i < options.m_count; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(milliseconds(options.m_interval_ms));
    }
    CollectOnce(options);
  }
}

report::BurnInputs LoadBurnInputs(const Options& options,
                                  std::string& service) {
  if (options.m_document.empty()) {
    service = "all services";
    return {};
  }
  const auto document = hickoryloft::documents::ParseDocument(
      hickoryloft::ServiceId("report"),
      hickoryloft::settings::ReadFile(options.m_document), options.m_document);
  service = options.m_document;
  return report::ReadBurnInputs(document);
}

void RunShow(const Options& options) {
  std::string service;
  const report::BurnInputs inputs = LoadBurnInputs(options, service);
  const report::History history = report::ReadHistory(options.m_history);
  if (history.empty()) {
    throw Error(
        ErrorCode::kNotFound,
        options.m_history + " contains no samples; run 'collect' first");
  }
  const auto windows = report::ComputeWindowBurns(history, inputs);
  std::cout << report::TextReport(windows);
  if (options.m_html.empty()) {
    return;
  }
  std::ofstream file(options.m_html);
  file << report::HtmlReport(
      service, windows,
      report::ComputeBurnPlot(history, inputs, milliseconds(options.m_step_ms),
                              options.m_points));
  if (!file.flush()) {
    throw Error(ErrorCode::kIo, options.m_html + ": cannot be written");
  }
}

void AddCollectCommand(CLI::App& app, Options& options) {
  CLI::App* collect = app.add_subcommand(
      "collect", "Append samples of entries' metrics to a history file");
  collect->add_option("entries", options.m_entries, "Entries, ip:port")
      ->required();
  collect->add_option("--history", options.m_history, "File to append to")
      ->required();
  collect
      ->add_option("--interval-ms", options.m_interval_ms,
                   "Time between samples, in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(100, 3600000));
  collect->add_option("--count", options.m_count, "Number of samples")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000000));
}

void AddShowCommand(CLI::App& app, Options& options) {
  CLI::App* show =
      app.add_subcommand("show", "Print the burn report of a history file");
  show->add_option("--history", options.m_history, "File to read")
      ->required()
      ->check(CLI::ExistingFile);
  show->add_option("--document", options.m_document,
                   "The document with objectives and kinds")
      ->check(CLI::ExistingFile);
  show->add_option("--html", options.m_html, "Write a page with plots here");
  show->add_option("--points", options.m_points, "Points of each plot")
      ->capture_default_str()
      ->check(CLI::Range(2, 1000));
  show->add_option("--step-ms", options.m_step_ms,
                   "Time between points, in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(100, 3600000));
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kExitFailed = 1;
  constexpr int kExitUsage = 2;
  CLI::App app("Reports how fast a fleet burns its service-level allowances.");
  Options options;
  app.set_version_flag("--version",
                       std::string("loft-report ") + HICKORYLOFT_VERSION);
  app.require_subcommand(1);
  app.footer(kExamples);
  AddCollectCommand(app, options);
  AddShowCommand(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  try {
    app.got_subcommand("collect") ? RunCollect(options) : RunShow(options);
  } catch (const Error& error) {
    std::cerr << "loft-report: " << hickoryloft::ToString(error.code()) << ": "
              << error.what() << '\n';
    return kExitFailed;
  }
  return 0;
}
