// Requests of operators to empty failure domains (evacuations.cc), as hosts
// hear of them (evacuation_control.cc): from their own watch, from a
// relay, late, twice, after a restart, and after the service was restored from
// an older copy.

#include "fleet/evacuations.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Tests/fleet/manual_key_value_service.h"
#include "Tests/fleet/plain_decoder.h"
#include "fleet/fleet_state_feed.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

const FailureDomainId kNorth("north");
constexpr MonotonicTime kNow{seconds(100)};
constexpr Duration kBound = seconds(5);

class ColdDecoder : public PlainDecoder {
 public:
  Configuration DecodeConfiguration(const std::string& value) const override {
    Configuration configuration = PlainDecoder::DecodeConfiguration(value);
    configuration.m_services[ServiceId()] = {.m_cold_start = seconds(3),
                                             .m_cold_requests_per_second = 14};
    return configuration;
  }
};

struct Host {
  explicit Host(const ManualKeyValueService& truth) {
    m_service.m_source = &truth;
    m_feed.SetEvacuationBound(kBound);
    m_feed.Start();
  }
  const EndpointEntry& Find(const std::string& id) const {
    return *m_feed.directory().Find(EndpointId(id));
  }
  void Hear(const ManualKeyValueService& truth) {
    m_service.m_changed(truth.After(m_feed.revision(), m_loop.Now()));
  }
  void RunFor(Duration time) {
    const auto end = m_loop.After(time, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  EventLoop m_loop;
  ManualKeyValueService m_service;
  ColdDecoder m_decoder;
  int m_changes = 0;
  FleetStateFeed m_feed{
      m_loop,
      m_service,
      m_decoder,
      {.m_configuration_changed = [] {},
       .m_endpoint_changed = [this](const EndpointId&) { ++m_changes; },
       .m_own_keys_changed = [] {}}};
};

struct Site : ManualKeyValueService {
  Site() {
    Put("config", "1");
    Put("e/a", "north");
    Put("e/b", "south");
  }
};

}  // namespace

TEST_CASE("A domain is a last resort first, and gets nothing later") {
  Evacuations evacuations(kBound);
  CHECK(evacuations.Begin(kNorth, kNow));
  CHECK(evacuations.States(kNow).at(kNorth) == Evacuation::kEmptying);
  CHECK(evacuations.States(kNow + kBound).at(kNorth) == Evacuation::kEvacuated);
  // Heard so late that the first part of the bound may be over.
  CHECK(evacuations.Begin(FailureDomainId("south"), kNow - seconds(4)));
  CHECK(evacuations.States(kNow).at(FailureDomainId("south")) ==
        Evacuation::kEvacuated);
}

TEST_CASE("A request of unknown age takes effect at once") {
  Evacuations evacuations(kBound);
  evacuations.Begin(kNorth, std::nullopt);
  CHECK(evacuations.States(kNow).at(kNorth) == Evacuation::kEvacuated);
}

TEST_CASE("A repeated request does not extend the time of the first") {
  Evacuations evacuations(kBound);
  evacuations.Begin(kNorth, kNow);
  CHECK_FALSE(evacuations.Begin(kNorth, kNow + seconds(4)));
  CHECK(evacuations.States(kNow + seconds(4)).at(kNorth) ==
        Evacuation::kEvacuated);
}

TEST_CASE(
    "A domain stays empty while a restored service may lack its request") {
  Evacuations evacuations(kBound);
  evacuations.Begin(kNorth, std::nullopt);
  CHECK(evacuations.RetainOnly({}, kNow + seconds(2)).empty());
  CHECK(evacuations.DropUnconfirmed(kNow + seconds(1)).empty());
  SECTION("the request is written again") {
    evacuations.Begin(kNorth, kNow);
    CHECK(evacuations.DropUnconfirmed(kNow + seconds(3)).empty());
    CHECK(evacuations.States(kNow).at(kNorth) == Evacuation::kEvacuated);
  }
  SECTION("it is not") {
    CHECK(evacuations.DropUnconfirmed(kNow + seconds(2)).size() == 1);
    CHECK(evacuations.States(kNow).empty());
  }
}

TEST_CASE("Endpoints of an emptied domain get no models at once") {
  Site site;
  Host host(site);
  site.Put("evacuate/north", "{}");
  host.Hear(site);
  CHECK(host.m_changes == 1);
  CHECK(host.Find("a").AcceptsRequests());
  CHECK_FALSE(host.Find("a").AcceptsModels());
  CHECK(host.Find("b").AcceptsModels());
  // An endpoint that joins later is in the domain too.
  site.Put("e/c", "north");
  host.Hear(site);
  CHECK_FALSE(host.Find("c").AcceptsModels());
}

TEST_CASE("A host that starts later sends nothing to an evacuated domain") {
  Site site;
  site.Put("evacuate/north", "{}");
  Host host(site);
  CHECK_FALSE(host.Find("a").AcceptsRequests());
  CHECK(host.Find("b").AcceptsRequests());
}

TEST_CASE("An evacuated endpoint whose registration lapses is not removed") {
  EndpointDirectory directory;
  directory.Put({.m_id = EndpointId("a"), .m_failure_domain = kNorth});
  directory.SetEvacuations({{kNorth, Evacuation::kEvacuated}});
  CHECK(directory.Remove(EndpointId("a"), kNow) ==
        EndpointDirectory::Change::kLapsed);
}

TEST_CASE("A domain that is taken back is cold for a while") {
  Site site;
  site.Put("evacuate/north", "{}");
  Host host(site);
  site.Delete("evacuate/north");
  host.Hear(site);
  const MonotonicTime now = host.m_loop.Now();
  CHECK(host.Find("a").AcceptsModels());
  CHECK(host.Find("a").IsCold(now + milliseconds(2900)));
  CHECK_FALSE(host.Find("a").IsCold(now + seconds(4)));
  CHECK_FALSE(host.Find("b").IsCold(now));
  // A registration that was written before the endpoint became cold.
  site.Put("e/a", "north");
  host.Hear(site);
  CHECK(host.Find("a").IsCold(now + milliseconds(2900)));
}

TEST_CASE("An endpoint that turns cold again is spared") {
  Site site;
  Host host(site);
  host.m_feed.MarkCold(EndpointId("a"), 0, seconds(2));
  CHECK(host.Find("a").IsCold(host.m_loop.Now() + seconds(1)));
  // An answer of another incarnation.
  host.m_feed.MarkCold(EndpointId("b"), 7, seconds(2));
  CHECK_FALSE(host.Find("b").IsCold(host.m_loop.Now()));
}

TEST_CASE("Odd requests to empty a domain are ignored") {
  Site site;
  site.Put("evacuate/", "{}");
  site.Put("evacuate/nowhere", "{}");
  Host host(site);
  CHECK(host.Find("a").AcceptsModels());
  CHECK(host.m_feed.evacuations().size() == 1);
  site.Delete("evacuate/");
  site.Delete("evacuate/nowhere");
  host.Hear(site);
  CHECK(host.m_feed.evacuations().empty());
}

TEST_CASE("A restore that loses the request does not end the evacuation") {
  Site site;
  site.Put("evacuate/north", "{}");
  Host host(site);
  REQUIRE_FALSE(host.Find("a").AcceptsRequests());
  site.Restore(1);
  host.m_feed.ObserveEra(1);
  CHECK_FALSE(host.Find("a").AcceptsRequests());
  SECTION("the operator's request is written again") {
    site.Put("evacuate/north", "{}");
    host.Hear(site);
    host.RunFor(milliseconds(2300));
    CHECK_FALSE(host.Find("a").AcceptsRequests());
  }
  SECTION("it had been withdrawn") {
    host.RunFor(milliseconds(2300));
    CHECK(host.Find("a").AcceptsRequests());
  }
}

// Changes reach a leaf as spans of its relay and by its own watch, late, twice
// and out of order. The oracle is the service's history.
TEST_CASE("No host misses a request to empty a domain that it should know") {
  CHECK(rc::check([] {
    Site site;
    Host relay(site);
    Host leaf(site);
    ChangeLog log;
    std::vector<ChangeSpan> spans;
    std::map<FailureDomainId, MonotonicTime> requested_at;
    for (int step = 0; step < 40; ++step) {
      const MonotonicTime now = leaf.m_loop.Now();
      const std::string domain =
          *rc::gen::element<std::string>("north", "south");
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          site.Put("evacuate/" + domain, "{}");
          requested_at.try_emplace(FailureDomainId(domain), now);
          break;
        case 1:
          site.Delete("evacuate/" + domain);
          requested_at.erase(FailureDomainId(domain));
          break;
        case 2: {
          const Revision from = relay.m_feed.revision();
          const auto batch = site.After(from, now);
          relay.m_service.m_changed(batch);
          log.Append(from, batch);
          break;
        }
        case 3:
          leaf.Hear(site);
          break;
        case 4:
          if (const auto span = log.Since(
                  *rc::gen::inRange<Revision>(0, leaf.m_feed.revision() + 2))) {
            spans.push_back(*span);
          }
          break;
        default:
          if (!spans.empty()) {
            leaf.m_feed.ApplyChanges(
                spans[*rc::gen::inRange<std::size_t>(0, spans.size())]);
          }
      }
      const auto truth = site.StateAt(leaf.m_feed.revision());
      for (const std::string id : {"a", "b"}) {
        const EndpointEntry& entry = leaf.Find(id);
        RC_ASSERT((entry.m_evacuation != Evacuation::kNone) ==
                  truth.contains("evacuate/" + entry.m_failure_domain.value()));
      }
      if (leaf.m_feed.revision() == site.m_revision) {
        // The time of each request was not taken for a later one.
        for (const auto& [name, at] : requested_at) {
          Evacuations exact(kBound);
          exact.Begin(name, at);
          if (exact.States(leaf.m_loop.Now()).at(name) ==
              Evacuation::kEvacuated) {
            RC_ASSERT(leaf.m_feed.evacuations().at(name) ==
                      Evacuation::kEvacuated);
          }
        }
      }
    }
  }));
}
