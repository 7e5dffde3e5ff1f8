#include "routing/first_come_queue.h"

#include <algorithm>

namespace hickoryloft::routing {

void FirstComeQueue::Push(QueuedRequest request) {
  m_requests.push_back(std::move(request));
}

std::optional<QueuedRequest> FirstComeQueue::Pop(
    const Dispatchable& dispatchable) {
  const auto found = std::find_if(m_requests.begin(), m_requests.end(),
                                  [&](const QueuedRequest& request) {
                                    return dispatchable(request.m_served_name);
                                  });
  if (found == m_requests.end()) {
    return std::nullopt;
  }
  QueuedRequest request = std::move(*found);
  m_requests.erase(found);
  return request;
}

bool FirstComeQueue::Remove(std::uint64_t id) {
  return std::erase_if(m_requests, [id](const QueuedRequest& request) {
           return request.m_id == id;
         }) > 0;
}

}  // namespace hickoryloft::routing
