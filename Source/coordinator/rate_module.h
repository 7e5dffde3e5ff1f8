// The client accounts' rate shares that this host owns.

#ifndef SOURCE_COORDINATOR_RATE_MODULE_H_
#define SOURCE_COORDINATOR_RATE_MODULE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/module.h"
#include "limits/share_owner.h"
#include "limits/share_plan.h"

namespace hickoryloft::coordinator {

// Answers TokenDraw requests for the claims "rate/<account>/<slot>". Use on the
// loop's thread only.
class RateModule : public Module {
 public:
  // `core` must outlive the module.
  explicit RateModule(Core& core);

  std::string_view name() const override { return "rate"; }
  std::vector<ClaimName> WantedClaims() const override;
  bool ActsInOutage() const override { return true; }
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
  void OnDocumentsChanged() override;
  void OnMembersChanged() override {}
  void OnEntryConnected(
      const std::function<void(const wire::EnvelopeT&)>& send) override;
  void OnTick(MonotonicTime now) override;

 private:
  // Returns the limit of the whole account in the documents in force, or none
  // if no document has the account.
  std::optional<limits::RateLimit> LimitOf(const ClaimName& claim) const;
  void ReadLimits();

  Core& m_core;
  limits::SharedSlots m_share_plan{limits::kDefaultSlots};
  // The limits of the whole accounts, by the claims on their shares.
  std::map<ClaimName, limits::RateLimit> m_account_limits;
  std::map<ClaimName, std::unique_ptr<limits::ShareOwner>> m_share_owners;
  metrics::Counter& m_requests_answered;
  metrics::Counter& m_tokens_granted;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_RATE_MODULE_H_
