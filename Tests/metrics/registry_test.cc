#include "metrics/registry.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::metrics;

TEST_CASE("A registry exports Prometheus text with escaped labels") {
  Registry registry;
  registry.GetCounter("loft_requests_total", "Requests.", {{"account", "a\"b"}})
      .Add(3);
  registry.GetGauge("loft_replicas", "Replicas.").Set(2);
  const std::string text = registry.ToPrometheusText();
  CHECK(text.find("# TYPE loft_requests_total "
                  "counter\nloft_requests_total{account=\"a\\\"b\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("loft_replicas 2\n") != std::string::npos);
}

TEST_CASE(
    "Exported latency buckets are cumulative and quantiles are accurate") {
  Registry registry;
  Latency& latency = registry.GetLatency("loft_wait_seconds", "Wait.");
  for (int i = 1; i <= 1000; ++i) {
    latency.Record(milliseconds(i));
  }
  CHECK(latency.Count() == 1000);
  CHECK(ToSeconds(latency.Quantile(0.5)) == Approx(0.5).margin(0.02));
  CHECK(ToSeconds(latency.Quantile(0.99)) == Approx(0.99).margin(0.02));
  const std::string text = registry.ToPrometheusText();
  CHECK(text.find("loft_wait_seconds_bucket{le=\"0.1\"} 100\n") !=
        std::string::npos);
  CHECK(text.find("loft_wait_seconds_bucket{le=\"+Inf\"} 1000\n") !=
        std::string::npos);
}

TEST_CASE("A registry exports its metrics as JSON") {
  Registry registry;
  registry.GetCounter("loft_requests_total", "Requests.", {{"kind", "payout"}})
      .Add(2);
  CHECK(
      registry.ToJson() ==
      R"([{"labels":{"kind":"payout"},"name":"loft_requests_total","value":2.0}])");
}
