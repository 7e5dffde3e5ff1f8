// Enters stored documents in the manifest.

#ifndef SOURCE_COORDINATOR_MANIFEST_WRITER_H_
#define SOURCE_COORDINATOR_MANIFEST_WRITER_H_

#include <functional>
#include <memory>

#include "documents/manifest.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

// The manifest as it stands in the service.
struct StoredManifest {
  documents::Manifest m_manifest;
  Revision m_revision = 0;  // Of the manifest's key; 0: absent.
};

// Returns the manifest in a read of its key. Thread-safe. Throws
// Error(kProtocol).
StoredManifest ReadManifest(const keyvalue::ReadReply& reply);

// Enters `entry` for `service` by compare-and-swap, trying again while others
// write too. `done` gets a manifest that lists the entry or a newer one, or the
// failure of the service; kOutcomeUnknown and kTimedOut leave open whether the
// entry was made. `key_values` must outlive the call.
void EnterInManifest(keyvalue::KeyValueService& key_values,
                     const ServiceId& service,
                     const documents::ManifestEntry& entry,
                     std::function<void(Result<StoredManifest>)> done);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MANIFEST_WRITER_H_
