#include "membership/report_groups.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>
#include <string>

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

std::map<HostId, MemberInfo> Members(std::size_t hosts, std::size_t domains) {
  std::map<HostId, MemberInfo> members;
  for (std::size_t i = 0; i < hosts; ++i) {
    members[HostId("host-" + std::to_string(i))] = {
        .m_failure_domain =
            FailureDomainId("fd-" + std::to_string(i % domains)),
        .m_capacity = i < 2 * domains ? 0.5 : 0.12};
  }
  return members;
}

}  // namespace

TEST_CASE("In a small fleet all hosts exchange reports directly") {
  const ReportGroups groups(Members(8, 3));
  CHECK(groups.Relays().size() == 8);
}

// The fleet may grow to hundreds of hosts; the traffic of a single host must
// not grow in proportion.
TEST_CASE("A host's peers grow with the square root of the fleet's size") {
  const auto hosts = GENERATE(as<std::size_t>(), 30, 63, 100, 300, 365, 1000);
  const ReportGroups groups(Members(hosts, 4));
  const double root = std::sqrt(static_cast<double>(hosts));
  const std::vector<HostId> relays = groups.Relays();
  for (const HostId& relay : relays) {
    const std::size_t partners =
        relays.size() - 1 + groups.LeavesOf(relay).size();
    CHECK(static_cast<double>(partners) <= 2 * root + 6);
  }
}

TEST_CASE("Each host has one relay, in its failure domain") {
  const auto members = Members(68, 4);
  const ReportGroups groups(members);
  std::set<HostId> seen;
  for (const HostId& relay : groups.Relays()) {
    seen.insert(relay);
    for (const HostId& leaf : groups.LeavesOf(relay)) {
      CHECK(seen.insert(leaf).second);
      CHECK(members.at(leaf).m_failure_domain ==
            members.at(relay).m_failure_domain);
    }
  }
  CHECK(seen.size() == members.size());
}

TEST_CASE("The hosts with the most capacity are relays") {
  const auto members = Members(63, 4);
  for (const HostId& relay : ReportGroups(members).Relays()) {
    CHECK(members.at(relay).m_capacity == 0.5);
  }
}

TEST_CASE("A host that is not a member has no relay") {
  CHECK(ReportGroups(Members(20, 2)).RelayOf(HostId("other")).empty());
}
