#include "coordinator/manifest_writer.h"

#include <utility>

#include "coordinator/keys.h"

namespace hickoryloft::coordinator {

namespace {

constexpr int kMaxAttempts = 16;

// Writes one entry; the callbacks of pending calls keep the object alive.
struct ManifestEntryWrite : std::enable_shared_from_this<ManifestEntryWrite> {
  keyvalue::KeyValueService& m_key_values;
  ServiceId m_service;
  documents::ManifestEntry m_entry;
  std::function<void(Result<StoredManifest>)> m_done;
  int m_attempts = 0;

  ManifestEntryWrite(keyvalue::KeyValueService& key_values,
                     ServiceId service,
                     documents::ManifestEntry entry,
                     std::function<void(Result<StoredManifest>)> done)
      : m_key_values(key_values),
        m_service(std::move(service)),
        m_entry(entry),
        m_done(std::move(done)) {}

  void Read() {
    if (++m_attempts > kMaxAttempts) {
      m_done(Error(ErrorCode::kConflict,
                   "the manifest is changed by others all the time"));
      return;
    }
    m_key_values.Get(
        kManifestKey,
        [self = shared_from_this()](const Result<keyvalue::ReadReply>& result) {
          if (!result) {
            self->m_done(result.error());
            return;
          }
          self->Write(result.value());
        });
  }

  void Write(const keyvalue::ReadReply& reply) {
    StoredManifest stored;
    try {
      stored = ReadManifest(reply);
    } catch (const Error& error) {
      m_done(error);
      return;
    }
    if (!documents::AddToManifest(stored.m_manifest, m_service, m_entry)) {
      m_done(std::move(stored));
      return;
    }
    m_key_values.Swap({kManifestKey, stored.m_revision,
                       documents::FormatManifest(stored.m_manifest), 0},
                      [self = shared_from_this(),
                       stored](const Result<keyvalue::SwapReply>& result) {
                        self->OnWritten(stored, result);
                      });
  }

  void OnWritten(StoredManifest stored,
                 const Result<keyvalue::SwapReply>& result) {
    if (!result && result.error().code() == ErrorCode::kUnavailable) {
      m_done(result.error());
      return;
    }
    // If the reply was lost, reading the manifest shows whether the entry was
    // written; a conflict requires a new read as well.
    if (!result || !result.value().m_swapped) {
      Read();
      return;
    }
    stored.m_revision = result.value().m_revision;
    m_done(std::move(stored));
  }
};

}  // namespace

StoredManifest ReadManifest(const keyvalue::ReadReply& reply) {
  if (reply.m_items.empty()) {
    return {};
  }
  const keyvalue::KeyValue& item = reply.m_items.front();
  return {documents::ParseManifest(item.m_value), item.m_mod_revision};
}

void AddManifestEntry(keyvalue::KeyValueService& key_values,
                      const ServiceId& service,
                      const documents::ManifestEntry& entry,
                      std::function<void(Result<StoredManifest>)> done) {
  std::make_shared<ManifestEntryWrite>(key_values, service, entry,
                                       std::move(done))
      ->Read();
}

}  // namespace hickoryloft::coordinator
