#include "coordinator/claim_keeper.h"

#include <utility>

#include "base/random.h"
#include "coordinator/keys.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kLoadRetryDelay = milliseconds(1000);
constexpr Duration kDeferralTimeout = milliseconds(1000);

claims::WriteOutcome ToWriteOutcome(const Result<keyvalue::SwapReply>& result) {
  if (result) {
    return result.value().m_swapped ? claims::WriteOutcome::kWritten
                                    : claims::WriteOutcome::kConflict;
  }
  return result.error().code() == ErrorCode::kUnavailable
             ? claims::WriteOutcome::kNoEffect
             : claims::WriteOutcome::kUnknown;
}

wire::ClaimNoticeT MakeNotice(const claims::AnnounceClaim& effect) {
  wire::ClaimNoticeT notice;
  notice.claim = effect.m_claim;
  notice.holder = effect.m_holder.value();
  notice.incarnation = effect.m_incarnation;
  notice.fencing_number = effect.m_fence;
  return notice;
}

}  // namespace

ClaimKeeper::ClaimKeeper(EventLoop& loop,
                         keyvalue::KeyValueService& key_values,
                         PeerMesh& peers,
                         const Member& self,
                         claims::ClaimSettings settings,
                         Callbacks callbacks)
    : m_loop(loop),
      m_key_values(key_values),
      m_peers(peers),
      m_self(self),
      m_callbacks(std::move(callbacks)),
      m_table(settings, self.m_host, self.m_incarnation, RandomBits()) {}

void ClaimKeeper::Start() {
  LoadClaimRecords();
  m_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
}

void ClaimKeeper::LoadClaimRecords() {
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GetPrefix(
      kClaimsPrefix, [this, alive](const Result<keyvalue::ReadReply>& result) {
        if (alive.expired()) {
          return;
        }
        if (!result) {
          m_load_retry_timer =
              m_loop.After(kLoadRetryDelay, [this] { LoadClaimRecords(); });
          return;
        }
        for (const keyvalue::KeyValue& item : result.value().m_items) {
          try {
            const claims::StoredClaim stored{
                claims::ParseClaimRecord(item.m_value), item.m_mod_revision};
            m_table.OnAnnounced({item.m_key.substr(kClaimsPrefix.size()),
                                 stored.m_record.m_holder,
                                 stored.m_record.m_incarnation, stored.fence()},
                                m_loop.Now());
          } catch (const Error& error) {
            m_log.Warn("Ignoring an invalid claim record.",
                       {{"reason", error.what()}});
          }
        }
      });
}

void ClaimKeeper::OnMembersChanged(const MemberView& view) {
  m_table.SetHosts(view.ClaimHosts(), m_loop.Now());
}

void ClaimKeeper::SetWanted(const std::vector<claims::WantedClaim>& claims) {
  m_table.SetWanted(claims, m_loop.Now());
}

void ClaimKeeper::OnShortLease(keyvalue::LeaseId lease, MonotonicTime sent_at) {
  m_table.OnShortLease(lease, sent_at);
}

void ClaimKeeper::OnShortLeaseLost() {
  m_table.OnShortLeaseLost();
  Tick();
}

void ClaimKeeper::OnLongLease(keyvalue::LeaseId lease, MonotonicTime sent_at) {
  m_table.OnLongLease(lease, sent_at);
}

void ClaimKeeper::OnLongLeaseLost() {
  m_table.OnLongLeaseLost();
}

void ClaimKeeper::OnPeerConnected(const HostId& host) {
  const MonotonicTime now = m_loop.Now();
  for (const claims::ClaimName& claim : m_table.Held(now)) {
    const claims::AnnounceClaim notice{
        claim, m_self.m_host, m_self.m_incarnation, m_table.KnownFence(claim)};
    m_peers.Notify(host, wire::MakeEnvelope(MakeNotice(notice)));
  }
}

void ClaimKeeper::OnPromiseRequest(const wire::PromiseRequestT& request,
                                   const Responder& respond) {
  const claims::TakeoverDeferralReply answer =
      m_table.OnTakeoverDeferralRequest(request.claim, request.fencing_number,
                                        request.successor_lease, m_loop.Now());
  wire::PromiseReplyT reply;
  reply.claim = request.claim;
  reply.promised = answer.m_takeover_deferred;
  reply.not_before_ms =
      static_cast<std::uint32_t>(ToMillis(answer.m_deferral).count());
  respond(wire::MakeEnvelope(std::move(reply)));
}

void ClaimKeeper::OnNotice(const wire::ClaimNoticeT& notice) {
  m_table.OnAnnounced({notice.claim, HostId(notice.holder), notice.incarnation,
                       notice.fencing_number},
                      m_loop.Now());
  Tick();
}

void ClaimKeeper::OnHandOver(const wire::HandOverT& hand_over) {
  m_table.OnHandOver(hand_over.claim, hand_over.fencing_number,
                     hand_over.payload, m_loop.Now());
  Tick();
}

void ClaimKeeper::Release(const claims::ClaimName& claim,
                          const HostId& next,
                          std::string payload) {
  m_table.Release(claim, next, std::move(payload), m_loop.Now());
  RunEffects();
}

void ClaimKeeper::Tick() {
  m_table.Tick(m_loop.Now());
  RunEffects();
}

void ClaimKeeper::RunEffects() {
  // A callback that an effect runs may call this function again.
  if (std::exchange(m_running_effects, true)) {
    return;
  }
  while (true) {
    const auto effects = m_table.TakeEffects();
    if (effects.empty()) {
      break;
    }
    for (const claims::ClaimEffect& effect : effects) {
      std::visit([this](const auto& item) { RunEffect(item); }, effect);
    }
  }
  m_running_effects = false;
}

void ClaimKeeper::RunEffect(const claims::ReadEvidence& effect) {
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Get(ClaimKey(effect.m_claim),
                   [this, alive, claim = effect.m_claim](
                       const Result<keyvalue::ReadReply>& result) {
                     if (!alive.expired()) {
                       OnClaimRead(claim, result);
                     }
                   });
}

void ClaimKeeper::OnClaimRead(const claims::ClaimName& claim,
                              const Result<keyvalue::ReadReply>& result) {
  claims::ClaimEvidence evidence;
  try {
    const keyvalue::ReadReply& reply = result.value();
    if (!reply.m_items.empty()) {
      const keyvalue::KeyValue& item = reply.m_items.front();
      evidence.m_stored = claims::StoredClaim{
          claims::ParseClaimRecord(item.m_value), item.m_mod_revision};
    }
  } catch (const Error& error) {
    m_log.Warn("Cannot read a claim record; retrying.",
               {{"claim", claim}, {"reason", error.what()}});
    ReportEvidence(claim, std::nullopt);
    return;
  }
  if (!evidence.m_stored || evidence.m_stored->m_record.m_holder.empty()) {
    ReportEvidence(claim, evidence);
    return;
  }
  const claims::ClaimRecord& record = evidence.m_stored->m_record;
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Get(
      MemberKey(record.m_holder, record.m_incarnation),
      [this, alive, claim,
       evidence](const Result<keyvalue::ReadReply>& member) mutable {
        if (alive.expired()) {
          return;
        }
        if (!member) {
          ReportEvidence(claim, std::nullopt);
          return;
        }
        const auto& items = member.value().m_items;
        // Uses the lease that the service reports for the member key, not the
        // one in the key's value.
        evidence.m_holder_live =
            !items.empty() &&
            items.front().m_lease == evidence.m_stored->m_record.m_lease;
        ReadSuccessorLease(claim, evidence);
      });
}

void ClaimKeeper::ReadSuccessorLease(const claims::ClaimName& claim,
                                     const claims::ClaimEvidence& evidence) {
  const claims::ClaimRecord& record = evidence.m_stored->m_record;
  if (evidence.m_holder_live || record.m_successor.empty()) {
    ReportEvidence(claim, evidence);
    return;
  }
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Get(
      LongLeaseKey(record.m_successor, record.m_successor_lease),
      [this, alive, claim, evidence = evidence](
          const Result<keyvalue::ReadReply>& long_lease_key) mutable {
        if (alive.expired()) {
          return;
        }
        if (!long_lease_key) {
          ReportEvidence(claim, std::nullopt);
          return;
        }
        evidence.m_successor_lease_live =
            !long_lease_key.value().m_items.empty();
        ReportEvidence(claim, evidence);
      });
}

void ClaimKeeper::ReportEvidence(
    const claims::ClaimName& claim,
    const std::optional<claims::ClaimEvidence>& evidence) {
  m_table.OnEvidence(claim, evidence, m_loop.Now());
  RunEffects();
}

void ClaimKeeper::RunEffect(const claims::WriteClaim& effect) {
  keyvalue::CompareAndSwap operation{
      .m_key = ClaimKey(effect.m_claim),
      .m_expected_revision = effect.m_expected,
  };
  if (effect.m_record) {
    operation.m_value = claims::FormatClaimRecord(*effect.m_record);
  }
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Swap(
      std::move(operation),
      [this, alive, claim = effect.m_claim,
       nonce = effect.m_nonce](const Result<keyvalue::SwapReply>& result) {
        if (alive.expired()) {
          return;
        }
        const Revision revision = result ? result.value().m_revision : 0;
        m_table.OnWrite(claim, nonce, ToWriteOutcome(result), revision,
                        m_loop.Now());
        Tick();
      });
}

void ClaimKeeper::RunEffect(const claims::RequestTakeoverDeferral& effect) {
  wire::PromiseRequestT request;
  request.claim = effect.m_claim;
  request.holder_incarnation = m_self.m_incarnation;
  request.fencing_number = effect.m_fence;
  request.successor_lease = effect.m_successor_lease;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_peers.Request(
      effect.m_successor, wire::MakeEnvelope(std::move(request)),
      kDeferralTimeout,
      [this, alive, effect, sent_at](const Result<wire::EnvelopeT>& result) {
        const auto* reply =
            result ? result.value().body.AsPromiseReply() : nullptr;
        if (alive.expired() || reply == nullptr) {
          return;
        }
        m_table.OnTakeoverDeferral(
            effect, sent_at,
            {reply->promised, milliseconds(reply->not_before_ms)});
      });
}

void ClaimKeeper::RunEffect(const claims::ClaimHeld& effect) {
  m_log.Info("Acquired a claim.",
             {{"claim", effect.m_claim},
              {"fence", effect.m_fence},
              {"handed_over", effect.m_hand_over ? "true" : "false"}});
  m_callbacks.m_held(effect);
}

void ClaimKeeper::RunEffect(const claims::ClaimLost& effect) {
  m_log.Info("A claim is no longer held by this host.",
             {{"claim", effect.m_claim}});
  m_callbacks.m_lost(effect);
}

void ClaimKeeper::RunEffect(const claims::AnnounceClaim& effect) {
  m_peers.NotifyAll(wire::MakeEnvelope(MakeNotice(effect)));
}

void ClaimKeeper::RunEffect(const claims::SendHandOver& effect) {
  wire::HandOverT hand_over;
  hand_over.claim = effect.m_claim;
  hand_over.fencing_number = effect.m_fence;
  hand_over.payload = effect.m_payload;
  m_peers.Notify(effect.m_next, wire::MakeEnvelope(std::move(hand_over)));
}

void ClaimKeeper::RunEffect(const claims::MoveClaim& effect) {
  m_callbacks.m_move(effect);
}

}  // namespace hickoryloft::coordinator
