#include "program/daemon_program.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "base/error.h"
#include "settings/settings_file.h"

namespace hickoryloft::program {

namespace {

constexpr char kSignalsHelp[] =
    "Signals: SIGTERM or SIGINT begins a planned stop; a second one ends it "
    "sooner.\n";
constexpr char kExitCodesHelp[] =
    "Exit codes: 0 done, also after a planned stop; 1 failed; 2 wrong usage; 3 "
    "the settings are not valid.";

struct Options {
  std::string m_settings_file;
  bool m_check = false;
  bool m_print = false;
  bool m_reference = false;
};

std::string Examples(const std::string& name) {
  return "Examples:\n  " + name + " --settings FILE\n  " + name +
         " --settings FILE --check-settings\n  " + name +
         " --settings-reference > settings.md\n";
}

void DeclareOptions(const DaemonProgram& program,
                    CLI::App& app,
                    Options& options) {
  app.set_version_flag("--version", program.m_name + " " + program.m_version);
  app.footer(Examples(program.m_name) + kSignalsHelp + kExitCodesHelp);
  app.add_option("--settings", options.m_settings_file,
                 "The settings file, in TOML");
  app.add_flag("--check-settings", options.m_check,
               "Check the settings file and exit");
  app.add_flag("--print-settings", options.m_print,
               "Print the settings in effect and exit");
  app.add_flag("--settings-reference", options.m_reference,
               "Print all settings as a Markdown table and exit");
}

void Run(const DaemonProgram& program, const Options& options) {
  if (options.m_reference) {
    std::cout << settings::SettingsReference(program.m_table);
    return;
  }
  if (options.m_settings_file.empty()) {
    throw Error(ErrorCode::kInvalidArgument,
                "--settings FILE is required; see --help");
  }
  const settings::Settings checked =
      settings::LoadSettings(program.m_table, options.m_settings_file);
  program.m_check(checked);
  if (options.m_print) {
    std::cout << settings::PrintSettings(program.m_table, checked);
  }
  if (!options.m_check && !options.m_print) {
    program.m_run(checked);
  }
}

int ExitCodeFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return kExitUsage;
    case ErrorCode::kInvalidSettings:
      return kExitSettings;
    default:
      return kExitFailed;
  }
}

}  // namespace

int RunDaemonProgram(const DaemonProgram& program, int argc, char** argv) {
  CLI::App app(program.m_description);
  Options options;
  DeclareOptions(program, app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitDone : kExitUsage;
  }
  try {
    Run(program, options);
  } catch (const Error& error) {
    std::cerr << program.m_name << ": " << ToString(error.code()) << ": "
              << error.what() << '\n';
    return ExitCodeFor(error.code());
  } catch (const std::exception& error) {
    std::cerr << program.m_name << ": " << error.what() << '\n';
    return kExitFailed;
  }
  return kExitDone;
}

}  // namespace hickoryloft::program
