// loft-coordinator: members, documents, claims and what is decided under them.

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "base/error.h"
#include "coordinator/daemon.h"
#include "coordinator/settings_table.h"
#include "settings/settings_file.h"

namespace {

using hickoryloft::coordinator::CoordinatorSettingTable;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;

constexpr char kFooter[] =
    "Examples:\n"
    "  loft-coordinator --settings coordinator.toml\n"
    "  loft-coordinator --settings coordinator.toml --check-settings\n"
    "  loft-coordinator --settings-reference\n"
    "Signals: SIGTERM or SIGINT begins a planned stop; a second one ends it at "
    "once.\n"
    "Exit codes: 0 planned stop done; 1 failed to start; 2 wrong usage; 3 the "
    "settings are not valid.";

struct Options {
  std::string m_settings;
  bool m_check = false;
  bool m_print = false;
  bool m_reference = false;
};

void Declare(CLI::App& app, Options& options) {
  app.set_version_flag("--version",
                       std::string("loft-coordinator ") + HICKORYLOFT_VERSION);
  app.add_option("--settings", options.m_settings, "The settings file (TOML)");
  app.add_flag("--check-settings", options.m_check,
               "Check the settings file and exit");
  app.add_flag("--print-settings", options.m_print,
               "Print the settings in effect and exit");
  app.add_flag("--settings-reference", options.m_reference,
               "Print all settings with their meaning and exit");
  app.footer(kFooter);
}

int Run(const Options& options) {
  if (options.m_reference) {
    std::cout << hickoryloft::settings::SettingsReference(
        CoordinatorSettingTable());
    return kExitOk;
  }
  if (options.m_settings.empty()) {
    std::cerr << "loft-coordinator: --settings is required; see --help\n";
    return kExitUsage;
  }
  const auto settings = hickoryloft::settings::LoadSettings(
      CoordinatorSettingTable(), options.m_settings);
  hickoryloft::coordinator::ParseCoordinatorSettings(settings);
  if (options.m_print) {
    std::cout << hickoryloft::settings::PrintSettings(CoordinatorSettingTable(),
                                                      settings);
  }
  if (options.m_check || options.m_print) {
    return kExitOk;
  }
  hickoryloft::coordinator::RunDaemon(settings);
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Keeps members, documents and claims of one host, and decides under the "
      "claims that it holds."};
  Options options;
  Declare(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  try {
    return Run(options);
  } catch (const hickoryloft::Error& error) {
    std::cerr << "loft-coordinator: " << hickoryloft::ToString(error.code())
              << ": " << error.what() << '\n';
    return error.code() == hickoryloft::ErrorCode::kInvalidSettings
               ? kExitBadSettings
               : kExitFailed;
  } catch (const std::exception& error) {
    std::cerr << "loft-coordinator: " << error.what() << '\n';
    return kExitFailed;
  }
}
