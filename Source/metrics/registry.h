// Counters, gauges and latency histograms, exported as Prometheus text and as
// JSON.

#ifndef SOURCE_METRICS_REGISTRY_H_
#define SOURCE_METRICS_REGISTRY_H_

// Boost's quantile header needs this one and does not include it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::metrics {

// A label and its value, for example {"account", "clinic"}.
struct Label {
  std::string m_name;
  std::string m_value;
};
using Labels = std::vector<Label>;

// A count that never decreases. Use on one thread only.
class Counter {
 public:
  void Add(double amount = 1) { m_value += amount; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

// A value that can increase and decrease. Use on one thread only.
class Gauge {
 public:
  void Set(double value) { m_value = value; }
  void Add(double amount) { m_value += amount; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

// Statistics of durations: count, sum, maximum and estimated quantiles,
// computed by Boost.Accumulators, and a histogram with fixed buckets, which
// allows the values of several hosts to be added. Use on one thread only.
class Latency {
 public:
  Latency();

  void Record(Duration value);

  std::uint64_t Count() const;
  Duration Sum() const;
  Duration Max() const;
  // Returns the estimated quantile, or Max() while there are too few samples
  // for an estimate. Precondition: `probability` is one of kQuantiles.
  Duration Quantile(double probability) const;

  static constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.95, 0.99};
  // Upper bounds of the buckets, in seconds.
  static constexpr std::array<double, 16> kBounds = {
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
      0.2,    0.4,   0.8,    1.6,   3.2,  6.4,   12.8, 25.6};
  const std::array<std::uint64_t, kBounds.size()>& buckets() const {
    return m_buckets;
  }

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;
  Accumulator m_seconds;
  std::array<std::uint64_t, kBounds.size()> m_buckets{};  // Not cumulative.
};

// Owns the metrics of one task. References to metrics stay valid for the
// lifetime of the registry. Use on one thread only.
class Registry {
 public:
  // Each returns the metric with this name and these labels and creates it on
  // the first call. `help` is one sentence.
  Counter& GetCounter(const std::string& name,
                      const std::string& help,
                      const Labels& labels = {});
  Gauge& GetGauge(const std::string& name,
                  const std::string& help,
                  const Labels& labels = {});
  Latency& GetLatency(const std::string& name,
                      const std::string& help,
                      const Labels& labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string ToPrometheusText() const;

  // Returns all metrics as a JSON array, for use by programs:
  // {"name","labels":{..},"value"} for counters and gauges,
  // {"name","labels":{..},"count","sum","bounds":[..],"buckets":[..]} for
  // latencies, in seconds, with buckets that are not cumulative.
  std::string ToJson() const;

 private:
  template <typename Metric>
  struct Series {
    Labels m_labels;
    Metric m_metric;
  };
  template <typename Metric>
  struct Family {
    std::string m_help;
    // Key: the labels as Prometheus text.
    std::map<std::string, std::unique_ptr<Series<Metric>>> m_by_labels;
  };
  template <typename Metric>
  using Families = std::map<std::string, Family<Metric>>;

  template <typename Metric>
  static Metric& Get(Families<Metric>& families,
                     const std::string& name,
                     const std::string& help,
                     const Labels& labels);

  Families<Counter> m_counters;
  Families<Gauge> m_gauges;
  Families<Latency> m_latencies;
};

}  // namespace hickoryloft::metrics

#endif  // SOURCE_METRICS_REGISTRY_H_
