// The right to serve, which the coordinator renews and which otherwise runs
// out.

#ifndef SOURCE_ENTRY_SERVING_RIGHT_H_
#define SOURCE_ENTRY_SERVING_RIGHT_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "base/ids.h"
#include "entry/coordinator_link.h"

namespace hickoryloft::entry {

// Asks for the right at a fixed interval. Its validity counts from the send of
// the query. Use on the loop's thread only; `loop` and `link` must outlive it.
class ServingRight {
 public:
  static constexpr Duration kRenewInterval = milliseconds(500);
  static constexpr Duration kReplyLimit = milliseconds(1000);

  struct Events {
    std::function<Revision()> m_revision;  // Of the documents in force here.
    // The coordinator has newer documents than this entry.
    std::function<void()> m_behind;
  };

  ServingRight(EventLoop& loop, CoordinatorLink& link, Events events);

  // Starts the renewals.
  void Start();
  // Asks at once, as after a new connection.
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
