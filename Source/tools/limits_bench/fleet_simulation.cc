#include "tools/limits_bench/fleet_simulation.h"

#include <cmath>
#include <map>
#include <utility>

#include "base/hashing.h"

namespace hickoryloft::tools {

namespace {

// The longest time that an entry waits for tokens.
constexpr Duration kReserveLimit = seconds(1);
constexpr Duration kDrawTimeout = milliseconds(250);

}  // namespace

struct FleetSimulation::Share {
  std::unique_ptr<limits::ShareOwner> m_home;  // Null while there is none.
  std::uint32_t m_host = 0;
};

struct FleetSimulation::Account {
  struct Reservation {
    std::uint64_t m_tokens = 0;
  };

  Account(const OfferedLoad& load, const limits::RateLimit& limit)
      : m_load(load),
        m_exact(limit, MonotonicTime()),
        m_audit(limit, MonotonicTime()) {}

  std::string m_name;
  OfferedLoad m_load;
  MonotonicTime m_end{};
  limits::TokenBucket m_exact;  // Baseline: gets the same requests.
  limits::TokenBucket m_audit;  // Charged with admitted tokens.
  std::vector<Share> m_shares;
  std::vector<std::unique_ptr<limits::EntryBucket>> m_entries;  // By host.
  std::vector<bool> m_ticking;                                  // By host.
  std::map<std::uint64_t, Reservation> m_reservations;
  std::uint64_t m_next_id = 1;
  AccountCounts m_counts;
};

FleetSimulation::FleetSimulation(const limits::SharePlan& plan,
                                 const FleetOptions& options)
    : m_plan(plan),
      m_options(options),
      m_random(options.m_seed),
      m_live(options.m_hosts, true) {}

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
  account.m_ticking.assign(m_options.m_hosts, false);
  const limits::RateLimit share = m_plan.ShareOf(m_options.m_limit);
  for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
    Hold(number, slot, limits::ShareState{.m_level = share.m_burst_tokens});
  }
  m_queue.At(start, [this, number] { ScheduleArrival(number); });
  return number;
}

void FleetSimulation::ScheduleArrival(std::size_t number) {
  const Account& account = *m_accounts[number];
  const double kept = 1 - account.m_load.m_refunded_share;
  const double requests_per_second =
      account.m_load.m_tokens_per_second /
      (static_cast<double>(account.m_load.m_request_tokens) * kept);
  std::exponential_distribution<double> gap(requests_per_second);
  const Duration delay = FromSeconds(gap(m_random));
  if (m_queue.now() + delay < account.m_end) {
    m_queue.After(delay, [this, number] {
      Arrive(number);
      ScheduleArrival(number);
    });
  }
}

std::uint32_t FleetSimulation::PickHost() {
  std::uniform_int_distribution<std::uint32_t> any(0, m_options.m_hosts - 1);
  std::uint32_t host = any(m_random);
  while (!m_live[host]) {
    host = any(m_random);
  }
  return host;
}

void FleetSimulation::Arrive(std::size_t number) {
  Account& account = *m_accounts[number];
  const std::uint64_t mean = account.m_load.m_request_tokens;
  std::uniform_int_distribution<std::uint64_t> size(mean / 2, mean + mean / 2);
  const std::uint64_t tokens = size(m_random);
  const std::uint64_t id = account.m_next_id++;
  const MonotonicTime now = m_queue.now();
  ++account.m_counts.m_requests;
  account.m_reservations[id] = {.m_tokens = tokens};
  AskExactBucket(number, tokens);
  const std::uint32_t host = PickHost();
  Carry(number, host,
        account.m_entries[host]->Reserve(id, tokens, kReserveLimit, now));
}

void FleetSimulation::AskExactBucket(std::size_t number, std::uint64_t tokens) {
  Account& account = *m_accounts[number];
  const MonotonicTime now = m_queue.now();
  const auto wanted = static_cast<double>(tokens);
  if (account.m_exact.Level(now) < wanted) {
    ++account.m_counts.m_exact_refused;
    return;
  }
  account.m_exact.Take(wanted, now);
  account.m_counts.m_exact_admitted_tokens += wanted;
  const double unused = std::floor(wanted * account.m_load.m_refunded_share);
  m_queue.After(account.m_load.m_refund_after, [this, number, unused] {
    Account& of = *m_accounts[number];
    of.m_exact.PutBack(unused, m_queue.now());
    of.m_counts.m_exact_admitted_tokens -= unused;
  });
}

void FleetSimulation::Carry(std::size_t number,
                            std::uint32_t host,
                            const limits::EntryEffects& effects) {
  Account& account = *m_accounts[number];
  for (const limits::SlotRequest& order : effects.m_requests_to_send) {
    SendDraw(number, host, order);
  }
  for (const limits::ReserveResult& result : effects.m_results) {
    Finish(number, host, result);
  }
  if (account.m_entries[host]->busy() && !account.m_ticking[host]) {
    account.m_ticking[host] = true;
    m_queue.After(limits::EntryBucket::kTickInterval,
                  [this, number, host] { Tick(number, host); });
  }
}

void FleetSimulation::Tick(std::size_t number, std::uint32_t host) {
  Account& account = *m_accounts[number];
  account.m_ticking[host] = false;
  limits::EntryBucket& entry = *account.m_entries[host];
  Carry(number, host,
        m_live[host] ? entry.OnTick(m_queue.now())
                     : entry.ReturnAll(m_queue.now()));
}

void FleetSimulation::SendDraw(std::size_t number,
                               std::uint32_t host,
                               const limits::SlotRequest& order) {
  Account& account = *m_accounts[number];
  ++account.m_counts.m_draws;
  // The reply is dropped if the entry has been replaced by then.
  const limits::EntryBucket* sender = account.m_entries[host].get();
  const auto answer = [this, number, host, sender,
                       order](const std::optional<limits::TokenReply>& reply) {
    limits::EntryBucket& entry = *m_accounts[number]->m_entries[host];
    if (&entry != sender) {
      return;
    }
    Carry(number, host,
          reply ? entry.OnReply(order.m_slot, *reply, m_queue.now())
                : entry.OnFailure(order.m_slot, m_queue.now()));
  };
  m_queue.After(m_options.m_one_way, [this, number, order, answer] {
    Share& share = m_accounts[number]->m_shares[order.m_slot];
    if (share.m_home == nullptr) {
      m_queue.After(kDrawTimeout - m_options.m_one_way,
                    [answer] { answer(std::nullopt); });
      return;
    }
    const limits::TokenReply reply =
        share.m_home->GrantTokens(order.m_request, m_queue.now());
    m_queue.After(m_options.m_one_way, [answer, reply] { answer(reply); });
  });
}

void FleetSimulation::Finish(std::size_t number,
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
  account.m_audit.Take(tokens, now);
  account.m_counts.m_admitted_tokens += tokens;
  account.m_counts.m_lowest_level =
      std::min(account.m_counts.m_lowest_level, account.m_audit.Level(now));
  const auto unused =
      static_cast<std::uint64_t>(tokens * account.m_load.m_refunded_share);
  m_queue.After(account.m_load.m_refund_after, [this, number, host, unused] {
    Account& of = *m_accounts[number];
    of.m_audit.PutBack(static_cast<double>(unused), m_queue.now());
    of.m_counts.m_admitted_tokens -= static_cast<double>(unused);
    Carry(number, host, of.m_entries[host]->Refund(unused, m_queue.now()));
  });
}

std::optional<std::uint32_t> FleetSimulation::HostFor(
    std::size_t number,
    std::uint32_t slot) const {
  const Account& account = *m_accounts[number];
  std::optional<std::uint32_t> best;
  std::uint64_t best_rank = 0;
  for (std::uint32_t host = 0; host < m_options.m_hosts; ++host) {
    bool taken = !m_live[host];
    for (std::uint32_t other = 0; other < m_plan.Slots(); ++other) {
      const Share& share = account.m_shares[other];
      taken |= other != slot && share.m_home != nullptr &&
               share.m_host == host && m_plan.Slots() < m_options.m_hosts;
    }
    const std::uint64_t rank =
        StableHash(account.m_name + "/" + std::to_string(slot), host);
    if (!taken && (!best || rank > best_rank)) {
      best = host;
      best_rank = rank;
    }
  }
  return best;
}

void FleetSimulation::Hold(std::size_t number,
                           std::uint32_t slot,
                           const std::optional<limits::ShareState>& state) {
  const auto host = HostFor(number, slot);
  if (!host) {
    return;
  }
  Share& share = m_accounts[number]->m_shares[slot];
  // With one share per host, each share is assigned to the host whose entry
  // uses it, not to the selected host.
  share.m_host = m_plan.Slots() == m_options.m_hosts ? slot : *host;
  share.m_home = std::make_unique<limits::ShareOwner>(
      m_plan.ShareOf(m_options.m_limit),
      static_cast<std::uint64_t>(m_options.m_limit.m_burst_tokens), ++m_fence,
      m_queue.now(), state);
}

void FleetSimulation::Kill(std::uint32_t host) {
  m_live[host] = false;
  for (auto& account : m_accounts) {
    account->m_entries[host] = std::make_unique<limits::EntryBucket>(
        "entry-" + std::to_string(host) + "/" + std::to_string(++m_fence),
        m_plan.SlotsFor(host));
    for (Share& share : account->m_shares) {
      if (share.m_host == host) {
        share.m_home.reset();
      }
    }
  }
  m_queue.After(m_options.m_take_over, [this] { TakeOverLost(); });
}

void FleetSimulation::TakeOverLost() {
  if (m_suspended) {
    return;
  }
  for (std::size_t number = 0; number < m_accounts.size(); ++number) {
    for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
      const Share& share = m_accounts[number]->m_shares[slot];
      if (share.m_home == nullptr && !m_live[share.m_host]) {
        Hold(number, slot, std::nullopt);
      }
    }
  }
}

void FleetSimulation::SuspendTakeOver(bool suspended) {
  m_suspended = suspended;
  if (!suspended) {
    m_queue.After(m_options.m_take_over, [this] { TakeOverLost(); });
  }
}

void FleetSimulation::Stop(std::uint32_t host) {
  m_live[host] = false;
  for (std::size_t number = 0; number < m_accounts.size(); ++number) {
    Account& account = *m_accounts[number];
    Carry(number, host, account.m_entries[host]->ReturnAll(m_queue.now()));
    for (std::uint32_t slot = 0; slot < m_plan.Slots(); ++slot) {
      Share& share = account.m_shares[slot];
      if (share.m_home == nullptr || share.m_host != host) {
        continue;
      }
      const limits::ShareState state = share.m_home->Stop(m_queue.now());
      share.m_home.reset();
      m_queue.After(m_options.m_hand_over,
                    [this, number, slot, state] { Hold(number, slot, state); });
    }
  }
}

std::uint32_t FleetSimulation::HomeOf(std::size_t account) const {
  return m_accounts[account]->m_shares.front().m_host;
}

void FleetSimulation::Start(std::uint32_t host) {
  m_live[host] = true;
}

std::vector<AccountCounts> FleetSimulation::TakeCounts() {
  std::vector<AccountCounts> counts;
  for (auto& account : m_accounts) {
    counts.push_back(std::exchange(account->m_counts, AccountCounts()));
  }
  return counts;
}

}  // namespace hickoryloft::tools
