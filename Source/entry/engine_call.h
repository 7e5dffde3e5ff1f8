// One call of a completion request to an engine.

#ifndef SOURCE_ENTRY_ENGINE_CALL_H_
#define SOURCE_ENTRY_ENGINE_CALL_H_

#include <functional>
#include <memory>
#include <string>

#include "endpoint/http_client.h"
#include "endpoint/sse_parser.h"

namespace hickoryloft::entry {

enum class EngineFailureKind {
  kNotLoaded,   // The artifact is not loaded; the request has not run.
  kLeaving,     // The engine accepts no new requests; this one has not run.
  kNotSent,     // No byte of the request was sent.
  kMayHaveRun,  // Any other failure.
};

struct EngineFailure {
  EngineFailureKind m_kind = EngineFailureKind::kMayHaveRun;
  std::string m_detail;
  bool m_wrong_id = false;
};

// Load that an engine reports in the headers of an answer.
struct EngineLoad {
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
};

struct EngineCallEvents {
  std::function<void(const EngineLoad&)> m_load;
  // Complete events of a stream, as they arrive.
  std::function<void(const endpoint::SseBatch&)> m_events;
  // A complete answer that is not a stream, or the end of a stream with an
  // empty body.
  std::function<void(const endpoint::AnswerHead&, const std::string& body)>
      m_done;
  std::function<void(const EngineFailure&)> m_failed;
};

// Sends one request to an engine. Checks the echoed request id before it passes
// on events or a body, and distinguishes an engine's refusals from other
// failures. Destroying it cancels the call. Use on the loop's thread only; it
// may be destroyed from its own events.
class EngineCall {
 public:
  // Maximum size of an answer that is not a stream.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

  EngineCall(std::string request_id, EngineCallEvents events);

  // Starts the call. Precondition: not started yet.
  void Start(endpoint::HttpClient& client, endpoint::CallRequest request);

  void Pause() { m_call->Pause(); }
  void Resume() { m_call->Resume(); }

 private:
  void OnHead(const endpoint::AnswerHead& head);
  void OnBytes(std::string_view bytes);
  void OnDone();
  void Fail(const EngineFailure& failure);
  void OnErrorStatus();

  std::string m_request_id;
  EngineCallEvents m_events;
  endpoint::AnswerHead m_head;
  bool m_is_stream = false;
  bool m_done_marker_seen = false;
  endpoint::SseParser m_parser;
  std::string m_body;
  std::unique_ptr<endpoint::Call> m_call;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENGINE_CALL_H_
