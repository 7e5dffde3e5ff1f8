// The settings of loft-coordinator.

#ifndef SOURCE_COORDINATOR_SETTINGS_TABLE_H_
#define SOURCE_COORDINATOR_SETTINGS_TABLE_H_

#include "coordinator/coordinator.h"
#include "settings/setting_table.h"

namespace hickoryloft::coordinator {

// Returns the table from which the settings are checked, printed and
// documented. Thread-safe.
const settings::SettingTable& CoordinatorSettingTable();

// Returns the core's settings. Thread-safe. Throws Error(kInvalidSettings) if
// values contradict each other.
CoordinatorSettings ParseCoordinatorSettings(
    const settings::Settings& settings);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_SETTINGS_TABLE_H_
