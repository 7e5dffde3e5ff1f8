// Inputs and queries of the claim table. Its decisions are in
// claim_decisions.cc.

#include "claims/claim_table.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"

namespace hickoryloft::claims {

ClaimTable::ClaimTable(ClaimSettings settings,
                       HostId self,
                       Incarnation incarnation,
                       std::uint64_t seed)
    : m_settings(settings),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_random(seed),
      m_short_lease_clock(settings.m_short_ttl, settings.m_drift_margin),
      m_long_lease_clock(settings.m_long_ttl, settings.m_drift_margin) {}

void ClaimTable::SetHosts(std::vector<ClaimHost> hosts, MonotonicTime now) {
  m_hosts = std::move(hosts);
  std::map<HostId, MonotonicTime> member_since;
  for (const ClaimHost& host : m_hosts) {
    const auto found = m_member_since.find(host.m_host);
    member_since[host.m_host] =
        found == m_member_since.end() ? now : found->second;
  }
  m_member_since = std::move(member_since);
  for (auto& [claim, entry] : m_entries) {
    entry.m_preference = MakePreference(claim);
    UpdateUnheld(entry, now);
  }
}

void ClaimTable::SetWanted(const std::vector<WantedClaim>& claims,
                           MonotonicTime now) {
  for (auto& [claim, entry] : m_entries) {
    entry.m_wanted = false;
  }
  for (const auto& [claim, acts_in_outage] : claims) {
    const auto [found, added] = m_entries.try_emplace(claim);
    Entry& entry = found->second;
    if (added) {
      entry.m_preference = MakePreference(claim);
    }
    entry.m_wanted = true;
    entry.m_acts_in_outage = acts_in_outage;
    UpdateUnheld(entry, now);
  }
}

void ClaimTable::OnShortLease(std::int64_t lease, MonotonicTime sent_at) {
  if (lease != m_lease) {
    m_short_lease_clock.OnLost();
  }
  m_lease = lease;
  m_short_lease_clock.OnAcknowledged(sent_at);
}

void ClaimTable::OnShortLeaseLost() {
  m_lease = 0;
  m_short_lease_clock.OnLost();
}

void ClaimTable::OnLongLease(std::int64_t lease, MonotonicTime sent_at) {
  if (lease != m_long_lease) {
    m_long_lease_clock.OnLost();
  }
  m_long_lease = lease;
  m_long_lease_clock.OnAcknowledged(sent_at);
}

void ClaimTable::OnLongLeaseLost() {
  m_long_lease = 0;
  m_long_lease_clock.OnLost();
}

void ClaimTable::OnTakeoverDeferral(const RequestTakeoverDeferral& request,
                                    MonotonicTime sent_at,
                                    const TakeoverDeferralReply& answer) {
  const auto found = m_entries.find(request.m_claim);
  if (found == m_entries.end() || !answer.m_takeover_deferred) {
    return;
  }
  Entry& entry = found->second;
  if (!entry.m_held || entry.m_fence != request.m_fence) {
    return;
  }
  // The deferral is void if the record names, or may soon name, another
  // successor, since that one has not deferred its takeover.
  const ClaimRecord& record = entry.m_stored->m_record;
  if (record.m_successor != request.m_successor ||
      record.m_successor_lease != request.m_successor_lease) {
    return;
  }
  const std::optional<PendingWrite>& open =
      entry.m_write ? entry.m_write : entry.m_unsettled;
  if (open && (open->m_record.m_successor != request.m_successor ||
               open->m_record.m_successor_lease != request.m_successor_lease)) {
    return;
  }
  entry.m_deferral_until =
      std::max(entry.m_deferral_until,
               sent_at + answer.m_deferral - m_settings.m_drift_margin);
}

TakeoverDeferralReply ClaimTable::OnTakeoverDeferralRequest(
    const ClaimName& claim,
    FencingNumber fence,
    std::int64_t successor_lease,
    MonotonicTime now) {
  const auto [found, added] = m_entries.try_emplace(claim);
  Entry& entry = found->second;
  if (added) {
    entry.m_preference = MakePreference(claim);
  }
  const bool lease_valid = m_long_lease != 0 &&
                           successor_lease == m_long_lease &&
                           m_long_lease_clock.ValidAt(now);
  // A pending acquisition may be applied at any time, so this host can't defer.
  const bool acquiring = entry.m_write || entry.m_unsettled;
  if (!lease_valid || acquiring || entry.m_held || fence < entry.m_fence) {
    return {};
  }
  entry.m_takeover_deferred_until =
      std::max(entry.m_takeover_deferred_until,
               now + m_settings.m_short_ttl + m_settings.m_drift_margin);
  return {.m_takeover_deferred = true, .m_deferral = m_settings.m_short_ttl};
}

void ClaimTable::OnAnnounced(const AnnounceClaim& notice, MonotonicTime now) {
  const auto [found, added] = m_entries.try_emplace(notice.m_claim);
  Entry& entry = found->second;
  if (added) {
    entry.m_preference = MakePreference(notice.m_claim);
  }
  const bool stale =
      notice.m_fence < entry.m_fence ||
      (notice.m_fence == entry.m_fence && !notice.m_holder.empty());
  if (stale || notice.m_holder == m_self) {
    return;
  }
  if (entry.m_held) {
    StopHolding(notice.m_claim, entry, now);
  }
  entry.m_holder = notice.m_holder;
  entry.m_holder_incarnation = notice.m_incarnation;
  entry.m_fence = notice.m_fence;
  entry.m_unheld_since.reset();
  UpdateUnheld(entry, now);
}

void ClaimTable::OnHandOver(const ClaimName& claim,
                            FencingNumber fence,
                            std::string payload,
                            MonotonicTime now) {
  const auto [found, added] = m_entries.try_emplace(claim);
  Entry& entry = found->second;
  if (added) {
    entry.m_preference = MakePreference(claim);
  }
  if (entry.m_held || fence < entry.m_fence) {
    return;
  }
  entry.m_received = HandOverState{fence, std::move(payload)};
  entry.m_holder = HostId();
  entry.m_fence = fence;
  entry.m_handed_over = true;
  entry.m_retry_at = now;
  UpdateUnheld(entry, now);
}

void ClaimTable::Release(const ClaimName& claim,
                         const HostId& next,
                         std::string payload,
                         MonotonicTime now) {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end() || !found->second.m_held) {
    return;
  }
  Entry& entry = found->second;
  entry.m_outgoing = HandOverState{entry.m_fence, std::move(payload)};
  entry.m_next = next;
  StopHolding(claim, entry, now);
  entry.m_releasing = true;
  TickReleasing(claim, entry, now);
}

std::optional<FencingNumber> ClaimTable::HeldFence(const ClaimName& claim,
                                                   MonotonicTime now) const {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end() || !found->second.m_held ||
      !ValidAt(found->second, now)) {
    return std::nullopt;
  }
  return found->second.m_fence;
}

std::optional<HostId> ClaimTable::Holder(const ClaimName& claim) const {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end() || found->second.m_holder.empty()) {
    return std::nullopt;
  }
  return found->second.m_holder;
}

FencingNumber ClaimTable::KnownFence(const ClaimName& claim) const {
  const auto found = m_entries.find(claim);
  return found == m_entries.end() ? 0 : found->second.m_fence;
}

std::optional<HostId> ClaimTable::NextHost(const ClaimName& claim) const {
  const auto found = m_entries.find(claim);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const Preference& preference = found->second.m_preference;
  const HostId& next = preference.m_preferred == m_self
                           ? preference.m_successor
                           : preference.m_preferred;
  return next.empty() ? std::nullopt : std::optional(next);
}

std::vector<ClaimName> ClaimTable::Held(MonotonicTime now) const {
  std::vector<ClaimName> held;
  for (const auto& [claim, entry] : m_entries) {
    if (entry.m_held && ValidAt(entry, now)) {
      held.push_back(claim);
    }
  }
  return held;
}

std::vector<ClaimName> ClaimTable::Known() const {
  std::vector<ClaimName> known;
  for (const auto& [claim, entry] : m_entries) {
    if (entry.m_wanted || !entry.m_holder.empty()) {
      known.push_back(claim);
    }
  }
  return known;
}

bool ClaimTable::Releasing() const {
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [](const auto& item) { return item.second.m_releasing; });
}

std::vector<ClaimEffect> ClaimTable::TakeEffects() {
  return std::exchange(m_effects, {});
}

ClaimTable::Preference ClaimTable::MakePreference(
    const ClaimName& claim) const {
  std::vector<std::string> names;
  std::vector<const ClaimHost*> staying;
  for (const ClaimHost& host : m_hosts) {
    if (!host.m_leaving) {
      names.push_back(host.m_host.value());
      staying.push_back(&host);
    }
  }
  const ClaimHost* self = FindHost(m_self);
  Preference preference{.m_rank = names.size()};
  const ClaimHost* successor = nullptr;
  const std::vector<std::size_t> order = RendezvousOrder(claim, names);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const ClaimHost* host = staying[order[i]];
    if (i == 0) {
      preference.m_preferred = host->m_host;
    }
    if (host->m_host == m_self) {
      preference.m_rank = i;
      continue;
    }
    const bool other_domain =
        self == nullptr || host->m_failure_domain != self->m_failure_domain;
    const bool better = successor == nullptr ||
                        (other_domain && self != nullptr &&
                         successor->m_failure_domain == self->m_failure_domain);
    successor = better ? host : successor;
  }
  if (successor != nullptr) {
    preference.m_successor = successor->m_host;
    preference.m_successor_lease = successor->m_long_lease;
  }
  return preference;
}

const ClaimHost* ClaimTable::FindHost(const HostId& host) const {
  const auto found =
      std::find_if(m_hosts.begin(), m_hosts.end(),
                   [&](const ClaimHost& item) { return item.m_host == host; });
  return found == m_hosts.end() ? nullptr : &*found;
}

bool ClaimTable::HolderInView(const Entry& entry) const {
  if (entry.m_holder.empty() || entry.m_holder == m_self) {
    return false;
  }
  const ClaimHost* host = FindHost(entry.m_holder);
  return host != nullptr && host->m_incarnation == entry.m_holder_incarnation;
}

bool ClaimTable::IsOwnRecord(const ClaimRecord& record) const {
  return record.m_holder == m_self && record.m_incarnation == m_incarnation;
}

bool ClaimTable::ValidAt(const Entry& entry, MonotonicTime now) const {
  const bool on_lease = m_lease != 0 && entry.m_stored &&
                        entry.m_stored->m_record.m_lease == m_lease &&
                        m_short_lease_clock.ValidAt(now);
  return on_lease || now < entry.m_deferral_until;
}

bool ClaimTable::InContact(MonotonicTime now) const {
  return m_lease != 0 && m_short_lease_clock.valid_until() - now >=
                             m_short_lease_clock.validity() / 2;
}

void ClaimTable::UpdateUnheld(Entry& entry, MonotonicTime now) const {
  if (entry.m_held || HolderInView(entry)) {
    entry.m_unheld_since.reset();
  } else if (!entry.m_unheld_since) {
    entry.m_unheld_since = now;
  }
}

}  // namespace hickoryloft::claims
