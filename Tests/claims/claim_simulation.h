// Simulates a fleet of claim tables that share one key-value service, with
// clock drift, lost, delayed and timed-out calls, pauses, crashes and network
// partitions.

#ifndef TESTS_CLAIMS_CLAIM_SIMULATION_H_
#define TESTS_CLAIMS_CLAIM_SIMULATION_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "claims/claim_table.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::claims {

// Network conditions for calls and messages: probabilities in percent per step.
struct NetworkConditions {
  unsigned m_arrive = 100;  // A request arrives.
  unsigned m_answer = 100;  // The reply to a request that arrived is delivered.
  unsigned m_lose = 0;      // A request or a reply is lost.
  unsigned m_give_up = 0;   // The caller times out; the request may arrive.
};

class ClaimSimulation {
 public:
  ClaimSimulation(std::size_t hosts, bool acts_in_outage);

  // Advances time by kStep. Each running host renews its leases and ticks by
  // its own clock; then calls in flight proceed.
  void Step(const NetworkConditions& network, RandomEngine& random);
  void Pause(std::size_t host);
  void Resume(std::size_t host);
  // Starts the host anew, with a new incarnation and without its state.
  void Restart(std::size_t host);
  void PartitionFromService(std::size_t host, bool partitioned);
  void SetServiceUp(bool up) { m_service_up = up; }
  void PartitionFromPeers(std::size_t host, bool partitioned);
  void Release(std::size_t host);
  // Ends all faults and advances time far enough for any takeover.
  void Heal(RandomEngine& random);

  // Returns the number of hosts that hold the claim at this instant.
  std::size_t Holders() const;
  // Whether each new holder got a larger fencing number than all before it,
  // and each handed-over state came from the previous holder.
  bool InOrder() const { return m_in_order; }
  std::size_t HandOvers() const { return m_hand_overs; }
  std::size_t Changes() const { return m_changes; }
  std::string Describe() const;

  static constexpr char kClaim[] = "placement/0";
  static constexpr Duration kStep = milliseconds(250);

 private:
  struct Host {
    HostId m_id;
    Incarnation m_incarnation = 0;
    double m_rate = 1;  // Local clock seconds per simulated second.
    bool m_running = true;
    bool m_partitioned_from_service = false;
    bool m_partitioned_from_peers = false;
    std::unique_ptr<ClaimTable> m_table;
    keyvalue::LeaseId m_short = 0;
    keyvalue::LeaseId m_long = 0;
    Revision m_member_revision = 0;
    bool m_calling = false;
    MonotonicTime m_renew_at{};
    MonotonicTime m_view_at{};
  };
  struct Call {
    std::size_t m_host = 0;
    std::optional<std::size_t> m_peer;  // Absent: the key-value service.
    Incarnation m_incarnation = 0;
    std::function<void()> m_arrive;  // Runs at the callee.
    std::function<void()> m_reply;   // Runs at the caller when a reply arrives.
    std::function<void()> m_fail;    // Runs at the caller if none arrives.
    bool m_arrived = false;
    bool m_given_up = false;
  };

  MonotonicTime LocalTime(const Host& host) const;
  void Start(std::size_t index);
  void StepHost(std::size_t index);
  bool AdvanceCall(Call& call,
                   const NetworkConditions& network,
                   RandomEngine& random);
  void Fail(const Call& call);
  void RenewLeases(std::size_t index);
  void Register(std::size_t index, MonotonicTime sent_at);
  void ReadView(std::size_t index);
  void RunEffects(std::size_t index);
  void Run(std::size_t index, const ReadEvidence& effect);
  void Run(std::size_t index, const WriteClaim& effect);
  void Run(std::size_t index, const RequestTakeoverDeferral& effect);
  void Run(std::size_t index, const ClaimHeld& effect);
  void Run(std::size_t index, const ClaimLost& effect);
  void Run(std::size_t index, const AnnounceClaim& effect);
  void Run(std::size_t index, const SendHandOver& effect);
  void Run(std::size_t index, const MoveClaim& effect);
  std::optional<std::size_t> IndexOf(const HostId& id) const;
  bool Reachable(const Call& call) const;
  bool CallerAlive(const Call& call) const;

  bool m_acts_in_outage;
  ClaimSettings m_settings;
  MonotonicTime m_now{std::chrono::hours(1)};
  keyvalue::MemoryStore m_store;
  bool m_service_up = true;
  std::vector<Host> m_hosts;
  std::list<Call> m_calls;
  Incarnation m_last_incarnation = 0;
  FencingNumber m_last_fence = 0;
  std::string m_last_payload;
  bool m_in_order = true;
  std::size_t m_hand_overs = 0;
  std::size_t m_changes = 0;
};

}  // namespace hickoryloft::claims

#endif  // TESTS_CLAIMS_CLAIM_SIMULATION_H_
