#include "entry/completion_body.h"

#include <charconv>

#include "base/error.h"
#include "routing/prefix_chain.h"

namespace hickoryloft::entry {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPromptStartBytes =
    routing::PrefixChain::kMaxBlocks * routing::PrefixChain::kBlockBytes;
constexpr std::uint64_t kMaxTokensLimit = 1'000'000;

[[noreturn]] void Fail(const std::string& what) {
  throw Error(ErrorCode::kInvalidArgument, what);
}

// Total size and first bytes of the texts that make up a prompt.
struct Prompt {
  std::size_t m_bytes = 0;
  std::string m_start;

  void Add(const std::string& text) {
    m_bytes += text.size();
    if (m_start.size() < kPromptStartBytes) {
      m_start.append(text, 0, kPromptStartBytes - m_start.size());
    }
  }
};

void AddContent(const Json& content, Prompt& prompt) {
  if (content.is_string()) {
    prompt.Add(content.get_ref<const std::string&>());
    return;
  }
  if (!content.is_array()) {
    return;
  }
  for (const Json& part : content) {
    if (part.is_string()) {
      prompt.Add(part.get_ref<const std::string&>());
    } else if (part.is_object() && part.contains("text") &&
               part["text"].is_string()) {
      prompt.Add(part["text"].get_ref<const std::string&>());
    }
  }
}

Prompt ReadPrompt(const Json& json) {
  Prompt prompt;
  if (const auto text = json.find("prompt"); text != json.end()) {
    if (!text->is_string() && !text->is_array()) {
      Fail("'prompt' must be a string or a list");
    }
    AddContent(*text, prompt);
    return prompt;
  }
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array()) {
    Fail("'prompt' or a list of 'messages' is required");
  }
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      Fail("each of 'messages' must be an object");
    }
    if (const auto role = message.find("role");
        role != message.end() && role->is_string()) {
      prompt.Add(role->get_ref<const std::string&>());
    }
    if (const auto content = message.find("content");
        content != message.end()) {
      AddContent(*content, prompt);
    }
  }
  return prompt;
}

std::uint64_t ReadMaxTokens(Json& json, std::uint64_t default_max) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto value = json.find(name);
    if (value == json.end() || value->is_null()) {
      continue;
    }
    if (!value->is_number_unsigned() ||
        value->get<std::uint64_t>() > kMaxTokensLimit) {
      Fail("'" + std::string(name) + "' must be a whole number up to " +
           std::to_string(kMaxTokensLimit));
    }
    return value->get<std::uint64_t>();
  }
  // Limits the engine to the tokens that are reserved.
  json["max_tokens"] = default_max;
  return default_max;
}

bool ReadStream(const Json& json) {
  const auto stream = json.find("stream");
  if (stream == json.end() || stream->is_null()) {
    return false;
  }
  if (!stream->is_boolean()) {
    Fail("'stream' must be true or false");
  }
  return stream->get<bool>();
}

std::optional<std::uint64_t> FindNumber(std::string_view text,
                                        std::string_view member) {
  const std::size_t position = text.rfind(member);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t start =
      text.find_first_not_of(' ', position + member.size());
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto result =
      std::from_chars(text.data() + start, text.data() + text.size(), number);
  return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

}  // namespace

CompletionBody ParseCompletionBody(const std::string& text,
                                   std::uint64_t default_max_tokens) {
  CompletionBody body;
  body.m_json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.m_json.is_object()) {
    Fail("the body is not a JSON object");
  }
  const auto model = body.m_json.find("model");
  if (model == body.m_json.end() || !model->is_string()) {
    Fail("'model' must be a string");
  }
  const std::string name = model->get<std::string>();
  const std::size_t colon = name.find(':');
  body.m_model = name.substr(0, colon);
  body.m_adapter = colon == std::string::npos ? "" : name.substr(colon + 1);
  body.m_stream = ReadStream(body.m_json);
  Prompt prompt = ReadPrompt(body.m_json);
  body.m_prompt_tokens = (prompt.m_bytes + kBytesPerToken - 1) / kBytesPerToken;
  body.m_prompt_start = std::move(prompt.m_start);
  body.m_max_tokens = ReadMaxTokens(body.m_json, default_max_tokens);
  return body;
}

std::string RenderForEngine(CompletionBody& body,
                            const std::string& served_name) {
  body.m_json["model"] = served_name;
  return body.m_json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<TokenUsage> FindUsage(std::string_view text) {
  const auto prompt = FindNumber(text, "\"prompt_tokens\":");
  const auto completion = FindNumber(text, "\"completion_tokens\":");
  if (!prompt || !completion) {
    return std::nullopt;
  }
  return TokenUsage{.m_prompt_tokens = *prompt,
                    .m_completion_tokens = *completion};
}

}  // namespace hickoryloft::entry
