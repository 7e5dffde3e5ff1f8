// Requests that crash endpoints and share the parts of their prompts with sound
// ones.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Tests/admission/recorded_ends.h"
#include "admission/request_fingerprint.h"

using namespace hickoryloft;
using namespace hickoryloft::admission;

namespace {

std::string Request(const std::string& name) {
  return FingerprintOf("shop", "/chat/" + name, "");
}

}  // namespace

// Guards against sound requests that are rejected with the crashing ones
// (LOST): four ends of two requests held the part that both share with all
// others.
TEST_CASE("Two crashing requests are held, the part that they share is not") {
  RecordedEnds fleet;
  for (int end = 0; end < 6; ++end) {
    fleet.EndEndpoint("e" + std::to_string(end),
                      {"first", Request(end % 2 == 0 ? "a" : "b")},
                      "h" + std::to_string(end % 3));
    fleet.Pass(seconds(1));
    fleet.FindCrashing();
    CHECK_FALSE(fleet.m_parts.Held("first"));
  }
  CHECK(fleet.m_parts.Held(Request("a")));
  CHECK(fleet.m_parts.Held(Request("b")));
}

// Guards against BUDGET: a part that crashes endpoints comes with many
// requests, each of which may be sent twice.
TEST_CASE("A crashing part is held although its requests are repeated") {
  RecordedEnds fleet;
  int ends = 0;
  while (!fleet.m_parts.Held("bad") && ends < 10) {
    fleet.EndEndpoint("e" + std::to_string(ends),
                      {"bad", Request(std::to_string(ends / 2))});
    ++ends;
    fleet.Pass(milliseconds(600));
    fleet.FindCrashing();
  }
  CHECK(ends == 5);
}

TEST_CASE("Few crashing requests are told from a crashing part") {
  CHECK(rc::check("beside sound requests that are in use at their ends", [] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const bool part_crashes = *rc::gen::arbitrary<bool>();
    const int crashing = *rc::gen::inRange(1, 3);
    const int beside = *rc::gen::inRange(0, 4);
    const auto pause = *rc::gen::element(milliseconds(300), milliseconds(1200));
    RecordedEnds fleet;
    int ends = 0;
    std::vector<std::string> left;
    left.reserve(static_cast<std::size_t>(crashing));
    for (int i = 0; i < crashing; ++i) {
      left.push_back(Request("crashing" + std::to_string(i)));
    }
    const auto held = [&] {
      return part_crashes ? fleet.m_parts.Held("first") : left.empty();
    };
    while (!held() && ends < 20) {
      std::vector<std::string> in_use = {"first"};
      if (part_crashes) {
        in_use.push_back(Request("bad" + std::to_string(ends)));
      } else {
        const std::size_t one = random() % left.size();
        in_use.push_back(left[one]);
      }
      for (int i = 0; i < beside; ++i) {
        in_use.push_back(Request("sound" + std::to_string(random() % 10000)));
      }
      fleet.EndEndpoint("e" + std::to_string(ends++), in_use);
      fleet.Pass(pause);
      fleet.FindCrashing();
      fleet.Pass(CrashingParts::kSettleTime);
      fleet.FindCrashing();
      std::erase_if(left, [&](const std::string& request) {
        return fleet.m_parts.Held(request);
      });
      RC_ASSERT(part_crashes || !fleet.m_parts.Held("first"));
    }
    RC_ASSERT(held());
    RC_ASSERT(ends <= (part_crashes ? 5 : 3 * crashing));
  }));
}
