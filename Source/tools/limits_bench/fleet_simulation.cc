#include "tools/limits_bench/fleet_simulation.h"

#include <cmath>
#include <map>
#include <utility>

#include "base/hashing.h"

namespace hickoryloft::tools {

namespace {

// The longest time that an entry waits for tokens.
constexpr Duration kReserveTimeLimit = seconds(1);
constexpr Duration kTokenRequestTimeout = milliseconds(250);

}  // namespace

struct FleetSimulation::Share {
  std::unique_ptr<limits::ShareOwner> m_owner;  // Null while there is none.
  std::uint32_t m_host = 0;
};

struct FleetSimulation::Account {
  struct Reservation {
    std::uint64_t m_tokens = 0;
  };

  Account(const OfferedLoad& load, const limits::RateLimit& limit)
      : m_load(load),
        m_exact_bucket(limit, MonotonicTime()),
        m_audit_bucket(limit, MonotonicTime()) {}

  std::string m_name;
  OfferedLoad m_load;
  MonotonicTime m_end{};
  limits::TokenBucket m_exact_bucket;  // Baseline: gets the same requests.
  limits::TokenBucket m_audit_bucket;  // Charged with admitted tokens.
  std::vector<Share> m_shares;
  std::vector<std::unique_ptr<limits::EntryBucket>> m_entries;  // By host.
  std::vector<bool> m_tick_scheduled;                           // By host.
  std::map<std::uint64_t, Reservation> m_reservations;
  std::uint64_t m_next_id = 1;
  AccountCounts m_counts;
};

FleetSimulation::FleetSimulation(const limits::SharePlan& plan,
                                 const FleetOptions& options)
    : m_plan(plan),
      m_options(options),
      m_random(options.m_seed),
      m_host_alive(options.m_hosts, true) {}

FleetSimulation::~FleetSimulation() = default;

std::size_t FleetSimulation::AddAccount(const OfferedLoad& load,
                                        MonotonicTime start,
                                        MonotonicTime end) {
  const std::size_t number = m_accounts.size();
  m_accounts.push_back(std::make_unique<Account>(load, m_options.m_limit));
  Account& account = *m_accounts.back();
  account.m_name = "account-" + std::to_string(number);
  account.m_end = end;
  account.m_shares.resize(m_plan.Slots());
  for (std::uint32_t host = 0; host < m_options.m_hosts; ++host) {
    account.m_entries.push_back(std::make_unique<limits::EntryBucket>(
        "entry-" + std::to_string(host), m_plan.SlotsFor(host)));
  }
  account.m_tick_scheduled.assign(m_options.m_hosts, false);
  const limits::RateLimit share = m_plan.ShareOf(m_options.m_limit);
  for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
    AssignShare(number, slot,
                limits::ShareState{.m_level = share.m_burst_tokens});
  }
  m_queue.RunAt(start, [this, number] { ScheduleArrival(number); });
  return number;
}

void FleetSimulation::ScheduleArrival(std::size_t number) {
  const Account& account = *m_accounts[number];
  const double kept_share = 1 - account.m_load.m_refunded_share;
  const double requests_per_second =
      account.m_load.m_tokens_per_second /
      (static_cast<double>(account.m_load.m_request_tokens) * kept_share);
  std::exponential_distribution<double> gap(requests_per_second);
  const Duration delay = FromSeconds(gap(m_random));
  if (m_queue.now() + delay < account.m_end) {
    m_queue.RunAfter(delay, [this, number] {
      OnRequestArrival(number);
      ScheduleArrival(number);
    });
  }
}

std::uint32_t FleetSimulation::PickHost() {
  std::uniform_int_distribution<std::uint32_t> any_host(0,
                                                        m_options.m_hosts - 1);
  std::uint32_t host = any_host(m_random);
  while (!m_host_alive[host]) {
    host = any_host(m_random);
  }
  return host;
}

void FleetSimulation::OnRequestArrival(std::size_t number) {
  Account& account = *m_accounts[number];
  const std::uint64_t mean = account.m_load.m_request_tokens;
  std::uniform_int_distribution<std::uint64_t> size(mean / 2, mean + mean / 2);
  const std::uint64_t tokens = size(m_random);
  const std::uint64_t id = account.m_next_id++;
  const MonotonicTime now = m_queue.now();
  ++account.m_counts.m_requests;
  account.m_reservations[id] = {.m_tokens = tokens};
  ReserveFromExactBucket(number, tokens);
  const std::uint32_t host = PickHost();
  ExecuteEffects(
      number, host,
      account.m_entries[host]->Reserve(id, tokens, kReserveTimeLimit, now));
}

void FleetSimulation::ReserveFromExactBucket(std::size_t number,
                                             std::uint64_t tokens) {
  Account& account = *m_accounts[number];
  const MonotonicTime now = m_queue.now();
  const auto wanted = static_cast<double>(tokens);
  if (account.m_exact_bucket.Level(now) < wanted) {
    ++account.m_counts.m_exact_refused;
    return;
  }
  account.m_exact_bucket.Take(wanted, now);
  account.m_counts.m_exact_admitted_tokens += wanted;
  const double unused = std::floor(wanted * account.m_load.m_refunded_share);
  m_queue.RunAfter(account.m_load.m_refund_delay, [this, number, unused] {
    Account& refunded_account = *m_accounts[number];
    refunded_account.m_exact_bucket.PutBack(unused, m_queue.now());
    refunded_account.m_counts.m_exact_admitted_tokens -= unused;
  });
}

void FleetSimulation::ExecuteEffects(std::size_t number,
                                     std::uint32_t host,
                                     const limits::EntryEffects& effects) {
  Account& account = *m_accounts[number];
  for (const limits::SlotRequest& slot_request : effects.m_requests_to_send) {
    SendTokenRequest(number, host, slot_request);
  }
  for (const limits::ReserveResult& result : effects.m_results) {
    OnReserveResult(number, host, result);
  }
  if (account.m_entries[host]->busy() && !account.m_tick_scheduled[host]) {
    account.m_tick_scheduled[host] = true;
    m_queue.RunAfter(limits::EntryBucket::kTickInterval,
                     [this, number, host] { Tick(number, host); });
  }
}

void FleetSimulation::Tick(std::size_t number, std::uint32_t host) {
  Account& account = *m_accounts[number];
  account.m_tick_scheduled[host] = false;
  limits::EntryBucket& entry = *account.m_entries[host];
  ExecuteEffects(number, host,
                 m_host_alive[host] ? entry.OnTick(m_queue.now())
                                    : entry.ReturnAll(m_queue.now()));
}

void FleetSimulation::SendTokenRequest(
    std::size_t number,
    std::uint32_t host,
    const limits::SlotRequest& slot_request) {
  Account& account = *m_accounts[number];
  ++account.m_counts.m_token_requests;
  // The reply is dropped if the entry has been replaced by then.
  const limits::EntryBucket* sender = account.m_entries[host].get();
  const auto on_reply = [this, number, host, sender, slot_request](
                            const std::optional<limits::TokenReply>& reply) {
    limits::EntryBucket& entry = *m_accounts[number]->m_entries[host];
    if (&entry != sender) {
      return;
    }
    ExecuteEffects(
        number, host,
        reply ? entry.OnReply(slot_request.m_slot, *reply, m_queue.now())
              : entry.OnFailure(slot_request.m_slot, m_queue.now()));
  };
  m_queue.RunAfter(
      m_options.m_message_latency, [this, number, slot_request, on_reply] {
        Share& share = m_accounts[number]->m_shares[slot_request.m_slot];
        if (share.m_owner == nullptr) {
          m_queue.RunAfter(kTokenRequestTimeout - m_options.m_message_latency,
                           [on_reply] { on_reply(std::nullopt); });
          return;
        }
        const limits::TokenReply reply =
            share.m_owner->GrantTokens(slot_request.m_request, m_queue.now());
        m_queue.RunAfter(m_options.m_message_latency,
                         [on_reply, reply] { on_reply(reply); });
      });
}

void FleetSimulation::OnReserveResult(std::size_t number,
                                      std::uint32_t host,
                                      const limits::ReserveResult& result) {
  Account& account = *m_accounts[number];
  const auto found = account.m_reservations.find(result.m_id);
  const Account::Reservation reservation = found->second;
  account.m_reservations.erase(found);
  const MonotonicTime now = m_queue.now();
  if (result.m_verdict != limits::ReserveVerdict::kAdmitted) {
    ++account.m_counts.m_refused;
    return;
  }
  const auto tokens = static_cast<double>(reservation.m_tokens);
  account.m_audit_bucket.Take(tokens, now);
  account.m_counts.m_admitted_tokens += tokens;
  account.m_counts.m_lowest_level = std::min(account.m_counts.m_lowest_level,
                                             account.m_audit_bucket.Level(now));
  const auto unused =
      static_cast<std::uint64_t>(tokens * account.m_load.m_refunded_share);
  m_queue.RunAfter(account.m_load.m_refund_delay, [this, number, host, unused] {
    Account& refunded_account = *m_accounts[number];
    refunded_account.m_audit_bucket.PutBack(static_cast<double>(unused),
                                            m_queue.now());
    refunded_account.m_counts.m_admitted_tokens -= static_cast<double>(unused);
    ExecuteEffects(
        number, host,
        refunded_account.m_entries[host]->Refund(unused, m_queue.now()));
  });
}

std::optional<std::uint32_t> FleetSimulation::SelectHost(
    std::size_t number,
    std::uint32_t slot) const {
  const Account& account = *m_accounts[number];
  std::optional<std::uint32_t> best;
  std::uint64_t best_rank = 0;
  for (std::uint32_t host = 0; host < m_options.m_hosts; ++host) {
    bool excluded = !m_host_alive[host];
    for (std::uint32_t other = 0; other < m_plan.Slots(); ++other) {
      const Share& share = account.m_shares[other];
      excluded |= other != slot && share.m_owner != nullptr &&
                  share.m_host == host && m_plan.Slots() < m_options.m_hosts;
    }
    const std::uint64_t rank =
        StableHash(account.m_name + "/" + std::to_string(slot), host);
    if (!excluded && (!best || rank > best_rank)) {
      best = host;
      best_rank = rank;
    }
  }
  return best;
}

void FleetSimulation::AssignShare(
    std::size_t number,
    std::uint32_t slot,
    const std::optional<limits::ShareState>& state) {
  const auto host = SelectHost(number, slot);
  if (!host) {
    return;
  }
  Share& share = m_accounts[number]->m_shares[slot];
  // With one share per host, each share is assigned to the host whose entry
  // uses it, not to the selected host.
  share.m_host = m_plan.Slots() == m_options.m_hosts ? slot : *host;
  share.m_owner = std::make_unique<limits::ShareOwner>(
      m_plan.ShareOf(m_options.m_limit),
      static_cast<std::uint64_t>(m_options.m_limit.m_burst_tokens),
      ++m_last_fence, m_queue.now(), state);
}

void FleetSimulation::Kill(std::uint32_t host) {
  m_host_alive[host] = false;
  for (auto& account : m_accounts) {
    account->m_entries[host] = std::make_unique<limits::EntryBucket>(
        "entry-" + std::to_string(host) + "/" + std::to_string(++m_last_fence),
        m_plan.SlotsFor(host));
    for (Share& share : account->m_shares) {
      if (share.m_host == host) {
        share.m_owner.reset();
      }
    }
  }
  m_queue.RunAfter(m_options.m_takeover_delay,
                   [this] { TakeOverLostShares(); });
}

void FleetSimulation::TakeOverLostShares() {
  if (m_takeover_suspended) {
    return;
  }
  for (std::size_t number = 0; number < m_accounts.size(); ++number) {
    for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
      const Share& share = m_accounts[number]->m_shares[slot];
      if (share.m_owner == nullptr && !m_host_alive[share.m_host]) {
        AssignShare(number, slot, std::nullopt);
      }
    }
  }
}

void FleetSimulation::SuspendTakeover(bool suspended) {
  m_takeover_suspended = suspended;
  if (!suspended) {
    m_queue.RunAfter(m_options.m_takeover_delay,
                     [this] { TakeOverLostShares(); });
  }
}

void FleetSimulation::Stop(std::uint32_t host) {
  m_host_alive[host] = false;
  for (std::size_t number = 0; number < m_accounts.size(); ++number) {
    Account& account = *m_accounts[number];
    ExecuteEffects(number, host,
                   account.m_entries[host]->ReturnAll(m_queue.now()));
    for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
      Share& share = account.m_shares[slot];
      if (share.m_owner == nullptr || share.m_host != host) {
        continue;
      }
      const limits::ShareState state = share.m_owner->Stop(m_queue.now());
      share.m_owner.reset();
      m_queue.RunAfter(m_options.m_handover_delay, [this, number, slot, state] {
        AssignShare(number, slot, state);
      });
    }
  }
}

std::uint32_t FleetSimulation::FirstShareHost(std::size_t account) const {
  return m_accounts[account]->m_shares.front().m_host;
}

void FleetSimulation::Start(std::uint32_t host) {
  m_host_alive[host] = true;
}

std::vector<AccountCounts> FleetSimulation::FetchAndResetCounts() {
  std::vector<AccountCounts> counts;
  for (auto& account : m_accounts) {
    counts.push_back(std::exchange(account->m_counts, AccountCounts()));
  }
  return counts;
}

}  // namespace hickoryloft::tools
