// Simulates hosts with entries and share owners in virtual time, using the rate
// share code of the daemons.

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
  Duration m_message_latency = microseconds(500);  // One way.
  // From the loss of a share owner until another host owns the share.
  Duration m_takeover_delay = seconds(10);
  // Time without an owner during a planned handover.
  Duration m_handover_delay = milliseconds(50);
  limits::RateLimit m_limit{.m_tokens_per_second = 1000,
                            .m_burst_tokens = 5000};
  std::uint64_t m_seed = 1;
};

struct AccountCounts {
  std::uint64_t m_requests = 0;
  std::uint64_t m_refused = 0;
  // Refused by a single exact token bucket that gets the same requests.
  std::uint64_t m_exact_refused = 0;
  double m_exact_admitted_tokens = 0;
  std::uint64_t m_token_requests = 0;
  double m_admitted_tokens = 0;
  // Lowest level of a bucket charged with all admitted tokens. Negative if the
  // limit was exceeded.
  double m_lowest_level = 0;
};

// Offered load of one account: requests with a mean size of `m_request_tokens`
// at random intervals. A share of their tokens is refunded later.
struct OfferedLoad {
  double m_tokens_per_second = 0;  // Net of refunds.
  std::uint64_t m_request_tokens = 100;
  double m_refunded_share = 0.25;
  Duration m_refund_delay = milliseconds(500);
};

// Deterministic: the same options and calls give the same counts. Not
// thread-safe.
class FleetSimulation {
 public:
  // `plan` must outlive this object.
  FleetSimulation(const limits::SharePlan& plan, const FleetOptions& options);
  ~FleetSimulation();

  EventQueue& queue() { return m_queue; }
  // Adds an account whose load arrives between `start` and `end`. Returns the
  // account's index.
  std::size_t AddAccount(const OfferedLoad& load,
                         MonotonicTime start,
                         MonotonicTime end);

  // Kills the host with its share owners and its entry. Its shares are taken
  // over by other hosts unless takeover is suspended.
  void Kill(std::uint32_t host);
  // Hands the host's shares over to other hosts and stops its entry.
  void Stop(std::uint32_t host);
  void Start(std::uint32_t host);
  // Starts or ends a simulated outage of the key-value service, during which
  // lost shares are not taken over. Running share owners continue.
  void SuspendTakeover(bool suspended);

  // Returns the host of the account's first share.
  std::uint32_t FirstShareHost(std::size_t account) const;

  // Returns the counts of all accounts and resets them.
  std::vector<AccountCounts> FetchAndResetCounts();

 private:
  struct Share;
  struct Account;

  void OnRequestArrival(std::size_t account);
  void ReserveFromExactBucket(std::size_t account, std::uint64_t tokens);
  void ScheduleArrival(std::size_t account);
  std::uint32_t PickHost();
  void ExecuteEffects(std::size_t account,
                      std::uint32_t host,
                      const limits::EntryEffects& effects);
  void SendTokenRequest(std::size_t account,
                        std::uint32_t host,
                        const limits::SlotRequest& slot_request);
  void OnReserveResult(std::size_t account,
                       std::uint32_t host,
                       const limits::ReserveResult& result);
  void Tick(std::size_t account, std::uint32_t host);
  void AssignShare(std::size_t account,
                   std::uint32_t slot,
                   const std::optional<limits::ShareState>& state);
  void TakeOverLostShares();
  // Returns a live host for the share, if any. It owns no other share of the
  // account when there are fewer shares than hosts.
  std::optional<std::uint32_t> SelectHost(std::size_t account,
                                          std::uint32_t slot) const;

  const limits::SharePlan& m_plan;
  FleetOptions m_options;
  EventQueue m_queue;
  RandomEngine m_random;
  std::vector<bool> m_host_alive;
  bool m_takeover_suspended = false;
  FencingNumber m_last_fence = 0;
  std::vector<std::unique_ptr<Account>> m_accounts;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LIMITS_BENCH_FLEET_SIMULATION_H_
