#include "settings/settings_file.h"

#include <catch2/catch.hpp>

#include "base/error.h"

using namespace hickoryloft;
using namespace hickoryloft::settings;

namespace {

const SettingTable kTable = {
    {.m_key = "listen.address", .m_help = "IP number to listen on."},
    {.m_key = "listen.port",
     .m_type = SettingType::kInteger,
     .m_help = "TCP port.",
     .m_default = std::int64_t{8080},
     .m_minimum = 0,
     .m_maximum = 65535},
    {.m_key = "limits.wait_ms",
     .m_type = SettingType::kMilliseconds,
     .m_help = "Longest wait.",
     .m_default = std::int64_t{10},
     .m_minimum = 1,
     .m_maximum = 1000},
    {.m_key = "log.level",
     .m_help = "Lowest level.",
     .m_default = std::string("info"),
     .m_allowed = {"info", "error"}},
};

std::string ErrorFor(const std::string& text) {
  try {
    ParseSettings(kTable, text, "loft.toml");
  } catch (const Error& error) {
    CHECK(error.code() == ErrorCode::kInvalidSettings);
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE("Explicit and default settings are read") {
  const Settings settings =
      ParseSettings(kTable, "[listen]\naddress = \"127.0.0.1\"\n", "loft.toml");
  CHECK(settings.String("listen.address") == "127.0.0.1");
  CHECK(settings.Integer("listen.port") == 8080);
  CHECK(settings.Millis("limits.wait_ms") == milliseconds(10));
  const Settings again =
      ParseSettings(kTable, PrintSettings(kTable, settings), "printed");
  CHECK(again.values() == settings.values());
}

TEST_CASE("The error for each kind of invalid setting has file and line") {
  const std::string good = "[listen]\naddress = \"127.0.0.1\"\n";
  CHECK(ErrorFor(good + "prot = 1\n") ==
        "loft.toml:3: setting 'listen.prot': unknown; did you mean "
        "'listen.port'?");
  CHECK(ErrorFor(good + "port = 70000\n") ==
        "loft.toml:3: setting 'listen.port': the value 70000 is outside 0 to "
        "65535");
  CHECK(ErrorFor(good + "port = \"x\"\n") ==
        "loft.toml:3: setting 'listen.port': expected an integer");
  CHECK(ErrorFor(good + "[log]\nlevel = \"loud\"\n") ==
        "loft.toml:4: setting 'log.level': 'loud' is not one of info, error");
  CHECK(ErrorFor("") ==
        "loft.toml: setting 'listen.address' is required: IP number to listen "
        "on.");
  CHECK(ErrorFor("[listen\n").find("loft.toml:1: not valid TOML") == 0);
}
