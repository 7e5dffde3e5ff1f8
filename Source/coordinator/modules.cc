#include "coordinator/modules.h"

#include "coordinator/action_module.h"
#include "coordinator/placement_module.h"
#include "coordinator/rate_module.h"

namespace hickoryloft::coordinator {

std::vector<std::unique_ptr<Module>> MakeModules(const ModuleContext& context) {
  std::vector<std::unique_ptr<Module>> modules;
  modules.push_back(std::make_unique<RateModule>(context.m_core));
  modules.push_back(std::make_unique<ActionModule>(context.m_core));
  modules.push_back(std::make_unique<PlacementModule>(
      context.m_core, context.m_orders, context.m_host_list));
  return modules;
}

}  // namespace hickoryloft::coordinator
