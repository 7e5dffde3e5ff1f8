// The list of documents in force in the fleet. It is stored under one key, so
// that one small read shows whether a host has the newest documents.

#ifndef SOURCE_DOCUMENTS_MANIFEST_H_
#define SOURCE_DOCUMENTS_MANIFEST_H_

#include <map>
#include <string>

#include "base/ids.h"

namespace hickoryloft::documents {

struct ManifestEntry {
  Revision m_revision = 0;  // Of the write or deletion of the document's key.
  bool m_removed = false;

  friend bool operator==(const ManifestEntry&, const ManifestEntry&) = default;
};

using Manifest = std::map<ServiceId, ManifestEntry>;

// Returns `manifest` as JSON. Thread-safe.
std::string FormatManifest(const Manifest& manifest);

// Returns the manifest in `text`. Thread-safe. Throws Error(kProtocol).
Manifest ParseManifest(const std::string& text);

// Sets the entry of `service` unless the present one is as new or newer.
// Returns whether `manifest` changed. Thread-safe for distinct manifests.
bool AddToManifest(Manifest& manifest,
                   const ServiceId& service,
                   const ManifestEntry& entry);

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_MANIFEST_H_
