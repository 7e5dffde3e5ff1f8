// Loads of endpoints that have just started: a whole failure domain that comes
// back at once, with a burst of requests waiting for it. Hosts hear late that
// an endpoint is cold, freeze, lose messages, die with permits, and disagree on
// who issues them.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/held_permits.h"
#include "admission/permit_issuer.h"
#include "base/random.h"

using namespace hickoryloft;
using namespace hickoryloft::admission;

namespace {

constexpr MonotonicTime kStart{seconds(100)};
constexpr Duration kStep = milliseconds(10);
constexpr Duration kColdTime = seconds(3);
constexpr double kColdRate = 14;
// The platform's bound on a cold endpoint, in any second.
constexpr double kBound = 1.5 * kColdRate + 5;

EndpointId Endpoint(std::size_t i) {
  return EndpointId("e" + std::to_string(i));
}

struct Host {
  struct Pending {
    MonotonicTime m_at;
    std::optional<Duration> m_wait;
  };
  HeldPermits m_held;
  std::map<std::size_t, Pending> m_replies;  // By endpoint.
  MonotonicTime m_frozen_until;
  bool m_dead = false;
};

class ColdDomain {
 public:
  ColdDomain(std::size_t hosts, std::size_t endpoints, RandomEngine& random)
      : m_hosts(hosts), m_sends(endpoints), m_random(random) {}

  // Each host has a request for each endpoint at all times.
  void Step(MonotonicTime now, bool changes_issuer) {
    for (std::size_t h = 0; h < m_hosts.size(); ++h) {
      Host& host = m_hosts[h];
      if (host.m_dead || now < host.m_frozen_until) {
        continue;
      }
      if (Chance(0.0005)) {
        host.m_dead = true;
      } else if (Chance(0.001)) {
        host.m_frozen_until = now + seconds(1);
      }
      for (std::size_t e = 0; e < m_sends.size(); ++e) {
        Use(host, h, e, now, changes_issuer);
      }
    }
    for (auto& sends : m_sends) {
      std::erase_if(sends,
                    [&](MonotonicTime at) { return at <= now - seconds(1); });
      m_most = std::max(m_most, sends.size());
    }
  }

  std::size_t m_most = 0;  // Requests to one endpoint in one second.
  std::size_t m_all = 0;

 private:
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }

  void Use(Host& host,
           std::size_t h,
           std::size_t e,
           MonotonicTime now,
           bool changes_issuer) {
    if (const auto reply = host.m_replies.find(e);
        reply != host.m_replies.end() && reply->second.m_at <= now) {
      host.m_held.RecordReply(Endpoint(e), reply->second.m_wait, now);
      host.m_replies.erase(reply);
    }
    if (host.m_held.Holds(Endpoint(e), now)) {
      host.m_held.Use(Endpoint(e));
      m_sends[e].push_back(now);
      ++m_all;
      return;
    }
    if (!host.m_held.BeginAsking(Endpoint(e), /*urgent=*/true, now) ||
        Chance(0.02)) {
      return;
    }
    // Half of the hosts learn a second late that the issuer has changed.
    const MonotonicTime learned =
        kStart + seconds(1) + (h % 2 == 0 ? seconds(1) : Duration{});
    PermitIssuer& issuer =
        changes_issuer && now < learned ? m_former : m_issuer;
    host.m_replies[e] = {
        .m_at =
            now + kStep * std::uniform_int_distribution<int>(1, 5)(m_random),
        .m_wait = issuer.Take(Endpoint(e), kColdRate, now)};
  }

  std::vector<Host> m_hosts;
  std::vector<std::deque<MonotonicTime>> m_sends;
  RandomEngine& m_random;
  PermitIssuer m_former;
  PermitIssuer m_issuer;
};

}  // namespace

TEST_CASE("All hosts together spare a domain of cold endpoints") {
  CHECK(rc::check([] {
    const auto hosts = *rc::gen::element<std::size_t>(1, 7, 78);
    const auto endpoints = *rc::gen::element<std::size_t>(1, 15);
    const bool changes_issuer = *rc::gen::arbitrary<bool>();
    RandomEngine random(*rc::gen::arbitrary<std::uint32_t>());
    ColdDomain domain(hosts, endpoints, random);
    for (MonotonicTime now = kStart; now < kStart + kColdTime; now += kStep) {
      domain.Step(now, changes_issuer);
    }
    RC_ASSERT(static_cast<double>(domain.m_most) <= kBound);
    if (hosts > 1 && !changes_issuer) {
      // After the hand-over the endpoints are used.
      RC_ASSERT(domain.m_all > endpoints * 5);
    }
  }));
}
