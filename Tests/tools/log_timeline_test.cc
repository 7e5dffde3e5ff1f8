#include "tools/ctl/log_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "base/error.h"

using namespace hickoryloft;
using namespace hickoryloft::tools;

namespace {

// Logs of two hosts. Host a admits the request; host b sends the load order
// that the request waits for.
constexpr char kHostA[] =
    R"({"time":"2026-10-23T11:04:00.000","level":"warn","part":"knowledge","message":"key-value service back","away_ms":6331}
{"time":"2026-10-23T11:04:05.000","level":"info","part":"admission","message":"admitted","id":"r1","model":"m7","account":"clinic"}
{"time":"2026-10-23T11:04:05.000","level":"info","part":"admission","message":"admitted","id":"other","model":"m7"}
{"time":"2026-10-23T11:04:05.001","level":"info","part":"admission","message":"waiting","id":"r1","model":"m7"}
not a log line
{"time":"2026-10-23T11:04:08.000","level":"info","part":"request","message":"sent","id":"r1","endpoint":"e3","send":1}
{"time":"2026-10-23T11:04:09.000","level":"info","part":"request","message":"over","id":"r1","outcome":"broken_off","reason":"connection_failed"}
)";
constexpr char kHostB[] =
    R"({"time":"2026-10-23T11:04:05.020","level":"info","part":"orders","message":"order given","engine":"e3","model":"m7","operation":"load"}
{"time":"2026-10-23T11:04:05.020","level":"info","part":"orders","message":"order given","engine":"e9","model":"m8","operation":"load"}
{"time":"2026-10-23T11:05:05.020","level":"info","part":"orders","message":"order given","engine":"e3","model":"m7","operation":"unload"}
)";

std::string Explain(const std::string& id) {
  LogTimeline timeline(id);
  std::istringstream a(kHostA);
  timeline.Read(a, "a");
  std::istringstream b(kHostB);
  timeline.Read(b, "b");
  std::ostringstream out;
  timeline.Print(out);
  CHECK(timeline.skipped_lines() == 1);
  return out.str();
}

}  // namespace

TEST_CASE(
    "A timeline includes the lines of the request's hosts, engines and "
    "models") {
  CHECK(Explain("r1") ==
        "11:04:00.000    a  knowledge: key-value service back away_ms=6331\n"
        "11:04:05.000  * a  admission: admitted model=m7 account=clinic\n"
        "11:04:05.001  * a  admission: waiting model=m7\n"
        "11:04:05.020    b  orders: order given engine=e3 model=m7 "
        "operation=load\n"
        "11:04:08.000  * a  request: sent endpoint=e3 send=1\n"
        "11:04:09.000  * a  request: over outcome=broken_off "
        "reason=connection_failed\n"
        "request r1: broken_off, connection_failed\n");
}

TEST_CASE("A timeline without the request's last line says so") {
  const std::string text = Explain("other");
  CHECK(text.find("request other: its end is not in these logs\n") !=
        std::string::npos);
}

TEST_CASE("An unknown request id is an error that names the id") {
  CHECK_THROWS_WITH(Explain("r2"), Catch::Matchers::Contains("'r2'"));
}

TEST_CASE("The last word of a log collector's prefix is the host name") {
  LogTimeline timeline("r1");
  std::istringstream lines(
      "  2.21 edge-1 {\"time\":\"2026-10-23T11:04:17.216\",\"part\":"
      "\"admission\",\"message\":\"rejected\",\"id\":\"r1\",\"reason\":"
      "\"no_route\"}\n");
  timeline.Read(lines, "file");
  std::ostringstream out;
  timeline.Print(out);
  CHECK(out.str() ==
        "11:04:17.216  * edge-1  admission: rejected reason=no_route\n"
        "request r1: rejected, no_route\n");
}

TEST_CASE("A timeline includes how a part of the prompt came to be rejected") {
  constexpr char kLog[] =
      R"({"time":"2026-10-23T11:00:01.000","level":"info","part":"prompts","message":"endpoint ended","endpoint":"e1","prompt_parts":"a1,bad0"}
{"time":"2026-10-23T11:00:02.000","level":"info","part":"prompts","message":"endpoint ended","endpoint":"e2","prompt_parts":"a1"}
{"time":"2026-10-23T11:00:03.000","level":"warn","part":"prompts","message":"rejecting","prompt_part":"bad0","ends":4}
{"time":"2026-10-23T11:04:05.000","level":"info","part":"request","message":"rejecting","id":"r1","prompt_part":"bad0"}
{"time":"2026-10-23T11:04:05.000","level":"info","part":"request","message":"over","id":"r1","outcome":"refused","reason":"prompt_part_held"}
)";
  LogTimeline timeline("r1");
  std::istringstream a(kLog);
  timeline.Read(a, "a");
  std::ostringstream out;
  timeline.Print(out);
  CHECK(out.str() ==
        "11:00:01.000    a  prompts: endpoint ended endpoint=e1 "
        "prompt_parts=a1,bad0\n"
        "11:00:03.000    a  prompts: rejecting prompt_part=bad0 ends=4\n"
        "11:04:05.000  * a  request: rejecting prompt_part=bad0\n"
        "11:04:05.000  * a  request: over outcome=refused "
        "reason=prompt_part_held\n"
        "request r1: refused, prompt_part_held\n");
}
