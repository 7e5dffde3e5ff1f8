// Hosts with entries and homes in virtual time, around the rate shares that the
// daemons link.

#ifndef SOURCE_TOOLS_LIMITS_BENCH_FLEET_SIMULATION_H_
#define SOURCE_TOOLS_LIMITS_BENCH_FLEET_SIMULATION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "limits/entry_bucket.h"
#include "limits/share_owner.h"
#include "limits/share_plan.h"
#include "limits/token_bucket.h"
#include "tools/limits_bench/event_queue.h"

namespace hickoryloft::tools {

struct FleetOptions {
  std::uint32_t m_hosts = 8;
  Duration m_one_way = microseconds(500);  // Of a message between hosts.
  // From the loss of a home until another host holds the share.
  Duration m_take_over = seconds(10);
  // During a planned hand-over nobody holds the share.
  Duration m_hand_over = milliseconds(50);
  limits::RateLimit m_limit{.m_tokens_per_second = 1000,
                            .m_burst_tokens = 5000};
  std::uint64_t m_seed = 1;
};

struct AccountCounts {
  std::uint64_t m_requests = 0;
  std::uint64_t m_refused = 0;
  // What one exact bucket refuses of the same requests.
  std::uint64_t m_exact_refused = 0;
  double m_exact_admitted_tokens = 0;
  std::uint64_t m_draws = 0;
  double m_admitted_tokens = 0;
  double m_lowest_level = 0;  // Of the exact bucket; below zero is a breach.
};

// One account's offered load: requests of about `m_request_tokens` with random
// gaps, of which a part is refunded later.
struct OfferedLoad {
  double m_tokens_per_second = 0;  // After refunds.
  std::uint64_t m_request_tokens = 100;
  double m_refunded_share = 0.25;
  Duration m_refund_after = milliseconds(500);
};

// Not thread-safe. The same options and calls give the same figures.
class FleetSimulation {
 public:
  // `plan` outlives the simulation.
  FleetSimulation(const limits::SharePlan& plan, const FleetOptions& options);
  ~FleetSimulation();

  EventQueue& queue() { return m_queue; }
  // Adds an account whose load arrives between `start` and `end`; returns its
  // number.
  std::size_t AddAccount(const OfferedLoad& load,
                         MonotonicTime start,
                         MonotonicTime end);

  // The host dies with its homes and its entry. Its shares are taken over
  // unless take-over is suspended.
  void Kill(std::uint32_t host);
  // The host passes its homes on and stops its entry.
  void Stop(std::uint32_t host);
  void Start(std::uint32_t host);
  // Without the key-value service no share changes hands. Homes go on.
  void SuspendTakeOver(bool suspended);

  // Returns a host that keeps a share of the account.
  std::uint32_t HomeOf(std::size_t account) const;

  // Clears the counts of all accounts; returns what they were.
  std::vector<AccountCounts> TakeCounts();

 private:
  struct Share;
  struct Account;

  void Arrive(std::size_t account);
  void AskExactBucket(std::size_t account, std::uint64_t tokens);
  void ScheduleArrival(std::size_t account);
  std::uint32_t PickHost();
  void Carry(std::size_t account,
             std::uint32_t host,
             const limits::EntryEffects& effects);
  void SendDraw(std::size_t account,
                std::uint32_t host,
                const limits::SlotRequest& order);
  void Finish(std::size_t account,
              std::uint32_t host,
              const limits::ReserveResult& result);
  void Tick(std::size_t account, std::uint32_t host);
  void Hold(std::size_t account,
            std::uint32_t slot,
            const std::optional<limits::ShareState>& state);
  void TakeOverLost();
  // A live host for the share, away from the other shares' hosts if possible.
  std::optional<std::uint32_t> HostFor(std::size_t account,
                                       std::uint32_t slot) const;

  const limits::SharePlan& m_plan;
  FleetOptions m_options;
  EventQueue m_queue;
  RandomEngine m_random;
  std::vector<bool> m_live;
  bool m_suspended = false;
  FencingNumber m_fence = 0;
  std::vector<std::unique_ptr<Account>> m_accounts;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LIMITS_BENCH_FLEET_SIMULATION_H_
