// Runs a coordinator process from its settings.

#ifndef SOURCE_COORDINATOR_DAEMON_H_
#define SOURCE_COORDINATOR_DAEMON_H_

#include "settings/setting_table.h"

namespace hickoryloft::coordinator {

// Runs until a planned stop, begun by SIGTERM or SIGINT, is complete; a second
// signal ends its waits. Throws Error if the process cannot start.
void RunDaemon(const settings::Settings& settings);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_DAEMON_H_
