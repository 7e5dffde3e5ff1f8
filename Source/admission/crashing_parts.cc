#include "admission/crashing_parts.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "admission/request_fingerprint.h"

namespace hickoryloft::admission {

namespace {

// The incarnations that ended with each request in use.
using EndsByRequest = std::map<std::string, std::set<std::string>>;

// Returns whether each of `ends` had one of at most `limit` requests in use.
bool FewExplain(const std::set<std::string>& ends,
                const EndsByRequest& ends_of_requests,
                std::size_t limit) {
  if (ends.empty()) {
    return true;
  }
  if (limit == 0) {
    return false;
  }
  // One of the requests has to explain the first end.
  return std::any_of(ends_of_requests.begin(), ends_of_requests.end(),
                     [&](const auto& request) {
                       if (!request.second.contains(*ends.begin())) {
                         return false;
                       }
                       std::set<std::string> left;
                       std::set_difference(ends.begin(), ends.end(),
                                           request.second.begin(),
                                           request.second.end(),
                                           std::inserter(left, left.end()));
                       return FewExplain(left, ends_of_requests, limit - 1);
                     });
}

}  // namespace

void CrashingParts::SetRecords(CrashRecords records, MonotonicTime now) {
  m_records = std::move(records);
  if (const Era era = EraOf(NewestRecord()); era > m_era) {
    // The service was restored. The records of these parts may be lost, and the
    // proofs that are left are older than they are.
    for (auto& [part, found] : m_found) {
      found.m_revision = NewestRecord();
      found.m_lost = true;
    }
    m_era = era;
  }
  Count();
  std::erase_if(m_reached, [&](const auto& reached) {
    const auto evidence = m_evidence.find(reached.first);
    return evidence == m_evidence.end() || !Suffices(evidence->second);
  });
  for (const auto& [part, evidence] : m_evidence) {
    if (Suffices(evidence)) {
      m_reached.try_emplace(part, now);
    }
  }
}

Revision CrashingParts::NewestRecord() const {
  Revision newest = 0;
  for (const EndpointEnd& end : m_records.m_ends) {
    newest = std::max(newest, end.m_revision);
  }
  for (const auto* revisions : {&m_records.m_sound, &m_records.m_held}) {
    for (const auto& [part, revision] : *revisions) {
      newest = std::max(newest, revision);
    }
  }
  return newest;
}

bool CrashingParts::SoundSince(const std::string& part,
                               Revision revision) const {
  const auto sound = m_records.m_sound.find(part);
  return sound != m_records.m_sound.end() && sound->second > revision;
}

bool CrashingParts::HeldByRecord(const std::string& part) const {
  const auto record = m_records.m_held.find(part);
  return record != m_records.m_held.end() && !SoundSince(part, record->second);
}

bool CrashingParts::Suffices(const Evidence& evidence) {
  const Duration spread = evidence.m_last - evidence.m_first;
  if (evidence.m_fingerprint) {
    return evidence.m_incarnations.size() >= kMinRequestEnds &&
           spread >= kMinRequestSpread;
  }
  return evidence.m_incarnations.size() >= kMinEnds && spread >= kMinSpread &&
         !evidence.m_few_requests;
}

void CrashingParts::Count() {
  std::erase_if(m_found, [&](const auto& found) {
    return SoundSince(found.first, found.second.m_revision) ||
           HeldByRecord(found.first);
  });
  m_held.clear();
  for (const auto& [part, found] : m_found) {
    m_held.insert(part);
  }
  for (const auto& [part, revision] : m_records.m_held) {
    if (HeldByRecord(part)) {
      m_held.insert(part);
    }
  }
  const std::set<std::string> explained = ExplainedByParts();
  // Hosts notice one end at different times.
  std::map<std::string, std::chrono::milliseconds> ended_at;
  for (const EndpointEnd& end : m_records.m_ends) {
    auto& at = ended_at.try_emplace(end.m_incarnation, end.m_at).first->second;
    at = std::min(at, end.m_at);
  }
  m_evidence.clear();
  for (const EndpointEnd& end : m_records.m_ends) {
    if (explained.contains(end.m_incarnation)) {
      continue;
    }
    const std::chrono::milliseconds at = ended_at.at(end.m_incarnation);
    for (const PartInUse& part : end.m_parts) {
      if (Held(part.m_id) || SoundSince(part.m_id, end.m_revision)) {
        continue;
      }
      Evidence& evidence =
          m_evidence
              .try_emplace(part.m_id,
                           Evidence{.m_fingerprint = IsFingerprint(part.m_id),
                                    .m_first = at,
                                    .m_last = at,
                                    .m_depth = part.m_depth})
              .first->second;
      evidence.m_incarnations.insert(end.m_incarnation);
      evidence.m_seen_by.insert(end.m_seen_by);
      evidence.m_first = std::min(evidence.m_first, at);
      evidence.m_last = std::max(evidence.m_last, at);
      evidence.m_depth = std::max(evidence.m_depth, part.m_depth);
    }
  }
  MarkFewRequests();
}

std::set<std::string> CrashingParts::ExplainedByParts() const {
  std::set<std::string> explained;
  for (const EndpointEnd& end : m_records.m_ends) {
    if (std::any_of(end.m_parts.begin(), end.m_parts.end(),
                    [&](const PartInUse& part) {
                      return !IsFingerprint(part.m_id) && Held(part.m_id);
                    })) {
      explained.insert(end.m_incarnation);
    }
  }
  return explained;
}

void CrashingParts::MarkFewRequests() {
  EndsByRequest ends_of_requests;
  for (const EndpointEnd& end : m_records.m_ends) {
    for (const PartInUse& part : end.m_parts) {
      if (IsFingerprint(part.m_id) && !SoundSince(part.m_id, end.m_revision)) {
        ends_of_requests[part.m_id].insert(end.m_incarnation);
      }
    }
  }
  for (auto& [part, evidence] : m_evidence) {
    // The search is made for the few parts that would be held.
    evidence.m_few_requests =
        Suffices(evidence) && !evidence.m_fingerprint &&
        FewExplain(evidence.m_incarnations, ends_of_requests,
                   CrashingParts::kMinRequests - 1);
  }
}

std::vector<CrashingParts::Finding> CrashingParts::FindCrashing(
    MonotonicTime now) {
  std::vector<Finding> findings;
  for (auto& [part, found] : m_found) {
    if (std::exchange(found.m_lost, false)) {
      findings.push_back(found.m_finding);
    }
  }
  // What is held has no evidence.
  // The bound holds for any records, also of another version.
  for (std::size_t left = m_evidence.size(); left > 0; --left) {
    const std::vector<std::string> worst = WorstSettled(now);
    if (worst.empty()) {
      return findings;
    }
    Revision newest = 0;
    for (const EndpointEnd& end : m_records.m_ends) {
      newest = std::max(newest, end.m_revision);
    }
    for (const std::string& part : worst) {
      const Evidence& evidence = m_evidence.at(part);
      findings.push_back({.m_part = part,
                          .m_ends = evidence.m_incarnations.size(),
                          .m_seen_by = evidence.m_seen_by});
      m_found[part] = {.m_finding = findings.back(), .m_revision = newest};
    }
    Count();
    std::erase_if(m_reached, [&](const auto& reached) {
      const auto evidence = m_evidence.find(reached.first);
      return evidence == m_evidence.end() || !Suffices(evidence->second);
    });
  }
  return findings;
}

std::vector<std::string> CrashingParts::WorstSettled(MonotonicTime now) const {
  // Prompt parts come before requests, which may only have used the part. Parts
  // that stand later in prompts are shared by fewer requests.
  using Rank = std::pair<int, std::size_t>;
  std::optional<Rank> highest;
  std::vector<std::string> worst;
  for (const auto& [part, since] : m_reached) {
    const auto entry = m_evidence.find(part);
    if (now - since < kSettleTime || entry == m_evidence.end()) {
      continue;
    }
    const Evidence& evidence = entry->second;
    // Requests that were in use at the same ends cannot be told apart.
    const Rank rank =
        evidence.m_fingerprint
            ? Rank(-1, 0)
            : Rank(evidence.m_depth, evidence.m_incarnations.size());
    if (!highest || rank > *highest) {
      highest = rank;
      worst.clear();
    }
    if (worst.empty() || (rank == *highest && evidence.m_fingerprint)) {
      worst.push_back(part);
    }
  }
  return worst;
}

std::size_t CrashingParts::Ends(const std::string& part) const {
  const auto evidence = m_evidence.find(part);
  return evidence == m_evidence.end() ? 0
                                      : evidence->second.m_incarnations.size();
}

}  // namespace hickoryloft::admission
