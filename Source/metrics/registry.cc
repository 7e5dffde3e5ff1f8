#include "metrics/registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hickoryloft::metrics {

namespace {

namespace acc = boost::accumulators;

std::string EscapeLabel(const std::string& value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      out.push_back('\\');
      out.push_back(c);
    } else if (c == '\n') {
      out.append("\\n");
    } else {
      out.push_back(c);
    }
  }
  return out;
}

// Formats labels without the braces: a="1",b="2".
std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const Label& label : labels) {
    text += (text.empty() ? "" : ",") + label.m_name + "=\"" +
            EscapeLabel(label.m_value) + "\"";
  }
  return text;
}

std::string WithLabel(const std::string& labels, const std::string& extra) {
  return "{" + labels + (labels.empty() ? "" : ",") + extra + "}";
}

std::string Braces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void WriteHeader(std::ostream& out,
                 const std::string& name,
                 const std::string& help,
                 const char* type) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

void WriteLatency(std::ostream& out,
                  const std::string& name,
                  const std::string& labels,
                  const Latency& latency) {
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < Latency::kBounds.size(); ++i) {
    cumulative += latency.buckets()[i];
    std::ostringstream bound;
    bound << "le=\"" << Latency::kBounds[i] << '"';
    out << name << "_bucket" << WithLabel(labels, bound.str()) << ' '
        << cumulative << '\n';
  }
  out << name << "_bucket" << WithLabel(labels, "le=\"+Inf\"") << ' '
      << latency.Count() << '\n';
  out << name << "_sum" << Braces(labels) << ' ' << ToSeconds(latency.Sum())
      << '\n';
  out << name << "_count" << Braces(labels) << ' ' << latency.Count() << '\n';
  for (const double probability : Latency::kQuantiles) {
    std::ostringstream quantile;
    quantile << "quantile=\"" << probability << '"';
    out << name << "_estimate" << WithLabel(labels, quantile.str()) << ' '
        << ToSeconds(latency.Quantile(probability)) << '\n';
  }
}

}  // namespace

Latency::Latency()
    : m_seconds(acc::extended_p_square_probabilities = kQuantiles) {}

void Latency::Record(Duration value) {
  const double value_seconds = ToSeconds(value);
  m_seconds(value_seconds);
  const auto bound =
      std::lower_bound(kBounds.begin(), kBounds.end(), value_seconds);
  if (bound != kBounds.end()) {
    ++m_buckets[static_cast<std::size_t>(bound - kBounds.begin())];
  }
}

std::uint64_t Latency::Count() const {
  return acc::count(m_seconds);
}

Duration Latency::Sum() const {
  return FromSeconds(Count() == 0 ? 0.0 : acc::sum(m_seconds));
}

Duration Latency::Max() const {
  return FromSeconds(Count() == 0 ? 0.0 : acc::max(m_seconds));
}

Duration Latency::Quantile(double probability) const {
  constexpr std::uint64_t kSamplesForEstimate = 2 * kQuantiles.size() + 3;
  if (Count() < kSamplesForEstimate) {
    return Max();
  }
  return FromSeconds(
      acc::quantile(m_seconds, acc::quantile_probability = probability));
}

template <typename Metric>
Metric& Registry::Get(Families<Metric>& families,
                      const std::string& name,
                      const std::string& help,
                      const Labels& labels) {
  Family<Metric>& family = families[name];
  family.m_help = help;
  auto& series = family.m_by_labels[FormatLabels(labels)];
  if (!series) {
    series = std::make_unique<Series<Metric>>();
    series->m_labels = labels;
  }
  return series->m_metric;
}

Counter& Registry::GetCounter(const std::string& name,
                              const std::string& help,
                              const Labels& labels) {
  return Get(m_counters, name, help, labels);
}

Gauge& Registry::GetGauge(const std::string& name,
                          const std::string& help,
                          const Labels& labels) {
  return Get(m_gauges, name, help, labels);
}

Latency& Registry::GetLatency(const std::string& name,
                              const std::string& help,
                              const Labels& labels) {
  return Get(m_latencies, name, help, labels);
}

std::string Registry::ToPrometheusText() const {
  std::ostringstream out;
  for (const auto& [name, family] : m_counters) {
    WriteHeader(out, name, family.m_help, "counter");
    for (const auto& [labels, counter] : family.m_by_labels) {
      out << name << Braces(labels) << ' ' << counter->m_metric.value() << '\n';
    }
  }
  for (const auto& [name, family] : m_gauges) {
    WriteHeader(out, name, family.m_help, "gauge");
    for (const auto& [labels, gauge] : family.m_by_labels) {
      out << name << Braces(labels) << ' ' << gauge->m_metric.value() << '\n';
    }
  }
  for (const auto& [name, family] : m_latencies) {
    WriteHeader(out, name, family.m_help, "histogram");
    for (const auto& [labels, latency] : family.m_by_labels) {
      WriteLatency(out, name, labels, latency->m_metric);
    }
  }
  return out.str();
}

namespace {

nlohmann::json SeriesJson(const std::string& name, const Labels& labels) {
  nlohmann::json json = {{"name", name}, {"labels", nlohmann::json::object()}};
  for (const Label& label : labels) {
    json["labels"][label.m_name] = label.m_value;
  }
  return json;
}

// Appends the counters or gauges of `families` to `out`.
template <typename Families>
void AppendValues(const Families& families, nlohmann::json& out) {
  for (const auto& [name, family] : families) {
    for (const auto& [key, series] : family.m_by_labels) {
      nlohmann::json json = SeriesJson(name, series->m_labels);
      json["value"] = series->m_metric.value();
      out.push_back(std::move(json));
    }
  }
}

}  // namespace

std::string Registry::ToJson() const {
  nlohmann::json out = nlohmann::json::array();
  AppendValues(m_counters, out);
  AppendValues(m_gauges, out);
  for (const auto& [name, family] : m_latencies) {
    for (const auto& [key, series] : family.m_by_labels) {
      nlohmann::json json = SeriesJson(name, series->m_labels);
      json["count"] = series->m_metric.Count();
      json["sum"] = ToSeconds(series->m_metric.Sum());
      json["bounds"] = Latency::kBounds;
      json["buckets"] = series->m_metric.buckets();
      out.push_back(std::move(json));
    }
  }
  return out.dump();
}

}  // namespace hickoryloft::metrics
