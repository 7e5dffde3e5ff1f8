// loft-entry: HTTP for callers.

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "base/error.h"
#include "base/log.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "entry/ledger_action_gate.h"
#include "entry/rate_token_gate.h"
#include "settings/settings_file.h"

namespace {

using hickoryloft::Error;
using hickoryloft::ErrorCode;
using hickoryloft::EventLoop;
namespace entry = hickoryloft::entry;
namespace settings = hickoryloft::settings;

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

constexpr char kExamples[] =
    "Examples:\n"
    "  loft-entry --settings entry.toml\n"
    "  loft-entry --settings entry.toml --check-settings\n"
    "  loft-entry --settings-reference > settings.md\n"
    "Signals: SIGTERM or SIGINT begins a planned stop; a second one ends it "
    "sooner.\n"
    "Exit codes: 0 done, also after a planned stop; 1 failed while running; 2 "
    "wrong settings; 100 and above: wrong usage.";

struct Options {
  std::string m_settings_file;
  bool m_check = false;
  bool m_print = false;
  bool m_reference = false;
};

entry::Gates MakeGates(EventLoop& loop,
                       entry::CoordinatorLink& link,
                       const entry::EntrySettings& values) {
  auto tokens =
      std::make_unique<entry::RateTokenGate>(loop, link, values.m_host);
  const entry::RateTokenGate* gate = tokens.get();
  return {.m_tokens = std::move(tokens),
          .m_actions = std::make_unique<entry::LedgerActionGate>(loop, link),
          .m_returning = [gate] { return gate->busy(); }};
}

void Serve(const entry::EntrySettings& values) {
  hickoryloft::ConfigureLogs(values.m_log_level, values.m_log_format);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  entry::EntryDaemon daemon(loop, values,
                            [&](EventLoop& on, entry::CoordinatorLink& link) {
                              return MakeGates(on, link, values);
                            });
  loop.OnSignal(SIGTERM, [&] { daemon.BeginStop(); });
  loop.OnSignal(SIGINT, [&] { daemon.BeginStop(); });
  loop.Run();
}

int Run(const Options& options) {
  const settings::SettingTable& table = entry::EntrySettingTable();
  if (options.m_reference) {
    std::cout << settings::SettingsReference(table);
    return kExitDone;
  }
  if (options.m_settings_file.empty()) {
    throw Error(ErrorCode::kInvalidSettings,
                "--settings FILE is required; see --help");
  }
  const settings::Settings checked =
      settings::LoadSettings(table, options.m_settings_file);
  const entry::EntrySettings values = entry::ParseEntrySettings(checked);
  if (options.m_print) {
    std::cout << settings::PrintSettings(table, checked);
    return kExitDone;
  }
  if (!options.m_check) {
    Serve(values);
  }
  return kExitDone;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Answers callers' requests for models and plain services."};
  Options options;
  app.set_version_flag("--version", HICKORYLOFT_VERSION);
  app.footer(kExamples);
  app.add_option("--settings", options.m_settings_file,
                 "The settings file, in TOML");
  app.add_flag("--check-settings", options.m_check,
               "Check the settings file and exit");
  app.add_flag("--print-settings", options.m_print,
               "Print the settings in force and exit");
  app.add_flag("--settings-reference", options.m_reference,
               "Print all settings as a Markdown table and exit");
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(options);
  } catch (const Error& error) {
    std::cerr << "loft-entry: " << error.what() << '\n';
    return error.code() == ErrorCode::kInvalidSettings ? kExitBadSettings
                                                       : kExitFailed;
  }
}
