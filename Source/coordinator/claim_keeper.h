// Runs the effects of the claim table: calls to the key-value service,
// messages to peers and callbacks to the coordinator.

#ifndef SOURCE_COORDINATOR_CLAIM_KEEPER_H_
#define SOURCE_COORDINATOR_CLAIM_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/log.h"
#include "claims/claim_table.h"
#include "coordinator/member_view.h"
#include "coordinator/peer_mesh.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

// Use on the loop's thread only.
class ClaimKeeper {
 public:
  struct Callbacks {
    std::function<void(const claims::ClaimHeld&)> m_held;
    std::function<void(const claims::ClaimLost&)> m_lost;
    // Another host is preferred; call Release() if the claim may be handed
    // over now.
    std::function<void(const claims::MoveClaim&)> m_move;
  };

  // Everything passed by reference must outlive the keeper.
  ClaimKeeper(EventLoop& loop,
              keyvalue::KeyValueService& key_values,
              PeerMesh& peers,
              const Member& self,
              claims::ClaimSettings settings,
              Callbacks callbacks);

  // Starts to read the stored claim records and to update the claim table at a
  // fixed short interval.
  void Start();

  const claims::ClaimTable& table() const { return m_table; }

  void OnMembersChanged(const MemberView& view);
  void SetWanted(const std::vector<claims::WantedClaim>& claims);
  void OnShortLease(keyvalue::LeaseId lease, MonotonicTime sent_at);
  void OnShortLeaseLost();
  void OnLongLease(keyvalue::LeaseId lease, MonotonicTime sent_at);
  void OnLongLeaseLost();
  // Announces the claims that this host holds to a newly connected coordinator.
  void OnPeerConnected(const HostId& host);

  // Handles a holder's request that this host, its successor, defer its
  // takeover.
  void OnPromiseRequest(const wire::PromiseRequestT& request,
                        const Responder& respond);
  void OnNotice(const wire::ClaimNoticeT& notice);
  void OnHandOver(const wire::HandOverT& hand_over);

  void StopAcquiring() { m_table.StopAcquiring(); }
  // Releases the claim, then sends `payload` to `next` unless `next` is empty.
  void Release(const claims::ClaimName& claim,
               const HostId& next,
               std::string payload);

 private:
  void LoadClaimRecords();
  void Tick();
  void RunEffects();

  void RunEffect(const claims::ReadEvidence& effect);
  void RunEffect(const claims::WriteClaim& effect);
  void RunEffect(const claims::RequestTakeoverDeferral& effect);
  void RunEffect(const claims::ClaimHeld& effect);
  void RunEffect(const claims::ClaimLost& effect);
  void RunEffect(const claims::AnnounceClaim& effect);
  void RunEffect(const claims::SendHandOver& effect);
  void RunEffect(const claims::MoveClaim& effect);

  void OnClaimRead(const claims::ClaimName& claim,
                   const Result<keyvalue::ReadReply>& result);
  void ReadSuccessorLease(const claims::ClaimName& claim,
                          const claims::ClaimEvidence& evidence);
  void ReportEvidence(const claims::ClaimName& claim,
                      const std::optional<claims::ClaimEvidence>& evidence);

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_key_values;
  PeerMesh& m_peers;
  Member m_self;
  Callbacks m_callbacks;
  Logger m_log{"claims"};
  claims::ClaimTable m_table;
  bool m_running_effects = false;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_load_retry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_CLAIM_KEEPER_H_
