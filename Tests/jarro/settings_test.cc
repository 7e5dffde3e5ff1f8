#include "platform/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"

using namespace hickoryloft;
using namespace hickoryloft::jarro;
using nlohmann::json;

namespace {

json ValidSettings() {
  return {{"node", "edge-1"},
          {"ip", "10.0.0.1"},
          {"zone", "z1"},
          {"listen", {{"front", "10.0.0.1:8221"}, {"ready", "10.0.0.1:8224"}}},
          {"portRange", {7600, 7615}},
          {"limits", {{"cpuShare", 0.25}}},
          {"bounds", {{"revokeMs", 5000}, {"graceS", 8}, {"leaseMs", 3000}}},
          {"provider", {{"address", "10.9.0.1:8225"}, {"minTtlMs", 1000}}},
          {"unheardOf", {1, 2, 3}}};
}

std::string ParseErrorMessage(const json& settings) {
  try {
    ParseHostSettings(settings.dump());
  } catch (const Error& error) {
    CHECK(error.code() == ErrorCode::kInvalidSettings);
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE("Settings are read, unknown fields ignored, bounds defaulted") {
  const host::HostSettings settings = ParseHostSettings(ValidSettings().dump());
  CHECK(settings.m_host.value() == "edge-1");
  CHECK(settings.m_callers.m_port == 8221);
  CHECK(settings.m_peer_port == 7600);
  CHECK(settings.m_capacity == 0.25);
  CHECK(settings.m_bounds.m_key_withdrawal == seconds(5));
  CHECK(settings.m_bounds.m_stop_grace == seconds(8));
  CHECK(settings.m_bounds.m_drain == host::FleetBounds().m_drain);
}

TEST_CASE("An error names the missing or ill-typed field") {
  struct Case {
    std::string m_pointer;
    json m_value;  // Null: the field is removed.
    std::string m_expected_text;
  };
  const auto test_case =
      GENERATE(Case{"/node", nullptr, "settings.node"},
               Case{"/zone", 7, "settings.zone"},
               Case{"/listen/front", "10.0.0.1", "IP:PORT"},
               Case{"/listen/front", "10.0.0.1:99999", "IP:PORT"},
               Case{"/listen", "here", "settings.listen"},
               Case{"/portRange", json::array({7600}), "portRange"},
               Case{"/provider/address", nullptr, "settings.provider.address"},
               Case{"/bounds/revokeMs", "soon", "settings.bounds.revokeMs"},
               Case{"/bounds/revokeMs", -1, "settings.bounds.revokeMs"},
               Case{"/bounds/strictRevoke", 1, "settings.bounds.strictRevoke"});
  json settings = ValidSettings();
  const json::json_pointer pointer(test_case.m_pointer);
  if (test_case.m_value.is_null()) {
    settings[pointer.parent_pointer()].erase(pointer.back());
  } else {
    settings[pointer] = test_case.m_value;
  }
  CHECK_THAT(ParseErrorMessage(settings),
             Catch::Contains(test_case.m_expected_text));
}

TEST_CASE("A settings file that is missing or not JSON is rejected") {
  CHECK_THROWS_AS(ParseHostSettings("{"), Error);
  CHECK_THROWS_AS(ReadSettingsFile("/does/not/exist"), Error);
}

TEST_CASE("The bound on evacuations and the regions are optional") {
  json text = ValidSettings();
  const host::HostSettings without = ParseHostSettings(text.dump());
  CHECK_FALSE(without.m_bounds.m_evacuation);
  CHECK(without.RegionOf(FailureDomainId("z1")).empty());
  text["bounds"]["evacuateMs"] = 4000;
  text["zones"] = {{"z1", "west"}};
  const host::HostSettings with = ParseHostSettings(text.dump());
  CHECK(with.m_bounds.ViewBound() == seconds(4));
  CHECK(with.RegionOf(FailureDomainId("z1")).value() == "west");
  text["zones"] = {{"z1", 7}};
  CHECK_THAT(ParseErrorMessage(text), Catch::Contains("zones.z1"));
}
