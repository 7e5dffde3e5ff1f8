#include "placement/load_time_estimator.h"

#include <algorithm>

namespace hickoryloft::placement {
namespace {

constexpr double kFixedLoadSeconds = 0.005;
constexpr std::array<double, 3> kPriorBytesPerSecond = {20e9, 8e9, 4e9};
constexpr double kObservationWeight = 0.3;
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 1000;

double PriorSeconds(CheckpointTier tier, std::uint64_t bytes) {
  const double rate = kPriorBytesPerSecond[static_cast<std::size_t>(tier)];
  return kFixedLoadSeconds + static_cast<double>(bytes) / rate;
}

}  // namespace

Duration LoadTimeEstimator::Estimate(CheckpointTier tier,
                                     std::uint64_t bytes) const {
  const double ratio = m_ratio[static_cast<std::size_t>(tier)];
  return FromSeconds(PriorSeconds(tier, bytes) * ratio);
}

void LoadTimeEstimator::Record(CheckpointTier tier,
                               std::uint64_t bytes,
                               Duration duration) {
  double& ratio = m_ratio[static_cast<std::size_t>(tier)];
  const double observed = ToSeconds(duration) / PriorSeconds(tier, bytes);
  const double bounded = std::clamp(observed, kMinRatio, kMaxRatio);
  ratio += kObservationWeight * (bounded - ratio);
}

}  // namespace hickoryloft::placement
