#include "endpoint/buffered_call.h"

#include <memory>
#include <utility>

namespace hickoryloft::endpoint {

namespace {

// Collects one response. The event callbacks of its own call keep it alive.
struct Collector {
  Answer m_answer;
  std::function<void(Result<Answer>)> m_callback;
  std::unique_ptr<Call> m_call;
  std::unique_ptr<Timer> m_limit;

  void Complete(Result<Answer> result) {
    if (!m_callback) {
      return;
    }
    const auto callback = std::exchange(m_callback, nullptr);
    m_limit.reset();
    // Destroying the call also destroys the event callbacks, which hold the
    // last references to this object.
    const std::unique_ptr<Call> call = std::move(m_call);
    callback(std::move(result));
  }
};

}  // namespace

void StartBuffered(EventLoop& loop,
                   HttpClient& client,
                   CallRequest request,
                   Duration limit,
                   std::function<void(Result<Answer>)> callback) {
  auto collector = std::make_shared<Collector>();
  collector->m_callback = std::move(callback);
  const std::string name = request.m_endpoint.m_id.value();
  collector->m_limit =
      loop.After(limit, [weak = std::weak_ptr<Collector>(collector), name] {
        if (const auto self = weak.lock()) {
          self->Complete(
              Error(ErrorCode::kTimedOut, name + " did not answer in time"));
        }
      });
  collector->m_call = client.Start(
      std::move(request),
      {.m_head =
           [collector](const AnswerHead& head) {
             collector->m_answer.m_head = head;
           },
       .m_bytes =
           [collector, name](std::string_view bytes) {
             if (collector->m_answer.m_body.size() + bytes.size() >
                 kMaxBufferedBody) {
               collector->Complete(Error(ErrorCode::kProtocol,
                                         name + " sent too long an answer"));
               return;
             }
             collector->m_answer.m_body.append(bytes);
           },
       .m_done =
           [collector] { collector->Complete(std::move(collector->m_answer)); },
       .m_failed =
           [collector](const Error& error) { collector->Complete(error); }});
}

}  // namespace hickoryloft::endpoint
