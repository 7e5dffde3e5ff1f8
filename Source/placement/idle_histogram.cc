#include "placement/idle_histogram.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::placement {
namespace {

constexpr double kFirstBoundSeconds = 0.25;
constexpr double kBoundRatio = 1.4;
constexpr float kDecay = 0.98F;
// Weight of the prior, which is a return rate of one over the idle time.
constexpr double kPriorWeight = 0.5;
constexpr double kMinIdleSeconds = 1;

}  // namespace

double IdleHistogram::UpperBound(std::size_t bucket) {
  return kFirstBoundSeconds *
         std::pow(kBoundRatio, static_cast<double>(bucket));
}

std::size_t IdleHistogram::BucketOf(double seconds) {
  if (seconds <= kFirstBoundSeconds) {
    return 0;
  }
  const double index =
      std::ceil(std::log(seconds / kFirstBoundSeconds) / std::log(kBoundRatio));
  return std::min(static_cast<std::size_t>(index), kBucketCount - 1);
}

void IdleHistogram::Record(Duration idle) {
  double total = 0;
  m_weights[BucketOf(ToSeconds(idle))] += 1;
  for (float& weight : m_weights) {
    weight *= kDecay;
    total += weight;
  }
  m_total = total;
}

double IdleHistogram::WeightAbove(double seconds) const {
  const std::size_t bucket = BucketOf(seconds);
  double above = 0;
  for (std::size_t index = bucket + 1; index < kBucketCount; ++index) {
    above += m_weights[index];
  }
  const double upper = UpperBound(bucket);
  const double lower = bucket == 0 ? 0 : UpperBound(bucket - 1);
  const double part = std::clamp((upper - seconds) / (upper - lower), 0.0, 1.0);
  return above + part * m_weights[bucket];
}

double IdleHistogram::ReturnRate(Duration idle, Duration window) const {
  const double from = ToSeconds(idle);
  const double span = std::max(ToSeconds(window), 1e-3);
  const double surviving = WeightAbove(from);
  const double returned = surviving - WeightAbove(from + span);
  const double prior = kPriorWeight / std::max(from, kMinIdleSeconds);
  return (returned / span + kPriorWeight * prior) / (surviving + kPriorWeight);
}

}  // namespace hickoryloft::placement
