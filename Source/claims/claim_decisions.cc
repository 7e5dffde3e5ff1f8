// Decisions of the claim table: when to read, write and release claims and
// request takeover deferrals.

#include <algorithm>
#include <utility>

#include "claims/claim_table.h"

namespace hickoryloft::claims {

namespace {

// Takeover deferral requests per short TTL while a holder can't renew its
// lease.
constexpr int kDeferralRequestsPerTtl = 4;

}  // namespace

void ClaimTable::Tick(MonotonicTime now) {
  for (auto& [claim, entry] : m_entries) {
    if (entry.m_held) {
      TickHeld(claim, entry, now);
    } else if (entry.m_releasing) {
      TickReleasing(claim, entry, now);
    } else {
      TickUnheld(claim, entry, now);
    }
  }
}

void ClaimTable::TickHeld(const ClaimName& claim,
                          Entry& entry,
                          MonotonicTime now) {
  if (!ValidAt(entry, now)) {
    StopHolding(claim, entry, now);
    return;
  }
  if (!entry.m_wanted) {
    Release(claim, HostId(), "", now);
    return;
  }
  if (!InContact(now) || entry.m_stored->m_record.m_lease != m_lease) {
    RequestDeferral(claim, entry, now);
  }
  MaintainRecord(claim, entry, now);
}

void ClaimTable::RequestDeferral(const ClaimName& claim,
                                 Entry& entry,
                                 MonotonicTime now) {
  const ClaimRecord& record = entry.m_stored->m_record;
  const Duration interval = m_settings.m_short_ttl / kDeferralRequestsPerTtl;
  if (record.m_successor.empty() ||
      now < entry.m_deferral_requested_at + interval) {
    return;
  }
  entry.m_deferral_requested_at = now;
  m_effects.emplace_back(RequestTakeoverDeferral{
      claim, record.m_successor, record.m_successor_lease, entry.m_fence});
}

void ClaimTable::MaintainRecord(const ClaimName& claim,
                                Entry& entry,
                                MonotonicTime now) {
  if (entry.m_write || entry.m_reading || now < entry.m_retry_at ||
      m_lease == 0 || !m_short_lease_clock.ValidAt(now)) {
    return;
  }
  if (entry.m_unsettled) {
    StartRead(claim, entry);
    return;
  }
  ClaimRecord record = entry.m_stored->m_record;
  if (record.m_lease != m_lease) {
    Confirm(claim, entry, std::move(record));
    return;
  }
  if (!InContact(now)) {
    return;
  }
  if (NeedsSuccessor(entry)) {
    record.m_successor = entry.m_preference.m_successor;
    record.m_successor_lease = entry.m_preference.m_successor_lease;
    // The old successor's deferral is void as soon as the record may name
    // another successor.
    entry.m_deferral_until = MonotonicTime{};
    Confirm(claim, entry, std::move(record));
    return;
  }
  if (ShouldMove(entry, now)) {
    entry.m_retry_at = now + m_settings.m_settle_time;
    m_effects.emplace_back(MoveClaim{claim, entry.m_preference.m_preferred});
  }
}

bool ClaimTable::NeedsSuccessor(const Entry& entry) const {
  if (!entry.m_acts_in_outage) {
    return false;
  }
  const ClaimRecord& record = entry.m_stored->m_record;
  const ClaimHost* successor = FindHost(record.m_successor);
  const bool usable = successor != nullptr && !successor->m_leaving &&
                      successor->m_long_lease == record.m_successor_lease;
  const Preference& preference = entry.m_preference;
  const bool same = preference.m_successor == record.m_successor &&
                    preference.m_successor_lease == record.m_successor_lease;
  return !usable && !same && !preference.m_successor.empty();
}

void ClaimTable::Confirm(const ClaimName& claim,
                         Entry& entry,
                         ClaimRecord record) {
  record.m_lease = m_lease;
  record.m_nonce = m_random();
  record.m_fence = entry.m_fence;
  SendWrite(claim, entry,
            {WritePurpose::kConfirm, entry.m_stored->m_mod_revision,
             std::move(record), std::nullopt});
}

bool ClaimTable::ShouldMove(const Entry& entry, MonotonicTime now) const {
  const HostId& preferred = entry.m_preference.m_preferred;
  const auto since = m_member_since.find(preferred);
  return !preferred.empty() && preferred != m_self &&
         since != m_member_since.end() &&
         now >= since->second + m_settings.m_settle_time &&
         now >= entry.m_held_since + m_settings.m_settle_time;
}

void ClaimTable::TickUnheld(const ClaimName& claim,
                            Entry& entry,
                            MonotonicTime now) {
  const bool idle = !entry.m_write && !entry.m_reading;
  if (idle && entry.m_wanted && m_acquiring && m_lease != 0 &&
      m_short_lease_clock.ValidAt(now) && AcquisitionDue(entry, now)) {
    StartRead(claim, entry);
  }
}

bool ClaimTable::AcquisitionDue(const Entry& entry, MonotonicTime now) const {
  if (now < entry.m_retry_at) {
    return false;
  }
  if (entry.m_unsettled) {
    return true;
  }
  const bool member =
      std::any_of(m_hosts.begin(), m_hosts.end(), [&](const ClaimHost& host) {
        return host.m_host == m_self && !host.m_leaving;
      });
  if (!member || !entry.m_unheld_since) {
    return false;
  }
  // Other hosts don't acquire a claim whose record names this host, so there is
  // no competitor to wait for.
  const bool named =
      entry.m_stored && (IsOwnRecord(entry.m_stored->m_record) ||
                         entry.m_stored->m_record.m_successor == m_self);
  const bool chosen = entry.m_handed_over || named;
  // Hosts of a lower rank wait longer, so that normally only one host tries to
  // acquire the claim.
  const Duration delay =
      chosen ? Duration::zero()
             : m_settings.m_short_ttl *
                   static_cast<Duration::rep>(entry.m_preference.m_rank);
  return now >= *entry.m_unheld_since + delay;
}

void ClaimTable::TickReleasing(const ClaimName& claim,
                               Entry& entry,
                               MonotonicTime now) {
  if (entry.m_write || entry.m_reading || now < entry.m_retry_at) {
    return;
  }
  if (entry.m_unsettled) {
    StartRead(claim, entry);
    return;
  }
  if (!entry.m_wanted) {
    SendWrite(claim, entry,
              {WritePurpose::kDelete, entry.m_stored->m_mod_revision, {}, {}});
    return;
  }
  ClaimRecord record;
  record.m_nonce = m_random();
  record.m_fence = entry.m_fence;
  SendWrite(claim, entry,
            {WritePurpose::kRelease, entry.m_stored->m_mod_revision,
             std::move(record), std::nullopt});
}

void ClaimTable::OnEvidence(const ClaimName& claim,
                            const std::optional<ClaimEvidence>& evidence,
                            MonotonicTime now) {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_reading = false;
  entry.m_retry_at = now + m_settings.m_retry_interval;
  if (!evidence) {
    return;
  }
  if (entry.m_unsettled) {
    ResolveUnsettled(claim, entry, evidence->m_stored, now);
  }
  if (entry.m_held) {
    CheckHeld(claim, entry, evidence->m_stored, now);
    return;
  }
  if (entry.m_releasing || entry.m_write) {
    return;
  }
  ApplyStored(entry, evidence->m_stored, now);
  const bool usable = m_lease != 0 && m_short_lease_clock.ValidAt(now);
  if (!usable || !m_acquiring || !entry.m_wanted) {
    return;
  }
  if (MayAcquire(entry, *evidence, now)) {
    Acquire(claim, entry);
  } else if (evidence->m_successor_lease_live) {
    ReannounceHolder(claim, entry, now);
  }
}

// Announces the stored holder again. The successor may have missed the last
// announcement; it would then wait for an earlier holder that no longer exists.
void ClaimTable::ReannounceHolder(const ClaimName& claim,
                                  Entry& entry,
                                  MonotonicTime now) {
  const ClaimRecord& record = entry.m_stored->m_record;
  if (record.m_successor == m_self) {
    return;
  }
  entry.m_retry_at = now + m_settings.m_short_ttl / 2;
  m_effects.emplace_back(AnnounceClaim{
      claim, record.m_holder, record.m_incarnation, entry.m_stored->fence()});
}

void ClaimTable::ResolveUnsettled(const ClaimName& claim,
                                  Entry& entry,
                                  const std::optional<StoredClaim>& stored,
                                  MonotonicTime now) {
  const PendingWrite write = *entry.m_unsettled;
  const Revision revision = stored ? stored->m_mod_revision : 0;
  if (revision == write.m_expected) {
    // The write may still be applied. Sending it again is safe: both expect the
    // same revision, so at most one of them is applied.
    if (entry.m_held || entry.m_releasing) {
      SendWrite(claim, entry, write);
    }
    return;
  }
  entry.m_unsettled.reset();
  const bool deleted = write.m_purpose == WritePurpose::kDelete && !stored;
  const bool landed = stored && write.m_purpose != WritePurpose::kDelete &&
                      stored->m_record.m_nonce == write.m_record.m_nonce;
  if (deleted || landed) {
    OnWritten(claim, entry, write, revision, now);
  } else if (entry.m_releasing) {
    entry.m_releasing = false;
  }
}

void ClaimTable::CheckHeld(const ClaimName& claim,
                           Entry& entry,
                           const std::optional<StoredClaim>& stored,
                           MonotonicTime now) {
  const bool same =
      stored && stored->m_mod_revision == entry.m_stored->m_mod_revision;
  if (!same && !entry.m_write) {
    StopHolding(claim, entry, now);
    ApplyStored(entry, stored, now);
  }
}

bool ClaimTable::MayAcquire(Entry& entry,
                            const ClaimEvidence& evidence,
                            MonotonicTime now) {
  if (!evidence.m_stored) {
    return true;
  }
  const ClaimRecord& record = evidence.m_stored->m_record;
  if (record.m_holder.empty() || IsOwnRecord(record)) {
    return true;
  }
  if (evidence.m_holder_live) {
    return false;
  }
  if (record.m_successor.empty()) {
    return true;
  }
  if (record.m_successor == m_self && m_long_lease != 0 &&
      record.m_successor_lease == m_long_lease) {
    return now >= entry.m_takeover_deferred_until;
  }
  if (evidence.m_successor_lease_live) {
    entry.m_successor_gone_since.reset();
    return false;
  }
  if (!entry.m_successor_gone_since) {
    entry.m_successor_gone_since = now;
  }
  // The successor granted its last deferral before its long lease lapsed, and a
  // deferral lasts for the short TTL plus the drift margin.
  return now >= *entry.m_successor_gone_since + m_settings.m_short_ttl +
                    2 * m_settings.m_drift_margin;
}

void ClaimTable::Acquire(const ClaimName& claim, Entry& entry) {
  PendingWrite write{.m_purpose = WritePurpose::kAcquire};
  if (entry.m_stored) {
    write.m_expected = entry.m_stored->m_mod_revision;
    if (entry.m_stored->m_record.m_holder.empty()) {
      write.m_released_fence = entry.m_stored->fence();
    }
  }
  write.m_record = {
      .m_holder = m_self,
      .m_incarnation = m_incarnation,
      .m_nonce = m_random(),
      .m_lease = m_lease,
  };
  if (entry.m_acts_in_outage) {
    write.m_record.m_successor = entry.m_preference.m_successor;
    write.m_record.m_successor_lease = entry.m_preference.m_successor_lease;
  }
  SendWrite(claim, entry, std::move(write));
}

void ClaimTable::ApplyStored(Entry& entry,
                             const std::optional<StoredClaim>& stored,
                             MonotonicTime now) {
  const Revision before = entry.m_stored ? entry.m_stored->m_mod_revision : 0;
  const Revision after = stored ? stored->m_mod_revision : 0;
  if (before != after) {
    entry.m_successor_gone_since.reset();
  }
  entry.m_stored = stored;
  if (stored && stored->fence() >= entry.m_fence) {
    entry.m_holder = stored->m_record.m_holder;
    entry.m_holder_incarnation = stored->m_record.m_incarnation;
    entry.m_fence = stored->fence();
  } else if (!stored) {
    entry.m_holder = HostId();
  }
  UpdateUnheld(entry, now);
}

void ClaimTable::OnWrite(const ClaimName& claim,
                         std::uint64_t nonce,
                         WriteOutcome outcome,
                         Revision revision,
                         MonotonicTime now) {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end() || !found->second.m_write ||
      found->second.m_write->m_record.m_nonce != nonce) {
    return;
  }
  Entry& entry = found->second;
  const PendingWrite write = *std::exchange(entry.m_write, std::nullopt);
  switch (outcome) {
    case WriteOutcome::kWritten:
      entry.m_unsettled.reset();
      OnWritten(claim, entry, write, revision, now);
      return;
    case WriteOutcome::kConflict:
      // An earlier attempt may have been applied; the next read shows whether
      // it was.
      entry.m_unsettled = write;
      entry.m_retry_at = now;
      return;
    case WriteOutcome::kNoEffect:
      entry.m_retry_at = now + m_settings.m_retry_interval;
      return;
    case WriteOutcome::kUnknown:
      entry.m_unsettled = write;
      entry.m_retry_at = now + m_settings.m_retry_interval;
      return;
  }
}

void ClaimTable::OnWritten(const ClaimName& claim,
                           Entry& entry,
                           const PendingWrite& write,
                           Revision revision,
                           MonotonicTime now) {
  if (write.m_purpose == WritePurpose::kDelete) {
    entry.m_stored.reset();
    OnReleased(claim, entry, now);
    return;
  }
  entry.m_stored = StoredClaim{write.m_record, revision};
  entry.m_successor_gone_since.reset();
  switch (write.m_purpose) {
    case WritePurpose::kAcquire:
      OnAcquired(claim, entry, write, now);
      return;
    case WritePurpose::kRelease:
      OnReleased(claim, entry, now);
      return;
    case WritePurpose::kConfirm:
    case WritePurpose::kDelete:
      return;
  }
}

void ClaimTable::OnAcquired(const ClaimName& claim,
                            Entry& entry,
                            const PendingWrite& write,
                            MonotonicTime now) {
  const std::optional<HandOverState> received =
      std::exchange(entry.m_received, std::nullopt);
  entry.m_handed_over = false;
  entry.m_holder = m_self;
  entry.m_holder_incarnation = m_incarnation;
  entry.m_fence = entry.m_stored->m_mod_revision;
  entry.m_deferral_until = MonotonicTime{};
  // The reply may have arrived after the lease lapsed.
  if (!ValidAt(entry, now)) {
    UpdateUnheld(entry, now);
    return;
  }
  entry.m_held = true;
  entry.m_held_since = now;
  UpdateUnheld(entry, now);
  std::optional<std::string> state;
  if (received && write.m_released_fence == received->m_fence) {
    state = received->m_payload;
  }
  m_effects.emplace_back(ClaimHeld{claim, entry.m_fence, std::move(state)});
  m_effects.emplace_back(
      AnnounceClaim{claim, m_self, m_incarnation, entry.m_fence});
}

void ClaimTable::OnReleased(const ClaimName& claim,
                            Entry& entry,
                            MonotonicTime now) {
  entry.m_releasing = false;
  entry.m_holder = HostId();
  UpdateUnheld(entry, now);
  // Gives the next host time to acquire the claim first.
  entry.m_retry_at = now + m_settings.m_short_ttl;
  const std::optional<HandOverState> outgoing =
      std::exchange(entry.m_outgoing, std::nullopt);
  if (outgoing && !entry.m_next.empty()) {
    m_effects.emplace_back(SendHandOver{claim, entry.m_next, outgoing->m_fence,
                                        outgoing->m_payload});
  }
  m_effects.emplace_back(AnnounceClaim{claim, HostId(), 0, entry.m_fence});
}

void ClaimTable::StopHolding(const ClaimName& claim,
                             Entry& entry,
                             MonotonicTime now) {
  entry.m_held = false;
  entry.m_deferral_until = MonotonicTime{};
  entry.m_retry_at = now;
  UpdateUnheld(entry, now);
  m_effects.emplace_back(ClaimLost{claim});
}

void ClaimTable::SendWrite(const ClaimName& claim,
                           Entry& entry,
                           PendingWrite write) {
  const bool remove = write.m_purpose == WritePurpose::kDelete;
  m_effects.emplace_back(WriteClaim{
      claim, write.m_expected, write.m_record.m_nonce,
      remove ? std::nullopt : std::optional<ClaimRecord>(write.m_record)});
  entry.m_write = std::move(write);
}

void ClaimTable::StartRead(const ClaimName& claim, Entry& entry) {
  entry.m_reading = true;
  m_effects.emplace_back(ReadEvidence{claim});
}

}  // namespace hickoryloft::claims
