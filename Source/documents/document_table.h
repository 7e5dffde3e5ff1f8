// The documents in force at a host. They follow the manifest and never revert
// to an older revision.

#ifndef SOURCE_DOCUMENTS_DOCUMENT_TABLE_H_
#define SOURCE_DOCUMENTS_DOCUMENT_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "documents/document.h"
#include "documents/manifest.h"

namespace hickoryloft::documents {

// A document's text at one revision of its key.
struct DocumentText {
  Revision m_revision = 0;
  std::string m_text;
};

// A change that took effect at this host.
struct AppliedDocument {
  ServiceId m_service;
  Revision m_revision = 0;
  std::string m_text;  // Empty: removed.
};

// Not thread-safe.
class DocumentTable {
 public:
  // Sets the fleet's manifest, read at `revision` of its key. An older revision
  // is ignored.
  void SetManifest(const Manifest& manifest, Revision revision);
  // Adds a text that was read or received. It takes effect once the manifest
  // lists it.
  void AddText(const ServiceId& service, DocumentText text);

  // Puts in force all listed documents whose text is available, and removes
  // those listed as removed. Returns the changes.
  std::vector<AppliedDocument> Advance();

  // Returns the services whose listed revision has not been applied, since its
  // text is not available.
  std::vector<ServiceId> Missing() const;
  // Returns the revisions of texts that are newer than the manifest lists:
  // stored but not yet accepted.
  std::map<ServiceId, Revision> Unlisted() const;

  // Returns the text that waits to be listed or applied, or nullptr.
  const DocumentText* StagedText(const ServiceId& service) const;

  // Returns the newest revision of the manifest that is fully in force.
  Revision applied_revision() const { return m_applied_revision; }
  // Returns the newest revision of the manifest that this host has received.
  Revision manifest_revision() const { return m_manifest_revision; }
  const Manifest& manifest() const { return m_manifest; }

  const std::vector<Document>& documents() const { return m_documents; }
  const std::map<ServiceId, DocumentText>& texts() const { return m_in_force; }
  // Returns why a listed text could not be put in force, by service. Its
  // predecessor stays in force.
  const std::map<ServiceId, std::string>& problems() const {
    return m_problems;
  }

 private:
  bool Apply(const ServiceId& service, const ManifestEntry& entry);
  bool ApplyText(const ServiceId& service, const DocumentText& text);
  void RemoveDocument(const ServiceId& service);

  Manifest m_manifest;
  Revision m_manifest_revision = 0;
  Revision m_applied_revision = 0;
  // Applied revision of each document, removed ones included.
  std::map<ServiceId, Revision> m_applied;
  std::map<ServiceId, DocumentText> m_in_force;
  std::map<ServiceId, DocumentText> m_staged;
  std::vector<Document> m_documents;  // Ordered by service.
  std::map<ServiceId, std::string> m_problems;
};

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_DOCUMENT_TABLE_H_
