#include "keyvalue/static_host_list.h"

#include <utility>

namespace hickoryloft::keyvalue {

StaticHostList::StaticHostList(EventLoop& loop,
                               std::vector<ListedTarget> targets)
    : m_loop(loop),
      m_targets(std::make_shared<const std::vector<ListedTarget>>(
          std::move(targets))) {}

void StaticHostList::Fetch(
    std::function<void(Result<std::vector<ListedTarget>>)> callback) {
  m_loop.Post(
      [targets = std::weak_ptr(m_targets), callback = std::move(callback)] {
        if (const auto alive = targets.lock()) {
          callback(*alive);
        }
      });
}

}  // namespace hickoryloft::keyvalue
