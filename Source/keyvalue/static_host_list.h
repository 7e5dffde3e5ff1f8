// A host list that is fixed by the settings.

#ifndef SOURCE_KEYVALUE_STATIC_HOST_LIST_H_
#define SOURCE_KEYVALUE_STATIC_HOST_LIST_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "keyvalue/host_list.h"

namespace hickoryloft::keyvalue {

// No callback is called after the list is destroyed. Use on the loop's thread
// only.
class StaticHostList : public HostList {
 public:
  // Precondition: `loop` outlives the list.
  StaticHostList(EventLoop& loop, std::vector<ListedTarget> targets);

  void Fetch(
      std::function<void(Result<std::vector<ListedTarget>>)> callback) override;

 private:
  EventLoop& m_loop;
  std::shared_ptr<const std::vector<ListedTarget>> m_targets;
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_STATIC_HOST_LIST_H_
