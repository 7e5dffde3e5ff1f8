// Adds entries for stored documents to the manifest.

#ifndef SOURCE_COORDINATOR_MANIFEST_WRITER_H_
#define SOURCE_COORDINATOR_MANIFEST_WRITER_H_

#include <functional>
#include <memory>

#include "documents/manifest.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

// The manifest as read from the key-value service.
struct StoredManifest {
  documents::Manifest m_manifest;
  Revision m_revision = 0;  // The key's modification revision; 0: absent.
};

// Parses the manifest from the reply to a read of its key; it is empty if the
// key is absent. Thread-safe. Throws Error(kProtocol) if the value is invalid.
StoredManifest ReadManifest(const keyvalue::ReadReply& reply);

// Writes `entry` for `service` by compare-and-swap and retries if other writers
// interfere. Calls `done` with a manifest that contains the entry or a newer
// one, or with the error; after kOutcomeUnknown or kTimedOut the entry may have
// been written. `key_values` must outlive the call.
void AddManifestEntry(keyvalue::KeyValueService& key_values,
                      const ServiceId& service,
                      const documents::ManifestEntry& entry,
                      std::function<void(Result<StoredManifest>)> done);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MANIFEST_WRITER_H_
