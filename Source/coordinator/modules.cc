#include "coordinator/modules.h"

namespace hickoryloft::coordinator {

std::vector<std::unique_ptr<Module>> MakeModules(
    const ModuleContext& /*context*/) {
  std::vector<std::unique_ptr<Module>> modules;
  return modules;
}

}  // namespace hickoryloft::coordinator
