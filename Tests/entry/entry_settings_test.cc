#include "entry/entry_settings.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "settings/settings_file.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

const std::string kRequired =
    "host.name = \"h\"\nhost.failure_domain = \"d\"\n";

EntrySettings Parse(const std::string& text) {
  return ParseEntrySettings(
      settings::ParseSettings(EntrySettingTable(), kRequired + text, "e.toml"));
}

}  // namespace

TEST_CASE("Given settings and defaults are parsed") {
  const EntrySettings values = Parse(
      "listen.port = 81\nlimits.body_bytes = 2048\n"
      "policy.queue = \"first-come\"\nlog.level = \"debug\"\n");
  CHECK(values.m_listen.m_port == 81);
  CHECK(values.m_caller.m_body_bytes == 2048);
  CHECK(values.m_policy.m_queue == "first-come");
  CHECK(values.m_log_level == LogLevel::kDebug);
  CHECK(values.m_drain.m_balancer_lag == seconds(2));
}

TEST_CASE("Settings with unknown names or invalid values are refused") {
  for (const char* text :
       {"listen.port = 70000\n", "listen.prot = 1\n",
        "policy.queue = \"random\"\n", "limits.connections = 0\n"}) {
    CHECK_THROWS_AS(Parse(text), Error);
  }
}
