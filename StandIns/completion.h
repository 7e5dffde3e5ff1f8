// A completion request to an engine and its response, unary or streamed.

#ifndef STANDINS_COMPLETION_H_
#define STANDINS_COMPLETION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "StandIns/call.h"

namespace hickoryloft::standins {

// Faults to inject into responses, shared by all completions of an engine.
struct CompletionFaults {
  // Number of responses that still get a wrong id.
  std::int64_t m_wrong_ids_left = 0;
  // Number of unary responses that are still replaced by a copy of the previous
  // one.
  std::int64_t m_duplicates_left = 0;
  // Number of streams that are still cut, each after m_cut_after_tokens tokens.
  std::int64_t m_cut_streams_left = 0;
  std::int64_t m_cut_after_tokens = 0;
  nlohmann::json m_previous_body;
  std::string m_previous_id;
};

// Use on the loop's thread only.
class Completion {
 public:
  // Precondition: `faults` outlives it.
  Completion(CallPtr call, bool chat, CompletionFaults& faults);

  const CallPtr& call() const { return m_call; }
  bool streamed() const { return m_streamed; }
  const std::string& served_name() const { return m_served_name; }
  const std::string& prompt() const { return m_prompt; }
  std::int64_t resume_from() const { return m_resume_from; }
  std::int64_t max_tokens() const { return m_max_tokens; }
  std::int64_t priority() const { return m_priority; }

  // Sends the headers of a streamed response. Call once, before AddToken() and
  // End(), for unary responses too.
  void Begin(const Headers& headers);
  void AddToken(std::int64_t number);
  void End(const Headers& headers);

 private:
  void ReadPrompt(const nlohmann::json& body);
  std::string NextAnswerId();
  nlohmann::json Usage() const;
  nlohmann::json Answer(const nlohmann::json& choice) const;
  nlohmann::json Choice(const std::string& text, bool last) const;
  void SendEvent(const nlohmann::json& event);

  CallPtr m_call;
  bool m_chat;
  CompletionFaults& m_faults;
  std::string m_served_name;
  std::string m_prompt;
  std::string m_answer_id;
  bool m_streamed = false;
  std::int64_t m_max_tokens = 0;
  std::int64_t m_resume_from = 0;
  std::int64_t m_priority = 0;
  std::int64_t m_sent_tokens = 0;
  bool m_cut_stream = false;
  std::string m_text;  // Text of a unary response.
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_COMPLETION_H_
