#include "endpoint/buffered_call.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hickoryloft::endpoint {

namespace {

// Collects one response. The event callbacks of its own call keep it alive.
struct Collector {
  Answer m_answer;
  std::function<void(Result<Answer>)> m_callback;
  std::unique_ptr<Call> m_call;
  std::unique_ptr<Timer> m_limit;
  std::optional<BufferBudget::Buffer> m_buffer;

  void Complete(Result<Answer> result) {
    if (!m_callback) {
      return;
    }
    const auto callback = std::exchange(m_callback, nullptr);
    m_limit.reset();
    m_buffer.reset();
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
                   const BufferedLimits& limits,
                   std::function<void(Result<Answer>)> callback) {
  auto collector = std::make_shared<Collector>();
  collector->m_callback = std::move(callback);
  const std::string name = request.m_endpoint.m_id.value();
  collector->m_limit = loop.After(
      limits.m_time, [weak = std::weak_ptr<Collector>(collector), name] {
        if (const auto self = weak.lock()) {
          self->Complete(
              Error(ErrorCode::kTimedOut, name + " did not answer in time"));
        }
      });
  if (limits.m_budget != nullptr) {
    collector->m_buffer.emplace(
        *limits.m_budget, name,
        [weak = std::weak_ptr<Collector>(collector),
         name](const BufferBudget::Excess& excess) {
          if (const auto self = weak.lock()) {
            self->Complete(
                Error(ErrorCode::kProtocol,
                      name +
                          " sent an answer for which there is no memory: all "
                          "answers need more than " +
                          std::to_string(excess.m_limit) + " bytes"));
          }
        });
  }
  collector->m_call = client.Start(
      std::move(request),
      {.m_head =
           [collector](const AnswerHead& head) {
             collector->m_answer.m_head = head;
           },
       .m_bytes =
           [collector, name, largest = limits.m_bytes](std::string_view bytes) {
             if (collector->m_answer.m_body.size() + bytes.size() > largest) {
               collector->Complete(Error(ErrorCode::kProtocol,
                                         name + " sent too long an answer"));
               return;
             }
             collector->m_answer.m_body.append(bytes);
             if (collector->m_buffer) {
               // May end this call; nothing is used afterwards.
               collector->m_buffer->Resize(
                   collector->m_answer.m_body.capacity());
             }
           },
       .m_done =
           [collector] { collector->Complete(std::move(collector->m_answer)); },
       .m_failed =
           [collector](const Error& error) { collector->Complete(error); }});
}

}  // namespace hickoryloft::endpoint
