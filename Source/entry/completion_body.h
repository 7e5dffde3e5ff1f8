// The JSON body of a completion request.

#ifndef SOURCE_ENTRY_COMPLETION_BODY_H_
#define SOURCE_ENTRY_COMPLETION_BODY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryloft::entry {

// Prompt bytes that are counted as one token when tokens are reserved.
constexpr std::size_t kBytesPerToken = 4;

// A parsed completion request.
struct CompletionBody {
  nlohmann::json m_json;
  std::string m_model;    // Name in the account's document.
  std::string m_adapter;  // Empty for the base model.
  bool m_stream = false;
  std::uint64_t m_max_tokens = 0;
  std::uint64_t m_prompt_tokens = 0;  // Estimated from its size.
  std::string m_prompt_start;         // First bytes, for prefix affinity.
};

// Token counts that an engine reports in its answer.
struct TokenUsage {
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_completion_tokens = 0;
};

// Returns the request in `text`. A body without max_tokens gets
// `default_max_tokens`. Thread-safe. Throws Error(kInvalidArgument) that names
// the invalid member.
CompletionBody ParseCompletionBody(const std::string& text,
                                   std::uint64_t default_max_tokens);

// Sets the model in `body` to `served_name`, the name used by engines, and
// returns the body as JSON text.
std::string RenderForEngine(CompletionBody& body,
                            const std::string& served_name);

// Returns the usage reported in `text`, an answer or its last event, or nothing
// if a count is missing. Searches the text instead of parsing it. Thread-safe.
std::optional<TokenUsage> FindUsage(std::string_view text);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_COMPLETION_BODY_H_
