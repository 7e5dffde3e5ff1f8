#include "StandIns/completion.h"

#include <cstdlib>
#include <utility>

#include "StandIns/decode_batch.h"

namespace hickoryloft::standins {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 16;

std::int64_t ToInteger(const std::string& text) {
  constexpr int kDecimal = 10;
  return std::strtoll(text.c_str(), nullptr, kDecimal);
}

}  // namespace

Completion::Completion(CallPtr call, bool chat, CompletionFaults& faults)
    : m_call(std::move(call)),
      m_chat(chat),
      m_faults(faults),
      m_resume_from(ToInteger(m_call->Header("x-resume-from"))),
      m_priority(ToInteger(m_call->Header("x-priority"))) {
  const Json body = m_call->Json();
  if (!body.is_object()) {
    return;
  }
  const auto model = body.find("model");
  if (model != body.end() && model->is_string()) {
    m_served_name = model->get<std::string>();
  }
  const auto tokens = body.find("max_tokens");
  m_max_tokens = tokens != body.end() && tokens->is_number_integer()
                     ? tokens->get<std::int64_t>()
                     : kDefaultMaxTokens;
  const auto stream = body.find("stream");
  m_streamed = stream != body.end() && *stream == true;
  ReadPrompt(body);
}

void Completion::Begin(const Headers& headers) {
  m_answer_id = NextAnswerId();
  if (!m_streamed) {
    return;
  }
  if (m_faults.m_cut_streams_left > 0) {
    --m_faults.m_cut_streams_left;
    m_cut_stream = true;
  }
  Headers all_headers = headers;
  all_headers["X-Request-Id"] = m_answer_id;
  all_headers["Cache-Control"] = "no-store";
  m_call->StartStream("text/event-stream", all_headers);
}

void Completion::AddToken(std::int64_t number) {
  std::string text = "t" + std::to_string(number);
  text += ' ';
  ++m_sent_tokens;
  if (!m_streamed) {
    m_text += text;
    return;
  }
  // The connection is dropped only when a further token is due, so that the
  // last token before the cut has been sent.
  if (m_cut_stream && m_sent_tokens > m_faults.m_cut_after_tokens) {
    m_call->Drop();
    return;
  }
  SendEvent(Answer(Choice(text, /*last=*/false)));
}

void Completion::End(const Headers& headers) {
  Json answer = Answer(Choice(m_text, /*last=*/true));
  answer["usage"] = Usage();
  if (m_streamed) {
    SendEvent(answer);
    m_call->SendChunk("data: [DONE]\n\n");
    m_call->EndStream();
    return;
  }
  std::string id = m_answer_id;
  if (m_faults.m_duplicates_left > 0 && !m_faults.m_previous_body.is_null()) {
    --m_faults.m_duplicates_left;
    answer = m_faults.m_previous_body;
    id = m_faults.m_previous_id;
  }
  m_faults.m_previous_body = answer;
  m_faults.m_previous_id = id;
  Headers all_headers = headers;
  all_headers["X-Request-Id"] = id;
  constexpr int kOk = 200;
  m_call->Send(kOk, answer, all_headers);
}

void Completion::ReadPrompt(const Json& body) {
  if (!m_chat) {
    m_prompt = body.value("prompt", Json()).is_string()
                   ? body["prompt"].get<std::string>()
                   : "";
    return;
  }
  for (const Json& message : body.value("messages", Json::array())) {
    const Json content =
        message.is_object() ? message.value("content", Json()) : Json();
    m_prompt += content.is_string() ? content.get<std::string>() + " " : "";
  }
}

std::string Completion::NextAnswerId() {
  std::string id = m_call->Header("x-request-id");
  if (m_faults.m_wrong_ids_left <= 0) {
    return id;
  }
  --m_faults.m_wrong_ids_left;
  return "wrong-" + id;
}

Json Completion::Usage() const {
  const std::int64_t prompt_tokens = CountTokens(m_prompt);
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", m_sent_tokens},
          {"total_tokens", prompt_tokens + m_sent_tokens}};
}

Json Completion::Answer(const Json& choice) const {
  static constexpr const char* kObjects[2][2] = {
      {"text_completion", "text_completion"},
      {"chat.completion", "chat.completion.chunk"}};
  return {{"id", m_answer_id},
          {"object", kObjects[m_chat ? 1 : 0][m_streamed ? 1 : 0]},
          {"model", m_served_name},
          {"choices", Json::array({choice})}};
}

Json Completion::Choice(const std::string& text, bool last) const {
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (last) {
    choice["finish_reason"] = "length";
  }
  if (!m_chat) {
    choice["text"] = text;
  } else if (m_streamed) {
    choice["delta"] = text.empty() ? Json::object() : Json{{"content", text}};
  } else {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  }
  return choice;
}

void Completion::SendEvent(const Json& event) {
  m_call->SendChunk("data: " + event.dump() + "\n\n");
}

}  // namespace hickoryloft::standins
