// The shards of the action ledger that this host holds.

#ifndef SOURCE_COORDINATOR_ACTION_MODULE_H_
#define SOURCE_COORDINATOR_ACTION_MODULE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "actions/action_ledger.h"
#include "coordinator/module.h"

namespace hickoryloft::coordinator {

// Answers ActionBegin and ActionFinish requests for the claims
// "actions/<shard>", and reads and writes the ledgers in the key-value service.
// Use on the loop's thread only.
class ActionModule : public Module {
 public:
  // `core` must outlive the module.
  explicit ActionModule(Core& core);
  ~ActionModule() override;

  std::string_view name() const override { return "actions"; }
  std::vector<ClaimName> WantedClaims() const override;
  bool ActsInOutage() const override { return false; }
  bool Ready() const override { return true; }
  std::optional<ClaimName> ClaimFor(
      const wire::EnvelopeT& request) const override;
  void HandleRequest(const ClaimName& claim,
                     wire::EnvelopeT request,
                     Responder respond) override;
  bool HandleNotice(const HostId& from, const wire::EnvelopeT& notice) override;
  void OnClaimHeld(const ClaimName& claim,
                   FencingNumber fence,
                   const std::optional<std::string>& hand_over) override;
  void OnClaimLost(const ClaimName& claim) override;
  std::string PrepareHandOver(const ClaimName& claim) override;
  bool HasOpenWork(const ClaimName& claim) const override;
  void OnDocumentsChanged() override {}
  void OnMembersChanged() override {}
  void OnEntryConnected(
      const std::function<void(const wire::EnvelopeT&)>& send) override;
  void OnTick(MonotonicTime now) override;

 private:
  struct Shard;
  using ShardRef = std::shared_ptr<Shard>;

  void HandleBegin(const ShardRef& shard,
                   wire::EnvelopeT request,
                   Responder respond);
  void HandleFinish(const ShardRef& shard,
                    wire::EnvelopeT request,
                    Responder respond);
  void ExecuteEffects(const ShardRef& shard,
                      const actions::LedgerEffects& effects);
  void ReadChain(const ShardRef& shard);
  void Create(const ShardRef& shard, const actions::CreateBatch& create);
  void Delete(const ShardRef& shard, const actions::DeleteBatch& remove);
  void SendReplies(const ShardRef& shard,
                   const actions::LedgerEffects& effects);
  // Runs `step` on the shard's ledger and executes the effects that it returns.
  // Does nothing if the claim has been lost meanwhile.
  template <typename Step>
  void RunOnLedger(const std::weak_ptr<Shard>& weak, Step step);

  Core& m_core;
  std::map<ClaimName, ShardRef> m_shards;
  std::uint64_t m_next_token = 1;
  metrics::Counter& m_batch_writes;
  metrics::Counter& m_started_actions;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_ACTION_MODULE_H_
