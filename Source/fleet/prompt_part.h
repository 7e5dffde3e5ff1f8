// A segment of a prompt. Requests with equal leading segments share a prefix.

#ifndef SOURCE_FLEET_PROMPT_PART_H_
#define SOURCE_FLEET_PROMPT_PART_H_

#include <string>
#include <string_view>

namespace hickoryloft::fleet {

struct PromptPart {
  std::string m_id;  // As NormalizePartId() returns it.
  double m_tokens = 0;
};

// Returns the hexadecimal number `id` in lower case, without spaces around it
// or leading zeros: one part is one id however a caller writes it. Other texts
// are treated alike. Thread-safe.
std::string NormalizePartId(std::string_view id);

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_PROMPT_PART_H_
