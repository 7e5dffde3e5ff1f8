// loft-coordinator: manages members, documents and claims, and makes the
// decisions that require a claim.

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
