#include "entry/engine_call.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickoryloft::entry {

namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstErrorStatus = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr int kFirstServerError = 500;

std::uint32_t ToNumber(const std::string* text) {
  std::uint32_t number = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

std::string ReadErrorCode(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return "";
  }
  const auto error = json.find("error");
  const bool has_code = error != json.end() && error->is_object() &&
                        error->contains("code") && (*error)["code"].is_string();
  return has_code ? (*error)["code"].get<std::string>() : "";
}

EngineFailure ToFailure(const Error& error) {
  return {.m_kind = error.code() == ErrorCode::kUnavailable
                        ? EngineFailureKind::kNotSent
                        : EngineFailureKind::kMayHaveRun,
          .m_detail = error.what()};
}

}  // namespace

EngineCall::EngineCall(std::string request_id, EngineCallEvents events)
    : m_request_id(std::move(request_id)), m_events(std::move(events)) {}

void EngineCall::Start(endpoint::HttpClient& client,
                       endpoint::CallRequest request) {
  m_call = client.Start(
      std::move(request),
      {.m_head = [this](const endpoint::AnswerHead& head) { OnHead(head); },
       .m_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .m_done = [this] { OnDone(); },
       .m_failed = [this](const Error& error) { Fail(ToFailure(error)); }});
}

void EngineCall::OnHead(const endpoint::AnswerHead& head) {
  m_head = head;
  const std::string* waiting =
      endpoint::FindHeader(head.m_headers, "X-Engine-Waiting");
  const std::string* running =
      endpoint::FindHeader(head.m_headers, "X-Engine-Running");
  if (waiting != nullptr && running != nullptr) {
    m_events.m_load(
        {.m_waiting = ToNumber(waiting), .m_running = ToNumber(running)});
  }
  const std::string* id = endpoint::FindHeader(head.m_headers, "X-Request-Id");
  const bool id_optional = head.m_status >= kFirstErrorStatus;
  const bool id_matches = id == nullptr ? id_optional : *id == m_request_id;
  if (!id_matches) {
    Fail({.m_detail = "the answer bears another request's id",
          .m_wrong_id = true});
    return;
  }
  const std::string* type =
      endpoint::FindHeader(head.m_headers, "Content-Type");
  m_is_stream = head.m_status == kStatusOk && type != nullptr &&
                type->starts_with("text/event-stream");
}

void EngineCall::OnBytes(std::string_view bytes) {
  if (!m_is_stream) {
    if (m_body.size() + bytes.size() > kMaxBodyBytes) {
      Fail({.m_detail = "the answer is too long"});
      return;
    }
    m_body.append(bytes);
    return;
  }
  const endpoint::SseBatch batch = m_parser.Feed(bytes);
  if (batch.m_malformed) {
    Fail({.m_detail = "the stream holds an endless event"});
    return;
  }
  m_done_marker_seen = m_done_marker_seen || batch.m_done_marker;
  if (!batch.m_text.empty()) {
    m_events.m_events(batch);
  }
}

void EngineCall::OnDone() {
  if (m_is_stream && !m_done_marker_seen) {
    Fail({.m_detail = "the stream ended before its final marker"});
    return;
  }
  if (m_head.m_status >= kFirstErrorStatus) {
    OnErrorStatus();
    return;
  }
  const auto done = std::move(m_events.m_done);
  done(m_head, m_body);
}

void EngineCall::OnErrorStatus() {
  const std::string code = ReadErrorCode(m_body);
  if (m_head.m_status == kStatusNotFound && code == "model_not_loaded") {
    Fail({.m_kind = EngineFailureKind::kNotLoaded,
          .m_detail = "the engine does not hold the model"});
    return;
  }
  if (m_head.m_status == kStatusUnavailable && code == "leaving") {
    Fail({.m_kind = EngineFailureKind::kLeaving,
          .m_detail = "the engine is leaving"});
    return;
  }
  const bool has_id =
      endpoint::FindHeader(m_head.m_headers, "X-Request-Id") != nullptr;
  if (m_head.m_status >= kFirstServerError || !has_id) {
    Fail({.m_detail = "the engine answered with status " +
                      std::to_string(m_head.m_status)});
    return;
  }
  const auto done = std::move(m_events.m_done);
  done(m_head, m_body);
}

void EngineCall::Fail(const EngineFailure& failure) {
  const auto failed = std::move(m_events.m_failed);
  if (failed) {
    failed(failure);
  }
}

}  // namespace hickoryloft::entry
