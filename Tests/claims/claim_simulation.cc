#include "Tests/claims/claim_simulation.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::claims {

namespace {

// Clocks are up to 0.2 % fast or slow; the drift margin covers the error over
// the time to live of either lease.
constexpr double kRates[] = {1.0, 1.002, 0.998, 1.001};

std::string MemberKey(const HostId& host, Incarnation incarnation) {
  return "members/" + host.value() + "/" + std::to_string(incarnation);
}

std::string LongLeaseKey(const HostId& host, keyvalue::LeaseId lease) {
  return "standing/" + host.value() + "/" + std::to_string(lease);
}

const std::string kClaimKey = "claims/placement/0";

}  // namespace

ClaimSimulation::ClaimSimulation(std::size_t hosts, bool acts_in_outage)
    : m_acts_in_outage(acts_in_outage) {
  m_settings.m_short_ttl = seconds(4);
  m_settings.m_long_ttl = seconds(16);
  m_settings.m_drift_margin = milliseconds(300);
  m_settings.m_settle_time = seconds(5);
  m_hosts.resize(hosts);
  for (std::size_t i = 0; i < hosts; ++i) {
    m_hosts[i].m_id = HostId(std::string(1, static_cast<char>('a' + i)));
    m_hosts[i].m_rate = kRates[i % std::size(kRates)];
    Start(i);
  }
}

void ClaimSimulation::Start(std::size_t index) {
  Host& host = m_hosts[index];
  host.m_incarnation = ++m_last_incarnation;
  host.m_table = std::make_unique<ClaimTable>(
      m_settings, host.m_id, host.m_incarnation, m_last_incarnation);
  host.m_table->SetWanted({{kClaim, m_acts_in_outage}}, LocalTime(host));
  host.m_running = true;
  host.m_short = 0;
  host.m_long = 0;
  host.m_member_revision = 0;
  host.m_calling = false;
  host.m_renew_at = MonotonicTime{};
  host.m_view_at = MonotonicTime{};
}

MonotonicTime ClaimSimulation::LocalTime(const Host& host) const {
  return MonotonicTime(Duration(static_cast<Duration::rep>(
      static_cast<double>(m_now.time_since_epoch().count()) * host.m_rate)));
}

void ClaimSimulation::Step(const NetworkConditions& network,
                           RandomEngine& random) {
  m_now += kStep;
  m_store.Expire(m_now);
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    StepHost(i);
  }
  // A call may start others, which are appended and proceed in the same step;
  // the bound models the limited time of a step.
  constexpr int kMaxMoves = 64;
  int moves = 0;
  for (auto item = m_calls.begin(); item != m_calls.end() && moves < kMaxMoves;
       ++moves) {
    item = AdvanceCall(*item, network, random) ? m_calls.erase(item)
                                               : std::next(item);
  }
}

// Advances the call. Returns whether it is over.
bool ClaimSimulation::AdvanceCall(Call& call,
                                  const NetworkConditions& network,
                                  RandomEngine& random) {
  const auto chance = [&](unsigned percent) {
    return random() % 100 < percent;
  };
  const bool alive = CallerAlive(call);
  if (!call.m_arrived) {
    if (chance(network.m_lose) || (!Reachable(call) && chance(50))) {
      Fail(call);
      return true;
    }
    if (Reachable(call) && chance(network.m_arrive)) {
      call.m_arrived = true;
      call.m_arrive();
      if (call.m_peer) {
        RunEffects(*call.m_peer);
      }
    }
  }
  if (call.m_arrived && (!alive || call.m_given_up)) {
    return true;
  }
  if (call.m_arrived && m_hosts[call.m_host].m_running) {
    if (chance(network.m_lose)) {
      Fail(call);
      return true;
    }
    if (chance(network.m_answer)) {
      call.m_reply();
      RunEffects(call.m_host);
      return true;
    }
  }
  if (!call.m_given_up && chance(network.m_give_up)) {
    Fail(call);
    call.m_given_up = true;
    return call.m_arrived;
  }
  return false;
}

void ClaimSimulation::Fail(const Call& call) {
  if (CallerAlive(call) && !call.m_given_up) {
    call.m_fail();
    RunEffects(call.m_host);
  }
}

void ClaimSimulation::StepHost(std::size_t index) {
  Host& host = m_hosts[index];
  if (!host.m_running) {
    return;
  }
  const MonotonicTime local = LocalTime(host);
  if (!host.m_calling && local >= host.m_renew_at) {
    host.m_renew_at = local + m_settings.m_short_ttl / 3;
    RenewLeases(index);
  }
  if (local >= host.m_view_at) {
    host.m_view_at = local + seconds(1);
    ReadView(index);
  }
  host.m_table->Tick(local);
  RunEffects(index);
}

// Renews or grants both leases and writes their keys in one call. Validity is
// counted from the send.
void ClaimSimulation::RenewLeases(std::size_t index) {
  Host& host = m_hosts[index];
  host.m_calling = true;
  const MonotonicTime sent_at = LocalTime(host);
  struct Outcome {
    keyvalue::LeaseId m_short = 0;
    keyvalue::LeaseId m_long = 0;
    bool m_short_lost = false;
    bool m_long_lost = false;
  };
  const auto outcome = std::make_shared<Outcome>();
  const auto renew = [this](keyvalue::LeaseId lease, Duration ttl,
                            bool& lost) -> keyvalue::LeaseId {
    try {
      if (lease != 0) {
        return m_store.KeepAlive(lease, m_now).m_lease;
      }
    } catch (const Error&) {
      lost = true;
    }
    return m_store.Grant(ttl, m_now).m_lease;
  };
  const HostId id = host.m_id;
  const Incarnation incarnation = host.m_incarnation;
  const keyvalue::LeaseId old_short = host.m_short;
  const keyvalue::LeaseId old_long = host.m_long;
  m_calls.push_back(
      {.m_host = index,
       .m_incarnation = incarnation,
       .m_arrive =
           [=, this] {
             outcome->m_long =
                 renew(old_long, m_settings.m_long_ttl, outcome->m_long_lost);
             m_store.Put(LongLeaseKey(id, outcome->m_long), "",
                         outcome->m_long);
             outcome->m_short = renew(old_short, m_settings.m_short_ttl,
                                      outcome->m_short_lost);
             m_store.Put(MemberKey(id, incarnation),
                         std::to_string(outcome->m_long), outcome->m_short);
           },
       .m_reply =
           [=, this] {
             Host& caller = m_hosts[index];
             caller.m_calling = false;
             if (outcome->m_long_lost) {
               caller.m_table->OnLongLeaseLost();
             }
             if (outcome->m_short_lost) {
               caller.m_table->OnShortLeaseLost();
             }
             caller.m_long = outcome->m_long;
             caller.m_short = outcome->m_short;
             caller.m_table->OnLongLease(outcome->m_long, sent_at);
             caller.m_table->OnShortLease(outcome->m_short, sent_at);
           },
       .m_fail = [=, this] { m_hosts[index].m_calling = false; }});
}

void ClaimSimulation::ReadView(std::size_t index) {
  const auto hosts = std::make_shared<std::vector<ClaimHost>>();
  m_calls.push_back(
      {.m_host = index,
       .m_incarnation = m_hosts[index].m_incarnation,
       .m_arrive =
           [=, this] {
             for (const auto& item : m_store.GetPrefix("members/")) {
               const std::size_t slash = item.m_key.rfind('/');
               const ClaimHost host{
                   .m_host = HostId(item.m_key.substr(8, slash - 8)),
                   .m_incarnation = std::stoull(item.m_key.substr(slash + 1)),
                   .m_failure_domain = FailureDomainId("d"),
                   .m_lease = item.m_lease,
                   .m_long_lease = std::stoll(item.m_value)};
               if (!hosts->empty() && hosts->back().m_host == host.m_host) {
                 hosts->pop_back();
               }
               hosts->push_back(host);
             }
           },
       .m_reply =
           [=, this] {
             Host& host = m_hosts[index];
             host.m_table->SetHosts(*hosts, LocalTime(host));
           },
       .m_fail = [] {}});
}

bool ClaimSimulation::Reachable(const Call& call) const {
  if (!call.m_peer) {
    return m_service_up && !m_hosts[call.m_host].m_partitioned_from_service;
  }
  return !m_hosts[call.m_host].m_partitioned_from_peers &&
         !m_hosts[*call.m_peer].m_partitioned_from_peers &&
         m_hosts[*call.m_peer].m_running;
}

bool ClaimSimulation::CallerAlive(const Call& call) const {
  const Host& host = m_hosts[call.m_host];
  return host.m_incarnation == call.m_incarnation;
}

void ClaimSimulation::Pause(std::size_t host) {
  m_hosts[host].m_running = false;
}

void ClaimSimulation::Resume(std::size_t host) {
  m_hosts[host].m_running = true;
}

void ClaimSimulation::Restart(std::size_t host) {
  Start(host);
}

void ClaimSimulation::PartitionFromService(std::size_t host, bool partitioned) {
  m_hosts[host].m_partitioned_from_service = partitioned;
}

void ClaimSimulation::PartitionFromPeers(std::size_t host, bool partitioned) {
  m_hosts[host].m_partitioned_from_peers = partitioned;
}

void ClaimSimulation::Release(std::size_t host) {
  Host& item = m_hosts[host];
  const MonotonicTime local = LocalTime(item);
  if (!item.m_running || !item.m_table->HeldFence(kClaim, local)) {
    return;
  }
  m_last_payload = "state of " + std::to_string(m_last_fence);
  item.m_table->Release(kClaim,
                        item.m_table->NextHost(kClaim).value_or(HostId()),
                        m_last_payload, local);
  RunEffects(host);
}

void ClaimSimulation::Heal(RandomEngine& random) {
  m_service_up = true;
  for (Host& host : m_hosts) {
    host.m_running = true;
    host.m_partitioned_from_service = false;
    host.m_partitioned_from_peers = false;
  }
  const Duration enough = m_settings.m_long_ttl + 10 * m_settings.m_short_ttl;
  for (Duration passed{}; passed < enough; passed += kStep) {
    Step({}, random);
  }
}

std::size_t ClaimSimulation::Holders() const {
  return static_cast<std::size_t>(
      std::count_if(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        return host.m_table->HeldFence(kClaim, LocalTime(host)).has_value();
      }));
}

std::optional<std::size_t> ClaimSimulation::IndexOf(const HostId& id) const {
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].m_id == id) {
      return i;
    }
  }
  return std::nullopt;
}

void ClaimSimulation::RunEffects(std::size_t index) {
  for (const ClaimEffect& effect : m_hosts[index].m_table->TakeEffects()) {
    std::visit([&](const auto& item) { Run(index, item); }, effect);
  }
}

void ClaimSimulation::Run(std::size_t index, const ReadEvidence& effect) {
  const auto evidence = std::make_shared<ClaimEvidence>();
  const auto answer = [=, this](bool read) {
    Host& host = m_hosts[index];
    host.m_table->OnEvidence(effect.m_claim,
                             read ? std::optional(*evidence) : std::nullopt,
                             LocalTime(host));
  };
  // Three reads, one after the other.
  const auto call = [=, this](std::function<void()> arrive,
                              std::function<void()> reply) {
    m_calls.push_back({.m_host = index,
                       .m_incarnation = m_hosts[index].m_incarnation,
                       .m_arrive = std::move(arrive),
                       .m_reply = std::move(reply),
                       .m_fail = [=] { answer(false); }});
  };
  const auto read_long_lease_key = [=, this] {
    const ClaimRecord record = evidence->m_stored->m_record;
    call(
        [=, this] {
          evidence->m_successor_lease_live =
              m_store
                  .Get(LongLeaseKey(record.m_successor,
                                    record.m_successor_lease))
                  .has_value();
        },
        [=] { answer(true); });
  };
  const auto read_member = [=, this] {
    const ClaimRecord record = evidence->m_stored->m_record;
    call(
        [=, this] {
          const auto member =
              m_store.Get(MemberKey(record.m_holder, record.m_incarnation));
          evidence->m_holder_live = member && member->m_lease == record.m_lease;
        },
        [=] {
          if (evidence->m_holder_live || record.m_successor.empty()) {
            answer(true);
          } else {
            read_long_lease_key();
          }
        });
  };
  call(
      [=, this] {
        if (const auto item = m_store.Get(kClaimKey)) {
          evidence->m_stored = StoredClaim{ParseClaimRecord(item->m_value),
                                           item->m_mod_revision};
        }
      },
      [=] {
        if (!evidence->m_stored ||
            evidence->m_stored->m_record.m_holder.empty()) {
          answer(true);
        } else {
          read_member();
        }
      });
}

void ClaimSimulation::Run(std::size_t index, const WriteClaim& effect) {
  const auto reply = std::make_shared<keyvalue::SwapReply>();
  const auto answer = [=, this](WriteOutcome outcome) {
    Host& host = m_hosts[index];
    host.m_table->OnWrite(effect.m_claim, effect.m_nonce, outcome,
                          reply->m_revision, LocalTime(host));
  };
  m_calls.push_back(
      {.m_host = index,
       .m_incarnation = m_hosts[index].m_incarnation,
       .m_arrive =
           [=, this] {
             *reply = m_store.Swap(
                 {.m_key = kClaimKey,
                  .m_expected_revision = effect.m_expected,
                  .m_value = effect.m_record ? std::optional(FormatClaimRecord(
                                                   *effect.m_record))
                                             : std::nullopt});
           },
       .m_reply =
           [=] {
             answer(reply->m_swapped ? WriteOutcome::kWritten
                                     : WriteOutcome::kConflict);
           },
       .m_fail = [=] { answer(WriteOutcome::kUnknown); }});
}

void ClaimSimulation::Run(std::size_t index,
                          const RequestTakeoverDeferral& effect) {
  const auto peer = IndexOf(effect.m_successor);
  const auto reply = std::make_shared<TakeoverDeferralReply>();
  const MonotonicTime sent_at = LocalTime(m_hosts[index]);
  m_calls.push_back(
      {.m_host = index,
       .m_peer = peer,
       .m_incarnation = m_hosts[index].m_incarnation,
       .m_arrive =
           [=, this] {
             Host& successor = m_hosts[*peer];
             *reply = successor.m_table->OnTakeoverDeferralRequest(
                 effect.m_claim, effect.m_fence, effect.m_successor_lease,
                 LocalTime(successor));
           },
       .m_reply =
           [=, this] {
             m_hosts[index].m_table->OnTakeoverDeferral(effect, sent_at,
                                                        *reply);
           },
       .m_fail = [] {}});
}

void ClaimSimulation::Run(std::size_t /*index*/, const ClaimHeld& effect) {
  ++m_changes;
  m_in_order = m_in_order && effect.m_fence > m_last_fence;
  if (effect.m_hand_over) {
    ++m_hand_overs;
    m_in_order = m_in_order && *effect.m_hand_over ==
                                   "state of " + std::to_string(m_last_fence);
  }
  m_last_fence = effect.m_fence;
}

void ClaimSimulation::Run(std::size_t /*index*/, const ClaimLost& /*effect*/) {}

void ClaimSimulation::Run(std::size_t index, const AnnounceClaim& effect) {
  for (std::size_t peer = 0; peer < m_hosts.size(); ++peer) {
    if (peer == index) {
      continue;
    }
    m_calls.push_back({.m_host = index,
                       .m_peer = peer,
                       .m_incarnation = m_hosts[index].m_incarnation,
                       .m_arrive =
                           [=, this] {
                             Host& host = m_hosts[peer];
                             host.m_table->OnAnnounced(effect, LocalTime(host));
                           },
                       .m_reply = [] {},
                       .m_fail = [] {}});
  }
}

void ClaimSimulation::Run(std::size_t index, const SendHandOver& effect) {
  const auto peer = IndexOf(effect.m_next);
  if (!peer) {
    return;
  }
  m_calls.push_back({.m_host = index,
                     .m_peer = peer,
                     .m_incarnation = m_hosts[index].m_incarnation,
                     .m_arrive =
                         [=, this] {
                           Host& host = m_hosts[*peer];
                           host.m_table->OnHandOver(
                               effect.m_claim, effect.m_fence, effect.m_payload,
                               LocalTime(host));
                         },
                     .m_reply = [] {},
                     .m_fail = [] {}});
}

void ClaimSimulation::Run(std::size_t index, const MoveClaim& effect) {
  Host& host = m_hosts[index];
  m_last_payload = "state of " + std::to_string(m_last_fence);
  host.m_table->Release(effect.m_claim, effect.m_next, m_last_payload,
                        LocalTime(host));
  RunEffects(index);
}

std::string ClaimSimulation::Describe() const {
  std::string text;
  for (const Host& host : m_hosts) {
    const auto fence = host.m_table->HeldFence(kClaim, LocalTime(host));
    text += host.m_id.value() + (host.m_running ? "" : "(paused)") + "=" +
            (fence ? std::to_string(*fence) : "-") + " ";
  }
  const auto item = m_store.Get(kClaimKey);
  return text + (item ? item->m_value : "no record");
}

}  // namespace hickoryloft::claims
