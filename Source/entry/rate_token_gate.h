// Admission by the rate shares that the coordinators own.

#ifndef SOURCE_ENTRY_RATE_TOKEN_GATE_H_
#define SOURCE_ENTRY_RATE_TOKEN_GATE_H_

#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "entry/coordinator_link.h"
#include "entry/token_gate.h"
#include "limits/entry_bucket.h"
#include "limits/share_plan.h"

namespace hickoryloft::entry {

// Requests tokens through the coordinator of this host. Use on the loop's
// thread only; `loop` and `link` outlive the gate.
class RateTokenGate : public TokenGate {
 public:
  // `host` is this entry's host. Precondition: the callbacks given to Reserve()
  // do not destroy the gate.
  RateTokenGate(EventLoop& loop, CoordinatorLink& link, const HostId& host);

  void Reserve(const ClientAccountId& account,
               std::uint64_t tokens,
               Duration limit,
               std::function<void(Result<TokenDecision>)> callback) override;
  void Refund(const ClientAccountId& account, std::uint64_t tokens) override;
  void ReturnAll() override;

  // Returns whether reservations wait, tokens are held or reports are due. A
  // planned stop waits until this is false, for at most a second.
  bool busy() const;

 private:
  using Callback = std::function<void(Result<TokenDecision>)>;

  limits::EntryBucket& BucketOf(const ClientAccountId& account);
  void ApplyEffects(const ClientAccountId& account,
                    const limits::EntryEffects& effects);
  void SendTokenRequest(const ClientAccountId& account,
                        const limits::SlotRequest& slot_request);
  void Tick();
  // Runs the timer while a bucket is busy, and stops it otherwise.
  void UpdateTimer();

  EventLoop& m_loop;
  CoordinatorLink& m_link;
  std::string m_entry_name;  // Unique name of this run in token requests.
  limits::SharedSlots m_plan{limits::kDefaultSlots};
  std::uint32_t m_entry_hash;
  bool m_stopping = false;
  std::map<ClientAccountId, limits::EntryBucket> m_buckets;
  std::uint64_t m_next_id = 1;
  std::map<std::uint64_t, Callback> m_callbacks;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_RATE_TOKEN_GATE_H_
