// Life cycle, members, documents and claims of the coordinator. The message
// handlers are in message_routing.cc.

#include "coordinator/coordinator.h"

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kWantedUpdateInterval = seconds(1);
constexpr Duration kMembersQueryTimeout = seconds(1);
constexpr Duration kStopStepInterval = milliseconds(10);
// The part of the stop limit that is reserved for releasing claims once the
// wait for open work ends; also the timeout for revoking the leases.
constexpr Duration kReleaseTime = seconds(2);

}  // namespace

Coordinator::Coordinator(EventLoop& loop,
                         keyvalue::KeyValueService& key_values,
                         const CoordinatorSettings& settings)
    : m_loop(loop),
      m_key_values(key_values, m_registry),
      m_self(settings.m_self),
      m_stop_limit(settings.m_stop_limit),
      m_peers(loop, m_registry, m_self, PeerCallbacks()),
      m_membership(
          loop,
          m_key_values,
          m_self.m_host,
          [this](const MemberChange& change) { OnMembersChanged(change); }),
      m_leases(
          loop,
          m_key_values,
          [this] {
            m_self.m_port = m_peers.port();
            return m_self;
          }(),
          settings.m_leases,
          LeaseCallbacks()),
      m_documents(loop,
                  m_key_values,
                  m_peers,
                  m_membership.view(),
                  m_self,
                  settings.m_documents),
      m_claims(loop,
               m_key_values,
               m_peers,
               m_self,
               settings.m_claims,
               ClaimCallbacks()) {
  m_documents.m_on_documents_applied =
      [this](const std::vector<documents::AppliedDocument>& changes) {
        OnDocumentsApplied(changes);
      };
  m_documents.m_on_member_view_mismatch = [this](const HostId& host) {
    QueryMembers(host);
  };
}

Coordinator::~Coordinator() = default;

PeerMesh::Callbacks Coordinator::PeerCallbacks() {
  return {
      .m_peer_message =
          [this](const HostId& from, wire::EnvelopeT envelope,
                 const Responder& respond) {
            OnPeerMessage(from, std::move(envelope), respond);
          },
      .m_entry_message =
          [this](EntryId entry, wire::EnvelopeT envelope,
                 const Responder& respond) {
            OnEntryMessage(entry, std::move(envelope), respond);
          },
      .m_entry_connected = [this](EntryId entry) { OnEntryConnected(entry); },
      .m_entry_closed =
          [this](EntryId entry) { m_entries_with_documents.erase(entry); },
      .m_peer_connected =
          [this](const HostId& host) { m_claims.OnPeerConnected(host); },
  };
}

LeaseKeeper::Callbacks Coordinator::LeaseCallbacks() {
  return {
      .m_short_renewed =
          [this](keyvalue::LeaseId lease, MonotonicTime sent_at) {
            m_claims.OnShortLease(lease, sent_at);
          },
      .m_long_renewed =
          [this](keyvalue::LeaseId lease, MonotonicTime sent_at) {
            m_claims.OnLongLease(lease, sent_at);
          },
      .m_short_lost = [this] { m_claims.OnShortLeaseLost(); },
      .m_long_lost = [this] { m_claims.OnLongLeaseLost(); },
  };
}

ClaimKeeper::Callbacks Coordinator::ClaimCallbacks() {
  return {
      .m_held = [this](const claims::ClaimHeld& held) { OnClaimHeld(held); },
      .m_lost = [this](const claims::ClaimLost& lost) { OnClaimLost(lost); },
      .m_move = [this](const claims::MoveClaim& move) { OnMoveClaim(move); },
  };
}

void Coordinator::SetModules(std::vector<std::unique_ptr<Module>> modules) {
  m_modules = std::move(modules);
}

void Coordinator::Start() {
  m_membership.Start();
  m_leases.Start();
  m_documents.Start();
  m_claims.Start();
  m_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
  m_log.Info("Listening for peers and entries.",
             {{"host", m_self.m_host.value()},
              {"address", m_self.m_address},
              {"port", static_cast<int>(m_self.m_port)}});
}

void Coordinator::Tick() {
  const MonotonicTime now = m_loop.Now();
  if (now >= m_wanted_update_at) {
    UpdateWantedClaims();
  }
  for (const auto& module : m_modules) {
    module->OnTick(now);
  }
}

void Coordinator::UpdateWantedClaims() {
  m_wanted_update_at = m_loop.Now() + kWantedUpdateInterval;
  // The claims that should exist depend on the documents, so the claims are not
  // set before this host has proof of the newest manifest and has applied it.
  const auto& table = m_documents.table();
  if (!m_documents.tracker().proof() ||
      table.applied_revision() < table.manifest_revision()) {
    return;
  }
  std::vector<claims::WantedClaim> wanted;
  for (const auto& module : m_modules) {
    for (ClaimName& claim : module->WantedClaims()) {
      m_module_of_claim[claim] = module.get();
      wanted.push_back({std::move(claim), module->ActsInOutage()});
    }
  }
  m_claims.SetWanted(wanted);
}

void Coordinator::OnMembersChanged(const MemberChange& change) {
  const MemberView& view = m_membership.view();
  m_log.Info("The member view changed.",
             {{"members", static_cast<std::uint64_t>(view.members().size())},
              {"revision", view.revision()}});
  m_peers.SetMembers(view.members());
  m_documents.OnMembersChanged();
  m_claims.OnMembersChanged(view);
  ForwardToDomain(change);
  for (const auto& module : m_modules) {
    module->OnMembersChanged();
  }
}

// If this host is a watcher, forwards the change to the hosts of its failure
// domain that are not.
void Coordinator::ForwardToDomain(const MemberChange& change) {
  const MemberView& view = m_membership.view();
  if (change.m_full || !m_membership.watching() ||
      !view.IsWatcher(m_self.m_host)) {
    return;
  }
  const wire::EnvelopeT notice = wire::MakeEnvelope(ToMembersUpdate(change));
  for (const Member& member : view.members()) {
    if (member.m_failure_domain == m_self.m_failure_domain &&
        !view.IsWatcher(member.m_host)) {
      m_peers.Notify(member.m_host, notice);
    }
  }
}

void Coordinator::QueryMembers(const HostId& host) {
  if (m_members_query_pending || m_membership.watching()) {
    return;
  }
  m_members_query_pending = true;
  const std::weak_ptr<bool> alive = m_alive;
  m_peers.Request(
      host, wire::MakeEnvelope(wire::MembersQueryT{}), kMembersQueryTimeout,
      [this, alive](const Result<wire::EnvelopeT>& result) {
        if (alive.expired()) {
          return;
        }
        m_members_query_pending = false;
        const auto* update =
            result ? result.value().body.AsMembersUpdate() : nullptr;
        if (update != nullptr) {
          m_membership.OnPeerChange(ToMemberChange(*update));
        }
      });
}

void Coordinator::OnDocumentsApplied(
    const std::vector<documents::AppliedDocument>& changes) {
  for (const auto& module : m_modules) {
    module->OnDocumentsChanged();
  }
  // The modules return the claims of the new documents only after
  // OnDocumentsChanged().
  UpdateWantedClaims();
  for (const documents::AppliedDocument& change : changes) {
    wire::DocumentUpdateT update;
    update.service = change.m_service.value();
    update.revision = m_documents.table().manifest_revision();
    update.text = change.m_text;
    const wire::EnvelopeT notice = wire::MakeEnvelope(std::move(update));
    for (const EntryId entry : m_entries_with_documents) {
      m_peers.NotifyEntry(entry, notice);
    }
  }
}

void Coordinator::OnClaimHeld(const claims::ClaimHeld& held) {
  const auto found = m_module_of_claim.find(held.m_claim);
  if (found != m_module_of_claim.end()) {
    found->second->OnClaimHeld(held.m_claim, held.m_fence, held.m_hand_over);
  }
}

void Coordinator::OnClaimLost(const claims::ClaimLost& lost) {
  const auto found = m_module_of_claim.find(lost.m_claim);
  if (found != m_module_of_claim.end()) {
    found->second->OnClaimLost(lost.m_claim);
  }
}

void Coordinator::OnMoveClaim(const claims::MoveClaim& move) {
  const auto found = m_module_of_claim.find(move.m_claim);
  if (found == m_module_of_claim.end() || m_stopping ||
      found->second->HasOpenWork(move.m_claim)) {
    return;
  }
  m_claims.Release(move.m_claim, move.m_next,
                   found->second->PrepareHandOver(move.m_claim));
}

void Coordinator::Write(DocumentWrite write,
                        std::function<void(const WriteReport&)> done) {
  WriteDocument(m_loop, m_key_values, m_peers, m_membership.view(), m_documents,
                m_self.m_host, std::move(write), std::move(done));
}

bool Coordinator::Ready() const {
  return !m_stopping && RemainingServingTime(m_loop.Now()) > Duration::zero();
}

Duration Coordinator::RemainingServingTime(MonotonicTime now) const {
  const bool ready =
      std::all_of(m_modules.begin(), m_modules.end(),
                  [](const auto& module) { return module->Ready(); });
  return ready ? m_documents.RemainingServingTime(now) : Duration::zero();
}

void Coordinator::Stop(std::function<void()> stopped) {
  if (m_stopping) {
    m_stop_deadline = m_loop.Now();
    return;
  }
  m_stopping = true;
  m_stop_callback = std::move(stopped);
  m_stop_deadline = m_loop.Now() + m_stop_limit;
  m_log.Info("Beginning a planned stop; handing over the claims.");
  m_leases.SetLeaving();
  m_claims.StopAcquiring();
  m_stop_timer = m_loop.Every(kStopStepInterval, [this] { ContinueStop(); });
}

void Coordinator::ContinueStop() {
  const MonotonicTime now = m_loop.Now();
  const bool wait_over = now >= m_stop_deadline - kReleaseTime;
  for (const ClaimName& claim : m_claims.table().Held(now)) {
    const auto found = m_module_of_claim.find(claim);
    if (found == m_module_of_claim.end()) {
      m_claims.Release(claim, HostId(), "");
      continue;
    }
    if (!wait_over && found->second->HasOpenWork(claim)) {
      continue;
    }
    m_claims.Release(claim, m_claims.table().NextHost(claim).value_or(HostId()),
                     found->second->PrepareHandOver(claim));
  }
  const bool released =
      m_claims.table().Held(now).empty() && !m_claims.table().Releasing();
  if (!released && now < m_stop_deadline) {
    return;
  }
  m_log.Info("The hand-over of claims has ended; revoking the leases.",
             {{"all", released ? "true" : "false"}});
  const auto stopped = std::make_shared<std::function<void()>>(m_stop_callback);
  const auto finish = [stopped] {
    if (const auto callback = std::exchange(*stopped, nullptr)) {
      callback();
    }
  };
  m_leases.Revoke(finish);
  // If the key-value service is unreachable, the leases expire without being
  // revoked.
  m_stop_timer = m_loop.After(kReleaseTime, finish);
}

void Coordinator::UpdateMetrics() {
  const MonotonicTime now = m_loop.Now();
  m_peers.UpdateMetrics();
  m_registry
      .GetGauge("loft_coordinator_claims_held", "Claims held by this host.")
      .Set(static_cast<double>(m_claims.table().Held(now).size()));
  m_registry.GetGauge("loft_coordinator_members", "Live hosts in the view.")
      .Set(static_cast<double>(Members().size()));
  m_registry
      .GetGauge("loft_coordinator_documents_revision",
                "Revision of the documents in force at this host.")
      .Set(static_cast<double>(m_documents.table().applied_revision()));
  m_registry
      .GetGauge("loft_coordinator_serve_for_seconds",
                "For how long this host may serve without further proof.")
      .Set(ToSeconds(RemainingServingTime(now)));
  if (const auto& proof = m_documents.tracker().proof()) {
    m_registry
        .GetGauge("loft_coordinator_freshness_age_seconds",
                  "Age of the newest proof that the documents are the newest.")
        .Set(ToSeconds(now - proof->m_began));
  }
}

}  // namespace hickoryloft::coordinator
