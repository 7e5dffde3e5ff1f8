// The entry's permission to serve requests, which expires unless the
// coordinator renews it.

#ifndef SOURCE_ENTRY_SERVING_RIGHT_H_
#define SOURCE_ENTRY_SERVING_RIGHT_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "base/ids.h"
#include "entry/coordinator_link.h"

namespace hickoryloft::entry {

// Renews the permission at a fixed interval. Its validity is counted from the
// time at which the query was sent. Use on the loop's thread only; `loop` and
// `link` must outlive it.
class ServingRight {
 public:
  static constexpr Duration kRenewInterval = milliseconds(500);
  static constexpr Duration kReplyTimeout = milliseconds(1000);

  struct Events {
    std::function<Revision()> m_revision;  // Of the documents held here.
    // Called when the coordinator has newer documents than this entry.
    std::function<void()> m_documents_outdated;
  };

  ServingRight(EventLoop& loop, CoordinatorLink& link, Events events);

  // Starts the renewals.
  void Start();
  // Sends a query now, for example after a new connection.
  void Renew();

  bool Valid(MonotonicTime now) const { return now < m_valid_until; }

 private:
  void OnReply(MonotonicTime sent, const Result<wire::EnvelopeT>& reply);

  EventLoop& m_loop;
  CoordinatorLink& m_link;
  Events m_events;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::unique_ptr<Timer> m_timer;
  MonotonicTime m_valid_until{};
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_SERVING_RIGHT_H_
