#include "fleet/prompt_part.h"

#include <algorithm>

namespace hickoryloft::fleet {

std::string NormalizePartId(std::string_view id) {
  constexpr std::string_view kSpace = " \t";
  id.remove_prefix(std::min(id.size(), id.find_first_not_of(kSpace)));
  id = id.substr(0, id.find_last_not_of(kSpace) + 1);
  while (id.size() > 1 && id.front() == '0') {
    id.remove_prefix(1);
  }
  std::string normal(id);
  std::transform(normal.begin(), normal.end(), normal.begin(), [](char digit) {
    return digit >= 'A' && digit <= 'Z' ? static_cast<char>(digit - 'A' + 'a')
                                        : digit;
  });
  return normal;
}

}  // namespace hickoryloft::fleet
