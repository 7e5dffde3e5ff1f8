#include "admission/crashing_parts.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::admission {

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
  return evidence.m_incarnations.size() >= kMinEnds &&
         evidence.m_last - evidence.m_first >= kMinSpread;
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
  std::set<std::string> explained;
  for (const EndpointEnd& end : m_records.m_ends) {
    if (std::any_of(end.m_parts.begin(), end.m_parts.end(),
                    [&](const PartInUse& part) { return Held(part.m_id); })) {
      explained.insert(end.m_incarnation);
    }
  }
  m_evidence.clear();
  for (const EndpointEnd& end : m_records.m_ends) {
    if (explained.contains(end.m_incarnation)) {
      continue;
    }
    for (const PartInUse& part : end.m_parts) {
      if (SoundSince(part.m_id, end.m_revision)) {
        continue;
      }
      Evidence& evidence =
          m_evidence
              .try_emplace(part.m_id,
                           Evidence{.m_first = end.m_at, .m_last = end.m_at})
              .first->second;
      evidence.m_incarnations.insert(end.m_incarnation);
      evidence.m_seen_by.insert(end.m_seen_by);
      evidence.m_first = std::min(evidence.m_first, end.m_at);
      evidence.m_last = std::max(evidence.m_last, end.m_at);
      evidence.m_depth = std::max(evidence.m_depth, part.m_depth);
    }
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
  // Each part that is found explains all of its ends, so its evidence is gone
  // afterwards. The bound holds for any records, also of another version.
  for (std::size_t left = m_evidence.size(); left > 0; --left) {
    const std::pair<const std::string, Evidence>* worst = nullptr;
    for (const auto& entry : m_evidence) {
      const auto reached = m_reached.find(entry.first);
      if (reached == m_reached.end() || now - reached->second < kSettleTime) {
        continue;
      }
      // Parts that stand later in prompts are shared by fewer requests.
      const auto rank = [](const Evidence& evidence) {
        return std::pair(evidence.m_depth, evidence.m_incarnations.size());
      };
      if (worst == nullptr || rank(entry.second) > rank(worst->second)) {
        worst = &entry;
      }
    }
    if (worst == nullptr) {
      return findings;
    }
    findings.push_back({.m_part = worst->first,
                        .m_ends = worst->second.m_incarnations.size(),
                        .m_seen_by = worst->second.m_seen_by});
    Revision newest = 0;
    for (const EndpointEnd& end : m_records.m_ends) {
      newest = std::max(newest, end.m_revision);
    }
    m_found[worst->first] = {.m_finding = findings.back(),
                             .m_revision = newest};
    Count();
    std::erase_if(m_reached, [&](const auto& reached) {
      const auto evidence = m_evidence.find(reached.first);
      return evidence == m_evidence.end() || !Suffices(evidence->second);
    });
  }
  return findings;
}

std::size_t CrashingParts::Ends(const std::string& part) const {
  const auto evidence = m_evidence.find(part);
  return evidence == m_evidence.end() ? 0
                                      : evidence->second.m_incarnations.size();
}

}  // namespace hickoryloft::admission
