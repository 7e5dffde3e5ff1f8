#include "settings/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace hickoryloft::settings {

namespace {

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitute =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[right.size()];
}

}  // namespace

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known) {
  std::string nearest;
  std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace hickoryloft::settings
