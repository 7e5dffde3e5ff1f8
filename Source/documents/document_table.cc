#include "documents/document_table.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "documents/parse_document.h"

namespace hickoryloft::documents {

void DocumentTable::SetManifest(const Manifest& manifest, Revision revision) {
  if (revision <= m_manifest_revision) {
    return;
  }
  m_manifest_revision = revision;
  for (const auto& [service, entry] : manifest) {
    AddToManifest(m_manifest, service, entry);
  }
}

void DocumentTable::AddText(const ServiceId& service, DocumentText text) {
  const auto applied = m_applied.find(service);
  if (applied != m_applied.end() && text.m_revision <= applied->second) {
    return;
  }
  DocumentText& staged = m_staged[service];
  if (text.m_revision > staged.m_revision) {
    staged = std::move(text);
  }
}

std::vector<AppliedDocument> DocumentTable::Advance() {
  std::vector<AppliedDocument> changes;
  for (const auto& [service, entry] : m_manifest) {
    if (!Apply(service, entry)) {
      continue;
    }
    const auto text = m_in_force.find(service);
    changes.push_back({service, entry.m_revision,
                       text == m_in_force.end() ? "" : text->second.m_text});
  }
  if (Missing().empty()) {
    m_applied_revision = m_manifest_revision;
  }
  return changes;
}

std::vector<ServiceId> DocumentTable::Missing() const {
  std::vector<ServiceId> missing;
  for (const auto& [service, entry] : m_manifest) {
    const auto applied = m_applied.find(service);
    if (applied == m_applied.end() || applied->second < entry.m_revision) {
      missing.push_back(service);
    }
  }
  return missing;
}

std::map<ServiceId, Revision> DocumentTable::Unlisted() const {
  std::map<ServiceId, Revision> unlisted;
  for (const auto& [service, text] : m_staged) {
    const auto listed = m_manifest.find(service);
    if (listed == m_manifest.end() ||
        listed->second.m_revision < text.m_revision) {
      unlisted[service] = text.m_revision;
    }
  }
  return unlisted;
}

const DocumentText* DocumentTable::StagedText(const ServiceId& service) const {
  const auto found = m_staged.find(service);
  return found == m_staged.end() ? nullptr : &found->second;
}

bool DocumentTable::Apply(const ServiceId& service,
                          const ManifestEntry& entry) {
  Revision& applied = m_applied[service];
  if (applied >= entry.m_revision) {
    return false;
  }
  if (entry.m_removed) {
    applied = entry.m_revision;
    const bool existed = m_in_force.contains(service);
    RemoveDocument(service);
    return existed;
  }
  // A text newer than the listed one is not accepted yet. The listed one may
  // already be overwritten; then the manifest will soon list the newer one.
  const auto staged = m_staged.find(service);
  if (staged == m_staged.end() ||
      staged->second.m_revision != entry.m_revision) {
    return false;
  }
  applied = entry.m_revision;
  const DocumentText text = std::move(staged->second);
  m_staged.erase(staged);
  return ApplyText(service, text);
}

bool DocumentTable::ApplyText(const ServiceId& service,
                              const DocumentText& text) {
  try {
    Document document = ParseDocument(service, text.m_text, service.value());
    document.m_revision = text.m_revision;
    RemoveDocument(service);
    const auto place =
        std::lower_bound(m_documents.begin(), m_documents.end(), service,
                         [](const Document& item, const ServiceId& wanted) {
                           return item.m_service < wanted;
                         });
    m_documents.insert(place, std::move(document));
    m_in_force[service] = text;
    return true;
  } catch (const Error& error) {
    // The text was stored without validation. It is rejected here, so the
    // predecessor stays in force.
    m_problems[service] = error.what();
    return false;
  }
}

void DocumentTable::RemoveDocument(const ServiceId& service) {
  std::erase_if(m_documents, [&](const Document& document) {
    return document.m_service == service;
  });
  m_in_force.erase(service);
  m_problems.erase(service);
}

}  // namespace hickoryloft::documents
