// The core of the coordinator: connects members, claims, documents, peers and
// modules.

#ifndef SOURCE_COORDINATOR_COORDINATOR_H_
#define SOURCE_COORDINATOR_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordinator/claim_keeper.h"
#include "coordinator/document_keeper.h"
#include "coordinator/document_writer.h"
#include "coordinator/lease_keeper.h"
#include "coordinator/membership.h"
#include "coordinator/metered_key_values.h"
#include "coordinator/module.h"
#include "coordinator/peer_mesh.h"

namespace hickoryloft::coordinator {

struct CoordinatorSettings {
  Member m_self;  // m_port 0: any free port.
  LeaseSettings m_leases;
  claims::ClaimSettings m_claims;
  DocumentSettings m_documents;
  Duration m_stop_limit{};
};

// Use on the loop's thread only.
class Coordinator : public Core {
 public:
  // Listens for peers and entries. Throws Error(kIo) if it cannot. `loop` and
  // `key_values` must outlive the coordinator.
  Coordinator(EventLoop& loop,
              keyvalue::KeyValueService& key_values,
              const CoordinatorSettings& settings);
  ~Coordinator() override;

  // Sets the modules; call once, before Start().
  void SetModules(std::vector<std::unique_ptr<Module>> modules);
  void Start();

  // Begins a planned stop: hands over all claims, revokes the leases, then
  // calls `stopped`. After a second call, it no longer waits for open work or
  // releases.
  void Stop(std::function<void()> stopped);

  // Changes a document; see WriteDocument().
  void Write(DocumentWrite write, std::function<void(const WriteReport&)> done);

  // Returns whether this host may serve requests now.
  bool Ready() const;
  // Returns for how long this host may serve without another proof that its
  // documents are the newest; zero if not at all.
  Duration RemainingServingTime(MonotonicTime now) const;
  bool leaving() const { return m_stopping; }
  const DocumentKeeper& documents() const { return m_documents; }
  const claims::ClaimTable& claims() const { return m_claims.table(); }
  const std::vector<std::unique_ptr<Module>>& modules() const {
    return m_modules;
  }
  // Updates the gauges and byte counters; call before reading them.
  void UpdateMetrics();

  // Core:
  EventLoop& Loop() override { return m_loop; }
  MonotonicTime Now() const override { return m_loop.Now(); }
  keyvalue::KeyValueService& KeyValues() override { return m_key_values; }
  metrics::Registry& Metrics() override { return m_registry; }
  const Member& Self() const override { return m_self; }
  const std::vector<Member>& Members() const override {
    return m_membership.view().members();
  }
  const std::vector<documents::Document>& Documents() const override {
    return m_documents.table().documents();
  }
  std::optional<FencingNumber> HeldFence(const ClaimName& claim) const override;
  std::optional<HostId> Holder(const ClaimName& claim) const override;
  void NotifyHost(const HostId& host, wire::EnvelopeT notice) override;
  void NotifyAllHosts(const wire::EnvelopeT& notice) override;
  void NotifyEntries(const wire::EnvelopeT& notice) override;
  void RequestFromHolder(
      const ClaimName& claim,
      wire::EnvelopeT request,
      Duration timeout,
      std::function<void(Result<wire::EnvelopeT>)> callback) override;

 private:
  // The handler of one type of message from a peer.
  struct PeerHandler {
    wire::Body m_type;
    void (Coordinator::*m_handle)(const HostId& from,
                                  const wire::EnvelopeT& envelope,
                                  const Responder& respond);
  };
  static const PeerHandler kPeerHandlers[];

  void OnPeerMessage(const HostId& from,
                     wire::EnvelopeT envelope,
                     const Responder& respond);
  void OnHeartbeat(const HostId& from,
                   const wire::EnvelopeT& envelope,
                   const Responder& respond);
  void OnFreshnessQuery(const HostId& from,
                        const wire::EnvelopeT& envelope,
                        const Responder& respond);
  void OnDocumentQuery(const HostId& from,
                       const wire::EnvelopeT& envelope,
                       const Responder& respond);
  void OnAckQuery(const HostId& from,
                  const wire::EnvelopeT& envelope,
                  const Responder& respond);
  void OnMembersQuery(const HostId& from,
                      const wire::EnvelopeT& envelope,
                      const Responder& respond);
  void OnMembersUpdate(const HostId& from,
                       const wire::EnvelopeT& envelope,
                       const Responder& respond);
  void OnPromiseRequest(const HostId& from,
                        const wire::EnvelopeT& envelope,
                        const Responder& respond);
  void OnClaimNotice(const HostId& from,
                     const wire::EnvelopeT& envelope,
                     const Responder& respond);
  void OnHandOver(const HostId& from,
                  const wire::EnvelopeT& envelope,
                  const Responder& respond);

  void OnEntryMessage(EntryId entry,
                      wire::EnvelopeT envelope,
                      const Responder& respond);
  void OnServingQuery(EntryId entry, const Responder& respond);
  void OnEntryConnected(EntryId entry);
  // Answers a request of an entry, or forwards it to the host that holds the
  // claim.
  void RouteToHolder(wire::EnvelopeT envelope, const Responder& respond);
  // Passes `envelope` to the claim's module. Returns false if this host does
  // not hold `claim`.
  bool HandleLocally(const ClaimName& claim,
                     wire::EnvelopeT envelope,
                     const Responder& respond);
  // Returns the claim and the module that are responsible for `request`; the
  // module is null if there is none.
  std::pair<ClaimName, Module*> FindModule(
      const wire::EnvelopeT& request) const;

  void OnMembersChanged(const MemberChange& change);
  void ForwardToDomain(const MemberChange& change);
  void QueryMembers(const HostId& host);
  void OnDocumentsApplied(
      const std::vector<documents::AppliedDocument>& changes);
  void UpdateWantedClaims();
  void OnClaimHeld(const claims::ClaimHeld& held);
  void OnClaimLost(const claims::ClaimLost& lost);
  void OnMoveClaim(const claims::MoveClaim& move);
  void Tick();
  void ContinueStop();

  PeerMesh::Callbacks PeerCallbacks();
  LeaseKeeper::Callbacks LeaseCallbacks();
  ClaimKeeper::Callbacks ClaimCallbacks();

  EventLoop& m_loop;
  metrics::Registry m_registry;
  MeteredKeyValues m_key_values;
  Member m_self;
  Duration m_stop_limit;
  Logger m_log{"coordinator"};
  PeerMesh m_peers;
  Membership m_membership;
  LeaseKeeper m_leases;
  DocumentKeeper m_documents;
  ClaimKeeper m_claims;
  std::vector<std::unique_ptr<Module>> m_modules;
  std::map<ClaimName, Module*> m_module_of_claim;
  std::set<EntryId> m_entries_with_documents;
  bool m_members_query_pending = false;
  MonotonicTime m_wanted_update_at{};
  std::unique_ptr<Timer> m_timer;

  bool m_stopping = false;
  MonotonicTime m_stop_deadline{};
  std::function<void()> m_stop_callback;
  std::unique_ptr<Timer> m_stop_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_COORDINATOR_H_
