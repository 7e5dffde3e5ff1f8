#include <catch2/catch.hpp>

#include "routing/endpoint_health.h"
#include "routing/endpoint_selector.h"
#include "routing/fleet_load.h"

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

const FailureDomainId kHere("here");
const FailureDomainId kThere("there");

Candidate At(const std::string& id,
             const FailureDomainId& domain,
             int running) {
  return {.m_endpoint = EndpointId(id),
          .m_failure_domain = domain,
          .m_slots = 32,
          .m_running = running};
}

}  // namespace

TEST_CASE("The endpoint with the most free slots is chosen, a full one never") {
  RandomEngine random(1);
  CHECK(SelectEndpoint({At("a", kHere, 20), At("b", kThere, 2)}, kHere, {},
                       random) == 1);
  CHECK(SelectEndpoint({At("a", kHere, 3), At("b", kThere, 2)}, kHere, {},
                       random) == 0);
  CHECK(SelectEndpoint({At("a", kHere, 32), At("b", kThere, 40)}, kHere, {},
                       random) == -1);
  CHECK(SelectEndpoint({}, kHere, {}, random) == -1);
}

TEST_CASE("An avoided endpoint is chosen only if there is no other") {
  RandomEngine random(1);
  Candidate avoided = At("a", kHere, 0);
  avoided.m_avoided = true;
  CHECK(SelectEndpoint({avoided, At("b", kThere, 31)}, kHere, {}, random) == 1);
  CHECK(SelectEndpoint({avoided, At("b", kThere, 32)}, kHere, {}, random) == 0);
}

TEST_CASE(
    "Each consecutive failure lengthens the time an endpoint is avoided") {
  EndpointHealth health;
  const EndpointId id("a");
  MonotonicTime now{seconds(10)};
  health.RecordFailure(id, now);
  CHECK(health.Avoided(id, now + milliseconds(400)));
  CHECK_FALSE(health.Avoided(id, now + EndpointHealth::kFirstPause));
  health.RecordFailure(id, now);
  CHECK(health.Avoided(id, now + milliseconds(900)));
  health.RecordSuccess(id);
  now += seconds(10);
  health.RecordFailure(id, now);
  CHECK_FALSE(health.Avoided(id, now + EndpointHealth::kFirstPause));
}

// The registration of a crashed server expires only seconds later. A refused
// connection at a single host must be enough to place its models elsewhere.
TEST_CASE("A refused connection counts for more than another failure") {
  EndpointHealth health;
  const EndpointId id("crashed");
  MonotonicTime now{seconds(10)};
  CHECK(health.FailureVotes(id, now) == 0);
  health.RecordFailure(id, now);
  CHECK(health.FailureVotes(id, now) == 1);
  const Duration pause = health.RecordRefusal(id, now);
  CHECK(health.FailureVotes(id, now) == EndpointHealth::kDecisiveVotes);
  CHECK(health.FailureVotes(id, now + pause) == 0);
  health.RecordFailure(id, now);
  CHECK(health.FailureVotes(id, now) == 1);
}

// A server whose health check passes fails two requests in five.
TEST_CASE("An endpoint that fails a fraction of its requests is avoided") {
  EndpointHealth health;
  const EndpointId id("grey");
  MonotonicTime now{seconds(10)};
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(100);
    if (i % 5 < 2) {
      health.RecordFailure(id, now);
    } else {
      health.RecordSuccess(id);
    }
  }
  CHECK(health.Avoided(id, now + seconds(3)));
}

TEST_CASE("Loads are summed over hosts and follow their reports") {
  FleetLoad load;
  const EndpointId e("e");
  const ModelId m("m");
  load.Begin(e, m);
  load.SetOthers({{KeyOf(e), 3}});
  CHECK(load.Total(e) == 4);
  load.SetOthers({{KeyOf(e), 1}});
  CHECK(load.Total(e) == 2);
  load.End(e, m);
  load.End(e, m);  // An End() without a Begin() changes nothing.
  load.SetOthers({});
  CHECK(load.Total(e) == 0);
  CHECK(load.own_model_levels().empty());
  CHECK(load.own_endpoint_levels().empty());
}

TEST_CASE("Requests by model are summed over groups that are not silent") {
  FleetLoad load;
  const EndpointId e("e");
  const ModelId m("m");
  const MonotonicTime now{seconds(10)};
  load.SetGroupLevels(HostId("r1"), {{{e, m}, 2}}, now);
  load.SetGroupLevels(HostId("r2"), {{{e, m}, 3}}, now + seconds(1));
  load.SetGroupLevels(HostId("r1"), {{{e, m}, 1}}, now);
  CHECK(load.Total(e, m) == 4);
  // Its group's report already counts this host's request, or will do so.
  load.Begin(e, m);
  CHECK(load.Total(e, m) == 4);
  load.ExpireGroupLevels(now +
                         ReportedLevels<ModelLevels::key_type>::kReportTimeout +
                         milliseconds(1));
  CHECK(load.Total(e, m) == 3);
  load.ExpireGroupLevels(now + seconds(5));
  CHECK(load.Total(e, m) == 1);
}

// A server answers 503 with a retry delay. The host must respect the delay also
// if it is suspended meanwhile, or if the server's registration expires and
// returns.
TEST_CASE("A server that asked for a pause gets no requests until it is over") {
  EndpointHealth health;
  const EndpointId id("busy");
  MonotonicTime now{seconds(10)};
  health.RecordBackoff(id, seconds(3), now);
  CHECK(health.InBackoff(id, now));
  CHECK_FALSE(health.InBackoff(EndpointId("other"), now));
  health.Forget(id);
  health.RecordSuccess(id);
  // A late answer to an earlier request asks for a shorter pause.
  health.RecordBackoff(id, milliseconds(500), now + seconds(1));
  CHECK(health.InBackoff(id, now + milliseconds(2999)));
  CHECK_FALSE(health.InBackoff(id, now + seconds(3)));
}
