#include "host/crash_guard.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <utility>

#include "admission/request_fingerprint.h"
#include "base/log.h"
#include "host/crash_records.h"

namespace hickoryloft::host {

namespace {

using admission::CrashingParts;
using admission::PartInUse;

// Delay that merges changes of records: a failure domain's endpoints end
// together, and all hosts record that.
constexpr Duration kReadDelay = milliseconds(200);
// Interval at which a part's settling time is checked.
constexpr Duration kSettleCheck = milliseconds(100);
// How long a recorded end and a proof count.
constexpr Duration kEvidenceTtl = std::chrono::minutes(5);
// How long a part stays held after the last request with it.
constexpr Duration kHeldTtl = std::chrono::minutes(10);
constexpr Duration kHeldRenewal = std::chrono::minutes(1);
// One request with a held part is let through after each of these times, in
// case the part was held by mistake.
constexpr std::array<Duration, 2> kTrialDelays = {seconds(30),
                                                  std::chrono::minutes(5)};
// Minimum time between two proofs of one part by this host.
constexpr Duration kProofInterval = milliseconds(500);
constexpr int kMaxAttempts = 10;
constexpr Duration kRetryPause = milliseconds(300);
constexpr std::size_t kMaxPendingEnds = 64;
constexpr std::size_t kMaxWrittenKeys = 256;
constexpr std::size_t kMaxFailedWrites = 64;

const Logger kLog("prompts");

// Whether an answer that has come this far proves that a part crashes no
// endpoints.
bool Proves(AnswerProgress progress, const std::string& part) {
  return progress == AnswerProgress::kComplete ||
         progress == (admission::IsFingerprint(part) ? AnswerProgress::kRejected
                                                     : AnswerProgress::kGoesOn);
}

std::string JoinNames(const std::set<HostId>& hosts) {
  std::string names;
  for (const HostId& host : hosts) {
    names += (names.empty() ? "" : ",") + host.value();
  }
  return names;
}

}  // namespace

std::vector<PartInUse> PartsOf(const fleet::CallerRequest& request,
                               const ClientAccountId& account) {
  // The fingerprint comes first: a request that is held itself must not use up
  // the trials of a part of its prompt.
  std::vector<PartInUse> parts = {
      {.m_id = admission::FingerprintOf(account.value(),
                                        request.m_host + request.m_target,
                                        request.m_body.text())}};
  for (std::size_t i = 0; i + 1 < request.m_prompt.size(); ++i) {
    if (IsValidPart(request.m_prompt[i].m_id)) {
      parts.push_back(
          {.m_id = request.m_prompt[i].m_id, .m_depth = static_cast<int>(i)});
    }
  }
  return parts;
}

std::string Describe(const std::vector<PartInUse>& parts) {
  std::string ids;
  for (const PartInUse& part : parts) {
    ids += (ids.empty() ? "" : ",") + part.m_id;
  }
  return ids;
}

CrashGuard::CrashGuard(
    EventLoop& loop,
    HostId host,
    keyvalue::KeyValueService& store,
    EndpointProbe& probe,
    std::function<const std::map<std::string, keyvalue::KeyValue>&()> own_keys,
    std::function<void()> on_held)
    : m_loop(loop),
      m_host(std::move(host)),
      m_store(store),
      m_probe(probe),
      m_own_keys(std::move(own_keys)),
      m_on_held(std::move(on_held)) {}

std::optional<std::string> CrashGuard::HeldPart(const Parts& parts) const {
  const auto held = std::find_if(
      parts.begin(), parts.end(),
      [this](const PartInUse& part) { return m_parts.Held(part.m_id); });
  return held == parts.end() ? std::nullopt : std::optional(held->m_id);
}

bool CrashGuard::Suspects(const Parts& parts) const {
  return std::any_of(parts.begin(), parts.end(), [&](const PartInUse& part) {
    return m_parts.Held(part.m_id) ||
           m_parts.Ends(part.m_id) >= CrashingParts::kSuspectEnds;
  });
}

bool CrashGuard::TakeTrial(const std::string& part) {
  return m_trials.erase(part) > 0;
}

void CrashGuard::ClaimTrial(const std::string& part,
                            const keyvalue::KeyValue& record) {
  const std::size_t trials = DecodeTrials(record);
  const auto since = m_held_since.find(part);
  if (since == m_held_since.end() || trials >= kTrialDelays.size() ||
      m_loop.Now() - since->second.second < kTrialDelays.at(trials)) {
    return;
  }
  since->second.second = m_loop.Now();
  m_store.Swap(
      {.m_key = record.m_key,
       .m_expected_revision = record.m_mod_revision,
       .m_value = EncodeWithTrials(record, trials + 1),
       .m_lease = record.m_lease},
      [this, part, alive = std::weak_ptr<int>(m_alive)](
          const Result<keyvalue::SwapReply>& reply) {
        if (!alive.expired() && reply.ok() && reply.value().m_swapped) {
          m_trials.insert(part);
        }
      });
}

void CrashGuard::RecordRejection(const std::string& part) {
  const auto item = m_own_keys().find(HeldKey(part));
  if (item == m_own_keys().end()) {
    return;
  }
  ClaimTrial(part, item->second);
  MonotonicTime& written_at = m_written_at[item->first];
  if (m_loop.Now() - written_at < kHeldRenewal) {
    return;
  }
  written_at = m_loop.Now();
  m_store.KeepAlive(
      item->second.m_lease, [part](const Result<keyvalue::LeaseReply>& reply) {
        if (!reply.ok()) {
          kLog.Warn("cannot renew the record of a held part",
                    {{"prompt_part", part}, {"reason", reply.error().what()}});
        }
      });
}

void CrashGuard::RecordProof(const Parts& parts, AnswerProgress progress) {
  const MonotonicTime now = m_loop.Now();
  for (const PartInUse& in_use : parts) {
    const std::string& part = in_use.m_id;
    if (!Proves(progress, part)) {
      continue;
    }
    m_proven.Record(part, now);
    if (!m_parts.Held(part) && m_parts.Ends(part) == 0) {
      continue;
    }
    MonotonicTime& written_at = m_written_at[SoundKey(part)];
    if (now - written_at < kProofInterval) {
      continue;
    }
    written_at = now;
    kLog.Info(admission::IsFingerprint(part)
                  ? "request does not crash endpoints"
                  : "prompt part does not crash endpoints",
              {{"prompt_part", part}});
    Put({.m_key = SoundKey(part),
         .m_value = m_host.value(),
         .m_ttl = kEvidenceTtl});
  }
}

void CrashGuard::RecordEarlyEnd(const endpoint::EndpointAddress& endpoint,
                                std::int64_t started_at_ms,
                                const Parts& parts) {
  const std::string incarnation =
      endpoint.m_id.value() + "." + std::to_string(started_at_ms);
  const bool pending = m_pending_ends.contains(incarnation);
  if (!pending && m_pending_ends.size() >= kMaxPendingEnds) {
    return;
  }
  PendingEnd end{.m_endpoint = endpoint,
                 .m_at = duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())};
  for (const PartInUse& part : parts) {
    if (!m_proven.Proven(part.m_id, m_loop.Now())) {
      end.m_depths[part.m_id] = part.m_depth;
    }
  }
  if (end.m_depths.empty()) {
    return;
  }
  if (pending) {
    m_pending_ends[incarnation].m_depths.merge(end.m_depths);
    return;
  }
  end.m_check = m_probe.Ask(endpoint, EndpointProbe::Start::kSettled,
                            [this, incarnation](ProbeResult result) {
                              if (result == ProbeResult::kGone) {
                                RecordEnd(incarnation);
                              }
                              m_pending_ends.erase(incarnation);
                            });
  m_pending_ends.emplace(incarnation, std::move(end));
}

void CrashGuard::RecordEnd(const std::string& incarnation) {
  const PendingEnd& pending = m_pending_ends.at(incarnation);
  admission::EndpointEnd end{.m_incarnation = incarnation,
                             .m_at = pending.m_at};
  std::string names;
  for (const auto& [part, depth] : pending.m_depths) {
    // Its repeat at another endpoint may have proved it by now.
    if (end.m_parts.size() < kMaxPartsPerEnd &&
        !m_proven.Proven(part, m_loop.Now())) {
      end.m_parts.push_back({.m_id = part, .m_depth = depth});
      names += (names.empty() ? "" : ",") + part;
    }
  }
  kLog.Info(
      "endpoint ended while it answered requests",
      {{"endpoint", pending.m_endpoint.m_id.value()}, {"prompt_parts", names}});
  Put({.m_key = EndKey(m_host, TakeEndSlot()),
       .m_value = EncodeEnd(end),
       .m_ttl = kEvidenceTtl});
}

std::size_t CrashGuard::TakeEndSlot() {
  if (!m_next_slot) {
    // Records of an earlier run of this host are overwritten oldest first.
    m_next_slot = 0;
    for (std::size_t slot = 1; slot < kEndSlots; ++slot) {
      if (RevisionOf(EndKey(m_host, slot)) <
          RevisionOf(EndKey(m_host, *m_next_slot))) {
        m_next_slot = slot;
      }
    }
  }
  const std::size_t slot = *m_next_slot;
  m_next_slot = (slot + 1) % kEndSlots;
  return slot;
}

Revision CrashGuard::RevisionOf(const std::string& key) const {
  const auto item = m_own_keys().find(key);
  return item == m_own_keys().end() ? 0 : item->second.m_mod_revision;
}

void CrashGuard::ApplyOwnKeys() {
  if (!std::exchange(m_has_read, true)) {
    ReadRecords();
  } else if (!m_read_timer) {
    m_read_timer = m_loop.After(kReadDelay, [this] {
      m_read_timer.reset();
      ReadRecords();
    });
  }
}

void CrashGuard::ReadRecords() {
  const auto version = VersionOfCrashRecords(m_own_keys());
  if (version == std::exchange(m_records_version, version)) {
    return;
  }
  admission::CrashRecords records = DecodeCrashRecords(m_own_keys());
  std::erase_if(m_held_since, [&](const auto& entry) {
    return !records.m_held.contains(entry.first);
  });
  for (const auto& [part, revision] : records.m_held) {
    auto& since = m_held_since[part];
    if (since.first != revision) {
      since = {revision, m_loop.Now()};
    }
  }
  m_parts.SetRecords(std::move(records), m_loop.Now());
  if (m_written_at.size() > kMaxWrittenKeys) {
    std::erase_if(m_written_at, [&](const auto& entry) {
      return m_loop.Now() - entry.second > kHeldRenewal;
    });
  }
  HoldCrashingParts();
}

void CrashGuard::HoldCrashingParts() {
  for (const CrashingParts::Finding& finding :
       m_parts.FindCrashing(m_loop.Now())) {
    kLog.Warn(admission::IsFingerprint(finding.m_part)
                  ? "request crashes endpoints; rejecting its repeats"
                  : "prompt part crashes endpoints; rejecting requests with it",
              {{"prompt_part", finding.m_part},
               {"ends", static_cast<std::uint64_t>(finding.m_ends)},
               {"seen_by", JoinNames(finding.m_seen_by)},
               {"for_ms", ToMillis(kHeldTtl).count()}});
    if (finding.m_seen_by.contains(m_host)) {
      Put({.m_key = HeldKey(finding.m_part),
           .m_value = EncodeFinding(finding),
           .m_ttl = kHeldTtl});
    }
    m_on_held();
  }
  m_settle_timer.reset();
  if (m_parts.settling()) {
    m_settle_timer =
        m_loop.After(kSettleCheck, [this] { HoldCrashingParts(); });
  }
}

void CrashGuard::Put(const Write& write) {
  m_store.GrantLease(write.m_ttl,
                     [this, write, alive = std::weak_ptr<int>(m_alive)](
                         const Result<keyvalue::LeaseReply>& reply) {
                       if (alive.expired()) {
                         return;
                       }
                       if (reply.ok()) {
                         Swap(write, reply.value().m_lease);
                       } else {
                         PutLater(write, reply.error());
                       }
                     });
}

void CrashGuard::Swap(const Write& write, keyvalue::LeaseId lease) {
  m_store.Swap({.m_key = write.m_key,
                .m_expected_revision = RevisionOf(write.m_key),
                .m_value = write.m_value,
                .m_lease = lease},
               [this, write, alive = std::weak_ptr<int>(m_alive)](
                   const Result<keyvalue::SwapReply>& reply) {
                 // A conflict means that another host has written the same.
                 if (!alive.expired() && !reply.ok()) {
                   PutLater(write, reply.error());
                 }
               });
}

void CrashGuard::PutLater(Write write, const Error& error) {
  kLog.Warn("cannot write a record about crashing requests",
            {{"key", write.m_key}, {"reason", error.what()}});
  if (++write.m_attempts >= kMaxAttempts ||
      m_failed_writes.size() >= kMaxFailedWrites) {
    return;
  }
  m_failed_writes.push_back(std::move(write));
  if (!m_retry_timer) {
    m_retry_timer = m_loop.After(kRetryPause, [this] {
      m_retry_timer.reset();
      for (const Write& failed : std::exchange(m_failed_writes, {})) {
        Put(failed);
      }
    });
  }
}

}  // namespace hickoryloft::host
