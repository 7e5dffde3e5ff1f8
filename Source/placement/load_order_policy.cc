#include "placement/load_order_policy.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace hickoryloft::placement {
namespace {

template <typename Key>
std::vector<std::size_t> SortedBy(std::size_t size, Key key) {
  std::vector<std::size_t> order(size);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&key](std::size_t left, std::size_t right) {
                     return key(left) < key(right);
                   });
  return order;
}

}  // namespace

std::vector<std::size_t> EarliestDeadlinePolicy::Order(
    std::span<const WaitingLoad> loads,
    MonotonicTime now) const {
  return SortedBy(loads.size(), [loads, now](std::size_t index) {
    const WaitingLoad& load = loads[index];
    const bool late = now + load.m_load_time > load.m_deadline;
    return std::make_tuple(late, load.m_deadline, load.m_requested_at);
  });
}

std::vector<std::size_t> FirstComePolicy::Order(
    std::span<const WaitingLoad> loads,
    MonotonicTime /*now*/) const {
  return SortedBy(loads.size(), [loads](std::size_t index) {
    return loads[index].m_requested_at;
  });
}

}  // namespace hickoryloft::placement
