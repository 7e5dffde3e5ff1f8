// The common command line of all daemons: settings file, validation, help and
// exit codes.

#ifndef SOURCE_PROGRAM_DAEMON_PROGRAM_H_
#define SOURCE_PROGRAM_DAEMON_PROGRAM_H_

#include <functional>
#include <string>

#include "settings/setting_table.h"

namespace hickoryloft::program {

// Exit codes of daemons.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

struct DaemonProgram {
  std::string m_name;
  std::string m_version;
  std::string m_description;  // One sentence.
  const settings::SettingTable& m_table;
  // Throws Error(kInvalidSettings) if the values are not consistent.
  std::function<void(const settings::Settings&)> m_check;
  // Runs until the daemon has stopped. Throws Error if it cannot continue.
  std::function<void(const settings::Settings&)> m_run;
};

// Parses the command line, performs the requested action and returns the exit
// code. Writes errors to standard error. Call once, from main().
int RunDaemonProgram(const DaemonProgram& program, int argc, char** argv);

}  // namespace hickoryloft::program

#endif  // SOURCE_PROGRAM_DAEMON_PROGRAM_H_
