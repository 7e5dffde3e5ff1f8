#include "platform/fleet_decoder.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/engine_control.h"

using namespace hickoryloft;
using namespace hickoryloft::jarro;
using nlohmann::json;

namespace {

const char kValidEntry[] =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":32,
        "state":"ready","born":123,"seq":9,
        "models":[{"name":"m1","version":1,"adapters":["a1"]}],
        "available":{"inMemory":["m2"],"onDisk":["m1","m3"]}})";

json Configuration() {
  return json::parse(R"({"version":7,
    "routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",
      "kind":"streaming","timeoutMs":12000,"targetLatencyMs":500,
      "priority":1,"split":[{"service":"s","weight":90},
      {"service":"t","weight":10}],"maxAttempts":2,"resumable":true},
     {"host":"h.example","pathPrefix":"/b/","kind":"non_idempotent",
      "timeoutMs":1500,"service":"t"}],
    "services":[{"name":"s","healthPath":"/hz","maxConnections":230,
      "engine":{"slots":32,"mb":200000.0,"adapterSlots":8,"loadsPerS":6.8,
        "models":[{"name":"m1","mb":42700.0,"loadS":6.0,"warmS":0.44,
          "diskS":0.57,"adapters":56,"adapterMb":66.0}]}},{"name":"t"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":1,
      "unit":"token_count","plainTokens":200,"ratePerS":100,"burst":50}]})");
}

fleet::EndpointEntry Decode(const std::string& value) {
  return FleetDecoder().DecodeEndpoint(
      {.m_key = "servers/i-1", .m_value = value});
}

}  // namespace

TEST_CASE("An entry is decoded, with its id from the key") {
  const fleet::EndpointEntry entry = Decode(kValidEntry);
  CHECK(entry.m_id.value() == "i-1");
  CHECK(entry.m_port == 80);
  CHECK(entry.m_started_at_ms == 123);
  CHECK(entry.m_models.at(ModelId("m1")).contains(AdapterId("a1")));
  CHECK(entry.TierOf(ModelId("m2")) == fleet::WeightTier::kHostMemory);
  CHECK(entry.TierOf(ModelId("m3")) == fleet::WeightTier::kDisk);
  CHECK(entry.TierOf(ModelId("m4")) == fleet::WeightTier::kStore);
}

TEST_CASE("An entry with invalid fields is rejected") {
  json entry = json::parse(kValidEntry);
  const auto [field, value] =
      GENERATE(table<std::string, json>({{"service", nullptr},
                                         {"address", "nowhere"},
                                         {"address", 5},
                                         {"slots", "many"},
                                         {"slots", 1.5},
                                         {"state", "sleeping"},
                                         {"born", "yesterday"},
                                         {"models", "all"},
                                         {"models", json::array({1})}}));
  entry[field] = value;
  CHECK_THROWS_AS(Decode(entry.dump()), Error);
  CHECK_THROWS_AS(Decode("\xff\xfe"), Error);
  CHECK_THROWS_AS(Decode("[]"), Error);
}

// Regression test: another writer's odd entry ended the processes that read the
// list. Each must cost that entry alone.
TEST_CASE("An entry with extreme values is rejected") {
  json entry = json::parse(kValidEntry);
  const std::string deep = std::string(400000, '[') + std::string(400000, ']');
  SECTION("deeply nested") {
    const auto field = GENERATE(as<std::string>(), "service", "address",
                                "slots", "state", "models", "available");
    entry.erase(field);
    std::string text = entry.dump();
    text.insert(1, "\"" + field + "\":" + deep + ",");
    CHECK_THROWS_AS(Decode(text), Error);
    CHECK_THROWS_AS(Decode(deep), Error);
  }
  SECTION("numbers and addresses out of range") {
    const auto [field, value] = GENERATE(
        table<std::string, json>({{"address", "10.0.0.9:0"},
                                  {"address", "10.0.0.9:65536"},
                                  {"address", "10.0.0.9:-1"},
                                  {"address", "10.0.0.9:99999999999999999999"},
                                  {"address", "10.0.0:80"},
                                  {"address", "host.example:80"},
                                  {"slots", 1e300},
                                  {"slots", 5000000000},
                                  {"slots", -1},
                                  {"born", 1e300},
                                  {"remainingMs", 1e300},
                                  {"remainingMs", -1}}));
    entry[field] = value;
    CHECK_THROWS_AS(Decode(entry.dump()), Error);
  }
  CHECK_NOTHROW(Decode(kValidEntry));
}

TEST_CASE("A configuration with extreme numbers is rejected") {
  const auto [path, value] = GENERATE(
      table<std::string, json>({{"/routes/0/timeoutMs", 1e300},
                                {"/routes/0/priority", 1e300},
                                {"/routes/0/maxAttempts", 5000000000},
                                {"/services/0/maxConnections", 1e300},
                                {"/services/0/engine/slots", 1e15},
                                {"/services/0/engine/models/0/loadS", 1e300},
                                {"/services/0/engine/models/0/adapters", 1e15},
                                {"/limits/maxBodyBytes", -1},
                                {"/limits/idleTimeoutMs", 1e300}}));
  json configuration = Configuration();
  configuration[json::json_pointer(path)] = value;
  CHECK_THROWS_AS(FleetDecoder().DecodeConfiguration(configuration.dump()),
                  Error);
}

TEST_CASE("A configuration is decoded into the product's types") {
  const fleet::Configuration decoded =
      FleetDecoder().DecodeConfiguration(Configuration().dump());
  CHECK(decoded.m_version == 7);
  REQUIRE(decoded.m_routes.size() == 2);
  CHECK(decoded.m_routes[0].m_kind == fleet::RequestKind::kStreaming);
  CHECK(decoded.m_routes[0].m_targets.size() == 2);
  CHECK(decoded.m_routes[0].m_max_endpoints == 2);
  CHECK(decoded.m_routes[0].m_resumable);
  CHECK(decoded.m_routes[1].m_targets[0].m_service.value() == "t");
  const auto& engine = decoded.m_services.at(ServiceId("s")).m_engine;
  REQUIRE(engine);
  CHECK(engine->m_models.at(ModelId("m1")).m_load_from_memory ==
        milliseconds(440));
  CHECK(engine->m_models.at(ModelId("m1")).m_adapter_megabytes == 66);
  CHECK_FALSE(decoded.m_services.at(ServiceId("t")).m_engine);
  CHECK(decoded.m_accounts[0].m_plain_tokens == 200);
  CHECK(decoded.m_limits.m_idle_timeout == seconds(15));
}

TEST_CASE("An error in a configuration names the invalid field") {
  json configuration = Configuration();
  configuration["routes"][1].erase("service");
  CHECK_THROWS_WITH(FleetDecoder().DecodeConfiguration(configuration.dump()),
                    Catch::Contains("routes[1].service"));
  configuration = Configuration();
  configuration["routes"][0]["kind"] = "odd";
  CHECK_THROWS_WITH(FleetDecoder().DecodeConfiguration(configuration.dump()),
                    Catch::Contains("odd"));
}

TEST_CASE("Decoders throw only typed errors for damaged input") {
  CHECK(rc::check("cut or changed text", [] {
    const std::string original =
        *rc::gen::element(Configuration().dump(), std::string(kValidEntry));
    std::string damaged = original.substr(
        0, *rc::gen::inRange<std::size_t>(0, original.size() + 1));
    if (!damaged.empty()) {
      damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] =
          *rc::gen::arbitrary<char>();
    }
    for (const auto& decode :
         {std::function<void()>([&] { Decode(damaged); }),
          std::function<void()>(
              [&] { FleetDecoder().DecodeConfiguration(damaged); }),
          std::function<void()>([&] { ParseEngineReport(damaged); })}) {
      try {
        decode();
      } catch (const Error&) {
        // The only type of exception that callers handle.
      }
    }
  }));
}

TEST_CASE("A report is decoded with orders, models and pending adapters") {
  const fleet::EngineReport report = ParseEngineReport(
      R"({"busy":true,"seq":4,"models":[{"name":"m","adapters":["a1"]}],
          "pending":["m/a2@1"]})");
  CHECK(report.m_accepted_orders == 4);
  CHECK(report.m_busy);
  CHECK(report.m_models.at(ModelId("m")).contains(AdapterId("a1")));
  REQUIRE(report.m_arriving_adapters.size() == 1);
  CHECK(report.m_arriving_adapters[0].second.value() == "a2");
}

TEST_CASE("An operator's request to empty a zone is decoded") {
  const FleetDecoder decoder;
  CHECK(decoder.Classify("op/evacuate/rec-a") == fleet::ItemClass::kEvacuation);
  CHECK(decoder.Classify("op/evacuated") == fleet::ItemClass::kOther);
  CHECK(decoder.EvacuatedDomainOf("op/evacuate/rec-a").value() == "rec-a");
  const auto* key =
      GENERATE("op/evacuate/", "op/evacuate/a/b", "op/evacuate/a\nb");
  CHECK_THROWS_AS(decoder.EvacuatedDomainOf(key), Error);
}

TEST_CASE("Cold servers and home regions are decoded") {
  json entry = json::parse(kValidEntry);
  CHECK_FALSE(Decode(entry.dump()).m_cold_for);
  entry["coldRemainingMs"] = 2500;
  CHECK(Decode(entry.dump()).m_cold_for == milliseconds(2500));
  entry["coldRemainingMs"] = "long";
  CHECK_THROWS_AS(Decode(entry.dump()), Error);

  json configuration = Configuration();
  configuration["services"][0]["coldStartS"] = 3.0;
  configuration["services"][0]["coldPerS"] = 14.0;
  configuration["routes"][0]["allowedRegions"] = {"r1", "r2"};
  configuration["tenants"][0]["allowedRegions"] = {"r2"};
  const fleet::Configuration decoded =
      FleetDecoder().DecodeConfiguration(configuration.dump());
  const fleet::ServiceSpec& service = decoded.m_services.at(ServiceId("s"));
  CHECK(service.m_cold_start == seconds(3));
  CHECK(service.m_cold_requests_per_second == 14);
  CHECK(decoded.m_routes[0].m_homes.size() == 2);
  CHECK(decoded.m_routes[1].m_homes.empty());
  CHECK(decoded.m_accounts[0].m_homes.contains(RegionId("r2")));
  configuration["tenants"][0]["allowedRegions"] = {7};
  CHECK_THROWS_AS(FleetDecoder().DecodeConfiguration(configuration.dump()),
                  Error);
}
