// The JSON body of a completion request.

#ifndef SOURCE_ENTRY_COMPLETION_BODY_H_
#define SOURCE_ENTRY_COMPLETION_BODY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryloft::entry {

// Bytes of prompt that are reserved as one token.
constexpr std::size_t kBytesPerToken = 4;

// A completion request, parsed once.
struct CompletionBody {
  nlohmann::json m_json;
  std::string m_model;    // Name in the account's document.
  std::string m_adapter;  // Empty for the base model.
  bool m_stream = false;
  std::uint64_t m_max_tokens = 0;
  std::uint64_t m_prompt_tokens = 0;  // Estimate.
  std::string m_prompt_start;         // For prefix affinity.
};

// Token counts that an engine states in its answer.
struct TokenUsage {
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_completion_tokens = 0;
};

// Returns the request in `text`. A body without max_tokens gets
// `default_max_tokens`. Thread-safe. Throws Error(kInvalidArgument) that names
// the member at fault.
CompletionBody ParseCompletionBody(const std::string& text,
                                   std::uint64_t default_max_tokens);

// Returns the body for an engine, which knows the model as `served_name`.
std::string RenderForEngine(CompletionBody& body,
                            const std::string& served_name);

// Returns the usage stated in `text`, an answer or its last event, without
// parsing it. Thread-safe.
std::optional<TokenUsage> FindUsage(std::string_view text);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_COMPLETION_BODY_H_
