// Creates the coordinator's modules.

#ifndef SOURCE_COORDINATOR_MODULES_H_
#define SOURCE_COORDINATOR_MODULES_H_

#include <memory>
#include <vector>

#include "coordinator/module.h"
#include "endpoint/orders.h"
#include "keyvalue/host_list.h"
#include "settings/setting_table.h"

namespace hickoryloft::coordinator {

// Dependencies of the modules, all of which must outlive them.
struct ModuleContext {
  Core& m_core;
  const settings::Settings& m_settings;
  keyvalue::HostList& m_host_list;
  endpoint::OrderService& m_orders;
};

// Returns all modules, in the order in which requests and notices are offered
// to them.
std::vector<std::unique_ptr<Module>> MakeModules(const ModuleContext& context);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MODULES_H_
