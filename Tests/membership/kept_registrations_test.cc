#include "membership/kept_registrations.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

using Keys = std::map<std::string, keyvalue::KeyValue>;

constexpr Duration kKeepTime = seconds(2);

// The service, and what should count at a host, by times alone.
struct World {
  Keys m_keys;
  std::map<std::string, MonotonicTime> m_kept;  // Lapsed, until when.
  MonotonicTime m_now{seconds(100)};
  std::optional<MonotonicTime> m_keep_until;  // During and after an outage.
  Revision m_revision = 0;
  KeptRegistrations m_registrations{"members/"};

  void Register(const std::string& key) {
    m_keys[key] = {.m_value = key, .m_mod_revision = ++m_revision};
    m_kept.erase(key);
  }
  void End(const std::string& key) {
    if (m_keys.erase(key) > 0 && m_keep_until) {
      m_kept.emplace(key, *m_keep_until);
    }
  }
  void Pass(Duration time) {
    m_now += time;
    std::erase_if(m_kept,
                  [this](const auto& item) { return m_now >= item.second; });
    if (m_keep_until && m_now >= *m_keep_until) {
      m_keep_until.reset();
    }
    m_registrations.RemoveLapsed(m_now);
  }
  void BeginOutage() { m_keep_until = m_now + kKeepTime; }

  std::set<std::string> Expected() const {
    std::set<std::string> expected;
    for (const auto& [key, item] : m_keys) {
      expected.insert(key);
    }
    for (const auto& [key, until] : m_kept) {
      expected.insert(key);
    }
    return expected;
  }
  std::set<std::string> Actual() const {
    std::set<std::string> actual;
    for (const auto& [key, entry] : m_registrations.entries()) {
      actual.insert(key);
    }
    return actual;
  }
};

}  // namespace

// Guards against hosts that count as gone because their registrations lapsed in
// an outage (QUOTA, review/13), and against lost hosts that count for ever.
TEST_CASE(
    "Registrations count while they exist, and for a time after a lapse") {
  CHECK(rc::check([] {
    World world;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
    for (const auto& [what, which] : steps) {
      const std::string key = "members/" + std::to_string(which);
      switch (what) {
        case 0:
          world.Register(key);
          break;
        case 1:
          world.End(key);
          break;
        case 2:
          world.BeginOutage();
          break;
        default:
          world.Pass(milliseconds(700) * (which + 1));
      }
      world.m_registrations.Update(world.m_keys, world.m_keep_until);
      RC_ASSERT_FALSE(
          world.m_registrations.Update(world.m_keys, world.m_keep_until));
      RC_ASSERT(world.Actual() == world.Expected());
    }
  }));
}

TEST_CASE("The registration that a host has now goes before its lapsed ones") {
  using Entry = KeptRegistrations::Entry;
  const MonotonicTime until(seconds(1));
  const Entry lapsed{.m_revision = 9, .m_kept_until = until};
  const Entry lapsed_before{.m_revision = 8, .m_kept_until = until};
  const Entry restored{.m_revision = 3};
  const Entry newer{.m_revision = 4};
  CHECK(restored.Supersedes(lapsed));
  CHECK_FALSE(lapsed.Supersedes(restored));
  CHECK(newer.Supersedes(restored));
  CHECK(lapsed.Supersedes(lapsed_before));
}

TEST_CASE("Keys without the prefix are no registrations") {
  KeptRegistrations registrations("members/");
  CHECK_FALSE(registrations.Update(
      {{"member", {.m_mod_revision = 1}}, {"members0", {.m_mod_revision = 2}}},
      std::nullopt));
  CHECK(registrations.entries().empty());
}
