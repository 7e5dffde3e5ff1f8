// The coordinator's handlers for messages from peers and entries.

#include <algorithm>
#include <utility>

#include "coordinator/coordinator.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

// Timeout for an entry's request to the holder of a claim.
constexpr Duration kForwardTimeout = seconds(10);
// Delay before a retry that a failure reply suggests.
constexpr std::uint32_t kRetryAfterMs = 500;

wire::EnvelopeT MakeFailure(const Error& error) {
  return wire::MakeEnvelope(wire::ToRequestFailed(error, kRetryAfterMs));
}

}  // namespace

const Coordinator::PeerHandler Coordinator::kPeerHandlers[] = {
    {wire::Body::Heartbeat, &Coordinator::OnHeartbeat},
    {wire::Body::FreshnessQuery, &Coordinator::OnFreshnessQuery},
    {wire::Body::DocumentQuery, &Coordinator::OnDocumentQuery},
    {wire::Body::DocumentAckQuery, &Coordinator::OnAckQuery},
    {wire::Body::MembersQuery, &Coordinator::OnMembersQuery},
    {wire::Body::MembersUpdate, &Coordinator::OnMembersUpdate},
    {wire::Body::PromiseRequest, &Coordinator::OnPromiseRequest},
    {wire::Body::ClaimNotice, &Coordinator::OnClaimNotice},
    {wire::Body::HandOver, &Coordinator::OnHandOver},
};

void Coordinator::OnPeerMessage(const HostId& from,
                                wire::EnvelopeT envelope,
                                const Responder& respond) {
  const auto handler =
      std::find_if(std::begin(kPeerHandlers), std::end(kPeerHandlers),
                   [&](const PeerHandler& item) {
                     return item.m_type == envelope.body.type;
                   });
  if (handler != std::end(kPeerHandlers)) {
    (this->*handler->m_handle)(from, envelope, respond);
    return;
  }
  const auto [claim, module] = FindModule(envelope);
  if (module != nullptr) {
    if (!HandleLocally(claim, std::move(envelope), respond)) {
      respond(MakeFailure(Error(ErrorCode::kUnavailable,
                                "this host does not hold claim " + claim)));
    }
    return;
  }
  const bool handled = std::any_of(
      m_modules.begin(), m_modules.end(),
      [&](const auto& item) { return item->HandleNotice(from, envelope); });
  if (!handled) {
    m_log.Warn("Rejecting a peer message that nothing handles.",
               {{"from", from.value()},
                {"type", wire::EnumNameBody(envelope.body.type)}});
    respond(MakeFailure(
        Error(ErrorCode::kProtocol, "the message is not understood")));
  }
}

void Coordinator::OnHeartbeat(const HostId& from,
                              const wire::EnvelopeT& envelope,
                              const Responder& respond) {
  m_documents.OnHeartbeat(from, *envelope.body.AsHeartbeat(), respond);
}

void Coordinator::OnFreshnessQuery(const HostId& /*from*/,
                                   const wire::EnvelopeT& /*envelope*/,
                                   const Responder& respond) {
  m_documents.OnFreshnessQuery(respond);
}

void Coordinator::OnDocumentQuery(const HostId& /*from*/,
                                  const wire::EnvelopeT& envelope,
                                  const Responder& respond) {
  m_documents.OnDocumentQuery(*envelope.body.AsDocumentQuery(), respond);
}

void Coordinator::OnAckQuery(const HostId& from,
                             const wire::EnvelopeT& envelope,
                             const Responder& respond) {
  m_documents.OnAckQuery(from, *envelope.body.AsDocumentAckQuery(), respond);
}

void Coordinator::OnMembersQuery(const HostId& /*from*/,
                                 const wire::EnvelopeT& /*envelope*/,
                                 const Responder& respond) {
  respond(wire::MakeEnvelope(ToMembersUpdate(m_membership.view().Snapshot())));
}

void Coordinator::OnMembersUpdate(const HostId& /*from*/,
                                  const wire::EnvelopeT& envelope,
                                  const Responder& /*respond*/) {
  m_membership.OnPeerChange(ToMemberChange(*envelope.body.AsMembersUpdate()));
}

void Coordinator::OnPromiseRequest(const HostId& /*from*/,
                                   const wire::EnvelopeT& envelope,
                                   const Responder& respond) {
  m_claims.OnPromiseRequest(*envelope.body.AsPromiseRequest(), respond);
}

void Coordinator::OnClaimNotice(const HostId& /*from*/,
                                const wire::EnvelopeT& envelope,
                                const Responder& /*respond*/) {
  m_claims.OnNotice(*envelope.body.AsClaimNotice());
}

void Coordinator::OnHandOver(const HostId& /*from*/,
                             const wire::EnvelopeT& envelope,
                             const Responder& /*respond*/) {
  m_claims.OnHandOver(*envelope.body.AsHandOver());
}

void Coordinator::OnEntryMessage(EntryId entry,
                                 wire::EnvelopeT envelope,
                                 const Responder& respond) {
  if (const auto* query = envelope.body.AsDocumentQuery()) {
    m_documents.OnDocumentQuery(*query, respond);
    m_entries_with_documents.insert(entry);
    return;
  }
  if (envelope.body.AsServingQuery() != nullptr) {
    OnServingQuery(entry, respond);
    return;
  }
  RouteToHolder(std::move(envelope), respond);
}

// Document updates and this reply use the same connection, so an entry that
// receives the reply has received all documents that were in force here when it
// was sent.
void Coordinator::OnServingQuery(EntryId entry, const Responder& respond) {
  wire::ServingReplyT reply;
  reply.documents_revision = m_documents.table().applied_revision();
  if (m_entries_with_documents.contains(entry)) {
    const Duration valid_for = RemainingServingTime(m_loop.Now());
    reply.valid_for_ms =
        static_cast<std::uint32_t>(ToMillis(valid_for).count());
  }
  respond(wire::MakeEnvelope(std::move(reply)));
}

void Coordinator::OnEntryConnected(EntryId entry) {
  m_log.Info("An entry connected.", {{"entry", entry}});
  for (const auto& module : m_modules) {
    module->OnEntryConnected([this, entry](const wire::EnvelopeT& notice) {
      m_peers.NotifyEntry(entry, notice);
    });
  }
}

std::pair<ClaimName, Module*> Coordinator::FindModule(
    const wire::EnvelopeT& request) const {
  for (const auto& module : m_modules) {
    if (auto claim = module->ClaimFor(request)) {
      return {std::move(*claim), module.get()};
    }
  }
  return {};
}

bool Coordinator::HandleLocally(const ClaimName& claim,
                                wire::EnvelopeT envelope,
                                const Responder& respond) {
  const auto found = m_module_of_claim.find(claim);
  if (found == m_module_of_claim.end() || !HeldFence(claim)) {
    return false;
  }
  found->second->HandleRequest(claim, std::move(envelope), respond);
  return true;
}

void Coordinator::RouteToHolder(wire::EnvelopeT envelope,
                                const Responder& respond) {
  const auto [claim, module] = FindModule(envelope);
  if (module == nullptr) {
    respond(
        MakeFailure(Error(ErrorCode::kProtocol,
                          "no module answers this message or its account or "
                          "model is not known")));
    return;
  }
  // A notice has no reply, so it is forwarded without waiting for one.
  if (envelope.correlation == 0 && !HeldFence(claim)) {
    if (const auto holder = Holder(claim)) {
      envelope.forwarded = true;
      m_peers.Notify(*holder, envelope);
    }
    return;
  }
  RequestFromHolder(claim, std::move(envelope), kForwardTimeout,
                    [respond](Result<wire::EnvelopeT> result) {
                      respond(result ? std::move(result.value())
                                     : MakeFailure(result.error()));
                    });
}

std::optional<FencingNumber> Coordinator::HeldFence(
    const ClaimName& claim) const {
  return m_claims.table().HeldFence(claim, m_loop.Now());
}

std::optional<HostId> Coordinator::Holder(const ClaimName& claim) const {
  return m_claims.table().Holder(claim);
}

void Coordinator::NotifyHost(const HostId& host, wire::EnvelopeT notice) {
  if (host != m_self.m_host) {
    m_peers.Notify(host, notice);
    return;
  }
  m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive),
               shared = std::make_shared<wire::EnvelopeT>(std::move(notice))] {
    if (!alive.expired()) {
      OnPeerMessage(m_self.m_host, *shared, [](const wire::EnvelopeT&) {});
    }
  });
}

void Coordinator::NotifyAllHosts(const wire::EnvelopeT& notice) {
  m_peers.NotifyAll(notice);
}

void Coordinator::NotifyEntries(const wire::EnvelopeT& notice) {
  m_peers.NotifyEntries(notice);
}

void Coordinator::RequestFromHolder(
    const ClaimName& claim,
    wire::EnvelopeT request,
    Duration timeout,
    std::function<void(Result<wire::EnvelopeT>)> callback) {
  const auto reply_locally = [callback](wire::EnvelopeT reply) {
    if (const auto* failed = reply.body.AsRequestFailed()) {
      callback(wire::ToError(*failed));
    } else {
      callback(std::move(reply));
    }
  };
  if (HeldFence(claim)) {
    if (!HandleLocally(claim, std::move(request), reply_locally)) {
      callback(Error(ErrorCode::kUnavailable,
                     "no module of this host owns claim " + claim));
    }
    return;
  }
  const auto holder = Holder(claim);
  if (!holder || *holder == m_self.m_host) {
    callback(Error(ErrorCode::kUnavailable,
                   "no host is known to hold claim " + claim));
    return;
  }
  request.forwarded = true;
  m_peers.Request(*holder, std::move(request), timeout, std::move(callback));
}

}  // namespace hickoryloft::coordinator
