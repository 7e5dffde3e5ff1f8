// A fleet of claim tables around one key-value service, with clock drift, lost,
// late and timed-out calls, pauses, crashes and cuts.

#ifndef TESTS_CLAIMS_CLAIM_WORLD_H_
#define TESTS_CLAIMS_CLAIM_WORLD_H_

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

// How calls and messages fare, as chances out of 100 in each step.
struct Weather {
  unsigned m_arrive = 100;  // A request arrives.
  unsigned m_answer = 100;  // The reply to an arrived request comes back.
  unsigned m_lose = 0;      // A request or a reply is lost.
  unsigned m_give_up = 0;   // The caller gives up; the request may arrive.
};

class ClaimWorld {
 public:
  ClaimWorld(std::size_t hosts, bool acts_in_outage);

  // Lets a step of time pass: every host that runs renews, ticks and moves
  // its calls, on its own clock.
  void Step(const Weather& weather, RandomEngine& random);
  void Pause(std::size_t host);
  void Resume(std::size_t host);
  // A new run of the host with nothing kept.
  void Restart(std::size_t host);
  void CutFromService(std::size_t host, bool cut);
  void SetServiceUp(bool up) { m_service_up = up; }
  void CutPeers(std::size_t host, bool cut);
  void Release(std::size_t host);
  // Ends all faults and lets enough time pass for any takeover.
  void Heal(RandomEngine& random);

  // Returns how many hosts hold the claim at this instant.
  std::size_t Holders() const;
  // Whether each new holder got a larger fencing number than all before, and
  // the state handed over came from the last holder.
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
    double m_rate = 1;  // Of its clock.
    bool m_running = true;
    bool m_cut_from_service = false;
    bool m_cut_from_peers = false;
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
    std::optional<std::size_t> m_peer;  // Absent: to the service.
    Incarnation m_incarnation = 0;
    std::function<void()> m_arrive;  // At the callee.
    std::function<void()> m_reply;   // At the caller, after the callee.
    std::function<void()> m_fail;    // At the caller, without an answer.
    bool m_arrived = false;
    bool m_given_up = false;
  };

  MonotonicTime LocalTime(const Host& host) const;
  void Start(std::size_t index);
  void StepHost(std::size_t index);
  bool Move(Call& call, const Weather& weather, RandomEngine& random);
  void Fail(const Call& call);
  void RenewLeases(std::size_t index);
  void Register(std::size_t index, MonotonicTime sent_at);
  void ReadView(std::size_t index);
  void RunEffects(std::size_t index);
  void Run(std::size_t index, const ReadEvidence& effect);
  void Run(std::size_t index, const WriteClaim& effect);
  void Run(std::size_t index, const RequestPromise& effect);
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

#endif  // TESTS_CLAIMS_CLAIM_WORLD_H_
