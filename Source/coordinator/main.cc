// loft-coordinator: members, documents, claims and what is decided under them.

#include "coordinator/daemon.h"
#include "coordinator/settings_table.h"
#include "program/daemon_program.h"

int main(int argc, char** argv) {
  using hickoryloft::settings::Settings;
  namespace coordinator = hickoryloft::coordinator;
  return hickoryloft::program::RunDaemonProgram(
      {.m_name = "loft-coordinator",
       .m_version = HICKORYLOFT_VERSION,
       .m_description = "Keeps members, documents and claims of one host, and "
                        "decides under the claims that it holds.",
       .m_table = coordinator::CoordinatorSettingTable(),
       .m_check =
           [](const Settings& settings) {
             coordinator::ParseCoordinatorSettings(settings);
           },
       .m_run = &coordinator::RunDaemon},
      argc, argv);
}
